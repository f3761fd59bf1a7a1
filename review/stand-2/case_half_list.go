package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["half-list"] = playHalfList }

// playHalfList: discovery is down for 8 s. Meanwhile a build is released, so that all nodes of the earlier one drain and
// leave. At its return discovery tells the whole list, without them. Nothing new may reach them later than the grace after
// that.
func playHalfList(w *world) (broken int, err error) {
	const (
		earlier, later = 16, 14 // nodes of the earlier build, two of them switched on for a busy day, and of the later one
		grace          = 1000*time.Millisecond + 50*time.Millisecond
		length         = 40 * time.Second
	)
	sent := &attempts{}
	told := &toldAbsent{at: map[string]time.Time{}}
	var entries []entry
	for i := range earlier + later {
		b := &backend{world: w, id: fmt.Sprintf("node-%d", i+1)}
		b.onReply = func(b *backend, a attempt) reply {
			sent.add(a)
			return reply{status: 200, body: bodyFor(a.id), work: between(40*time.Millisecond, 90*time.Millisecond)}
		}
		if err := b.serve(); err != nil {
			return 0, err
		}
		build := 41
		if i >= earlier {
			build = 42
		}
		entries = append(entries, entry{ID: b.id, Addr: b.address(), Zone: "totoracocha", Kind: "full-node", State: "Ready", Weight: 1, Build: build})
	}
	// Discovery keeps the last 4 changes.
	world := &surroundings{world: w, fleet: newFleet(entries, 4), news: newsState{build: 42, stage: 2, mode: "stable", exposure: 1}}
	world.onTold = told.record
	for _, e := range entries[:earlier] {
		told.watch = append(told.watch, e.ID)
	}
	instances, err := world.startInstances(3, func(me int) map[string]any { return cuenca(me, 3) }, "[sources.subset]\nsize = 40\n")
	if err != nil {
		return 0, err
	}
	var background sync.WaitGroup
	background.Go(func() {
		time.Sleep(5 * time.Second)
		if w.trouble {
			for _, d := range world.discovery {
				d.setDown(true)
			}
		}
		time.Sleep(2 * time.Second)
		for _, state := range []string{"Terminating", "Gone"} {
			for _, e := range entries[:earlier] {
				e.State = state
				world.fleet.set(e)
				time.Sleep(100 * time.Millisecond)
			}
		}
		time.Sleep(6*time.Second - 2*earlier*100*time.Millisecond)
		if w.trouble {
			for _, d := range world.discovery {
				d.setDown(false)
			}
		}
	})
	all := world.sendTo(instances, 40, cuencaClasses, time.Now().Add(length))
	background.Wait()
	for _, a := range sent.list() {
		instance := a.id[1:3]
		if at, gone := told.when(instance, a.backend); gone && a.first.Sub(at) > grace {
			broken++
			w.note("BROKEN: %s reached %s at %.1f, %.0f ms after %s was told a whole list without it, or that it drains", a.id, a.backend,
				w.ms(a.first), float64(a.first.Sub(at))/1e6, instance)
		}
	}
	w.note("answers by status: %v", count(all))
	return broken, nil
}

// toldAbsent holds when each instance was first told that a backend drains or is gone: by a change, or by a whole list
// without it.
type toldAbsent struct {
	watch []string
	mu    sync.Mutex
	at    map[string]time.Time
}

func (t *toldAbsent) record(instance string, l list, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := map[string]string{}
	for _, e := range l.Servers {
		state[e.ID] = e.State
	}
	for _, id := range t.watch {
		key := instance + " " + id
		_, known := t.at[key]
		leaves := state[id] == "Terminating" || state[id] == "Gone" || l.Full && state[id] == ""
		if !known && leaves {
			t.at[key] = at
		}
	}
}

func (t *toldAbsent) when(instance, backend string) (at time.Time, gone bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	at, gone = t.at[instance+" "+backend]
	return at, gone
}
