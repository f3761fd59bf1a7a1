package core

// This file owns the points at which other parts of an instance follow a request, whichever front it came by: may it enter, what
// will be answered, what was answered, the client has gone. It never knows an interceptor by name, never calls one under the lock,
// and lets none choose what the decisions choose: one may turn a request away before the decisions have it, and not later.

import (
	"onyxgate/policy"
)

// responseMargin (ms) is how long before the client's deadline an interceptor has to let go of an answer, which still has to be
// written.
const responseMargin = 6.0

// maxReserveDivisor bounds what an interceptor reserves to a quarter of the client's time: the request still has to run.
const maxReserveDivisor = 4

// Interceptor follows every request. Its methods are called from the goroutines of the requests' handlers, many at once, and never
// under the lock of Core. For one request they come in the order Admit, BeforeResponse, AfterResponse, or Admit, Closed.
type Interceptor interface {
	// Admit is asked before the decisions have a request. reserve (ms) is what it keeps of the client's time for its own work
	// between the decision and the answer. rejectReason is empty, or one word where the request is to be rejected at once. Admit must
	// not wait. Where Core.Accept returns nil, nothing follows.
	Admit(now float64) (reserve float64, rejectReason string)
	// BeforeResponse comes before the first byte of an answer, also of a request that was rejected at once. It may hold the answer
	// until `until` (ms, as Core.Now) and no longer. What it returns is handed to AfterResponse.
	BeforeResponse(completion Completion, until float64) (state any)
	// AfterResponse comes after the last byte of an answer (complete), or once it can't be written any more.
	AfterResponse(state any, now float64, complete bool)
	// Abandoned comes in place of the two above where nothing is answered, for the client has gone.
	Abandoned(now float64)
}

// Completion is how a request ends, as the interceptors see it. Times are ms, as Core.Now.
type Completion struct {
	RequestID, IdempotencyKey string
	Class                     int
	Kind                      ActionKind       // ActionServe, ActionReject or ActionFail
	Reason                    string           // one word, which may be stored
	Backend                   string           // that answered, or empty
	Release                   policy.ReleaseID // of Backend
	Attempts                  int
	ArrivedAt, Now            float64
	Body                      []byte // as the client gets it; nil unless served. It must not be changed.
}

// interception is what a request keeps of its interceptors. It belongs to the handler's goroutine.
type interceptorState struct {
	states       []any   // what BeforeResponse of each returned; nil before, and after AfterResponse
	reservedTime float64 // ms of the client's time
	notified     bool    // BeforeResponse or Closed was called
}

// AddInterceptor adds an interceptor. It is called before the first request only.
func (c *Core) AddInterceptor(interceptor Interceptor) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interceptors = append(c.interceptors, interceptor)
}

// HasInterceptors tells that interceptors follow the request, so that its handler must see whether the answer's last byte went out. It
// is false for a nil request.
func (r *Request) HasInterceptors() bool { return r != nil && len(r.core.interceptors) > 0 }

// admit asks the interceptors whether the request, which has timeLeft (ms), may enter. It returns why not, or an empty string.
func (r *Request) admit(timeLeft float64) (rejectReason string) {
	for _, interceptor := range r.core.interceptors {
		reserve, rejectReason := interceptor.Admit(r.core.Now())
		if rejectReason != "" {
			return rejectReason
		}
		reserve = min(reserve, timeLeft/maxReserveDivisor)
		r.Deadline -= reserve
		r.interceptorState.reservedTime += reserve
	}
	return ""
}

// beforeResponse tells the interceptors what will be answered, or that nothing will be.
func (r *Request) beforeResponse(action Action) {
	if len(r.core.interceptors) == 0 || action.Kind == ActionSendAttempt {
		return
	}
	if action.Kind == ActionAbandon {
		r.notifyAbandoned()
		return
	}
	r.interceptorState.notified = true
	completion, until := r.completion(action)
	r.interceptorState.states = make([]any, len(r.core.interceptors))
	for i, interceptor := range r.core.interceptors {
		r.interceptorState.states[i] = interceptor.BeforeResponse(completion, until)
	}
}

// completion describes the end of a request by its final action, and until when (ms) its interceptors may hold the answer.
func (r *Request) completion(action Action) (completion Completion, until float64) {
	completion = Completion{
		RequestID: r.ID, IdempotencyKey: r.IdempotencyKey, Class: r.Class, Kind: action.Kind, Reason: action.Reason,
		ArrivedAt: r.ArrivedAt, Now: r.core.Now(),
	}
	if action.Kind == ActionServe && action.Response != nil {
		completion.Body = action.Response.Bytes()
	}
	r.core.mu.Lock()
	defer r.core.mu.Unlock()
	completion.Attempts = len(r.attempts)
	if action.Kind == ActionServe && r.servedBy != nil {
		completion.Backend, completion.Release = r.servedBy.Backend, r.servedBy.Release
	}
	return completion, r.Deadline + r.interceptorState.reservedTime - responseMargin
}

// ResponseWritten tells the interceptors that the answer's last byte was written (complete), or that it can't be. The handler calls
// it once, after it has written the last action that NextAction returned, or after Fail, and before Close. Where no answer was
// announced to the interceptors it does nothing.
func (r *Request) ResponseWritten(complete bool) {
	if len(r.interceptorState.states) == 0 {
		return
	}
	now := r.core.Now()
	for i, interceptor := range r.core.interceptors {
		interceptor.AfterResponse(r.interceptorState.states[i], now, complete)
	}
	r.interceptorState.states = nil
}

// closeInterceptors tells the interceptors that nothing is answered.
func (r *Request) notifyAbandoned() {
	r.interceptorState.notified = true
	for _, interceptor := range r.core.interceptors {
		interceptor.Abandoned(r.core.Now())
	}
}
