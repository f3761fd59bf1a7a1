package core

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"

	"onyxgate/policy"
)

// recordingInterceptor is an interceptor that records the calls it receives.
type recordingInterceptor struct {
	reserve      float64
	rejectReason string
	calls        []string
	until        float64 // latest time until which the response may be delayed
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

func (r *recordingInterceptor) Abandoned(float64) { r.calls = append(r.calls, "abandoned") }

// runHandler acts as the handler of a request: it ends each attempt with the given status and writes the response.
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

// interceptorCase is a handler for one request and the calls that an interceptor is expected to receive.
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
		"the response cannot be written", "", func(r *Request) {
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
		[]string{"admit", "abandoned"},
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
		"the handler fails after BeforeResponse", "", func(r *Request) {
			r.NextAction().Attempt.Finish(policy.StatusServed, testResponse("body"), policy.LoadReport{})
			r.NextAction()
			r.Fail()
			r.ResponseWritten(false)
			r.Close()
		},
		[]string{"admit", `before: t served answered, 1 at "s0" of 1, "body"`, "after: t false"},
	},
	{"closed without a response", "", func(r *Request) { r.Close() }, []string{"admit", "abandoned"}},
}

// For every outcome of a request, an interceptor receives each call once and in order.
func TestInterceptorOrder(t *testing.T) {
	for _, c := range interceptorCases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				core, _ := newTestCore(t, policy.RequestClass{Semantics: policy.NonIdempotent}, 1)
				interceptor := &recordingInterceptor{rejectReason: c.rejectReason}
				core.AddInterceptor(interceptor)
				request := accept(core, "t", 2000)
				if !request.HasInterceptors() {
					t.Error("HasInterceptors = false, want true")
				}
				c.handler(request)
				if !slices.Equal(interceptor.calls, c.want) {
					t.Errorf("calls %q\nwant  %q", interceptor.calls, c.want)
				}
			})
		})
	}
}

// The time that an interceptor reserves is subtracted from the time of the decisions, up to a quarter of the client's
// time.
func TestInterceptorReserve(t *testing.T) {
	for _, c := range []struct {
		name              string
		reserve, reserved float64 // ms, of 2000
	}{
		{"none", 0, 0},
		{"granted in full", 300, 300},
		{"limited to a quarter", 900, 500},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				core, _ := newTestCore(t, policy.RequestClass{}, 1)
				interceptor := &recordingInterceptor{reserve: c.reserve}
				core.AddInterceptor(interceptor)
				arrived := core.Now()
				request := accept(core, "t", 2000)
				if got := request.Deadline - arrived; got != 2000-c.reserved {
					t.Errorf("time left for the decisions = %v ms, want %v", got, 2000-c.reserved)
				}
				runHandler(request, policy.StatusServed)
				if got := interceptor.until - arrived; got != 2000-responseMargin {
					t.Errorf("the response may be delayed for %v ms, want %v", got, 2000-responseMargin)
				}
			})
		})
	}
}

// Without interceptors, the handler does not need to detect whether a response was written.
func TestNoInterceptors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, _ := newTestCore(t, policy.RequestClass{}, 1)
		request := accept(core, "t", 2000)
		if request.HasInterceptors() || (*Request)(nil).HasInterceptors() {
			t.Errorf("HasInterceptors without interceptors = %v, of a nil request = %v, want false", request.HasInterceptors(), (*Request)(nil).HasInterceptors())
		}
		runHandler(request, policy.StatusServed)
	})
}
