package core

// This file owns one attempt of a request: whether it may still be sent, what interrupts it, how it ended.

import (
	"onyxgate/internal/invariant"
	"onyxgate/policy"
)

// Canceler is a call under way. Cancel interrupts it without waiting for its end; it is called under the lock of Core.
type Canceler interface{ Cancel() }

// Attempt is one try of a request at one backend. The goroutine that carries it out calls SetCanceler and MarkSent as the call
// goes on, and Finish exactly once at its end.
type Attempt struct {
	// Backend, Release (as listed when the attempt was decided) and Deadline (ms) never change.
	Backend  string
	Release  policy.ReleaseID
	Deadline float64

	request   *Request
	number    int
	startedAt float64 // ms

	// What follows is guarded by the lock of Core.

	ended    bool
	canceled bool // by the decisions, or before it was sent since its client has gone
	timedOut bool // its time is up
	sent     bool // its bytes may be on their way
	canceler Canceler
}

// RequestID is the ID of the request that it belongs to.
func (a *Attempt) RequestID() string { return a.request.ID }

// Number counts a request's attempts from 0.
func (a *Attempt) Number() int { return a.number }

// Elapsed is how long (ms) ago the attempt was decided.
func (a *Attempt) Elapsed() float64 { return a.request.core.Now() - a.startedAt }

// SetCanceler names what is to be interrupted when the attempt is canceled or its time is up; nil: nothing any more. It tells
// whether it is canceled or timed out already: what is set is not interrupted then, and the caller ends the call itself.
func (a *Attempt) SetCanceler(canceler Canceler) (canceled, timedOut bool) {
	c := a.request.core
	c.mu.Lock()
	defer c.mu.Unlock()
	a.canceler = canceler
	return a.canceled, a.timedOut
}

// MarkSent is SetCanceler for the moment just before the call's bytes go out. Where it returns false twice, the attempt counts as
// sent and the bytes must go; else they must not. The decisions are asked once more: what they chose before the connection came up
// may not hold any longer.
func (a *Attempt) MarkSent(canceler Canceler) (canceled, timedOut bool) {
	c := a.request.core
	c.mu.Lock()
	defer c.mu.Unlock()
	if !a.canceled && !a.timedOut && !c.instance.MaySend(a.request.ID, a.number) {
		a.canceled = true
		c.counts.AttemptsWithheld++
	}
	if a.canceled || a.timedOut {
		a.canceler = nil
	} else {
		a.canceler, a.sent = canceler, true
	}
	return a.canceled, a.timedOut
}

// cancel calls the attempt off and interrupts it; under the lock.
func (a *Attempt) cancel() {
	a.canceled = true
	a.interrupt()
}

// expire ends an attempt whose time is up, unless it has ended or is canceled; under the lock.
func (a *Attempt) expire() {
	if !a.ended && !a.canceled {
		a.timedOut = true
		a.interrupt()
	}
}

// interrupt stops the call that is under way, if there is one; under the lock.
func (a *Attempt) interrupt() {
	if a.canceler != nil {
		a.canceler.Cancel()
	}
}

// Finish tells how an attempt ended: with policy.StatusServed and the answer, or with another status and an answer that is passed
// over. The first served attempt's answer goes to the client. Finish is called once for each attempt, from any goroutine; a second
// call is counted as a violated invariant and changes nothing.
func (a *Attempt) Finish(status policy.AttemptStatus, response Response, load policy.LoadReport) {
	r, c := a.request, a.request.core
	c.handleEvent("attempt result", func(now float64) {
		if !invariant.Check(!a.ended, "one result for each attempt", r.ID, a.number) {
			return
		}
		a.ended = true
		if r.current == a {
			r.current = nil
		}
		r.openAttempts--
		c.counts.OpenAttempts--
		c.counts.AttemptsByStatus[status]++
		if !r.ended {
			r.lastStatus = status
		}
		if status == policy.StatusServed {
			if !r.ended {
				r.servedBy = a
			}
			r.finish(Action{Kind: ActionServe, Response: response})
		}
		c.instance.OnAttemptResult(now, policy.AttemptResult{
			RequestID: r.ID, Attempt: a.number, Status: status, Final: r.ended, Elapsed: now - a.startedAt, Load: load,
		})
		r.removeIfDone()
	})
}
