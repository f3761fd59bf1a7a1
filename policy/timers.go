package policy

import "container/heap"

func (a *Instance) armTimer() {
	a.timerToken++
	a.armedAt = a.timers[0].at
	a.port.SetTimer(max(a.armedAt-a.now, 0.001), a.timerToken)
}

func (a *Instance) schedule(at float64, t *request) { heap.Push(&a.timers, timer{at, t}) }

func (h timerQueue) Len() int { return len(h) }

func (h timerQueue) Less(i, j int) bool { return h[i].at < h[j].at }

func (h timerQueue) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *timerQueue) Push(x any) { *h = append(*h, x.(timer)) }

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

func (a *Instance) timerFired() {
	if t := heap.Pop(&a.timers).(timer).request; t != nil && !t.ended {
		a.pending = append(a.pending, t)
	}
}
