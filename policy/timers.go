package policy

import (
	"container/heap"
	"slices"
)

// minTimerDelay (ms) is the shortest delay passed to SetTimer, because the host counts in microseconds.
const minTimerDelay = 0.001

// minTimersToPrune is the number of timers from which on those of ended requests are removed from the queue. Clients choose
// how much time their requests have: without pruning, ended requests would be held for as long.
const minTimersToPrune = 4096

// timer is a time at which a request becomes pending again. A timer without a request only causes the rules to be
// applied.
type timer struct {
	at      float64 // ms
	request *request
}

// timers holds the instance's timers. The port is given only the next one.
type timers struct {
	queue   timerQueue
	pruneAt int     // length of queue at which the obsolete timers are removed
	armedAt float64 // ms, when the port's timer expires; infinite: none is set
	token   uint64  // of the last timer set through the port
}

// timerQueue is a heap of timers ordered by time.
type timerQueue []timer

// Len implements heap.Interface.
func (q timerQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q timerQueue) Less(i, j int) bool { return q[i].at < q[j].at }

// Swap implements heap.Interface.
func (q timerQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *timerQueue) Push(x any) { *q = append(*q, x.(timer)) }

// Pop implements heap.Interface.
func (q *timerQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = timer{} // so that the queue does not retain the request
	*q = old[:len(old)-1]
	return last
}

// schedule makes a request pending again at the given time (ms). If req is nil, the rules are only applied.
func (inst *Instance) schedule(at float64, req *request) {
	if len(inst.timers.queue) >= max(inst.timers.pruneAt, minTimersToPrune) {
		inst.timers.prune()
	}
	heap.Push(&inst.timers.queue, timer{at, req})
}

// prune removes the timers of ended requests, which have no effect. The next pruning follows when the queue has doubled, so
// that its cost for each timer is constant.
func (t *timers) prune() {
	t.queue = slices.DeleteFunc(t.queue, func(next timer) bool { return next.request != nil && next.request.ended })
	heap.Init(&t.queue)
	t.pruneAt = 2 * len(t.queue)
}

func (inst *Instance) timerDue() bool {
	return len(inst.timers.queue) > 0 && inst.timers.queue[0].at <= inst.now
}

func (inst *Instance) fireTimer() {
	if req := heap.Pop(&inst.timers.queue).(timer).request; req != nil && !req.ended {
		inst.pending = append(inst.pending, req)
	}
}

// timerNeedsArming reports whether the port's timer would expire after the next timer of the queue.
func (inst *Instance) timerNeedsArming() bool {
	return len(inst.timers.queue) > 0 && inst.timers.queue[0].at < inst.timers.armedAt
}

func (inst *Instance) armTimer() {
	inst.timers.token++
	inst.timers.armedAt = inst.timers.queue[0].at
	inst.port.SetTimer(max(inst.timers.armedAt-inst.now, minTimerDelay), inst.timers.token)
}
