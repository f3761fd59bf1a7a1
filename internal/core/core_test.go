package core

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"onyxgate/policy"
)

type calls struct{ voted int }

func (c *calls) SendVote(policy.ReleaseID, policy.Verdict, int) { c.voted++ }
func (c *calls) SendProbe(string)                               {}
func (c *calls) WatchEndpoints()                                {}
func (c *calls) FetchEndpoints()                                {}

// hosted starts a core whose module knows one product and so many appliances.
func hosted(p policy.RequestClass, appliances int) (*Core, *calls) {
	does := &calls{}
	c := New(does)
	c.Start(func(port policy.Port) *policy.Instance {
		p.LatencyObjective, p.Timeout, p.Value, p.DedupWindow = 1000, 4000, 1, 9000
		return policy.New(port, policy.Config{Seed: 7, Instances: 1, Classes: []policy.RequestClass{p}, MaxAttempts: 3, CancelAllowed: true,
			Exposure: policy.ExposureConfig{FreeAttempts: 2, Caps: []float64{0.1, 1}},
			Rollout:  policy.RolloutConfig{Stages: []float64{0.1, 1}, Control: policy.ControlSingleVote, RollbackVotes: 1, VoteLifetime: 4000}})
	})
	var list []policy.Endpoint
	for k := range appliances {
		list = append(list, policy.Endpoint{ID: fmt.Sprint("s", k), Release: 1, Weight: 1})
	}
	c.UpdateEndpoints(policy.EndpointUpdate{Endpoints: list, Snapshot: true, Cached: true})
	return c, does
}

type halted struct{ at time.Time }

func (h *halted) Cancel() { h.at = time.Now() }

// Every request taken ends once and in time, its attempts each once, and nothing of it stays.
func TestRequest(t *testing.T) {
	for _, c := range []struct {
		name       string
		effect     policy.Semantics
		appliances int
		ends       []policy.AttemptStatus // of the attempts in turn; 0: it never ends by itself
		answer     ActionKind
		hangup     bool
		within     time.Duration
	}{
		{"settled", policy.Safe, 1, []policy.AttemptStatus{policy.StatusServed}, ActionServe, false, 0},
		{"settled at the second try", policy.Safe, 3, []policy.AttemptStatus{policy.StatusErrored, policy.StatusServed}, ActionServe, false, 0},
		{"tries used up", policy.Safe, 3, []policy.AttemptStatus{policy.StatusErrored, policy.StatusReset, policy.StatusRejected}, ActionReject, false, 0},
		{"once-only, may have run", policy.NonIdempotent, 3, []policy.AttemptStatus{policy.StatusReset}, ActionFail, false, 0},
		{"once-only, never ran", policy.NonIdempotent, 3, []policy.AttemptStatus{policy.StatusRejected, policy.StatusServed}, ActionServe, false, 0},
		{"no appliance", policy.Safe, 0, nil, ActionReject, false, 1002 * time.Millisecond},
		{"silence", policy.NonIdempotent, 1, []policy.AttemptStatus{0}, ActionFail, false, 2 * time.Second},
		{"the client goes", policy.Safe, 1, []policy.AttemptStatus{0}, ActionAbandon, true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				core, _ := hosted(policy.RequestClass{Semantics: c.effect}, c.appliances)
				from := time.Now()
				x := core.Accept(Arrival{ID: "t", ArrivedAt: core.Now(), TimeLeft: 2000})
				if core.Accept(Arrival{ID: "t", ArrivedAt: core.Now(), TimeLeft: 2000}) != nil {
					t.Error("an id was taken twice")
				}
				var left *Attempt
				for _, r := range c.ends {
					a := x.NextAction()
					if a.Kind != ActionSendAttempt {
						t.Fatalf("got %v in place of an attempt", a.Kind)
					}
					if r != 0 {
						a.Attempt.Finish(r, "body", policy.LoadReport{})
						continue
					}
					left = a.Attempt
				}
				stop := &halted{}
				if left != nil {
					left.SetCanceler(stop)
				}
				if c.hangup {
					x.ClientGone()
				}
				if a := x.NextAction(); a.Kind != c.answer || a.Kind == ActionServe && a.Answer != "body" {
					t.Errorf("got %v, want %v", a, c.answer)
				}
				if took := time.Since(from); took > c.within {
					t.Errorf("answered after %v, want within %v", took, c.within)
				}
				synctest.Wait()
				if left != nil {
					if stop.at.IsZero() {
						t.Error("the attempt was not called off")
					}
					if called, _ := left.SetCanceler(nil); !called {
						t.Error("the attempt does not know")
					}
					left.Finish(policy.StatusCanceled, nil, policy.LoadReport{})
				}
				x.Close()
				time.Sleep(10 * time.Second) // alarms that are still set find nothing to do
				if n := core.Counts(); n.OpenRequests != 0 || n.OpenAttempts != 0 || len(x.actions) != 0 {
					t.Errorf("left behind: %+v, mail %v", n, x.actions)
				}
				core.wakeTimer.Stop()
			})
		})
	}
}

// An attempt that nobody took up was never sent, and one wanted while another is under way starts by itself.
func TestMail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, does := hosted(policy.RequestClass{}, 2)
		core.Accept(Arrival{ID: "a", ArrivedAt: core.Now(), TimeLeft: 2000}).Close()
		if n := core.Counts(); n.AttemptsByStatus[policy.StatusNotSent] != 1 || n.OpenRequests != 0 || n.ClientGone != 1 {
			t.Errorf("unread: %+v", n)
		}
		started := make(chan *Attempt, 1)
		x := core.Accept(Arrival{ID: "b", ArrivedAt: core.Now(), TimeLeft: 2000, StartAttempt: func(s *Attempt) { started <- s }})
		first := x.NextAction().Attempt
		core.mu.Lock()
		core.inEvent = true
		(*port)(core).SendAttempt("b", "s1", 500)
		core.inEvent = false
		core.mu.Unlock()
		second := <-started
		stop := &halted{}
		second.SetCanceler(stop)
		from := time.Now()
		time.Sleep(600 * time.Millisecond)
		synctest.Wait()
		if got := stop.at.Sub(from); got < 500*time.Millisecond || got > 502*time.Millisecond {
			t.Errorf("its own limit of 500 ms ended it after %v", got)
		}
		second.Finish(policy.StatusTimedOut, nil, policy.LoadReport{})
		first.Finish(policy.StatusServed, nil, policy.LoadReport{})
		x.Close()
		core.UpdateRelease(policy.ReleaseUpdate{Release: 2, Phase: policy.RollingOut, Cap: 0.1, Known: true})
		core.UpdateEndpoints(policy.EndpointUpdate{Endpoints: []policy.Endpoint{{ID: "n", Release: 2, Weight: 1, StartedAt: core.Now()}}})
		core.Shutdown(core.Now() + 60000)
		time.Sleep(20 * time.Second)
		if does.voted != 0 {
			t.Error("voted while leaving")
		}
		core.wakeTimer.Stop()
	})
}
