package core

import (
	"testing"
	"testing/synctest"
	"time"

	"onyxgate/policy"
)

// Two attempts wanted before the handler wakes go out side by side: the second waits for no end of the first.
func TestPostedTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, _ := hosted(policy.RequestClass{}, 2)
		started := make(chan *Attempt, 2)
		x := core.Accept(Arrival{ID: "t", ArrivedAt: core.Now(), TimeLeft: 3000, StartAttempt: func(s *Attempt) { started <- s }})
		core.handleEvent("two", func(float64) { (*port)(core).SendAttempt("t", "s1", 0) }) // beside the module's own
		first := x.NextAction()
		synctest.Wait()
		if first.Kind != ActionSendAttempt || len(started) != 1 {
			t.Fatalf("%v to carry out, %d started beside it", first.Kind, len(started))
		}
		second := <-started
		second.Finish(policy.StatusNotSent, nil, policy.LoadReport{})
		first.Attempt.Finish(policy.StatusServed, nil, policy.LoadReport{})
		if a := x.NextAction(); a.Kind != ActionServe {
			t.Errorf("got %v", a.Kind)
		}
		x.Close()
		core.wakeTimer.Stop()
	})
}

// A client's going and an attempt's sending: whichever comes first holds, whether or not attempts may be called off.
func TestSendOrHangup(t *testing.T) {
	for _, sent := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			core := New(&calls{})
			core.Start(func(port policy.Port) *policy.Instance {
				return policy.New(port, policy.Config{Seed: 7, Instances: 1, MaxAttempts: 3,
					Classes: []policy.RequestClass{{LatencyObjective: 1000, Timeout: 4000, Value: 1}}})
			})
			core.UpdateEndpoints(policy.EndpointUpdate{Endpoints: []policy.Endpoint{{ID: "s", Release: 1, Weight: 1}}, Snapshot: true, Cached: true})
			x, h := core.Accept(Arrival{ID: "t", ArrivedAt: core.Now(), TimeLeft: 3000}), &halted{}
			s := x.NextAction().Attempt
			s.SetCanceler(h) // it is being dialled
			if sent {
				s.MarkSent(h)
			}
			x.ClientGone()
			called, _ := s.SetCanceler(nil)
			if !sent {
				called, _ = s.MarkSent(h)
			}
			if called == sent || h.at.IsZero() != sent {
				t.Errorf("sent %v: called off %v, halted %v", sent, called, !h.at.IsZero())
			}
			s.Finish(policy.StatusNotSent, nil, policy.LoadReport{})
			if a := x.NextAction(); a.Kind != ActionAbandon {
				t.Errorf("got %v", a.Kind)
			}
			x.Close()
			core.wakeTimer.Stop()
		})
	}
}

// What is held when the agent is told to end has its answer before the kill, whatever time its client gave: one that is tried
// and one that waits for a place alike.
func TestLeaveHolds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, _ := hosted(policy.RequestClass{Semantics: policy.NonIdempotent}, 1)
		from := time.Now()
		tried := core.Accept(Arrival{ID: "t", ArrivedAt: core.Now(), TimeLeft: 9000})
		tried.NextAction()
		var waits []*Request
		for _, id := range []string{"u", "v", "w", "x", "y"} {
			waits = append(waits, core.Accept(Arrival{ID: id, ArrivedAt: core.Now(), TimeLeft: 9000}))
		}
		core.Shutdown(core.Now() + 700)
		waits = append(waits, core.Accept(Arrival{ID: "z", ArrivedAt: core.Now(), TimeLeft: 9000})) // it crossed the signal
		for _, x := range append(waits, tried) {
			a := x.NextAction()
			for ; a.Kind == ActionSendAttempt; a = x.NextAction() {
			}
			if took := time.Since(from); a.Kind != ActionReject && a.Kind != ActionFail || took > 700*time.Millisecond {
				t.Errorf("%s: %v after %v", x.ID, a.Kind, took)
			}
			for _, s := range x.attempts {
				if !s.ended {
					s.Finish(policy.StatusCanceled, nil, policy.LoadReport{})
				}
			}
			x.Close()
		}
		core.wakeTimer.Stop()
	})
}
