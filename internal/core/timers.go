package core

import (
	"container/heap"
	"slices"
	"time"
)

// minTimerInterval is the minimum time between two wake-ups. With two timers per request, there would otherwise be up
// to ten thousand wake-ups a second, with only a few timers due each time.
const minTimerInterval = time.Millisecond

// minTimersToPrune is the number of timers from which on those of ended requests are removed from the queue. Clients choose
// how much time their requests have, up to a day: without pruning, ended requests would be held for as long.
const minTimersToPrune = 4096

// timer is a timer of the decisions (request and attempt are nil), the watchdog of a request, or the timeout of an
// attempt. One runtime timer serves all of them; it is set to the earliest.
type timer struct {
	at      float64 // ms
	token   uint64  // for a timer of the decisions
	request *Request
	attempt *Attempt
}

func (t timer) isInstanceTimer() bool { return t.request == nil && t.attempt == nil }

// isObsolete reports whether the timer will have no effect when it is due.
func (t timer) isObsolete() bool {
	switch {
	case t.attempt != nil:
		return t.attempt.ended
	case t.request != nil:
		return t.request.isDone()
	}
	return false
}

// timerQueue is a min-heap of timers ordered by time.
type timerQueue []timer

// Len implements heap.Interface.
func (q timerQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q timerQueue) Less(i, j int) bool { return q[i].at < q[j].at }

// Swap implements heap.Interface.
func (q timerQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *timerQueue) Push(x any) { *q = append(*q, x.(timer)) }

// Pop implements heap.Interface. It clears the vacated element so that the queue does not retain requests that have
// ended.
func (q *timerQueue) Pop() any {
	last := len(*q) - 1
	popped := (*q)[last]
	(*q)[last] = timer{}
	*q = (*q)[:last]
	return popped
}

// timerDue reports whether the earliest timer is due. The caller holds the lock.
func (c *Core) timerDue(now float64) bool { return len(c.timers) > 0 && c.timers[0].at <= now }

// timerFired runs the due timers: first those of the decisions, then the watchdogs and timeouts that follow them in the
// queue. Due timers of the decisions behind these run at the next wake-up. It is called by the runtime timer in its own
// goroutine.
func (c *Core) timerFired() {
	c.handleEvent("timer", func(now float64) {
		for c.timerDue(now) && c.timers[0].isInstanceTimer() {
			c.instance.OnTimer(now, heap.Pop(&c.timers).(timer).token)
		}
	})
	// Outside the event, so that watchdogs and timeouts still run if the event panics.
	for _, request := range c.expireAttempts() {
		request.watchdog()
	}
}

// expireAttempts times out the attempts that are due and reschedules the wake-up. It returns the requests whose
// watchdog is due. It stops at the first timer of the decisions.
func (c *Core) expireAttempts() (overdue []*Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Now()
	for c.timerDue(now) && !c.timers[0].isInstanceTimer() {
		fired := heap.Pop(&c.timers).(timer)
		if fired.attempt != nil {
			fired.attempt.expire()
		} else if !fired.request.isDone() {
			overdue = append(overdue, fired.request)
		}
	}
	c.rescheduleTimers(now)
	return overdue
}

// addTimer adds a timer and reschedules the wake-up if the timer is now the earliest. The caller holds the lock.
func (c *Core) addTimer(now float64, added timer) {
	if len(c.timers) >= max(c.pruneTimersAt, minTimersToPrune) {
		c.pruneTimers()
	}
	heap.Push(&c.timers, added)
	if c.timers[0] == added {
		c.rescheduleTimers(now)
	}
}

// pruneTimers removes the timers of ended requests and attempts. The next pruning follows when the queue has doubled, so that
// its cost for each timer is constant. The caller holds the lock.
func (c *Core) pruneTimers() {
	c.timers = slices.DeleteFunc(c.timers, timer.isObsolete) // clears the vacated elements
	heap.Init(&c.timers)
	c.pruneTimersAt = 2 * len(c.timers)
}

// rescheduleTimers sets the wake-up to the earliest timer. The caller holds the lock.
func (c *Core) rescheduleTimers(now float64) {
	if len(c.timers) == 0 {
		return
	}
	// One microsecond is added because a wake-up before the timer is due would find nothing to do.
	wait := time.Duration((c.timers[0].at-now)*1e6) + time.Microsecond
	c.wakeTimer.Reset(max(wait, minTimerInterval))
}
