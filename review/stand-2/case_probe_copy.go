package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

func init() { cases["probe-copy"] = playProbeCopy }

// playProbeCopy: some good answers of the backends bring more than belongs to them: a second copy a few milliseconds
// later, if nothing else has arrived on the connection by then, or a load report that can't be read. Every client must get
// the answer that was made for its request, or an error.
func playProbeCopy(w *world) (broken int, err error) {
	const (
		backends  = 6
		copyShare = 0.20 // of the answers
		badReport = 0.10 // of the load reports
		length    = 60 * time.Second
	)
	extras := &tally{}
	secondCopy := func() time.Duration {
		if !w.trouble || rand.Float64() >= copyShare {
			return 0
		}
		extras.add("second copies due")
		return between(1*time.Millisecond, 5*time.Millisecond)
	}
	var entries []entry
	for i := range backends {
		b := &backend{world: w, id: fmt.Sprintf("node-%d", i+1)}
		report := &loadReport{}
		b.onReply = func(b *backend, a attempt) reply {
			report.count()
			return reply{status: 200, body: bodyFor(a.id), work: between(20*time.Millisecond, 40*time.Millisecond), copyAfter: secondCopy()}
		}
		b.onProbe = func(b *backend) reply {
			text := report.text()
			if w.trouble && rand.Float64() < badReport {
				extras.add("unreadable load reports")
				text = "qps=?" + text
			}
			return reply{status: 200, body: text, copyAfter: secondCopy()}
		}
		if err := b.serve(); err != nil {
			return 0, err
		}
		zone, way := "totoracocha", 300*time.Microsecond // one way between the instances and the backend
		if i%2 == 1 {
			zone, way = "el-ejido", 1300*time.Microsecond
		}
		proxy, err := delayProxy(b.address(), way)
		if err != nil {
			return 0, err
		}
		entries = append(entries, entry{ID: b.id, Addr: proxy.Addr().String(), Zone: zone, Kind: "full-node", State: "Ready", Weight: 1, Build: 41})
	}
	world := &surroundings{world: w, fleet: newFleet(entries, 100), news: newsState{build: 41, stage: 2, mode: "stable", exposure: 1}}
	settings := func(me int) map[string]any { return cuenca(me, 26) }
	instances, err := world.startInstances(3, settings, "")
	if err != nil {
		return 0, err
	}
	all := world.sendTo(instances, 80, cuencaClasses, time.Now().Add(length))
	for _, a := range all {
		if a.status == 200 && a.body != bodyFor(a.id) {
			broken++
			w.note("BROKEN: %s (%s) was answered 200 with %q, want %q", a.id, a.class, a.body, bodyFor(a.id))
		}
	}
	w.note("answers by status: %v; %v", count(all), extras.all())
	return broken, nil
}

// loadReport is the load of one backend as it is reported: figures that are refreshed every 140 to 770 ms.
type loadReport struct {
	mu        sync.Mutex
	requests  int
	since     time.Time
	refreshed time.Time
	current   string
}

func (l *loadReport) count() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests++
}

func (l *loadReport) text() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); now.After(l.refreshed) {
		rate := 0.0
		if !l.since.IsZero() {
			rate = float64(l.requests) / now.Sub(l.since).Seconds()
		}
		l.current, l.requests, l.since = fmt.Sprintf("qps=%.1f", rate), 0, now
		l.refreshed = now.Add(between(140*time.Millisecond, 770*time.Millisecond))
	}
	return l.current
}

// tally counts things by name.
type tally struct {
	mu sync.Mutex
	n  map[string]int
}

func (t *tally) add(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.n == nil {
		t.n = map[string]int{}
	}
	t.n[name]++
}

func (t *tally) all() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.n
}
