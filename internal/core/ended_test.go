package core

import (
	"runtime"
	"testing"
	"testing/synctest"
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
