package core

import (
	"testing"
	"testing/synctest"
	"time"

	"onyxgate/policy"
)

// requestCase is a request with the results of its attempts and the expected outcome.
type requestCase struct {
	name        string
	semantics   policy.Semantics
	backends    int
	results     []policy.AttemptStatus // of consecutive attempts; 0: the attempt does not end by itself
	wantKind    ActionKind
	clientGone  bool
	maxDuration time.Duration
}

// Every accepted request ends once and in time, each of its attempts ends once, and nothing is left behind.
func TestRequest(t *testing.T) {
	for _, c := range []requestCase{
		{"served", policy.Safe, 1, []policy.AttemptStatus{policy.StatusServed}, ActionServe, false, 0},
		{"served at the second attempt", policy.Safe, 3, []policy.AttemptStatus{policy.StatusErrored, policy.StatusServed}, ActionServe, false, 0},
		{"attempts used up", policy.Safe, 3, []policy.AttemptStatus{policy.StatusErrored, policy.StatusReset, policy.StatusRejected}, ActionReject, false, 0},
		{"non-idempotent, may have run", policy.NonIdempotent, 3, []policy.AttemptStatus{policy.StatusReset}, ActionFail, false, 0},
		{"non-idempotent, never ran", policy.NonIdempotent, 3, []policy.AttemptStatus{policy.StatusRejected, policy.StatusServed}, ActionServe, false, 0},
		{"no backend", policy.Safe, 0, nil, ActionReject, false, 1002 * time.Millisecond},
		{"backend does not answer", policy.NonIdempotent, 1, []policy.AttemptStatus{0}, ActionFail, false, 2 * time.Second},
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
		t.Error("a second request with the ID of an open one was accepted, want nil")
	}
	pending, call := c.finishAttempts(t, request), &recordingCanceler{}
	if pending != nil {
		pending.SetCanceler(call)
	}
	if c.clientGone {
		request.ClientGone()
	}
	if action := request.NextAction(); action.Kind != c.wantKind || action.Kind == ActionServe && action.Response != testResponse("body") {
		t.Errorf("final action = %+v, want kind %v (with response %q if served)", action, c.wantKind, testResponse("body"))
	}
	if took := time.Since(arrived); took > c.maxDuration {
		t.Errorf("answered after %v, want within %v", took, c.maxDuration)
	}
	synctest.Wait()
	if pending != nil {
		if call.canceledAt.IsZero() {
			t.Error("the open attempt was not interrupted after the answer")
		}
		if canceled, _ := pending.SetCanceler(nil); !canceled {
			t.Error("SetCanceler: canceled = false for an interrupted attempt, want true")
		}
		pending.Finish(policy.StatusCanceled, nil, policy.LoadReport{})
	}
	request.Close()
	time.Sleep(10 * time.Second) // the remaining timers must have no effect
	if counts := core.Counts(); counts.OpenRequests != 0 || counts.OpenAttempts != 0 || len(request.actions) != 0 {
		t.Errorf("after the request: counts %+v, queued actions %v; want nothing open and no actions", counts, request.actions)
	}
}

// finishAttempts ends the attempts with the results of the case. It returns the attempt that does not end by itself,
// if any.
func (c requestCase) finishAttempts(t *testing.T, request *Request) (pending *Attempt) {
	t.Helper()
	for _, result := range c.results {
		action := request.NextAction()
		if action.Kind != ActionSendAttempt {
			t.Fatalf("next action = %v, want %v", action.Kind, ActionSendAttempt)
		}
		if result == 0 {
			pending = action.Attempt
			continue
		}
		action.Attempt.Finish(result, testResponse("body"), policy.LoadReport{})
	}
	return pending
}

// An attempt that the handler never takes from the queue ends as not sent. An attempt requested while another one is
// in progress starts immediately.
func TestActionQueue(t *testing.T) {
	t.Run("never dequeued", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			core, _ := newTestCore(t, policy.RequestClass{}, 2)
			accept(core, "a", 2000).Close()
			if n := core.Counts(); n.AttemptsByStatus[policy.StatusNotSent] != 1 || n.OpenRequests != 0 || n.ClientGone != 1 {
				t.Errorf("counts = %+v, want 1 attempt not sent, 0 open requests, 1 client gone", n)
			}
		})
	})
	t.Run("concurrent attempt with its own limit", func(t *testing.T) {
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
				t.Errorf("attempt interrupted after %v, want its limit of 500ms (up to 502ms)", got)
			}
			second.Finish(policy.StatusTimedOut, nil, policy.LoadReport{})
			first.Finish(policy.StatusServed, nil, policy.LoadReport{})
			request.Close()
		})
	})
}

// Two attempts requested before the handler wakes up run concurrently: the second does not wait for the end of the
// first.
func TestPostedTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, _ := newTestCore(t, policy.RequestClass{}, 2)
		startedConcurrently := make(chan *Attempt, 2)
		request := core.Accept(IncomingRequest{
			ID: "t", ArrivedAt: core.Now(), TimeLeft: 3000,
			StartAttempt: func(attempt *Attempt) { startedConcurrently <- attempt },
		})
		// In addition to the attempt requested by the decisions.
		core.handleEvent("test", func(float64) { port{core}.SendAttempt("t", "s1", 0) })
		first := request.NextAction()
		synctest.Wait()
		if first.Kind != ActionSendAttempt || len(startedConcurrently) != 1 {
			t.Fatalf("next action = %v, %d attempts started concurrently; want %v and 1", first.Kind, len(startedConcurrently), ActionSendAttempt)
		}
		second := <-startedConcurrently
		second.Finish(policy.StatusNotSent, nil, policy.LoadReport{})
		first.Attempt.Finish(policy.StatusServed, nil, policy.LoadReport{})
		if action := request.NextAction(); action.Kind != ActionServe {
			t.Errorf("next action = %v, want %v", action.Kind, ActionServe)
		}
		request.Close()
	})
}
