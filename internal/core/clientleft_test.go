package core

import (
	"testing"
	"testing/synctest"

	"onyxgate/policy"
)

// Before an attempt is sent, whatever started it, the front is asked whether the client is still there. If it is not, the
// request is abandoned and nothing is sent for it.
func TestClientLeftBeforeAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, _ := newTestCore(t, policy.RequestClass{Semantics: policy.Safe}, 3)
		left := false
		request := core.Accept(IncomingRequest{
			ID: "r", ArrivedAt: core.Now(), TimeLeft: 2000, ClientLeft: func() bool { return left },
		})
		first := request.NextAction().Attempt
		if canceled, timedOut := first.MarkSent(&recordingCanceler{}); canceled || timedOut {
			t.Fatalf("first attempt: canceled = %v, timed out = %v; want it sent", canceled, timedOut)
		}
		left = true
		first.Finish(policy.StatusErrored, nil, policy.LoadReport{})
		retry := request.NextAction()
		if retry.Kind != ActionSendAttempt {
			t.Fatalf("next action = %v, want a further attempt", retry.Kind)
		}
		if canceled, _ := retry.Attempt.MarkSent(&recordingCanceler{}); !canceled {
			t.Error("an attempt may be sent for a client that has left")
		}
		retry.Attempt.Finish(policy.StatusNotSent, nil, policy.LoadReport{})
		if action := request.NextAction(); action.Kind != ActionAbandon {
			t.Errorf("final action = %v, want %v", action.Kind, ActionAbandon)
		}
		request.Close()
		if n := core.Counts(); n.ClientGone != 1 || n.OpenRequests != 0 {
			t.Errorf("counts = %+v, want 1 client gone and no request open", n)
		}
	})
}
