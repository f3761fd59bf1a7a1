package core

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"onyxgate/policy"
)

// A step of the wall clock in either direction is detected once. Small changes and a pause between the two readings
// are not steps.
func TestClockStep(t *testing.T) {
	for _, c := range []struct {
		name    string
		wall    []time.Duration // wall clock relative to the monotonic one at each reading; the last value is repeated
		stepped time.Duration
	}{
		{"none", []time.Duration{0}, 0},
		{"an hour back", []time.Duration{-time.Hour}, -time.Hour},
		{"five seconds forward", []time.Duration{5 * time.Second}, 5 * time.Second},
		{"less than minClockStep", []time.Duration{100 * time.Millisecond}, 0},
		{"the process paused between two readings", []time.Duration{-400 * time.Millisecond, 0}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			readings := 0
			clock := clock{monotonic: func() time.Duration { return time.Minute }}
			clock.wall = func() int64 {
				readings++
				return int64(time.Minute + c.wall[min(readings, len(c.wall))-1])
			}
			if got := clock.step(); got != c.stepped {
				t.Errorf("step = %v, want %v", got, c.stepped)
			}
			if got := clock.step(); got != 0 {
				t.Errorf("second step = %v, want 0", got)
			}
		})
	}
}

// After a clock step a newly listed backend counts as just started, so a request waits for its slow start. Without a
// step its listed start is trusted and it is warm. The time of the decisions does not change with the step.
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
		t.Errorf("Now changed by %v ms, want 0", core.Now()-before)
	}
	request := accept(core, "t", 3000)
	core.CheckClock()
	if open := core.Counts().OpenAttempts; (open == 0) != stepped {
		t.Errorf("stepped = %v: %d open attempts, want none after a step and at least one otherwise", stepped, open)
	}
	if stepped {
		if line := <-core.LogLines(); !strings.HasPrefix(line, "wall clock stepped by -1h0m0s") {
			t.Errorf("log line = %q, want prefix %q", line, "wall clock stepped by -1h0m0s")
		}
	}
	if len(core.LogLines()) != 0 {
		t.Errorf("unexpected log line %q", <-core.LogLines())
	}
	request.Close()
}

// A step between two endpoint updates is reported once, by the next call of CheckClock.
func TestCheckClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, _ := newTestCore(t, policy.RequestClass{}, 1)
		wall := core.clock.wall
		core.clock.wall = func() int64 { return wall() + int64(time.Hour) }
		if core.Counts(); len(core.LogLines()) != 0 {
			t.Errorf("Counts caused the log line %q, want none", <-core.LogLines())
		}
		core.CheckClock()
		core.CheckClock()
		if len(core.LogLines()) != 1 {
			t.Fatalf("%d log lines, want 1", len(core.LogLines()))
		}
		if line := <-core.LogLines(); !strings.HasPrefix(line, "wall clock stepped by 1h0m0s") {
			t.Errorf("log line = %q, want prefix %q", line, "wall clock stepped by 1h0m0s")
		}
	})
}
