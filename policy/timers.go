package policy

import "container/heap"

// minTimer (ms) is the shortest timer that is set: the host counts in microseconds.
const minTimerDelay = 0.001

// timer is a time at which a request comes back to the rules; without a request it only makes the rules run.
type timer struct {
	at      float64 // ms
	request *request
}

// timers is the queue of an instance's timers, of which the port has the next one.
type timers struct {
	queue   timerQueue
	armedAt float64 // ms, when the port's timer fires; infinite: none is set
	token   uint64  // of the port's last timer
}

// timerQueue is a heap of timers, the next first.
type timerQueue []timer

// Len is part of heap.Interface.
func (q timerQueue) Len() int { return len(q) }

// Less is part of heap.Interface.
func (q timerQueue) Less(i, j int) bool { return q[i].at < q[j].at }

// Swap is part of heap.Interface.
func (q timerQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push is part of heap.Interface.
func (q *timerQueue) Push(x any) { *q = append(*q, x.(timer)) }

// Pop is part of heap.Interface.
func (q *timerQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// schedule brings a request back to the rules at a time (ms).
func (inst *Instance) schedule(at float64, req *request) {
	heap.Push(&inst.timers.queue, timer{at, req})
}

func (inst *Instance) timerDue() bool {
	return len(inst.timers.queue) > 0 && inst.timers.queue[0].at <= inst.now
}

func (inst *Instance) fireTimer() {
	if req := heap.Pop(&inst.timers.queue).(timer).request; req != nil && !req.ended {
		inst.pending = append(inst.pending, req)
	}
}

// timerUnarmed: the port's timer would fire after the next one is due.
func (inst *Instance) timerNeedsArming() bool {
	return len(inst.timers.queue) > 0 && inst.timers.queue[0].at < inst.timers.armedAt
}

func (inst *Instance) armTimer() {
	inst.timers.token++
	inst.timers.armedAt = inst.timers.queue[0].at
	inst.port.SetTimer(max(inst.timers.armedAt-inst.now, minTimerDelay), inst.timers.token)
}
