package core

// This file owns the points at which other parts of an agent join the path of a request, whichever front it came by: may it
// enter, what will be answered, what was answered, it has gone. It must never know a part by name, call one under the
// lock, or let one choose what the module chooses: a part may turn a request away before the module has it, and no later.

import (
	"onyxgate/policy"
)

// Interceptor follows every request. Its methods are called from the requests' own goroutines, many at once.
type Interceptor interface {
	// Admit is asked before the module has a request: what it keeps back (ms) of the client's time for its own work between the
	// decision and the answer, and one word where the request is to be declined at once. It must not wait.
	Admit(now float64) (reserve float64, why string)
	// BeforeResponse comes before the answer's first byte and may hold it until `until` (ms, the clock of Core.Now) and no
	// longer. What it returns is handed to Answered.
	BeforeResponse(e Completion, until float64) any
	// AfterResponse comes after the last byte, or once that can't be written any more: whole tells which.
	AfterResponse(kept any, now float64, whole bool)
	// Closed comes instead of both where nothing was answered: the client had left.
	Closed(now float64)
}

// Completion is what a request's end is made of. Times are ms, Unix time at the start and even from there.
type Completion struct {
	RequestID, IdempotencyKey string
	Class                     int
	Kind                      ActionKind // Settle, Decline or Void
	Reason                    string     // one word
	Backend                   string     // that answered, or empty
	Release                   policy.ReleaseID
	Attempts                  int
	ArrivedAt, Now            float64
	Body                      []byte // as the client gets it; nil unless settled
}

// responseMargin (ms): a part may hold an answer to so long before the client's time is up, for the answer still has to be
// written.
const responseMargin = 6.0

// AddInterceptor adds a part; before the first request only.
func (c *Core) AddInterceptor(p Interceptor) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interceptors = append(c.interceptors, p)
}

// noteReleases notes which build each appliance runs.
func (c *Core) noteReleases(update policy.EndpointUpdate) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if update.Snapshot {
		clear(c.releases)
	}
	for _, e := range update.Endpoints {
		if e.State == policy.EndpointRemoved {
			delete(c.releases, e.ID)
		} else {
			c.releases[e.ID] = e.Release
		}
	}
}

// Intercepted tells that parts follow the request, so that the end of its answer is of interest.
func (t *Request) Intercepted() bool { return t != nil && len(t.core.interceptors) > 0 }

// admit asks the parts whether the request may enter; else it returns why not.
func (t *Request) admit(left float64) (why string) {
	for _, p := range t.core.interceptors {
		reserve, why := p.Admit(t.core.Now())
		if why != "" {
			return why
		}
		// Of a short time no more than a quarter: the request still has to run.
		reserve = min(reserve, left/4)
		t.Deadline -= reserve
		t.reservedTime += reserve
	}
	return ""
}

// rejectUnadmitted declines a request that never reaches the module; it is answered like any other.
func (t *Request) rejectUnadmitted(why string) {
	t.core.mu.Lock()
	defer t.core.mu.Unlock()
	t.core.counts.Accepted++
	t.finish(Action{Kind: ActionReject, Reason: why}, &t.core.counts.Rejected)
}

// reasonWords are the reasons that attempts' ends give.
var reasonWords = [...]string{policy.StatusServed: "answered", policy.StatusErrored: "errored", policy.StatusRejected: "rejected",
	policy.StatusTimedOut: "timeout", policy.StatusConnectFailed: "unconnected", policy.StatusReset: "broken", policy.StatusCanceled: "revoked",
	policy.StatusNotSent: "unsent"}

// reason is one word for why a request ended as it did; under the lock.
func (t *Request) reason(a Action) string {
	switch {
	case a.Reason != "":
		return a.Reason
	case a.Kind == ActionServe:
		return reasonWords[policy.StatusServed]
	case len(t.attempts) == 0:
		return "none" // nothing was tried
	case t.openAttempts > 0 || t.lastStatus == 0:
		return "late" // nothing had come back yet
	}
	return reasonWords[t.lastStatus]
}

// beforeResponse tells the parts what will be answered, or that nothing will.
func (t *Request) beforeResponse(a *Action) {
	if len(t.core.interceptors) == 0 || a.Kind == ActionSendAttempt {
		return
	}
	if a.Kind == ActionAbandon {
		t.closeInterceptors()
		return
	}
	t.interceptorsNotified = true
	e := Completion{RequestID: t.ID, IdempotencyKey: t.IdempotencyKey, Class: t.Class, Kind: a.Kind, Reason: a.Reason, ArrivedAt: t.ArrivedAt, Now: t.core.Now()}
	t.core.mu.Lock()
	e.Attempts = len(t.attempts)
	if t.servedBy != nil && a.Kind == ActionServe {
		e.Backend, e.Release = t.servedBy.Backend, t.servedBy.Release
	}
	t.core.mu.Unlock()
	if bytes, ok := a.Answer.(interface{ Bytes() []byte }); ok && a.Kind == ActionServe {
		e.Body = bytes.Bytes()
	}
	t.interceptorState = make([]any, len(t.core.interceptors))
	for i, p := range t.core.interceptors {
		t.interceptorState[i] = p.BeforeResponse(e, t.Deadline+t.reservedTime-responseMargin)
	}
}

// Fail voids a request whose handler has failed before it answered.
func (t *Request) Fail() {
	a := Action{Kind: ActionFail, Reason: "failed"}
	t.core.mu.Lock()
	if !t.ended {
		t.finish(a, &t.core.counts.Failed)
	}
	t.core.mu.Unlock()
	if !t.interceptorsNotified {
		t.beforeResponse(&a)
	}
}

// ResponseWritten tells that the answer's last byte was written, or that it can't be.
func (t *Request) ResponseWritten(whole bool) {
	if len(t.interceptorState) == 0 {
		return
	}
	now := t.core.Now()
	for i, p := range t.core.interceptors {
		p.AfterResponse(t.interceptorState[i], now, whole)
	}
	t.interceptorState = nil
}

func (t *Request) closeInterceptors() {
	t.interceptorsNotified = true
	for _, p := range t.core.interceptors {
		p.Closed(t.core.Now())
	}
}
