package policy

import "container/heap"

func (inst *Instance) armTimer() {
	inst.timerToken++
	inst.armedAt = inst.timers[0].at
	inst.port.SetTimer(max(inst.armedAt-inst.now, 0.001), inst.timerToken)
}

func (inst *Instance) schedule(at float64, req *request) { heap.Push(&inst.timers, timer{at, req}) }

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

func (inst *Instance) timerFired() {
	if req := heap.Pop(&inst.timers).(timer).request; req != nil && !req.ended {
		inst.pending = append(inst.pending, req)
	}
}
