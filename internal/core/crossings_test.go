package core

import (
	"testing"
	"testing/synctest"
	"time"

	"onyxgate/policy"
)

// If the client goes before an attempt is sent, the attempt is canceled, although the settings do not allow canceling
// sent attempts. If it goes afterwards, the attempt continues.
func TestSentOrClientGone(t *testing.T) {
	for _, c := range []struct {
		name string
		sent bool
	}{
		{"the client goes while the connection is being established", false},
		{"the client goes after the attempt was sent", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				core, _ := newTestCoreWithConfig(t, policy.Config{
					Seed: 7, Instances: 1, MaxAttempts: 3,
					Classes: []policy.RequestClass{{LatencyObjective: 1000, Timeout: 4000, Value: 1}},
				})
				core.UpdateEndpoints(policy.EndpointUpdate{Endpoints: []policy.Endpoint{{ID: "s", Release: 1, Weight: 1}}, Snapshot: true, Cached: true})
				request, call := accept(core, "t", 3000), &recordingCanceler{}
				attempt := request.NextAction().Attempt
				attempt.SetCanceler(call) // the connection is being established
				if c.sent {
					attempt.MarkSent(call)
				}
				request.ClientGone()
				canceled, _ := attempt.SetCanceler(nil)
				if !c.sent {
					canceled, _ = attempt.MarkSent(call)
				}
				if canceled == c.sent || call.canceledAt.IsZero() != c.sent {
					t.Errorf("sent = %v: canceled = %v, interrupted = %v, want both %v", c.sent, canceled, !call.canceledAt.IsZero(), !c.sent)
				}
				attempt.Finish(policy.StatusNotSent, nil, policy.LoadReport{})
				if action := request.NextAction(); action.Kind != ActionAbandon {
					t.Errorf("next action = %v, want %v", action.Kind, ActionAbandon)
				}
				request.Close()
			})
		})
	}
}

// All requests open at shutdown, and those accepted later, are answered before the process is killed, regardless of
// their clients' deadlines: those with an attempt in progress and those waiting for a backend.
func TestShutdownAnswersAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, _ := newTestCore(t, policy.RequestClass{Semantics: policy.NonIdempotent}, 1)
		start := time.Now()
		tried := accept(core, "t", 9000)
		tried.NextAction()
		var requests []*Request
		for _, id := range []string{"u", "v", "w", "x", "y"} {
			requests = append(requests, accept(core, id, 9000))
		}
		core.Shutdown(core.Now() + 700)
		requests = append(requests, accept(core, "z", 9000)) // accepted after the shutdown began
		for _, request := range append(requests, tried) {
			action := request.NextAction()
			for action.Kind == ActionSendAttempt {
				action = request.NextAction()
			}
			if took := time.Since(start); action.Kind != ActionReject && action.Kind != ActionFail || took > 700*time.Millisecond {
				t.Errorf("request %s: %v after %v, want %v or %v within 700ms", request.ID, action.Kind, took, ActionReject, ActionFail)
			}
			for _, attempt := range request.attempts {
				if !attempt.ended {
					attempt.Finish(policy.StatusCanceled, nil, policy.LoadReport{})
				}
			}
			request.Close()
		}
	})
}

// An instance that is shutting down sends no votes, regardless of what it has observed of a release.
func TestShutdownSendsNoVotes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, transport := newTestCore(t, policy.RequestClass{}, 2)
		core.UpdateRelease(policy.ReleaseUpdate{Release: 2, Phase: policy.RollingOut, Cap: 0.1, HasState: true})
		core.UpdateEndpoints(policy.EndpointUpdate{Endpoints: []policy.Endpoint{{ID: "n", Release: 2, Weight: 1, StartedAt: core.Now()}}})
		core.Shutdown(core.Now() + 60000)
		time.Sleep(20 * time.Second)
		if transport.votes != 0 {
			t.Errorf("votes while shutting down = %d, want 0", transport.votes)
		}
	})
}
