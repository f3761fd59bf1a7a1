package core

import (
	"onyxgate/internal/invariant"
	"onyxgate/policy"
)

// port implements policy.Port in a live instance. Its methods are called by the decisions within an event, with the
// lock held.
type port struct{ core *Core }

// openRequest returns the open request with the given ID, or nil. All effects but SendAttempt ignore a missing request,
// because it may just have ended.
func (p port) openRequest(id string) *Request {
	invariant.Check(p.core.inEvent, "the lock is held when the decisions act", id)
	return p.core.requests[id]
}

// SendAttempt queues an attempt for the request's handler. If limit (ms) is greater than 0 and ends before the
// request's deadline, the attempt times out after it. Otherwise the attempt has the request's deadline.
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
		go attempt.Finish(policy.StatusNotSent, nil, policy.LoadReport{}) // in a goroutine because Finish takes the lock
		return
	}
	r.enqueue(Action{Kind: ActionSendAttempt, Attempt: attempt})
}

// Reject ends a request that the client may retry after retryAfter (ms).
func (p port) Reject(id string, retryAfter float64) {
	if r := p.openRequest(id); r != nil {
		r.finish(Action{Kind: ActionReject, RetryAfter: retryAfter})
	}
}

// Fail ends a request that may have been executed.
func (p port) Fail(id string) {
	if r := p.openRequest(id); r != nil {
		r.finish(Action{Kind: ActionFail})
	}
}

// CancelAttempt interrupts an attempt. Its result is still reported by Attempt.Finish.
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

// SendMessage does nothing: live instances have no protocol for exchanging messages yet.
func (p port) SendMessage(int, []byte) {}

// SetTimer arranges a call of policy.Instance.OnTimer with the token after the given time (ms).
func (p port) SetTimer(after float64, token uint64) {
	now := p.core.Now()
	p.core.addTimer(now, timer{at: now + after, token: token})
}

// WatchEndpoints opens the endpoint stream.
func (p port) WatchEndpoints() { p.core.transport.WatchEndpoints() }

// FetchEndpoints requests the endpoint list once.
func (p port) FetchEndpoints() { p.core.transport.FetchEndpoints() }

// Log queues a log line. It drops the line if the queue is full, because logging must not block while the lock is
// held.
func (p port) Log(line string) {
	select {
	case p.core.logLines <- line:
	default:
	}
}
