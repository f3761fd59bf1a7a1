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
		wall    []time.Duration // of the wall clock at each reading in turn, against the monotonic one; the last one stays
		stepped time.Duration
	}{
		{"none", []time.Duration{0}, 0},
		{"an hour back", []time.Duration{-time.Hour}, -time.Hour},
		{"five seconds forward", []time.Duration{5 * time.Second}, 5 * time.Second},
		{"some milliseconds", []time.Duration{100 * time.Millisecond}, 0},
		{"the process stood still between two readings", []time.Duration{-400 * time.Millisecond, 0}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			readings := 0
			clock := clock{monotonic: func() time.Duration { return time.Minute }}
			clock.wall = func() int64 {
				readings++
				return int64(time.Minute + c.wall[min(readings, len(c.wall))-1])
			}
			if got := clock.step(); got != c.stepped {
				t.Errorf("stepped by %v", got)
			}
			if got := clock.step(); got != 0 {
				t.Errorf("seen again, %v", got)
			}
		})
	}
}

// After a step a backend that is listed counts as just started, and a request waits for its slow start; without one its start
// is believed, and it is warm. No time that the decisions get moves with the step.
func TestStepReachesDecisions(t *testing.T) {
	t.Run("no step", func(t *testing.T) { synctest.Test(t, func(t *testing.T) { testStep(t, false) }) })
	t.Run("an hour back", func(t *testing.T) { synctest.Test(t, func(t *testing.T) { testStep(t, true) }) })
}

func testStep(t *testing.T, stepped bool) {
	t.Helper()
	core, _ := newTestCoreWithConfig(t, policy.Config{
		Seed: 7, Instances: 1, MaxAttempts: 3, CancelAllowed: true,
		Classes:   []policy.RequestClass{{LatencyObjective: 1000, Timeout: 4000, Value: 1}},
		SlowStart: policy.SlowStartConfig{InitialCapacity: 0.4, WarmUp: 5000, OverloadFactor: 3, OverloadWindow: 1000},
	})
	core.UpdateEndpoints(policy.EndpointUpdate{Endpoints: nil, Snapshot: true})
	before := core.Now()
	if wall := core.clock.wall; stepped {
		core.clock.wall = func() int64 { return wall() - int64(time.Hour) }
	}
	core.UpdateEndpoints(policy.EndpointUpdate{Endpoints: []policy.Endpoint{{ID: "n", Release: 1, Weight: 1, StartedAt: before - 10_000}}})
	if core.Now() != before {
		t.Errorf("the time of the decisions moved by %v ms", core.Now()-before)
	}
	request := accept(core, "t", 3000)
	core.CheckClock()
	if open := core.Counts().OpenAttempts; (open == 0) != stepped {
		t.Errorf("stepped %v: %d attempts at once", stepped, open)
	}
	if stepped {
		if line := <-core.LogLines(); !strings.HasPrefix(line, "wall clock stepped by -1h0m0s") {
			t.Errorf("logged %q", line)
		}
	}
	if len(core.LogLines()) != 0 {
		t.Errorf("reported again: %q", <-core.LogLines())
	}
	request.Close()
}

// A step between two endpoint updates is reported by the next check of the clock, once.
func TestCheckClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, _ := newTestCore(t, policy.RequestClass{}, 1)
		wall := core.clock.wall
		core.clock.wall = func() int64 { return wall() + int64(time.Hour) }
		if core.Counts(); len(core.LogLines()) != 0 {
			t.Errorf("Counts has an effect: %q", <-core.LogLines())
		}
		core.CheckClock()
		core.CheckClock()
		if len(core.LogLines()) != 1 {
			t.Fatalf("%d log lines", len(core.LogLines()))
		}
		if line := <-core.LogLines(); !strings.HasPrefix(line, "wall clock stepped by 1h0m0s") {
			t.Errorf("logged %q", line)
		}
	})
}
