package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stall-drain"] = playStallDrain }

// playStallDrain: two of three instances stand still for 460 to 930 ms every 2.2 to 3.6 s, for 40 s, while a release goes
// through the fleet: each node drains as soon as its successor runs. Nothing new may reach a node later than the grace after
// discovery has written to the instance that it drains.
func playStallDrain(w *world) (broken int, err error) {
	const (
		places   = 12
		together = 2                                          // nodes that are replaced at a time
		grace    = 250*time.Millisecond + 50*time.Millisecond // on sockets every time limit is 50 ms longer
		length   = 50 * time.Second
		stopped  = 2 // of the three instances
		stalls   = 40 * time.Second
	)
	sent := &attempts{}
	told := &toldDrains{at: map[string]time.Time{}}
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
	world.onTold = told.record
	instances, err := world.startInstances(3, kartor, "")
	if err != nil {
		return 0, err
	}
	end := time.Now().Add(length)
	replace := func() error {
		var changes []entry
		for range together {
			fresh, err := newNode()
			if err != nil {
				return err
			}
			old := nodes[0]
			nodes = append(nodes[1:], fresh)
			changes = append(changes, entryOf(fresh, "Ready", time.Now().UnixMilli()), entryOf(old, "Terminating", 0))
			time.AfterFunc(3*time.Second, func() { world.fleet.set(entryOf(old, "Gone", 0)) })
		}
		world.fleet.set(changes...)
		return nil
	}
	var background sync.WaitGroup
	for i, p := range instances {
		if i < stopped && w.trouble {
			background.Go(func() { w.stall(p, time.Now().Add(stalls)) })
		}
	}
	var replaceErr error
	background.Go(func() {
		for replaceErr == nil && time.Now().Add(5*time.Second).Before(end) {
			time.Sleep(between(1200*time.Millisecond, 1800*time.Millisecond))
			replaceErr = replace()
		}
	})
	all := world.sendTo(instances, 120, kartorClasses, end)
	background.Wait()
	if replaceErr != nil {
		return 0, replaceErr
	}
	for _, a := range sent.list() {
		instance := a.id[1:3]
		if at, drained := told.when(instance, a.backend); drained && a.first.Sub(at) > grace {
			broken++
			w.note("BROKEN: %s reached %s at %.1f, %.0f ms after %s was told that it drains (at %.1f)",
				a.id, a.backend, w.ms(a.first), float64(a.first.Sub(at))/1e6, instance, w.ms(at))
		}
	}
	w.note("answers by status: %v", count(all))
	return broken, nil
}

// stall stops an instance for 460 to 930 ms every 2.2 to 3.6 s.
func (w *world) stall(p *process, until time.Time) {
	for {
		length := between(460*time.Millisecond, 930*time.Millisecond)
		time.Sleep(between(2200*time.Millisecond, 3600*time.Millisecond) - length)
		if time.Now().Add(length).After(until) {
			return
		}
		w.note("%s stands still for %v", p.name, length.Round(time.Millisecond))
		_ = p.cmd.Process.Signal(syscall.SIGSTOP)
		time.Sleep(length)
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		w.note("%s goes on", p.name)
	}
}

// toldDrains holds when each instance was first told that a backend drains or is gone.
type toldDrains struct {
	mu sync.Mutex
	at map[string]time.Time
}

func (t *toldDrains) record(instance string, l list, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range l.Servers {
		key := instance + " " + e.ID
		if _, known := t.at[key]; !known && e.State != "Ready" {
			t.at[key] = at
		}
	}
}

func (t *toldDrains) when(instance, backend string) (at time.Time, drained bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	at, drained = t.at[instance+" "+backend]
	return at, drained
}
