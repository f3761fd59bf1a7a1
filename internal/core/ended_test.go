package core

import (
	"fmt"
	"runtime"
	"testing"
	"testing/synctest"
	"time"
	"weak"

	"onyxgate/policy"
)

// heldByFront is what a front holds for a request, such as its body.
type heldByFront [1 << 20]byte

// An ended request must not keep what the front holds for it: its watchdog's timer keeps the request itself up to the
// deadline, and the bodies of all requests of the last seconds would add up.
func TestEndedRequestKeepsNothing(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(request *Request)
	}{
		{"served", func(request *Request) {
			request.NextAction().Attempt.Finish(policy.StatusServed, testResponse("body"), policy.LoadReport{})
			request.NextAction()
		}},
		{"client gone", func(request *Request) {
			attempt := request.NextAction().Attempt
			request.ClientGone()
			request.NextAction()
			attempt.Finish(policy.StatusCanceled, nil, policy.LoadReport{})
		}},
		{"handler failed", func(request *Request) { request.Fail() }},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				core, _ := newTestCore(t, policy.RequestClass{}, 1)
				held := acceptHolding(core, c.end)
				if n := core.Counts(); n.Timers == 0 || n.OpenRequests != 0 {
					t.Fatalf("counts = %+v, want a timer pending and no request open", n)
				}
				runtime.GC()
				if held.Value() != nil {
					t.Error("the ended request is held by its timer, with all that the front holds for it")
				}
			})
		})
	}
}

// acceptHolding plays a request whose functions refer to what it returns.
func acceptHolding(core *Core, end func(*Request)) weak.Pointer[heldByFront] {
	held := new(heldByFront)
	request := core.Accept(IncomingRequest{
		ID: "r", ArrivedAt: core.Now(), TimeLeft: 2000,
		StartAttempt: func(*Attempt) { held[0]++ },
		ClientLeft:   func() bool { return held[0] != 0 },
	})
	end(request)
	request.Close()
	return weak.Make(held)
}

// The timers of ended requests do not pile up when clients give their requests a day's time.
func TestTimersOfEndedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const day = 24 * 3600 * 1000
		core, _ := newTestCore(t, policy.RequestClass{}, 1)
		open := accept(core, "open", day)
		for i := range 5 * minTimersToPrune {
			request := accept(core, fmt.Sprint("r", i), day)
			request.NextAction().Attempt.Finish(policy.StatusServed, testResponse("body"), policy.LoadReport{})
			request.NextAction()
			request.Close()
			if timers := core.Counts().Timers; timers > minTimersToPrune {
				t.Fatalf("after %d requests %d timers are pending, want at most %d", i+1, timers, minTimersToPrune)
			}
		}
		time.Sleep(2 * day * time.Millisecond)
		open.NextAction().Attempt.Finish(policy.StatusNotSent, nil, policy.LoadReport{})
		if action := open.NextAction(); action.Kind == ActionSendAttempt {
			t.Errorf("action = %v at the deadline of the request that stayed open, want its answer", action.Kind)
		}
		open.Close()
	})
}
