package core

// This file owns the timers: those of the decisions, the watchdog of each request and the timeout of an attempt. One timer of
// the runtime serves them all and is set to the earliest.

import (
	"container/heap"
	"time"
)

// minTimerInterval is the least time between two wake-ups. Two timers for each request would else wake the process ten thousand
// times a second, for a few of them at a time.
const minTimerInterval = time.Millisecond

// timer is one of three: a timer of the decisions (request and attempt are nil), the watchdog of a request, or the timeout of an
// attempt.
type timer struct {
	at      float64 // ms
	token   uint64  // of the decisions' timer
	request *Request
	attempt *Attempt
}

func (t timer) isInstanceTimer() bool { return t.request == nil && t.attempt == nil }

// timerQueue is a heap (container/heap): the earliest timer is the first.
type timerQueue []timer

// Len is part of heap.Interface.
func (q timerQueue) Len() int { return len(q) }

// Less is part of heap.Interface.
func (q timerQueue) Less(i, j int) bool { return q[i].at < q[j].at }

// Swap is part of heap.Interface.
func (q timerQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push is part of heap.Interface.
func (q *timerQueue) Push(x any) { *q = append(*q, x.(timer)) }

// Pop is part of heap.Interface. The place that falls free is cleared, so that the queue holds no request that has ended.
func (q *timerQueue) Pop() any {
	last := len(*q) - 1
	popped := (*q)[last]
	(*q)[last] = timer{}
	*q = (*q)[:last]
	return popped
}

// due tells that the earliest timer has come; under the lock.
func (c *Core) timerDue(now float64) bool { return len(c.timers) > 0 && c.timers[0].at <= now }

// timerFired runs what is due, in a goroutine of the runtime's timer.
func (c *Core) timerFired() {
	c.handleEvent("timer", func(now float64) {
		for c.timerDue(now) && c.timers[0].isInstanceTimer() {
			c.instance.OnTimer(now, heap.Pop(&c.timers).(timer).token)
		}
	})
	// Apart from the event: if that fails, the watchdogs and timeouts still run.
	for _, request := range c.expireAttempts() {
		request.watchdog()
	}
}

// expireAttempts ends the attempts whose time is up and sets the wake-up anew. It returns the requests whose watchdog is due.
func (c *Core) expireAttempts() (overdue []*Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Now()
	for c.timerDue(now) && !c.timers[0].isInstanceTimer() {
		fired := heap.Pop(&c.timers).(timer)
		if fired.attempt != nil {
			fired.attempt.expire()
		} else if !fired.request.ended || fired.request.openAttempts > 0 {
			overdue = append(overdue, fired.request)
		}
	}
	c.rescheduleTimers(now)
	return overdue
}

// addTimer adds a timer and, where it is now the earliest, sets the wake-up anew; under the lock.
func (c *Core) addTimer(now float64, added timer) {
	heap.Push(&c.timers, added)
	if c.timers[0] == added {
		c.rescheduleTimers(now)
	}
}

// rescheduleTimers sets the wake-up to the earliest timer; under the lock.
func (c *Core) rescheduleTimers(now float64) {
	if len(c.timers) == 0 {
		return
	}
	// A microsecond more, for a wake-up before the time would find nothing due.
	wait := time.Duration((c.timers[0].at-now)*1e6) + time.Microsecond
	c.wakeTimer.Reset(max(wait, minTimerInterval))
}
