package main

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

func init() { cases["slow-discovery"] = playSlowDiscovery }

// playSlowDiscovery: discovery takes 0.8 s to answer a call, while a release goes through the fleet: each node drains as soon
// as its successor runs, and ends 3 s later. What discovery has counts as told 6 s later at the latest: nothing new may reach
// a draining node later than the grace after that, and at most one instance in ten may reject all that it gets for 4 s.
func playSlowDiscovery(w *world) (broken int, err error) {
	const (
		places = 12
		answer = 800 * time.Millisecond
		// 6 s until the change counts as told, the grace, 50 ms for sockets, and 150 ms for which an instance may be held up
		allowed = 6*time.Second + 250*time.Millisecond + 50*time.Millisecond + 150*time.Millisecond
		linger  = 10 * time.Second // from the drain to the end of a node
		length  = 45 * time.Second
	)
	sent := &attempts{}
	started := 0
	newNode := func() (*backend, error) {
		started++
		b := &backend{world: w, id: fmt.Sprintf("node-%d", started)}
		b.onReply = func(b *backend, a attempt) reply {
			sent.add(a)
			return reply{status: 200, body: bodyFor(a.id), work: between(25*time.Millisecond, 110*time.Millisecond)}
		}
		return b, b.serve()
	}
	entryOf := func(b *backend, state string, startedMs int64) entry {
		return entry{ID: b.id, Addr: b.address(), Zone: "falun-hall", Kind: "k2-fast", State: state, Weight: 1, Started: startedMs, Build: 41}
	}
	var nodes []*backend
	var entries []entry
	for range places {
		b, err := newNode()
		if err != nil {
			return 0, err
		}
		nodes, entries = append(nodes, b), append(entries, entryOf(b, "Ready", 0))
	}
	world := &surroundings{world: w, fleet: newFleet(entries, 100), news: newsState{build: 41, stage: 3, mode: "stable", exposure: 1}}
	if w.trouble {
		world.delay = answer
	}
	instances, err := world.startInstances(3, kartor, "")
	if err != nil {
		return 0, err
	}
	drained := map[string]time.Time{}
	var background sync.WaitGroup
	var replaceErr error
	background.Go(func() {
		time.Sleep(5 * time.Second)
		for _, old := range nodes {
			fresh, err := newNode()
			if err != nil {
				replaceErr = err
				return
			}
			world.fleet.set(entryOf(fresh, "Ready", time.Now().UnixMilli()), entryOf(old, "Terminating", 0))
			drained[old.id] = time.Now()
			w.note("%s drains, %s runs", old.id, fresh.id)
			time.AfterFunc(linger, func() {
				world.fleet.set(entryOf(old, "Gone", 0))
				old.stop()
			})
			time.Sleep(700 * time.Millisecond)
		}
	})
	all := world.sendTo(instances, 40, kartorClasses, time.Now().Add(length))
	background.Wait()
	if replaceErr != nil {
		return 0, replaceErr
	}
	w.mu.Lock()
	w.served = w.asked // here an instance that serves next to nothing is a result
	w.mu.Unlock()
	arrived := map[string][]time.Time{} // by instance
	for _, a := range sent.list() {
		instance := a.id[1:3]
		arrived[instance] = append(arrived[instance], a.first)
		if at, ok := drained[a.backend]; ok && a.first.Sub(at) > allowed {
			broken++
			w.note("BROKEN: %s reached %s at %.1f, %.0f ms after discovery had its drain", a.id, a.backend, w.ms(a.first), float64(a.first.Sub(at))/1e6)
		}
	}
	silent := 0
	for _, p := range instances {
		if from, to, n := longestRejection(p.name, all, arrived[p.name]); n >= 15 && to.Sub(from) >= 4*time.Second {
			silent++
			w.note("%s rejected all %d requests from %.1f to %.1f and made no attempt", p.name, n, w.ms(from), w.ms(to))
		}
	}
	if 10*silent > len(instances) {
		broken += silent
		w.note("BROKEN: %d of %d instances rejected all for 4 s or longer", silent, len(instances))
	}
	w.note("answers by status: %v", count(all))
	return broken, nil
}

// longestRejection returns the longest time in which an instance rejected all that it got, with no attempt in between, and
// the number of these requests.
func longestRejection(instance string, all []answer, attempts []time.Time) (from, to time.Time, n int) {
	var own []answer
	for _, a := range all {
		if a.id[1:3] == instance {
			own = append(own, a)
		}
	}
	slices.SortFunc(own, func(a, b answer) int { return a.ended.Compare(b.ended) })
	start := 0
	for i, a := range own {
		rejected := a.status == 503 || a.status == 429
		between := slices.ContainsFunc(attempts, func(t time.Time) bool { return t.After(own[start].ended) && !t.After(a.ended) })
		if !rejected || between {
			start = i + 1
			continue
		}
		if from.IsZero() || a.ended.Sub(own[start].ended) > to.Sub(from) {
			from, to, n = own[start].ended, a.ended, i-start+1
		}
	}
	return from, to, n
}
