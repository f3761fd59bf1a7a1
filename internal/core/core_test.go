package core

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"onyxgate/policy"
)

type calls struct{ voted int }

func (c *calls) Vote(int, policy.Verdict, int) { c.voted++ }
func (c *calls) Probe(string)                  {}
func (c *calls) Subscribe()                    {}
func (c *calls) FetchList()                    {}

// hosted starts a core whose module knows one product and so many appliances.
func hosted(p policy.RequestClass, appliances int) (*Core, *calls) {
	does := &calls{}
	c := New(does)
	c.Start(func(port policy.Port) *policy.Instance {
		a := policy.New(port, 7, 0, 1)
		p.LatencyObjective, p.Timeout, p.Value, p.DedupWindow = 1000, 4000, 1, 9000
		a.Serve([]policy.RequestClass{p}, 3, false, true)
		a.Expose(2, []float64{0.1, 1}, 0, false, false)
		a.Judge([]float64{0.1, 1}, policy.ControlSingleVote, 1, 4000)
		return a
	})
	var list []policy.Endpoint
	for k := range appliances {
		list = append(list, policy.Endpoint{ID: fmt.Sprint("s", k), Release: 1, Weight: 1})
	}
	c.List(list, true, true)
	return c, does
}

type halted struct{ at time.Time }

func (h *halted) Halt() { h.at = time.Now() }

// Every request taken ends once and in time, its attempts each once, and nothing of it stays.
func TestRequest(t *testing.T) {
	for _, c := range []struct {
		name       string
		effect     policy.Semantics
		appliances int
		ends       []policy.AttemptStatus // of the attempts in turn; 0: it never ends by itself
		answer     Do
		hangup     bool
		within     time.Duration
	}{
		{"settled", policy.Safe, 1, []policy.AttemptStatus{policy.StatusServed}, Settle, false, 0},
		{"settled at the second try", policy.Safe, 3, []policy.AttemptStatus{policy.StatusErrored, policy.StatusServed}, Settle, false, 0},
		{"tries used up", policy.Safe, 3, []policy.AttemptStatus{policy.StatusErrored, policy.StatusReset, policy.StatusRejected}, Decline, false, 0},
		{"once-only, may have run", policy.NonIdempotent, 3, []policy.AttemptStatus{policy.StatusReset}, Void, false, 0},
		{"once-only, never ran", policy.NonIdempotent, 3, []policy.AttemptStatus{policy.StatusRejected, policy.StatusServed}, Settle, false, 0},
		{"no appliance", policy.Safe, 0, nil, Decline, false, 1002 * time.Millisecond},
		{"silence", policy.NonIdempotent, 1, []policy.AttemptStatus{0}, Void, false, 2 * time.Second},
		{"the client goes", policy.Safe, 1, []policy.AttemptStatus{0}, Leave, true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				core, _ := hosted(policy.RequestClass{Semantics: c.effect}, c.appliances)
				from := time.Now()
				x := core.Take(core.Now(), "t", "", "", 0, false, 2000, "", nil)
				if core.Take(core.Now(), "t", "", "", 0, false, 2000, "", nil) != nil {
					t.Error("an id was taken twice")
				}
				var left *Attempt
				for _, r := range c.ends {
					a := x.Next()
					if a.Do != Submit {
						t.Fatalf("got %v in place of an attempt", a.Do)
					}
					if r != 0 {
						a.Sub.End(r, "body", -1, -1)
						continue
					}
					left = a.Sub
				}
				stop := &halted{}
				if left != nil {
					left.Begin(stop)
				}
				if c.hangup {
					x.Hangup()
				}
				if a := x.Next(); a.Do != c.answer || a.Do == Settle && a.Answer != "body" {
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
					if called, _ := left.Begin(nil); !called {
						t.Error("the attempt does not know")
					}
					left.End(policy.StatusCanceled, nil, -1, -1)
				}
				x.Close()
				time.Sleep(10 * time.Second) // alarms that are still set find nothing to do
				if n := core.Counts(); n.Open != 0 || n.Out != 0 || len(x.mail) != 0 {
					t.Errorf("left behind: %+v, mail %v", n, x.mail)
				}
				core.wake.Stop()
			})
		})
	}
}

// An attempt that nobody took up was never sent, and one wanted while another is under way starts by itself.
func TestMail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, does := hosted(policy.RequestClass{}, 2)
		core.Take(core.Now(), "a", "", "", 0, false, 2000, "", nil).Close()
		if n := core.Counts(); n.Ends[policy.StatusNotSent] != 1 || n.Open != 0 || n.Gone != 1 {
			t.Errorf("unread: %+v", n)
		}
		started := make(chan *Attempt, 1)
		x := core.Take(core.Now(), "b", "", "", 0, false, 2000, "", func(s *Attempt) { started <- s })
		first := x.Next().Sub
		core.mu.Lock()
		core.inside = true
		(*port)(core).SendAttempt("b", "s1", 500)
		core.inside = false
		core.mu.Unlock()
		second := <-started
		stop := &halted{}
		second.Begin(stop)
		from := time.Now()
		time.Sleep(600 * time.Millisecond)
		synctest.Wait()
		if got := stop.at.Sub(from); got < 500*time.Millisecond || got > 502*time.Millisecond {
			t.Errorf("its own limit of 500 ms ended it after %v", got)
		}
		second.End(policy.StatusTimedOut, nil, -1, -1)
		first.End(policy.StatusServed, nil, -1, -1)
		x.Close()
		core.News(2, 0, policy.RollingOut, policy.NotAVote, 0.1, 0, true)
		core.List([]policy.Endpoint{{ID: "n", Release: 2, Weight: 1, StartedAt: core.Now()}}, false, false)
		core.Leave(core.Now() + 60000)
		time.Sleep(20 * time.Second)
		if does.voted != 0 {
			t.Error("voted while leaving")
		}
		core.wake.Stop()
	})
}
