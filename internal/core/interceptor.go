package core

import (
	"onyxgate/policy"
)

// responseMargin (ms) is how long before the client's deadline an interceptor must release a response, which still
// has to be written.
const responseMargin = 6.0

// maxReserveDivisor limits the time that an interceptor reserves to a quarter of the client's time, because the
// request still has to run.
const maxReserveDivisor = 4

// Interceptor observes every request, whichever front accepted it. Core knows interceptors only through this
// interface. An interceptor may reject a request before the decisions see it, but not later. Its methods are called
// concurrently from the handler goroutines of requests, never with the lock of Core held. For one request the order
// of calls is Admit, BeforeResponse, AfterResponse, or Admit, Abandoned. Admit is left out if the front or a previous
// interceptor has already rejected the request; the other calls follow all the same.
type Interceptor interface {
	// Admit is called before the decisions see a request. reserve (ms) is the part of the client's time that the
	// interceptor needs between the decision and the response, limited to a quarter. rejectReason is empty, or one
	// word if the request is to be rejected at once. Admit must not block. If Core.Accept returns nil, no other method
	// is called for the request.
	Admit(now float64) (reserve float64, rejectReason string)
	// BeforeResponse is called before the first byte of a response is written, including for requests rejected at
	// once. It may delay the response until `until` (ms, comparable to Core.Now), but no longer. Its result is passed
	// to AfterResponse.
	BeforeResponse(completion Completion, until float64) (state any)
	// AfterResponse is called when writing the response has ended. complete reports whether its last byte was written.
	// state is the result of BeforeResponse.
	AfterResponse(state any, now float64, complete bool)
	// Abandoned is called instead of BeforeResponse and AfterResponse if the client is gone and nothing is written.
	Abandoned(now float64)
}

// Completion describes the outcome of a request to interceptors. Times are in ms, comparable to Core.Now.
type Completion struct {
	RequestID, IdempotencyKey string
	Class                     int
	Kind                      ActionKind       // ActionServe, ActionReject or ActionFail
	Reason                    string           // one word; may be stored
	Backend                   string           // backend that served the request, or empty
	Release                   policy.ReleaseID // release of Backend
	Attempts                  int
	ArrivedAt, Now            float64
	Body                      []byte // as sent to the client; nil unless served. It must not be modified.
}

// interceptorState is the per-request state of the interceptors. It is used only by the handler's goroutine.
type interceptorState struct {
	states       []any   // results of BeforeResponse, one per interceptor; nil before that call and after AfterResponse
	reservedTime float64 // ms of the client's time
	notified     bool    // BeforeResponse or Abandoned was called
}

// AddInterceptor adds an interceptor. It must be called before the first request.
func (c *Core) AddInterceptor(interceptor Interceptor) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interceptors = append(c.interceptors, interceptor)
}

// HasInterceptors reports whether interceptors observe the request. If so, its handler must detect whether the last
// byte of the response was sent. It returns false for a nil request.
func (r *Request) HasInterceptors() bool { return r != nil && len(r.core.interceptors) > 0 }

// admit asks the interceptors whether to admit the request, which has timeLeft (ms). It returns the reason for a
// rejection, or an empty string.
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

// beforeResponse notifies the interceptors of the response that is about to be written, or that there will be none.
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

// completion returns the outcome of a request with the given final action, and the time (ms) until which interceptors
// may delay the response.
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

// ResponseWritten notifies the interceptors that writing the response has ended. complete reports whether its last byte
// was written. The handler calls it once, after writing the response for the last action returned by NextAction or
// after Fail, and before Close. It has no effect if BeforeResponse was not called.
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

// notifyAbandoned notifies the interceptors that nothing will be written.
func (r *Request) notifyAbandoned() {
	r.interceptorState.notified = true
	for _, interceptor := range r.core.interceptors {
		interceptor.Abandoned(r.core.Now())
	}
}
