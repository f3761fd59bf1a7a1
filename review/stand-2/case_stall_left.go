package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["stall-left"] = playStallLeft }

// playStallLeft: two of three instances stand still for 460 to 930 ms every 2.2 to 3.6 s, for 35 s. Some clients leave before
// their time. No submission may begin later than 0.1 s, and 50 ms for sockets, after the client has closed its connection.
func playStallLeft(w *world) (broken int, err error) {
	const (
		places  = 14
		bound   = 100*time.Millisecond + 50*time.Millisecond
		length  = 35 * time.Second // of the stalls and of the leaving: stalls may last 40 s, leaving 35 s
		stopped = 2                // of the three instances
	)
	sent := &attempts{}
	var entries []entry
	for i := range places {
		b := &backend{world: w, id: fmt.Sprintf("node-%d", i+1)}
		b.onReply = func(b *backend, a attempt) reply {
			sent.add(a)
			return reply{status: 200, body: bodyFor(a.id), work: between(50*time.Millisecond, 110*time.Millisecond)}
		}
		if err := b.serve(); err != nil {
			return 0, err
		}
		entries = append(entries, entry{ID: b.id, Addr: b.address(), Zone: "totoracocha", Kind: "full-node", State: "Ready", Weight: 1, Build: 41})
	}
	world := &surroundings{world: w, fleet: newFleet(entries, 100), news: newsState{build: 41, stage: 2, mode: "stable", exposure: 1}}
	instances, err := world.startInstances(3, func(me int) map[string]any { return cuenca(me, 3) }, "")
	if err != nil {
		return 0, err
	}
	var background sync.WaitGroup
	for i, p := range instances {
		if i < stopped && w.trouble {
			background.Go(func() { w.stall(p, time.Now().Add(length)) })
		}
	}
	var leaving []class
	for _, c := range cuencaClasses {
		aim := 800 * time.Millisecond
		if c.name == "advance-order" {
			aim = 1000 * time.Millisecond
		}
		c.leaves, c.leaveFrom, c.leaveTo = 0.8, aim*33/100, aim*80/100
		leaving = append(leaving, c)
	}
	all := world.sendTo(instances, 150, leaving, time.Now().Add(length))
	background.Wait()
	left := map[string]time.Time{}
	for _, a := range all {
		if !a.left.IsZero() {
			left[a.id] = a.left
		}
	}
	runs := map[string]int{}
	for _, a := range sent.list() {
		runs[a.id]++
		if at, gone := left[a.id]; gone && a.first.Sub(at) > bound {
			broken++
			w.note("BROKEN: submission %d of %s began at %s at %.1f, %.0f ms after its client had closed (at %.1f)",
				runs[a.id], a.id, a.backend, w.ms(a.first), float64(a.first.Sub(at))/1e6, w.ms(at))
		}
	}
	w.note("answers by status: %v; clients that left: %d", count(all), len(left))
	return broken, nil
}
