package main

import (
	"fmt"
	"time"
)

func init() { cases["slow-discovery"] = playSlowDiscovery }

// playSlowDiscovery: discovery takes 0.8 s to answer a call. A backend drains. What discovery has counts as told 6 s later
// at the latest, and nothing new may reach the backend later than the grace after that.
func playSlowDiscovery(w *world) (broken int, err error) {
	const (
		places = 12
		answer = 800 * time.Millisecond
		// 6 s until the change counts as told, the grace, 50 ms for sockets, and 150 ms for which an instance may be held up
		allowed = 6*time.Second + 250*time.Millisecond + 50*time.Millisecond + 150*time.Millisecond
		length  = 30 * time.Second
	)
	sent := &attempts{}
	var entries []entry
	for i := range places {
		b := &backend{world: w, id: fmt.Sprintf("node-%d", i+1)}
		b.onReply = func(b *backend, a attempt) reply {
			sent.add(a)
			return reply{status: 200, body: bodyFor(a.id), work: between(25*time.Millisecond, 110*time.Millisecond)}
		}
		if err := b.serve(); err != nil {
			return 0, err
		}
		entries = append(entries, entry{ID: b.id, Addr: b.address(), Zone: "falun-hall", Kind: "k2-fast", State: "Ready", Weight: 1, Build: 41})
	}
	world := &surroundings{world: w, fleet: newFleet(entries, 100), news: newsState{build: 41, stage: 3, mode: "stable", exposure: 1}}
	if w.trouble {
		world.delay = answer
	}
	instances, err := world.startInstances(3, kartor, "")
	if err != nil {
		return 0, err
	}
	draining, drained := entries[3], make(chan time.Time, 1)
	draining.State = "Terminating"
	time.AfterFunc(5*time.Second, func() {
		world.fleet.set(draining)
		drained <- time.Now()
		w.note("%s drains", draining.ID)
	})
	all := world.sendTo(instances, 40, kartorClasses, time.Now().Add(length))
	drainedAt := <-drained
	for _, a := range sent.list() {
		if late := a.first.Sub(drainedAt); a.backend == draining.ID && late > allowed {
			broken++
			w.note("BROKEN: %s reached %s at %.1f, %.0f ms after discovery had its drain", a.id, a.backend, w.ms(a.first), float64(late)/1e6)
		}
	}
	w.note("answers by status: %v", count(all))
	return broken, nil
}
