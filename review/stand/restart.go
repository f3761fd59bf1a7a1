package main

// Case: an agent is killed and comes back while discovery is down.

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"
)

const (
	answerSlack = 500 * time.Millisecond // an answer later than this after the client's time is lost
	limitSlack  = 50 * time.Millisecond  // by which every limit is longer on sockets
	deadlineTol = 150 * time.Millisecond // slack of the time that an attempt tells
	outage      = 8 * time.Second        // of discovery
	noticed     = 3 * time.Second        // after which the front has noticed a death
	downFor     = 200 * time.Millisecond // from the kill to the new process
	rounds      = 4
)

// product is a product of the deployment, its share of the requests and its expiry.
type product struct {
	class
	share  float64
	expiry time.Duration
}

var products = []product{
	{class{"route-plan", "repeatable"}, 0.47, 2000 * time.Millisecond},
	{class{"piste-status", "repeatable"}, 0.43, 1000 * time.Millisecond},
	{class{"print-order", "by_key"}, 0.10, 600 * time.Millisecond},
}

// drawProduct draws a product by its share.
func drawProduct(rng *rand.Rand, products []product) product {
	point := rng.Float64()
	for _, p := range products {
		if point < p.share {
			return p
		}
		point -= p.share
	}
	return products[len(products)-1]
}

const leastTry = 0.42 // a try is given up after 42 to 100% of the expiry

func kartorSettings() object {
	return object{
		"me": 0, "balancers": 3, "zone": 0, "dcs": zones, "skus": []string{"k"},
		"discovery": "subscribe", "report": object{"source": "none", "fields": []string{}},
		"grades": []object{
			{"name": "route-plan", "aim-us": 500000, "deadline-us": 2000000, "worth": 3.0, "late-value": 0.0, "effect": "repeatable", "key-scope": "all", "key-ttl-us": 400000},
			{"name": "piste-status", "aim-us": 300000, "deadline-us": 1000000, "worth": 1.0, "late-value": 0.0, "effect": "repeatable", "key-scope": "all", "key-ttl-us": 400000},
			{"name": "print-order", "aim-us": 250000, "deadline-us": 600000, "worth": 5.0, "late-value": 0.0, "effect": "by_key", "key-scope": "all", "key-ttl-us": 400000},
		},
		"limits": object{
			"max-attempts": 5, "parallel-tries": true, "cancel": true, "probes": true, "peers": false, "retry-after": true,
			"max-retry-after-us": 2000000, "connect-timeout-us": 250000, "idle-close-us": 15000000, "max-open": 20000,
		},
		"contract": object{
			"drain-grace-us": 250000, "cold-from": 0.35, "warm-up-us": 4300000, "overload-factor": 4.0, "fall-us": 1000000,
			"ask-every-us": 10000000, "answer-slack-us": 20000,
		},
		"family-info": object{
			"decided-by": "single", "ayes-needed": 1, "back-votes": 1, "ballot-ttl-us": 6000000, "call-timeout-us": 1200000,
			"counted-by": "all", "counted-over-us": 4000000, "spare-tries": 2.0, "keys-stay": false, "guarded-stages": 0,
			"most-shares": []float64{0.06, 0.24, 0.6, 1}, "rings": []float64{0.05, 0.2, 0.5, 1},
		},
		"tariffs": object{"probe": 0.01},
	}
}

// fleetOfClients sends requests through the front: to the agent's address, each on a connection of its own, as long as
// the front takes the agent for alive.
type fleetOfClients struct {
	trial   *trial
	address string
	wait    sync.WaitGroup

	mu       sync.Mutex
	requests []*request
	count    int
	refused  int
}

// send draws one request and sends it. A refused connection is no request: the agent has taken nothing.
func (f *fleetOfClients) send(rng *rand.Rand) {
	p := drawProduct(rng, products)
	share := leastTry + (1-leastTry)*rng.Float64()
	f.mu.Lock()
	f.count++
	r := &request{id: fmt.Sprintf("r%06d", f.count), class: p.class, deadline: time.Duration(share * float64(p.expiry)).Truncate(time.Millisecond)}
	f.mu.Unlock()
	f.wait.Go(func() {
		conn, err := net.DialTimeout("tcp", f.address, time.Second)
		if err != nil {
			f.mu.Lock()
			f.refused++
			f.mu.Unlock()
			return
		}
		defer conn.Close()
		f.trial.note("client sends %s %s, waits %v", r.id, r.class.name, r.deadline)
		r.exchange(conn, bufio.NewReader(conn), r.deadline+answerSlack+2*limitSlack+100*time.Millisecond)
		f.mu.Lock()
		f.requests = append(f.requests, r)
		f.mu.Unlock()
		f.trial.note("client has %s: status %d, %v", r.id, r.status, r.err)
	})
}

// run sends requests at a rate until the time is over.
func (f *fleetOfClients) run(rng *rand.Rand, rate float64, for_ time.Duration) {
	for end := time.Now().Add(for_); time.Now().Before(end); {
		time.Sleep(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		f.send(rng)
	}
}

func runRestart(t *trial) int {
	w, err := t.newWorld(11, 30*time.Millisecond)
	if err != nil {
		return t.cannotRun("%v", err)
	}
	a, err := t.newAgent("n1")
	if err != nil {
		return t.cannotRun("%v", err)
	}
	settings := kartorSettings()
	if err := a.start(w.config(a, 1, settings)); err != nil {
		return t.cannotRun("%v", err)
	}
	if err := a.awaitReady(10 * time.Second); err != nil {
		return t.cannotRun("%v", err)
	}
	var kills []time.Time
	rng := rand.New(rand.NewPCG(38, 1))
	clients := &fleetOfClients{trial: t, address: a.address}
	const rate = 240
	for round := range rounds {
		clients.run(rng, rate, 2*time.Second)
		if !t.trouble {
			clients.run(rng, rate, noticed)
			continue
		}
		outageEnds := time.Now().Add(outage)
		w.setSilent(true)
		t.note("discovery is down")
		clients.run(rng, rate, 500*time.Millisecond)
		t.note("the agent is killed")
		a.kill()
		killed := time.Now()
		kills = append(kills, killed)
		restarted := make(chan error, 1)
		go func() {
			time.Sleep(downFor)
			t.note("the agent is started")
			restarted <- a.start(w.config(a, round+2, settings))
		}()
		clients.run(rng, rate, noticed-time.Since(killed))
		if err := <-restarted; err != nil {
			return t.cannotRun("%v", err)
		}
		if err := a.awaitReady(10 * time.Second); err != nil {
			return t.cannotRun("%v", err)
		}
		time.Sleep(time.Until(outageEnds))
		w.setSilent(false)
		t.note("discovery is back")
		time.Sleep(time.Second)
	}
	clients.wait.Wait()
	return judgeRestart(t, w, clients, kills)
}

// heldByKilled reports whether a request was sent shortly before a kill: it is no longer the agent's duty.
func heldByKilled(r *request, kills []time.Time) bool {
	return slices.ContainsFunc(kills, func(kill time.Time) bool {
		return r.sent.Before(kill) && kill.Sub(r.sent) < 3*time.Second
	})
}

// judgeRestart counts the requests that the agent took and lost.
func judgeRestart(t *trial, w *world, clients *fleetOfClients, kills []time.Time) int {
	attempts := w.attempts()
	taken, answered, cut, lost, overTold := 0, 0, 0, 0, 0
	for _, r := range clients.requests {
		if r.sent.IsZero() {
			continue
		}
		taken++
		for _, at := range attempts[r.id] {
			if left := r.sent.Add(r.deadline).Sub(at.at); at.told > left+deadlineTol {
				overTold++
				t.note("attempt of %s told the appliance %v, its client had %v left", r.id, at.told, left.Round(time.Millisecond))
			}
		}
		late := r.answered.Sub(r.sent) > r.deadline+answerSlack+limitSlack
		switch {
		case r.answered.IsZero() && !timedOut(r.err) && heldByKilled(r, kills):
			cut++
		case r.answered.IsZero() && !timedOut(r.err):
			lost++
			t.note("LOST %s %s: the connection ended without an answer (%v)", r.id, r.class.name, r.err)
		case r.answered.IsZero():
			lost++
			t.note("LOST %s %s: no answer %v after its time of %v; submissions %d", r.id, r.class.name,
				answerSlack+limitSlack, r.deadline, len(attempts[r.id]))
		case late:
			lost++
			t.note("LOST %s %s: answered after %v, its time was %v; submissions %d", r.id, r.class.name,
				r.answered.Sub(r.sent).Round(time.Millisecond), r.deadline, len(attempts[r.id]))
		default:
			answered++
		}
	}
	t.say("sent %d, answered in time %d, held by a killed process %d, lost %d; connections refused %d; submissions that told too long a time %d",
		taken, answered, cut, lost, clients.refused, overTold)
	if answered < 100 {
		return t.cannotRun("too few answers")
	}
	if lost > 0 {
		return broken
	}
	return held
}

func timedOut(err error) bool {
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}
