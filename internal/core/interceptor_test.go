package core

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"

	"onyxgate/policy"
)

// observer is an interceptor that keeps what it is told.
type recordingInterceptor struct {
	reserve      float64
	rejectReason string
	calls        []string
	until        float64 // the latest time that an answer may be held to
}

func (r *recordingInterceptor) Admit(float64) (reserve float64, rejectReason string) {
	r.calls = append(r.calls, "admit")
	return r.reserve, r.rejectReason
}

func (r *recordingInterceptor) BeforeResponse(c Completion, until float64) any {
	r.until = until
	r.calls = append(r.calls, fmt.Sprintf("before: %s %v %s, %d at %q of %d, %q", c.RequestID, c.Kind, c.Reason, c.Attempts, c.Backend, c.Release, c.Body))
	return c.RequestID
}

func (r *recordingInterceptor) AfterResponse(state any, _ float64, complete bool) {
	r.calls = append(r.calls, fmt.Sprintf("after: %v %v", state, complete))
}

func (r *recordingInterceptor) Abandoned(float64) { r.calls = append(r.calls, "closed") }

// handle does with a request what its handler does: it carries out attempts with this status, and writes the answer.
func runHandler(request *Request, status policy.AttemptStatus) {
	defer request.Close()
	for {
		action := request.NextAction()
		switch action.Kind {
		case ActionSendAttempt:
			action.Attempt.Finish(status, testResponse("body"), policy.LoadReport{})
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
		"served", "", func(r *Request) { runHandler(r, policy.StatusServed) },
		[]string{"admit", `before: t served answered, 1 at "s0" of 1, "body"`, "after: t true"},
	},
	{
		"the answer can't be written", "", func(r *Request) {
			r.NextAction().Attempt.Finish(policy.StatusServed, testResponse("body"), policy.LoadReport{})
			r.NextAction()
			r.ResponseWritten(false)
			r.Close()
		},
		[]string{"admit", `before: t served answered, 1 at "s0" of 1, "body"`, "after: t false"},
	},
	{
		"failed by the decisions", "", func(r *Request) { runHandler(r, policy.StatusReset) },
		[]string{"admit", `before: t failed broken, 1 at "" of 0, ""`, "after: t true"},
	},
	{
		"rejected at once", "unrecorded", func(r *Request) { runHandler(r, policy.StatusServed) },
		[]string{"admit", `before: t rejected unrecorded, 0 at "" of 0, ""`, "after: t true"},
	},
	{
		"the client goes", "", func(r *Request) {
			r.ClientGone()
			r.ClientGone()
			runHandler(r, policy.StatusNotSent)
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
			r.NextAction().Attempt.Finish(policy.StatusServed, testResponse("body"), policy.LoadReport{})
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
				core, _ := newTestCore(t, policy.RequestClass{Semantics: policy.NonIdempotent}, 1)
				interceptor := &recordingInterceptor{rejectReason: c.rejectReason}
				core.AddInterceptor(interceptor)
				request := accept(core, "t", 2000)
				if !request.HasInterceptors() {
					t.Error("the request is not intercepted")
				}
				c.handler(request)
				if !slices.Equal(interceptor.calls, c.want) {
					t.Errorf("saw  %q\nwant %q", interceptor.calls, c.want)
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
				core, _ := newTestCore(t, policy.RequestClass{}, 1)
				interceptor := &recordingInterceptor{reserve: c.reserve}
				core.AddInterceptor(interceptor)
				arrived := core.Now()
				request := accept(core, "t", 2000)
				if got := request.Deadline - arrived; got != 2000-c.reserved {
					t.Errorf("the decisions have %v ms, want %v", got, 2000-c.reserved)
				}
				runHandler(request, policy.StatusServed)
				if got := interceptor.until - arrived; got != 2000-responseMargin {
					t.Errorf("the answer may be held for %v ms, want %v", got, 2000-responseMargin)
				}
			})
		})
	}
}

// Where no interceptor follows, the handler need not know whether an answer was written.
func TestNoInterceptors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, _ := newTestCore(t, policy.RequestClass{}, 1)
		request := accept(core, "t", 2000)
		if request.HasInterceptors() || (*Request)(nil).HasInterceptors() {
			t.Error("intercepted by nobody")
		}
		runHandler(request, policy.StatusServed)
	})
}
