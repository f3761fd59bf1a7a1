package core

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"onyxgate/policy"
)

// A step of the wall clock is seen once, either way; a slow drift, or a pause between the two readings, is none.
func TestClockStep(t *testing.T) {
	for _, c := range []struct {
		name    string
		wall    []time.Duration // of the wall clock at each reading in turn, against the monotonic one; the last holds on
		stepped time.Duration
	}{
		{"none", []time.Duration{0}, 0},
		{"an hour back", []time.Duration{-time.Hour}, -time.Hour},
		{"five seconds forward", []time.Duration{5 * time.Second}, 5 * time.Second},
		{"some milliseconds", []time.Duration{100 * time.Millisecond}, 0},
		{"the process stood still between two readings", []time.Duration{-400 * time.Millisecond, 0}, 0},
	} {
		reads := 0
		k := clock{monotonic: func() time.Duration { return time.Minute }}
		k.wall = func() int64 {
			reads++
			return int64(time.Minute + c.wall[min(reads, len(c.wall))-1])
		}
		if got := k.step(); got != c.stepped {
			t.Errorf("%s: %v", c.name, got)
		}
		if got := k.step(); got != 0 {
			t.Errorf("%s: seen again, %v", c.name, got)
		}
	}
}

// After a step a backend that is listed counts as just started, and a request waits for its slow start; without one its start
// is believed, and it is warm. No time that the module is handed moves with the step.
func TestStepReachesModule(t *testing.T) {
	for _, stepped := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			core := New(&calls{})
			core.Start(func(port policy.Port) *policy.Instance {
				return policy.New(port, policy.Config{Seed: 7, Instances: 1, MaxAttempts: 3, CancelAllowed: true,
					Classes:   []policy.RequestClass{{LatencyObjective: 1000, Timeout: 4000, Value: 1}},
					SlowStart: policy.SlowStartConfig{InitialCapacity: 0.4, WarmUp: 5000, OverloadFactor: 3, OverloadWindow: 1000}})
			})
			core.UpdateEndpoints(policy.EndpointUpdate{Endpoints: nil, Snapshot: true})
			before := core.Now()
			if wall := core.clock.wall; stepped {
				core.clock.wall = func() int64 { return wall() - int64(time.Hour) }
			}
			core.UpdateEndpoints(policy.EndpointUpdate{Endpoints: []policy.Endpoint{{ID: "n", Release: 1, Weight: 1, StartedAt: before - 10_000}}})
			if core.Now() != before {
				t.Errorf("the module's time moved by %v ms", core.Now()-before)
			}
			x := core.Accept(Arrival{ID: "t", ArrivedAt: core.Now(), TimeLeft: 3000})
			if out := core.Counts().OpenAttempts; (out == 0) != stepped {
				t.Errorf("stepped %v: %d attempts at once", stepped, out)
			}
			if stepped {
				if line := <-core.LogLines(); !strings.HasPrefix(line, "wall clock stepped by -1h0m0s") {
					t.Errorf("logged %q", line)
				}
			}
			if len(core.LogLines()) != 0 {
				t.Errorf("told again: %q", <-core.LogLines())
			}
			x.Close()
			core.wakeTimer.Stop()
		})
	}
}
