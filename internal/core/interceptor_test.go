package core

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"

	"onyxgate/policy"
)

// observer is an interceptor that keeps what it is told.
type observer struct {
	reserve      float64
	rejectReason string
	seen         []string
	until        float64 // the latest time that an answer may be held to
}

func (o *observer) Admit(float64) (reserve float64, rejectReason string) {
	o.seen = append(o.seen, "admit")
	return o.reserve, o.rejectReason
}

func (o *observer) BeforeResponse(c Completion, until float64) any {
	o.until = until
	o.seen = append(o.seen, fmt.Sprintf("before: %s %v %s, %d at %q of %d, %q", c.RequestID, c.Kind, c.Reason, c.Attempts, c.Backend, c.Release, c.Body))
	return c.RequestID
}

func (o *observer) AfterResponse(state any, _ float64, complete bool) {
	o.seen = append(o.seen, fmt.Sprintf("after: %v %v", state, complete))
}

func (o *observer) Abandoned(float64) { o.seen = append(o.seen, "closed") }

// handle does with a request what its handler does: it carries out attempts with this status, and writes the answer.
func handle(request *Request, status policy.AttemptStatus) {
	defer request.Close()
	for {
		action := request.NextAction()
		switch action.Kind {
		case ActionSendAttempt:
			action.Attempt.Finish(status, body("body"), policy.LoadReport{})
		case ActionAbandon:
			return
		default:
			request.ResponseWritten(true)
			return
		}
	}
}

// interceptorCase is a request, what its handler does and what its interceptor sees.
type interceptorCase struct {
	name         string
	rejectReason string
	handler      func(request *Request)
	want         []string
}

var interceptorCases = []interceptorCase{
	{
		"served", "", func(r *Request) { handle(r, policy.StatusServed) },
		[]string{"admit", `before: t served answered, 1 at "s0" of 1, "body"`, "after: t true"},
	},
	{
		"the answer can't be written", "", func(r *Request) {
			r.NextAction().Attempt.Finish(policy.StatusServed, body("body"), policy.LoadReport{})
			r.NextAction()
			r.ResponseWritten(false)
			r.Close()
		},
		[]string{"admit", `before: t served answered, 1 at "s0" of 1, "body"`, "after: t false"},
	},
	{
		"failed by the decisions", "", func(r *Request) { handle(r, policy.StatusReset) },
		[]string{"admit", `before: t failed broken, 1 at "" of 0, ""`, "after: t true"},
	},
	{
		"rejected at once", "unrecorded", func(r *Request) { handle(r, policy.StatusServed) },
		[]string{"admit", `before: t rejected unrecorded, 0 at "" of 0, ""`, "after: t true"},
	},
	{
		"the client goes", "", func(r *Request) {
			r.ClientGone()
			r.ClientGone()
			handle(r, policy.StatusNotSent)
		},
		[]string{"admit", "closed"},
	},
	{
		"the handler fails", "", func(r *Request) {
			r.NextAction()
			r.Fail()
			r.ResponseWritten(true)
			r.Close()
		},
		[]string{"admit", `before: t failed failed, 1 at "" of 0, ""`, "after: t true"},
	},
	{
		"the handler fails with the answer announced", "", func(r *Request) {
			r.NextAction().Attempt.Finish(policy.StatusServed, body("body"), policy.LoadReport{})
			r.NextAction()
			r.Fail()
			r.ResponseWritten(false)
			r.Close()
		},
		[]string{"admit", `before: t served answered, 1 at "s0" of 1, "body"`, "after: t false"},
	},
	{"closed without an answer", "", func(r *Request) { r.Close() }, []string{"admit", "closed"}},
}

// An interceptor sees each request once from its arrival to its end, in order, whichever way it ends.
func TestInterceptorOrder(t *testing.T) {
	for _, c := range interceptorCases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				core, _ := hosted(t, policy.RequestClass{Semantics: policy.NonIdempotent}, 1)
				seen := &observer{rejectReason: c.rejectReason}
				core.AddInterceptor(seen)
				request := accept(core, "t", 2000)
				if !request.HasInterceptors() {
					t.Error("the request is not intercepted")
				}
				c.handler(request)
				if !slices.Equal(seen.seen, c.want) {
					t.Errorf("saw  %q\nwant %q", seen.seen, c.want)
				}
			})
		})
	}
}

// What an interceptor reserves is taken from the decisions' time and given to it, up to a quarter of the client's time.
func TestInterceptorReserve(t *testing.T) {
	for _, c := range []struct {
		name              string
		reserve, reserved float64 // ms, of 2000
	}{
		{"nothing", 0, 0},
		{"as asked", 300, 300},
		{"a quarter", 900, 500},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				core, _ := hosted(t, policy.RequestClass{}, 1)
				seen := &observer{reserve: c.reserve}
				core.AddInterceptor(seen)
				arrived := core.Now()
				request := accept(core, "t", 2000)
				if got := request.Deadline - arrived; got != 2000-c.reserved {
					t.Errorf("the decisions have %v ms, want %v", got, 2000-c.reserved)
				}
				handle(request, policy.StatusServed)
				if got := seen.until - arrived; got != 2000-responseMargin {
					t.Errorf("the answer may be held for %v ms, want %v", got, 2000-responseMargin)
				}
			})
		})
	}
}

// Where no interceptor follows, the handler need not know whether an answer was written.
func TestNotIntercepted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, _ := hosted(t, policy.RequestClass{}, 1)
		request := accept(core, "t", 2000)
		if request.HasInterceptors() || (*Request)(nil).HasInterceptors() {
			t.Error("intercepted by nobody")
		}
		handle(request, policy.StatusServed)
	})
}
