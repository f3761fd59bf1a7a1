package policy

import (
	"container/heap"
	"math/rand/v2"
)

func (a *Instance) armTimer() {
	a.timerToken++
	a.armedAt = a.timers[0].at
	a.port.SetTimer(max(a.armedAt-a.now, 0.001), a.timerToken)
}

func (a *Instance) schedule(at float64, t *request) { heap.Push(&a.timers, timer{at, t}) }

func (h timerQueue) Len() int           { return len(h) }
func (h timerQueue) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timerQueue) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *timerQueue) Push(x any)        { *h = append(*h, x.(timer)) }
func (h *timerQueue) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

type timerQueue []timer

type timer struct {
	at      float64
	request *request
}

func (g *mwc) Uint64() uint64 { return g.next()<<32 | g.next() }

func (g *mwc) next() uint64 {
	t := 4294957665*g.x + g.c
	g.x, g.c = t&0xffffffff, t>>32
	return g.x
}

// NewRand is a generator started from a seed.
func NewRand(seed uint64) *rand.Rand {
	return rand.New(&mwc{x: seed&0xffffffff | 1, c: seed >> 32 % 4294957664})
}

// mwc is a lag-1 multiply-with-carry generator.
type mwc struct{ x, c uint64 }

// rule is a condition and an effect that makes the condition false.
type rule struct {
	name  string
	when  func(*Instance) bool
	apply func(*Instance)
}

func (a *Instance) applyRules() {
	for i := 0; i < len(rules); i++ {
		if rules[i].when(a) {
			rules[i].apply(a)
			i = -1
		}
	}
}

func (a *Instance) timerFired() {
	if t := heap.Pop(&a.timers).(timer).request; t != nil && !t.ended {
		a.pending = append(a.pending, t)
	}
}

func (a *Instance) dropPending() { a.pending = a.pending[1:] }
