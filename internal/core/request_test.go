package core

import (
	"testing"
	"testing/synctest"
	"time"

	"onyxgate/policy"
)

// requestCase is a request from its arrival to its end.
type requestCase struct {
	name        string
	semantics   policy.Semantics
	backends    int
	results     []policy.AttemptStatus // of the attempts in turn; 0: it never ends by itself
	wantKind    ActionKind
	clientGone  bool
	maxDuration time.Duration
}

// Every request accepted ends once and in time, its attempts each once, and nothing of it stays.
func TestRequest(t *testing.T) {
	for _, c := range []requestCase{
		{"served", policy.Safe, 1, []policy.AttemptStatus{policy.StatusServed}, ActionServe, false, 0},
		{"served at the second attempt", policy.Safe, 3, []policy.AttemptStatus{policy.StatusErrored, policy.StatusServed}, ActionServe, false, 0},
		{"attempts used up", policy.Safe, 3, []policy.AttemptStatus{policy.StatusErrored, policy.StatusReset, policy.StatusRejected}, ActionReject, false, 0},
		{"non-idempotent, may have run", policy.NonIdempotent, 3, []policy.AttemptStatus{policy.StatusReset}, ActionFail, false, 0},
		{"non-idempotent, never ran", policy.NonIdempotent, 3, []policy.AttemptStatus{policy.StatusRejected, policy.StatusServed}, ActionServe, false, 0},
		{"no backend", policy.Safe, 0, nil, ActionReject, false, 1002 * time.Millisecond},
		{"silence", policy.NonIdempotent, 1, []policy.AttemptStatus{0}, ActionFail, false, 2 * time.Second},
		{"the client goes", policy.Safe, 1, []policy.AttemptStatus{0}, ActionAbandon, true, 0},
	} {
		t.Run(c.name, func(t *testing.T) { synctest.Test(t, c.run) })
	}
}

func (c requestCase) run(t *testing.T) {
	core, _ := newTestCore(t, policy.RequestClass{Semantics: c.semantics}, c.backends)
	arrived := time.Now()
	request := accept(core, "t", 2000)
	if accept(core, "t", 2000) != nil {
		t.Error("an ID was accepted twice")
	}
	pending, call := c.finishAttempts(t, request), &recordingCanceler{}
	if pending != nil {
		pending.SetCanceler(call)
	}
	if c.clientGone {
		request.ClientGone()
	}
	if action := request.NextAction(); action.Kind != c.wantKind || action.Kind == ActionServe && action.Response != testResponse("body") {
		t.Errorf("got %v, want %v", action, c.wantKind)
	}
	if took := time.Since(arrived); took > c.maxDuration {
		t.Errorf("answered after %v, want within %v", took, c.maxDuration)
	}
	synctest.Wait()
	if pending != nil {
		if call.canceledAt.IsZero() {
			t.Error("the attempt was not interrupted")
		}
		if canceled, _ := pending.SetCanceler(nil); !canceled {
			t.Error("the attempt does not know that it is canceled")
		}
		pending.Finish(policy.StatusCanceled, nil, policy.LoadReport{})
	}
	request.Close()
	time.Sleep(10 * time.Second) // timers that are still set find nothing to do
	if counts := core.Counts(); counts.OpenRequests != 0 || counts.OpenAttempts != 0 || len(request.actions) != 0 {
		t.Errorf("left behind: %+v, actions %v", counts, request.actions)
	}
}

// carryOut ends the request's attempts by the results of the case. It returns the one that never ends by itself.
func (c requestCase) finishAttempts(t *testing.T, request *Request) (pending *Attempt) {
	t.Helper()
	for _, result := range c.results {
		action := request.NextAction()
		if action.Kind != ActionSendAttempt {
			t.Fatalf("got %v in place of an attempt", action.Kind)
		}
		if result == 0 {
			pending = action.Attempt
			continue
		}
		action.Attempt.Finish(result, testResponse("body"), policy.LoadReport{})
	}
	return pending
}

// An attempt that nobody took up was never sent, and one wanted while another is under way starts by itself.
func TestActionQueue(t *testing.T) {
	t.Run("not taken up", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			core, _ := newTestCore(t, policy.RequestClass{}, 2)
			accept(core, "a", 2000).Close()
			if n := core.Counts(); n.AttemptsByStatus[policy.StatusNotSent] != 1 || n.OpenRequests != 0 || n.ClientGone != 1 {
				t.Errorf("not taken up: %+v", n)
			}
		})
	})
	t.Run("wanted beside another, with a limit of its own", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			core, _ := newTestCore(t, policy.RequestClass{}, 2)
			startedConcurrently := make(chan *Attempt, 1)
			request := core.Accept(IncomingRequest{
				ID: "b", ArrivedAt: core.Now(), TimeLeft: 2000,
				StartAttempt: func(attempt *Attempt) { startedConcurrently <- attempt },
			})
			first := request.NextAction().Attempt
			core.handleEvent("test", func(float64) { port{core}.SendAttempt("b", "s1", 500) })
			second, call := <-startedConcurrently, &recordingCanceler{}
			second.SetCanceler(call)
			sent := time.Now()
			time.Sleep(600 * time.Millisecond)
			synctest.Wait()
			if got := call.canceledAt.Sub(sent); got < 500*time.Millisecond || got > 502*time.Millisecond {
				t.Errorf("its own limit of 500 ms ended it after %v", got)
			}
			second.Finish(policy.StatusTimedOut, nil, policy.LoadReport{})
			first.Finish(policy.StatusServed, nil, policy.LoadReport{})
			request.Close()
		})
	})
}

// Two attempts wanted before the handler wakes go out side by side: the second waits for no end of the first.
func TestPostedTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, _ := newTestCore(t, policy.RequestClass{}, 2)
		startedConcurrently := make(chan *Attempt, 2)
		request := core.Accept(IncomingRequest{
			ID: "t", ArrivedAt: core.Now(), TimeLeft: 3000,
			StartAttempt: func(attempt *Attempt) { startedConcurrently <- attempt },
		})
		core.handleEvent("test", func(float64) { port{core}.SendAttempt("t", "s1", 0) }) // beside the one that the decisions want
		first := request.NextAction()
		synctest.Wait()
		if first.Kind != ActionSendAttempt || len(startedConcurrently) != 1 {
			t.Fatalf("%v to carry out, %d started beside it", first.Kind, len(startedConcurrently))
		}
		second := <-startedConcurrently
		second.Finish(policy.StatusNotSent, nil, policy.LoadReport{})
		first.Attempt.Finish(policy.StatusServed, nil, policy.LoadReport{})
		if action := request.NextAction(); action.Kind != ActionServe {
			t.Errorf("got %v", action.Kind)
		}
		request.Close()
	})
}
