package core

// This file owns a request from its arrival to the end of its last attempt: the queue of its actions, its one final answer and
// its watchdog.

import (
	"onyxgate/internal/invariant"
	"onyxgate/policy"
)

// watchdogDelay (ms) is how far past a request's deadline its watchdog looks. The decisions answer before the deadline; should
// they fail, the client still has its answer within some tens of milliseconds of it.
const watchdogDelay = 15.0

// Request is one request from its arrival to the end of its last attempt.
//
// One goroutine, its handler, calls NextAction until an action comes that is not ActionSendAttempt, writes that answer (none for
// ActionAbandon), calls ResponseWritten, and in every case Close as the last. A handler that fails before it has written
// anything calls Fail, writes the failure, then ResponseWritten and Close. ClientGone may come from any goroutine at any time.
type Request struct {
	// ID, IdempotencyKey (empty: none), Class and ArrivedAt (ms) are as they arrived and never change.
	ID             string
	IdempotencyKey string
	Class          int
	ArrivedAt      float64
	// Deadline (ms) is when the decisions must have answered: the client's, less what the interceptors reserve, and no later than
	// that of Shutdown. It is guarded by the lock of Core.
	Deadline float64

	core             *Core
	startAttempt     func(*Attempt)
	interceptorState interceptorState // of the handler's goroutine

	// What follows is guarded by the lock of Core.

	current      *Attempt // that the handler carries out
	wakeup       chan struct{}
	actions      []Action
	attempts     []*Attempt
	openAttempts int
	ended        bool // answered, or the client has gone
	servedBy     *Attempt
	lastStatus   policy.AttemptStatus // of the attempt that ended last; 0: none
}

// IncomingRequest is a request as a front has read it. Times are ms, and points in time are those of Core.Now.
type IncomingRequest struct {
	ID             string
	Key            string // requests with one key belong together; empty: it has none
	IdempotencyKey string
	Class          int
	Retry          bool // the client marks it as a repeat
	ArrivedAt      float64
	TimeLeft       float64 // from ArrivedAt on
	// RejectReason is one word where the front has no room for the request: it is rejected like any other, and the decisions do not
	// hear of it.
	RejectReason string
	// StartAttempt carries out an attempt that is wanted while the handler carries out another. It is called in a goroutine of its
	// own, more than once at a time.
	StartAttempt func(*Attempt)
}

// Accept hands a new request to the decisions and returns it to its handler. It returns nil where a request with that ID is open:
// nothing has begun then, though the interceptors have admitted it.
func (c *Core) Accept(incoming IncomingRequest) *Request {
	request := &Request{
		ID: incoming.ID, IdempotencyKey: incoming.IdempotencyKey, Class: incoming.Class, ArrivedAt: incoming.ArrivedAt,
		Deadline: incoming.ArrivedAt + incoming.TimeLeft, core: c, startAttempt: incoming.StartAttempt,
	}
	rejectReason := incoming.RejectReason
	if rejectReason == "" {
		rejectReason = request.admit(incoming.TimeLeft)
	}
	if rejectReason != "" {
		request.rejectUnadmitted(rejectReason)
		return request
	}
	duplicate := false
	c.handleEvent("request", func(now float64) {
		if duplicate = c.requests[incoming.ID] != nil; duplicate {
			return
		}
		c.requests[incoming.ID] = request
		if c.shuttingDown { // seen under the lock: Shutdown either finds a request that crosses it, or is seen here
			request.Deadline = min(request.Deadline, c.shutdownDeadline)
		}
		c.counts.Accepted++
		c.addTimer(now, timer{at: request.Deadline + watchdogDelay, request: request})
		c.instance.OnRequest(now, policy.Request{
			ID: incoming.ID, Key: incoming.Key, Class: incoming.Class, Retry: incoming.Retry, TimeLeft: request.Deadline - now,
		})
	})
	if duplicate {
		return nil
	}
	return request
}

// rejectUnadmitted rejects a request of which the decisions never hear. It is answered like any other.
func (r *Request) rejectUnadmitted(reason string) {
	r.core.mu.Lock()
	defer r.core.mu.Unlock()
	r.core.counts.Accepted++
	r.finish(Action{Kind: ActionReject, Reason: reason})
}

// Age is how long (ms) ago the request came.
func (r *Request) Age() float64 { return r.core.Now() - r.ArrivedAt }

// NextAction waits for the next action. It is called by the handler only, and not again after an action other than
// ActionSendAttempt. Before it returns such a last action, the interceptors may hold it for as long as they have reserved.
func (r *Request) NextAction() Action {
	for {
		action, wakeup := r.dequeueAction()
		if wakeup == nil {
			r.beforeResponse(action)
			return action
		}
		<-wakeup
	}
}

// takeAction takes the first action from the queue, or returns the channel that tells of the next one.
func (r *Request) dequeueAction() (action Action, wakeup <-chan struct{}) {
	r.core.mu.Lock()
	defer r.core.mu.Unlock()
	r.current = nil
	if len(r.actions) == 0 {
		if r.wakeup == nil {
			r.wakeup = make(chan struct{}, 1)
		}
		return Action{}, r.wakeup
	}
	action = r.actions[0]
	r.actions = r.actions[1:]
	if action.Kind == ActionSendAttempt {
		r.startQueuedAttempts() // none waits for the end of another
	}
	r.current = action.Attempt
	return action, nil
}

// startQueuedAttempts starts the attempts at the head of the queue beside the handler; under the lock.
func (r *Request) startQueuedAttempts() {
	for len(r.actions) > 0 && r.actions[0].Kind == ActionSendAttempt {
		go r.startAttempt(r.actions[0].Attempt)
		r.actions = r.actions[1:]
	}
}

// post queues an action for the handler. An attempt that is wanted while the handler carries out another starts at once; under the
// lock.
func (r *Request) enqueue(action Action) {
	if action.Kind == ActionSendAttempt && r.current != nil {
		go r.startAttempt(action.Attempt)
		return
	}
	r.actions = append(r.actions, action)
	if r.wakeup != nil {
		select {
		case r.wakeup <- struct{}{}:
		default: // a wake-up is pending already
		}
	}
}

// finish gives a request its final action, unless it has one. Nothing else may: so it has one and no more. Under the lock.
func (r *Request) finish(action Action) {
	if r.ended {
		return
	}
	r.ended = true
	action.Reason = r.reason(action)
	r.core.counts.countAnswer(action.Kind)
	r.enqueue(action)
	r.removeIfDone()
}

// forget drops a request that has its answer and no open attempt; under the lock.
func (r *Request) removeIfDone() {
	if r.ended && r.openAttempts == 0 && r.core.requests[r.ID] == r {
		delete(r.core.requests, r.ID)
	}
}

// watchdog answers a request and ends its attempts, whatever else has failed. The decisions are woken first, for their own
// timer may be no later than this one.
func (r *Request) watchdog() {
	c := r.core
	c.handleEvent("watchdog", func(now float64) {
		if !r.ended {
			c.instance.OnTimer(now, 0)
		}
		if !invariant.Check(r.ended, "every request is answered in time", r.ID) {
			r.finish(Action{Kind: ActionFail, Reason: reasonWatchdog})
			c.instance.OnClientGone(now, r.ID)
		}
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, attempt := range r.attempts {
		attempt.expire()
	}
}

// ClientGone tells that the client has gone. The handler then gets ActionAbandon, unless the request has its answer already: then
// nothing happens. An attempt that has not been sent stays unsent, whether or not the settings allow a sent one to be canceled:
// nobody waits for it.
//
// It may be called from any goroutine, more than once, also while the handler is in NextAction.
func (r *Request) ClientGone() {
	r.core.handleEvent("client gone", func(now float64) {
		if r.ended {
			return
		}
		r.finish(Action{Kind: ActionAbandon})
		r.core.instance.OnClientGone(now, r.ID)
		for _, attempt := range r.attempts {
			if !attempt.ended && !attempt.sent && !attempt.canceled {
				attempt.cancel()
			}
		}
	})
}

// Fail gives a request whose handler has failed before it wrote an answer the final action ActionFail, if it has none yet, and
// tells the interceptors. The handler calls it in place of NextAction, then writes the failure and calls ResponseWritten and
// Close.
func (r *Request) Fail() {
	failure := Action{Kind: ActionFail, Reason: reasonHandlerFailed}
	r.core.mu.Lock()
	r.finish(failure)
	r.core.mu.Unlock()
	if !r.interceptorState.notified {
		r.beforeResponse(failure)
	}
}

// Close ends the handling of a request; the handler calls it once and last, in every case. Where no answer was given, it is as if
// the client had gone. Attempts that were never taken from the queue end as not sent.
func (r *Request) Close() {
	r.core.mu.Lock()
	ended, remaining := r.ended, r.actions
	r.actions = nil
	r.core.mu.Unlock()
	if !r.interceptorState.notified {
		r.notifyAbandoned()
	}
	if !ended {
		r.ClientGone()
	}
	for _, action := range remaining {
		if action.Kind == ActionSendAttempt {
			action.Attempt.Finish(policy.StatusNotSent, nil, policy.LoadReport{})
		}
	}
}
