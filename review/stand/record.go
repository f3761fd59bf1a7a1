package main

// Case: agents with a store of record are killed while they answer requests with little time left.

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	recordRounds = 30
	recordRate   = 200.0 // requests a second
	shortShare   = 0.1   // of the requests are last tries, with little time left
	crowd        = 20
)

func lahoreSettings() object {
	return object{
		"me": 0, "balancers": 3, "zone": 0, "dcs": zones, "skus": []string{"k"},
		"discovery": "automatic", "report": object{"source": "none", "fields": []string{}},
		"grades": []object{
			{"name": "page-preview", "aim-us": 1500000, "deadline-us": 6000000, "worth": 2.0, "late-value": 0.0, "effect": "repeatable", "key-scope": "all", "key-ttl-us": 5000000},
			{"name": "layout-save", "aim-us": 1200000, "deadline-us": 5000000, "worth": 3.0, "late-value": 0.0, "effect": "repeatable", "key-scope": "all", "key-ttl-us": 5000000},
			{"name": "pdf-export", "aim-us": 1200000, "deadline-us": 5000000, "worth": 3.0, "late-value": 0.2, "effect": "by_key", "key-scope": "all", "key-ttl-us": 10000000},
		},
		"limits": object{
			"max-attempts": 5, "parallel-tries": true, "cancel": true, "probes": true, "peers": false, "retry-after": false,
			"max-retry-after-us": 2000000, "connect-timeout-us": 250000, "idle-close-us": 30000000, "max-open": 26997,
		},
		"contract": object{
			"drain-grace-us": 2000000, "cold-from": 0.32, "warm-up-us": 4900000, "overload-factor": 3.0, "fall-us": 3000000,
			"ask-every-us": 10000000, "answer-slack-us": 20000,
		},
		"family-info": object{
			"decided-by": "majority", "ayes-needed": 2, "back-votes": 1, "ballot-ttl-us": 10000000, "call-timeout-us": 800000,
			"counted-by": "per_lane", "counted-over-us": 3000000, "spare-tries": 2.0, "keys-stay": true, "guarded-stages": 0,
			"most-shares": []float64{0.08, 0.2, 0.5, 1, 1}, "rings": []float64{0.04, 0.1, 0.25, 0.55, 1},
		},
		"tariffs": object{"probe": 0.01},
	}
}

var renderProducts = []class{{"page-preview", "repeatable"}, {"layout-save", "repeatable"}, {"pdf-export", "by_key"}}

// connections is a client's pool of kept connections.
type connections struct {
	mu   sync.Mutex
	idle []*kept
}

type kept struct {
	net.Conn
	reader *bufio.Reader
	since  time.Time
}

// take returns a kept connection or opens one.
func (c *connections) take(address string) (*kept, error) {
	conn, _, err := c.takeOrDial(address)
	return conn, err
}

// takeOrDial is take that reports whether the connection was kept.
func (c *connections) takeOrDial(address string) (conn *kept, reused bool, err error) {
	c.mu.Lock()
	for len(c.idle) > 0 {
		last := c.idle[len(c.idle)-1]
		c.idle = c.idle[:len(c.idle)-1]
		if time.Since(last.since) < time.Second {
			c.mu.Unlock()
			return last, true, nil
		}
		last.Close()
	}
	c.mu.Unlock()
	conn, err = dialKept(address)
	return conn, false, err
}

func dialKept(address string) (*kept, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &kept{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

func (c *connections) put(k *kept) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k.since = time.Now()
	c.idle = append(c.idle, k)
}

// closeAll closes the idle connections, as their process has ended.
func (c *connections) closeAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range c.idle {
		k.Close()
	}
	c.idle = nil
}

func runRecord(t *trial) int {
	w, err := t.newWorld(8, 20*time.Millisecond)
	if err != nil {
		return t.cannotRun("%v", err)
	}
	settingsPath := filepath.Join(t.dir, "settings.toml")
	settings := fmt.Sprintf("[record]\nmode = \"spool\"\ndirectory = %q\n[record.store]\nkind = \"sqlite\"\npath = %q\n",
		filepath.Join(t.dir, "spool"), filepath.Join(t.dir, "record.db"))
	if err := os.WriteFile(settingsPath, []byte(settings), 0o600); err != nil {
		return t.cannotRun("%v", err)
	}
	a, err := t.newAgent("n1", "ONYXGATE_SETTINGS="+settingsPath)
	if err != nil {
		return t.cannotRun("%v", err)
	}
	rng := rand.New(rand.NewPCG(38, 2))
	var (
		pool     connections
		mu       sync.Mutex
		requests []*request
		wait     sync.WaitGroup
	)
	for round := range recordRounds {
		if err := a.start(w.config(a, round+1, lahoreSettings())); err != nil {
			return t.cannotRun("%v", err)
		}
		if err := a.awaitReady(10 * time.Second); err != nil {
			return t.cannotRun("%v", err)
		}
		for end := time.Now().Add(time.Duration(600+rng.IntN(800)) * time.Millisecond); time.Now().Before(end); {
			time.Sleep(time.Duration(rng.ExpFloat64() / recordRate * float64(time.Second)))
			r := &request{id: fmt.Sprintf("x%06d", len(requests)+1), class: renderProducts[rng.IntN(3)], deadline: 3 * time.Second}
			if rng.Float64() < shortShare {
				r.deadline = time.Duration(1+rng.IntN(6)) * time.Millisecond
			}
			mu.Lock()
			requests = append(requests, r)
			mu.Unlock()
			wait.Go(func() {
				conn, err := pool.take(a.address)
				if err != nil {
					r.err = err
					return
				}
				r.exchange(conn, conn.reader, r.deadline+time.Second)
				if r.err != nil {
					conn.Close()
					return
				}
				pool.put(conn)
			})
		}
		// The last tries of a crowd come at once; the kill comes while they are answered.
		after := 3 + rng.IntN(crowd-5)
		answers := make(chan bool, crowd)
		for range crowd {
			r := &request{id: fmt.Sprintf("x%06d", len(requests)+1), class: renderProducts[rng.IntN(3)], deadline: time.Duration(2+rng.IntN(5)) * time.Millisecond}
			requests = append(requests, r)
			wait.Go(func() {
				defer func() { answers <- true }()
				conn, err := pool.take(a.address)
				if err != nil {
					r.err = err
					return
				}
				r.exchange(conn, conn.reader, r.deadline+time.Second)
				if r.err != nil {
					conn.Close()
					return
				}
				pool.put(conn)
			})
		}
		for range after {
			<-answers
		}
		if t.trouble {
			a.kill()
			t.note("round %d: the agent was killed", round)
		} else {
			wait.Wait()
			a.signal(syscall.SIGTERM)
			pool.closeAll()
			<-a.exited
			t.note("round %d: the agent has ended", round)
		}
		wait.Wait()
		pool.closeAll()
	}
	return judgeRecord(t, a, settingsPath, requests)
}

// judgeRecord compares what clients received with the record.
func judgeRecord(t *trial, a *agent, settingsPath string, requests []*request) int {
	program := filepath.Join(t.root, "bin", "onyxgate")
	if out, err := exec.Command(program, "record", "ship", "--settings", settingsPath, "--agent", a.name).CombinedOutput(); err != nil {
		return t.cannotRun("record ship: %v: %s", err, out)
	}
	out, err := exec.Command(program, "record", "export", "--settings", settingsPath).Output()
	if err != nil {
		return t.cannotRun("record export: %v", err)
	}
	entries := map[string]int{}
	for line := range strings.SplitSeq(strings.TrimSpace(string(out)), "\n") {
		var row struct {
			Txn string `json:"txn"`
		}
		if err := json.Unmarshal([]byte(line), &row); err != nil || row.Txn == "" {
			return t.cannotRun("a line of the record can't be read: %s", line)
		}
		entries[row.Txn]++
	}
	answered, short, missing, double := 0, 0, 0, 0
	for _, r := range requests {
		t.note("%s %s, waits %v: status %d, %v; entries in the record %d", r.id, r.class.name, r.deadline, r.status, r.err, entries[r.id])
		if r.answered.IsZero() {
			continue
		}
		answered++
		if r.deadline < 20*time.Millisecond {
			short++
		}
		switch n := entries[r.id]; {
		case n == 0:
			missing++
			t.note("MISSING %s %s: the client received status %d and waited %v; the record has no entry", r.id, r.class.name, r.status, r.deadline)
		case n > 1:
			double++
			t.note("DOUBLE %s: %d entries", r.id, n)
		}
	}
	t.say("requests %d, answers received %d (%d of them with little time left), entries %d, missing %d, more than once %d",
		len(requests), answered, short, len(entries), missing, double)
	if answered < 500 {
		return t.cannotRun("too few answers")
	}
	if missing+double > 0 {
		return broken
	}
	return held
}
