package core

import (
	"onyxgate/internal/invariant"
	"onyxgate/policy"
)

// Canceler is a call in progress. Cancel interrupts it without waiting for it to end. Cancel is called with the lock
// of Core held.
type Canceler interface{ Cancel() }

// Attempt is one attempt to serve a request at one backend. The goroutine that carries it out calls SetCanceler and
// MarkSent as the call progresses, and Finish exactly once when it ends.
type Attempt struct {
	// Backend, Release (as listed when the attempt was decided) and Deadline (ms) never change.
	Backend  string
	Release  policy.ReleaseID
	Deadline float64

	request   *Request
	number    int
	startedAt float64 // ms

	// The fields below are guarded by the lock of Core.

	ended    bool
	canceled bool // by the decisions, or because the client was gone before it was sent
	timedOut bool // its deadline has passed
	sent     bool // its bytes may be on the wire
	canceler Canceler
}

// RequestID returns the ID of the request that the attempt belongs to.
func (a *Attempt) RequestID() string { return a.request.ID }

// Number returns the index of the attempt within its request, from 0.
func (a *Attempt) Number() int { return a.number }

// Elapsed returns the time (ms) since the attempt was decided.
func (a *Attempt) Elapsed() float64 { return a.request.core.Now() - a.startedAt }

// SetCanceler sets the call to interrupt when the attempt is canceled or times out; nil means there is none any more.
// It reports whether the attempt has already been canceled or timed out. In that case the canceler is not called, and
// the caller must end the call itself.
func (a *Attempt) SetCanceler(canceler Canceler) (canceled, timedOut bool) {
	c := a.request.core
	c.mu.Lock()
	defer c.mu.Unlock()
	a.canceler = canceler
	return a.canceled, a.timedOut
}

// MarkSent is like SetCanceler, for the moment immediately before the bytes of the call are sent. If both results are
// false, the attempt counts as sent and the caller must send it; otherwise the caller must not send it. MarkSent asks
// the decisions again whether the attempt may be sent, because what they chose before the connection was established
// may no longer be valid. It also asks the front whether the client is still there: every attempt, whatever started it,
// passes here.
func (a *Attempt) MarkSent(canceler Canceler) (canceled, timedOut bool) {
	if r := a.request; r.clientLeft != nil && r.clientLeft() {
		r.ClientGone()
	}
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

// cancel marks the attempt as canceled and interrupts it. The caller holds the lock.
func (a *Attempt) cancel() {
	a.canceled = true
	a.interrupt()
}

// expire marks the attempt as timed out and interrupts it, unless it has ended or been canceled. The caller holds the
// lock.
func (a *Attempt) expire() {
	if !a.ended && !a.canceled {
		a.timedOut = true
		a.interrupt()
	}
}

// interrupt cancels the call in progress, if any. The caller holds the lock.
func (a *Attempt) interrupt() {
	if a.canceler != nil {
		a.canceler.Cancel()
	}
}

// Finish reports how the attempt ended: policy.StatusServed with the response of the backend, or any other status,
// for which the response is ignored. The response of the first served attempt is sent to the client, unless the
// request has already ended. Finish is called once per attempt, from any goroutine. A second call has no effect other
// than an invariant violation.
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
