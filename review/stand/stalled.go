package main

// Case: clients stop in the middle of a request and stay.

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

const (
	goneSlack      = 100 * time.Millisecond // after which a submission for a client that has closed is a break
	stalledSockets = 256                    // descriptors of the agent
	stalledClients = 200                    // bad clients of one wave
	stalledWaves   = 4
	stalledRate    = 75.0 // requests a second of the usual clients
)

// factoring holds the products of the deployment.
var factoring = []product{
	{class{"invoice-status", "repeatable"}, 0.43, 3 * time.Second},
	{class{"quote-refresh", "repeatable"}, 0.31, 3 * time.Second},
	{class{"advance-order", "once"}, 0.26, 3 * time.Second},
}

const leastFactoringTry = 0.40 // a try is given up after 40 to 100% of the expiry

func cuencaSettings() object {
	grade := func(name string, aim int, worth, late float64, effect string) object {
		return object{
			"name": name, "aim-us": aim, "deadline-us": 3000000, "worth": worth, "late-value": late, "effect": effect,
			"key-scope": "all", "key-ttl-us": 0,
		}
	}
	return object{
		"me": 0, "balancers": 2, "zone": 0, "dcs": zones, "skus": []string{"k"},
		"discovery": "subscribe", "report": object{"source": "probe", "fields": []string{"rate"}},
		"grades": []object{
			grade("invoice-status", 800000, 2, 0.2, "repeatable"), grade("quote-refresh", 800000, 2, 0.2, "repeatable"),
			grade("advance-order", 1000000, 6, 0, "once"),
		},
		"limits": object{
			"max-attempts": 5, "parallel-tries": true, "cancel": true, "probes": true, "peers": false, "retry-after": true,
			"max-retry-after-us": 2000000, "connect-timeout-us": 250000, "idle-close-us": 30000000, "max-open": 20000,
		},
		"contract": object{
			"drain-grace-us": 1000000, "cold-from": 0.42, "warm-up-us": 5000000, "overload-factor": 3.0, "fall-us": 1000000,
			"ask-every-us": 10000000, "answer-slack-us": 20000,
		},
		"family-info": object{
			"decided-by": "majority", "ayes-needed": 2, "back-votes": 1, "ballot-ttl-us": 4000000, "call-timeout-us": 800000,
			"counted-by": "all", "counted-over-us": 3000000, "spare-tries": 2.0, "keys-stay": false, "guarded-stages": 0,
			"most-shares": []float64{0.14, 0.49, 1}, "rings": []float64{0.1, 0.35, 1},
		},
		"tariffs": object{"probe": 0.01, "cross-zone": 0.01},
	}
}

// usualClients keep their connections and open more once all are busy.
type usualClients struct {
	trial   *trial
	address string
	pool    connections
	wait    sync.WaitGroup

	mu       sync.Mutex
	requests []*request
	count    int
}

// send draws one request and sends it.
func (u *usualClients) send(rng *rand.Rand) {
	p, share := drawProduct(rng, factoring), leastFactoringTry+(1-leastFactoringTry)*rng.Float64()
	u.mu.Lock()
	u.count++
	r := &request{id: fmt.Sprintf("r%06d", u.count), class: p.class, deadline: time.Duration(share * float64(p.expiry)).Truncate(time.Millisecond)}
	u.requests = append(u.requests, r)
	u.mu.Unlock()
	u.wait.Go(func() { u.try(r) })
}

// try sends a request. If the agent closes a kept connection as the request is sent, it is sent once more on a new one.
func (u *usualClients) try(r *request) {
	patience := r.deadline + answerSlack + 2*limitSlack + 100*time.Millisecond
	conn, reused, err := u.pool.takeOrDial(u.address)
	if err != nil {
		r.err = err
		return
	}
	u.trial.note("client sends %s %s, waits %v", r.id, r.class.name, r.deadline)
	r.exchange(conn, conn.reader, patience)
	if r.err != nil && reused && r.answered.IsZero() && !timedOut(r.err) {
		u.trial.note("client: the agent closed a kept connection; %s is sent once more", r.id)
		conn.Close()
		r.sent, r.err = time.Time{}, nil
		if conn, err = dialKept(u.address); err != nil {
			r.err = err
			return
		}
		r.exchange(conn, conn.reader, patience)
	}
	u.trial.note("client has %s %s: status %d, %v after %v of %v", r.id, r.class.name, r.status, r.err, time.Since(r.sent).Round(time.Millisecond), r.deadline)
	if r.err != nil {
		conn.Close()
		r.left = time.Now()
		return
	}
	u.pool.put(conn)
}

// stall opens connections, each with half a request, and waits until the agent has answered or closed them.
func (t *trial) stall(address string, wave int) (ended []time.Duration) {
	var mu sync.Mutex
	var wait sync.WaitGroup
	for i := range stalledClients {
		wait.Go(func() {
			begun := time.Now()
			conn, err := net.DialTimeout("tcp", address, 3*time.Second)
			if err != nil {
				return
			}
			defer conn.Close()
			_, _ = fmt.Fprintf(conn, "POST /advance-order/k%d HTTP/1.1\r\nHost: api.internal\r\nReq-Id: half%d-%d\r\n"+
				"Req-Deadline: 3000m\r\nContent-Length: 212\r\n\r\nonly a part", i, wave, i)
			_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
			_, _ = io.Copy(io.Discard, bufio.NewReader(conn))
			mu.Lock()
			ended = append(ended, time.Since(begun))
			mu.Unlock()
		})
	}
	wait.Wait()
	return ended
}

func runStalled(t *trial) int {
	w, err := t.newWorld(15, 80*time.Millisecond)
	if err != nil {
		return t.cannotRun("%v", err)
	}
	a, err := t.newAgent("n1")
	if err != nil {
		return t.cannotRun("%v", err)
	}
	config := w.config(a, 1, cuencaSettings())
	config["limits"] = object{"cores": 1.0, "memory_mb": 128, "sockets": stalledSockets}
	if err := a.start(config); err != nil {
		return t.cannotRun("%v", err)
	}
	if err := a.awaitReady(10 * time.Second); err != nil {
		return t.cannotRun("%v", err)
	}
	rng := rand.New(rand.NewPCG(38, 3))
	u := &usualClients{trial: t, address: a.address}
	done := make(chan bool)
	go func() {
		defer close(done)
		for end := time.Now().Add((stalledWaves + 1) * 5 * time.Second); time.Now().Before(end); {
			time.Sleep(time.Duration(rng.ExpFloat64() / stalledRate * float64(time.Second)))
			u.send(rng)
		}
	}()
	for wave := range stalledWaves {
		time.Sleep(2 * time.Second)
		if t.trouble {
			t.note("%d clients send half a request and stay", stalledClients)
			ended := t.stall(a.address, wave)
			longest := time.Duration(0)
			for _, d := range ended {
				longest = max(longest, d)
			}
			t.note("%d of them were answered or closed, the last after %v", len(ended), longest)
		}
	}
	<-done
	u.wait.Wait()
	return judgeStalled(t, w, u)
}

// judgeStalled counts the requests that the agent took and lost.
func judgeStalled(t *trial, w *world, u *usualClients) int {
	attempts := w.attempts()
	answered, unsent, lost, gone := 0, 0, 0, 0
	for _, r := range u.requests {
		for _, at := range attempts[r.id] {
			if after := at.at.Sub(r.left); !r.left.IsZero() && after > goneSlack {
				gone++
				t.note("%s: a submission began %v after its client had closed", r.id, after.Round(time.Millisecond))
			}
		}
		switch {
		case r.sent.IsZero():
			unsent++
		case r.answered.IsZero() && !timedOut(r.err):
			lost++
			t.note("LOST %s %s: the connection ended without an answer (%v)", r.id, r.class.name, r.err)
		case r.answered.IsZero():
			lost++
			t.note("LOST %s %s: no answer %v after its time of %v; submissions %d", r.id, r.class.name, answerSlack+limitSlack, r.deadline, len(attempts[r.id]))
		case r.answered.Sub(r.sent) > r.deadline+answerSlack+limitSlack:
			lost++
			t.note("LOST %s %s: answered after %v, its time was %v; submissions %d", r.id, r.class.name,
				r.answered.Sub(r.sent).Round(time.Millisecond), r.deadline, len(attempts[r.id]))
		default:
			answered++
		}
	}
	t.say("sent %d, answered in time %d, not sent %d, lost %d; submissions for clients that had left %d",
		len(u.requests)-unsent, answered, unsent, lost, gone)
	if answered < 100 {
		return t.cannotRun("too few answers")
	}
	if lost > 0 {
		return broken
	}
	return held
}
