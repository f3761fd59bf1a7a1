package policy

import (
	"container/heap"
	"math/rand/v2"
)

func (a *Instance) arm() {
	a.token++
	a.armed = a.alarms[0].at
	a.port.SetTimer(max(a.armed-a.now, 0.001), a.token)
}

func (a *Instance) look(at float64, t *txn) { heap.Push(&a.alarms, alarm{at, t}) }

func (h alarms) Len() int           { return len(h) }
func (h alarms) Less(i, j int) bool { return h[i].at < h[j].at }
func (h alarms) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *alarms) Push(x any)        { *h = append(*h, x.(alarm)) }
func (h *alarms) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

type alarms []alarm

type alarm struct {
	at float64
	t  *txn
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
	name string
	when func(*Instance) bool
	do   func(*Instance)
}

func (a *Instance) settle() {
	for i := 0; i < len(rules); i++ {
		if rules[i].when(a) {
			rules[i].do(a)
			i = -1
		}
	}
}

func (a *Instance) ring() {
	if t := heap.Pop(&a.alarms).(alarm).t; t != nil && !t.ended {
		a.todo = append(a.todo, t)
	}
}

func (a *Instance) next() { a.todo = a.todo[1:] }
