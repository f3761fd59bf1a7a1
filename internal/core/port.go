package core

// This file carries out the effects of the decisions. All of it runs under the lock, within an event.

import (
	"onyxgate/internal/invariant"
	"onyxgate/policy"
)

// port is the policy.Port of a live instance.
type port struct{ core *Core }

// openRequest returns the request with that ID, or nil. That an effect finds none is no fault: the request may just have ended.
func (p port) openRequest(id string) *Request {
	invariant.Check(p.core.inEvent, "the lock is held when the decisions act", id)
	return p.core.requests[id]
}

// SendAttempt queues an attempt for the request's handler. A limit (ms) above 0 ends it before the request's deadline.
func (p port) SendAttempt(id, backend string, limit float64) {
	c, r, now := p.core, p.openRequest(id), p.core.Now()
	if r == nil {
		invariant.Check(false, "an attempt belongs to an open request", id)
		return
	}
	attempt := &Attempt{
		Backend: backend, Release: c.releases[backend], Deadline: r.Deadline, request: r, number: len(r.attempts), startedAt: now,
	}
	if limit > 0 && now+limit < attempt.Deadline {
		attempt.Deadline = now + limit
		c.addTimer(now, timer{at: attempt.Deadline, attempt: attempt})
	}
	r.attempts = append(r.attempts, attempt)
	r.openAttempts++
	c.counts.OpenAttempts++
	if !invariant.Check(!r.ended, "no attempt after the request's end", id) {
		go attempt.Finish(policy.StatusNotSent, nil, policy.LoadReport{}) // which takes the lock
		return
	}
	r.enqueue(Action{Kind: ActionSendAttempt, Attempt: attempt})
}

// Reject ends a request; the client may try again after retryAfter (ms).
func (p port) Reject(id string, retryAfter float64) {
	if r := p.openRequest(id); r != nil {
		r.finish(Action{Kind: ActionReject, RetryAfter: retryAfter})
	}
}

// Fail ends a request that may have run.
func (p port) Fail(id string) {
	if r := p.openRequest(id); r != nil {
		r.finish(Action{Kind: ActionFail})
	}
}

// CancelAttempt interrupts an attempt. Its end is still reported, by Attempt.Finish.
func (p port) CancelAttempt(id string, attempt int) {
	if r := p.openRequest(id); r != nil && attempt >= 0 && attempt < len(r.attempts) {
		r.attempts[attempt].cancel()
	}
}

// SendVote sends a vote, unless the instance is shutting down.
func (p port) SendVote(release policy.ReleaseID, verdict policy.Verdict, stage int) {
	if !p.core.shuttingDown {
		p.core.transport.SendVote(release, verdict, stage)
	}
}

// SendProbe asks a backend for its load.
func (p port) SendProbe(backend string) { p.core.transport.SendProbe(backend) }

// SendMessage does nothing: there is no protocol yet by which live instances tell each other anything.
func (p port) SendMessage(int, []byte) {}

// SetTimer has policy.Instance.OnTimer called with the token after so many ms.
func (p port) SetTimer(after float64, token uint64) {
	now := p.core.Now()
	p.core.addTimer(now, timer{at: now + after, token: token})
}

// WatchEndpoints opens the endpoint stream.
func (p port) WatchEndpoints() { p.core.transport.WatchEndpoints() }

// FetchEndpoints asks for the endpoint list once.
func (p port) FetchEndpoints() { p.core.transport.FetchEndpoints() }

// Log queues a log line. Where the queue is full the line is dropped: logging must not hold the lock.
func (p port) Log(line string) {
	select {
	case p.core.logLines <- line:
	default:
	}
}
