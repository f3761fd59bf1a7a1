package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

func init() { cases["srv-group"] = playSRVGroup }

// playSRVGroup: the boxes drop repeats within their cell, and new boxes of another cell are named by SRV before the box list
// has them. A share of the answers is lost: the work runs and the connection is reset. A referenced txn that may have run
// may go to boxes of the same cell only.
func playSRVGroup(w *world) (broken int, err error) {
	const (
		lostShare = 0.30 // of the answers of 7 of the 9 boxes
		length    = 39 * time.Second
	)
	sent := &attempts{}
	cell := map[string]int{}
	names := &nameServer{}
	if err := names.serve(); err != nil {
		return 0, err
	}
	var entries []entry
	for i := range 9 {
		b := &backend{world: w, id: fmt.Sprintf("box-%d", i+1)}
		cell[b.id] = i / 3
		b.onReply = func(b *backend, a attempt) reply {
			sent.add(a)
			answer := reply{status: 200, body: bodyFor(a.id), work: between(25*time.Millisecond, 60*time.Millisecond)}
			if loses := i < 2 || i >= 4; w.trouble && loses && rand.Float64() < lostShare {
				answer.status = 0
			}
			return answer
		}
		if err := b.serve(); err != nil {
			return 0, err
		}
		names.name(b.address())
		if listed := i < 6; listed {
			entries = append(entries, entry{ID: b.id, Addr: b.address(), Zone: "lhr-dc1", Kind: "three-core", Cell: cell[b.id], State: "Ready", Weight: 1, Build: 41})
		}
	}
	world := &surroundings{world: w, fleet: newFleet(entries, 100), news: newsState{build: 41, stage: 4, mode: "stable", exposure: 1}}
	settings := func(me int) map[string]any {
		s := lahore(me, 3)
		s["grades"].([]any)[2].(map[string]any)["key-scope"] = "cell"
		return s
	}
	own := fmt.Sprintf("[sources.dns]\nname = %q\nservers = [%q]\n", srvName, names.address())
	instances, err := world.startInstances(3, settings, own)
	if err != nil {
		return 0, err
	}
	all := world.sendTo(instances, 60, lahoreClasses, time.Now().Add(length))
	byID := map[string][]attempt{}
	for _, a := range sent.list() {
		if a.key == "" {
			continue
		}
		for _, earlier := range byID[a.id] {
			if cell[earlier.backend] != cell[a.backend] {
				broken++
				w.note("BROKEN: %s, mark %s, ran at %s (cell %d) at %.1f and at %s (cell %d) at %.1f", a.id, a.key,
					earlier.backend, cell[earlier.backend], w.ms(earlier.last), a.backend, cell[a.backend], w.ms(a.last))
				break
			}
		}
		byID[a.id] = append(byID[a.id], a)
	}
	w.note("answers by status: %v", count(all))
	return broken, nil
}
