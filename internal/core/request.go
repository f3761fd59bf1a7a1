package core

import (
	"onyxgate/internal/invariant"
	"onyxgate/policy"
)

// watchdogDelay (ms) is the time after a request's deadline at which its watchdog fires. The decisions answer before
// the deadline; if they fail to, the client still gets an answer within a few tens of milliseconds.
const watchdogDelay = 15.0

// Request is one request, from its arrival to the end of its last attempt.
//
// One goroutine, the handler, calls NextAction until it returns an action other than ActionSendAttempt, writes the
// corresponding response (none for ActionAbandon), calls ResponseWritten, and finally Close, which it must call in
// every case. If the handler fails before it has written anything, it calls Fail, writes the failure response, and
// then calls ResponseWritten and Close. ClientGone may be called from any goroutine at any time.
type Request struct {
	// ID, IdempotencyKey (empty if there is none), Class and ArrivedAt (ms) are set on arrival and never change.
	ID             string
	IdempotencyKey string
	Class          int
	ArrivedAt      float64
	// Deadline (ms) is when the decisions must have answered: the client's deadline, less the time reserved by
	// interceptors, and no later than the deadline of Shutdown. It is guarded by the lock of Core.
	Deadline float64

	core             *Core
	startAttempt     func(*Attempt)
	clientLeft       func() bool      // may be nil
	interceptorState interceptorState // used by the handler's goroutine only

	// The fields below are guarded by the lock of Core.

	current      *Attempt      // the attempt that the handler is carrying out
	wakeup       chan struct{} // wakes the handler when an action is queued; nil until the handler first waits
	actions      []Action
	attempts     []*Attempt
	openAttempts int
	ended        bool // answered, or the client has gone
	servedBy     *Attempt
	lastStatus   policy.AttemptStatus // of the most recently ended attempt; 0: none
}

// IncomingRequest is a request as read by a front. Times are in ms; points in time are comparable to Core.Now.
type IncomingRequest struct {
	ID             string
	Key            string // affinity key, shared by related requests; empty if there is none
	IdempotencyKey string
	Class          int
	Retry          bool // the client marked the request as a retry
	ArrivedAt      float64
	TimeLeft       float64 // measured from ArrivedAt
	// RejectReason is one word if the front has no room for the request, and empty otherwise. Such a request is
	// rejected like any other, but the decisions do not see it.
	RejectReason string
	// ClientLeft reports whether the client has closed its connection; nil means that ClientGone reports every close. It is
	// called before each attempt is sent, from any goroutine and without the lock of Core, and must not block.
	ClientLeft func() bool
	// StartAttempt carries out an attempt that is requested while the handler is carrying out another one. Each call
	// is made in a new goroutine, and calls may be concurrent.
	StartAttempt func(*Attempt)
}

// Accept passes a new request to the decisions and returns it to its handler. A request that the front or an
// interceptor rejects is returned with its final action, and the decisions do not see it. For any other request, Accept
// returns nil if one with the same ID is already open; in that case nothing was started, although the interceptors have
// admitted the request.
func (c *Core) Accept(incoming IncomingRequest) *Request {
	request := &Request{
		ID: incoming.ID, IdempotencyKey: incoming.IdempotencyKey, Class: incoming.Class, ArrivedAt: incoming.ArrivedAt,
		Deadline: incoming.ArrivedAt + incoming.TimeLeft, core: c, startAttempt: incoming.StartAttempt,
		clientLeft: incoming.ClientLeft,
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
		if c.shuttingDown { // both run under the lock, so either Shutdown finds this request or this check sees the shutdown
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

// rejectUnadmitted rejects a request that the decisions do not see. It is answered like any other.
func (r *Request) rejectUnadmitted(reason string) {
	r.core.mu.Lock()
	defer r.core.mu.Unlock()
	r.core.counts.Accepted++
	r.finish(Action{Kind: ActionReject, Reason: reason})
}

// Age returns the time (ms) since the request arrived.
func (r *Request) Age() float64 { return r.core.Now() - r.ArrivedAt }

// NextAction waits for the next action and returns it. It must be called by the handler only, and not again after it
// has returned an action other than ActionSendAttempt. Before it returns such a final action, it calls the
// interceptors, which may delay it (see Interceptor.BeforeResponse).
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

// dequeueAction removes the first action from the queue and returns it. If the queue is empty, it returns a channel
// that signals the next action.
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
		r.startQueuedAttempts() // queued attempts run concurrently with this one
	}
	r.current = action.Attempt
	return action, nil
}

// startQueuedAttempts starts the attempts at the head of the queue in separate goroutines. The caller holds the lock.
func (r *Request) startQueuedAttempts() {
	for len(r.actions) > 0 && r.actions[0].Kind == ActionSendAttempt {
		go r.startAttempt(r.actions[0].Attempt)
		r.actions = r.actions[1:]
	}
}

// enqueue queues an action for the handler. An attempt that is requested while the handler is carrying out another
// one starts immediately. The caller holds the lock.
func (r *Request) enqueue(action Action) {
	if action.Kind == ActionSendAttempt && r.current != nil {
		go r.startAttempt(action.Attempt)
		return
	}
	r.actions = append(r.actions, action)
	if r.wakeup != nil {
		select {
		case r.wakeup <- struct{}{}:
		default: // a wake-up is already pending
		}
	}
}

// finish sets the final action of the request, unless it already has one. No other function queues a final action, so
// a request has at most one. The caller holds the lock.
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

// isDone reports whether the request is answered and has no open attempts. The caller holds the lock.
func (r *Request) isDone() bool { return r.ended && r.openAttempts == 0 }

// removeIfDone removes the request from the open requests once it is answered and has no open attempts. The caller
// holds the lock.
func (r *Request) removeIfDone() {
	if !r.isDone() {
		return
	}
	if r.core.requests[r.ID] == r {
		delete(r.core.requests, r.ID)
	}
	// The watchdog's timer keeps the request until its deadline. It must not keep what the front holds for it, such as its
	// body and its connection.
	r.startAttempt, r.clientLeft = nil, nil
}

// watchdog answers the request if the decisions have failed to, and interrupts its open attempts. It wakes the
// decisions first, because their own timer may be due at the same time.
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

// ClientGone reports that the client is gone. If the request already has its answer, this has no effect; otherwise
// the handler gets ActionAbandon. Attempts that have not been sent yet are canceled even if the settings do not allow
// canceling sent ones, because nobody waits for the answer.
//
// ClientGone may be called more than once, from any goroutine, and while the handler is in NextAction.
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

// Fail gives a request whose handler failed before it wrote a response the final action ActionFail, unless it already
// has one, and notifies the interceptors. The handler calls it instead of NextAction, then writes the failure
// response and calls ResponseWritten and Close.
func (r *Request) Fail() {
	failure := Action{Kind: ActionFail, Reason: reasonHandlerFailed}
	r.core.mu.Lock()
	r.finish(failure)
	r.core.mu.Unlock()
	if !r.interceptorState.notified {
		r.beforeResponse(failure)
	}
}

// Close ends the handling of a request. The handler must call it exactly once, as its last call. If no answer was
// given, Close is equivalent to the client being gone. Attempts still in the queue end as not sent.
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
