package policy

import (
	"fmt"
	"strings"
	"testing"
)

// After a step of the wall clock, on this host or where a backend's start time is reported, a new backend never counts
// as warm, and a warm one gets its full share after the warm-up time.
func TestClockStepped(t *testing.T) {
	const hour, now = 3600_000.0, 7200_000.0
	for _, tc := range []struct {
		name         string
		hadFirstList bool    // a list has been received before
		stepSeen     bool    // a step of this host's clock was seen
		start        float64 // ms, the listed start time
		at           float64 // ms, when the progress is read
		least        float64
		most         float64
	}{
		{"no step", true, false, now - 500, now, 0.4, 0.5},
		{"no step, up for two seconds", true, false, now - 2_000, now, 0.6, 0.7},
		{"no step, five seconds later", true, false, now - 500, now + 5_000, 1, 1},
		{"step seen", true, true, now - 2_000, now, 0.4, 0.4},
		{"step seen, warm by now", true, true, now - 2_000, now + 5_000, 1, 1},
		{"set back by five seconds, seen", true, true, now - 5_000, now, 0.4, 0.4},
		{"set back an hour at the reporting host", true, false, now - hour, now, 0.4, 0.4},
		{"set back an hour, a second later", true, false, now - hour, now + 1_000, 0.5, 0.6},
		{"set forward an hour", true, false, now + hour, now, 0.4, 0.4},
		{"set forward an hour, warm by now", true, false, now + hour, now + 5_000, 1, 1},
		{"in the first list, up for a second", false, false, now - 1_000, now, 0.5, 0.6},
		{"in the first list, in the future", false, false, now + hour, now, 0.4, 0.4},
		{"in the first list, in the future, warm by now", false, false, now + hour, now + 5_000, 1, 1},
		{"long ago", true, false, 0, now, 1, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			inst, _ := startInstance(RequestClass{}, 0)
			inst.discovery.listReceived = false
			if tc.hadFirstList {
				inst.OnEndpoints(1, EndpointUpdate{Endpoints: []Endpoint{{ID: "a", Release: 1, Weight: 1}}, Snapshot: true})
			}
			if tc.stepSeen {
				inst.OnClockStep(2)
			}
			inst.OnEndpoints(now, EndpointUpdate{Endpoints: []Endpoint{{ID: "x", Release: 1, Weight: 1, StartedAt: tc.start}}})
			inst.OnTimer(tc.at, 0)
			backend, _ := inst.endpoints.Find("x")
			if got := inst.warmUpProgress(inst.endpoints.At(backend)); got < tc.least-1e-9 || got > tc.most+1e-9 {
				t.Errorf("warm-up progress = %.2f, want %.2f to %.2f", got, tc.least, tc.most)
			}
		})
	}
}

// A start time in the future does not delay the votes on a stage.
func TestFutureStartTime(t *testing.T) {
	inst, _ := startInstance(RequestClass{}, 3)
	inst.OnReleaseUpdate(10, ReleaseUpdate{Release: 2, Phase: RollingOut, Cap: 0.5, HasState: true})
	inst.OnEndpoints(1000, EndpointUpdate{Endpoints: []Endpoint{{ID: "x", Release: 2, Weight: 1, StartedAt: 3600_000}}})
	count, lastStart := inst.newestReleaseBackends()
	expect(t, "running backends of the newest release", count, 1)
	expect(t, "last start", lastStart, 1000.0)
}

// A backend that warms up gets no more than its budget, both alone and among warm backends.
func TestSlowStart(t *testing.T) {
	for _, tc := range []struct {
		name     string
		warm     int // number of warm backends
		requests int // one every 5 ms, served immediately by the new backend only
		most     int // maximum number of attempts at the new backend
	}{{"among warm backends", 4, 100, 30}, {"alone", 0, 600, 30}} {
		t.Run(tc.name, func(t *testing.T) {
			inst, port := startInstance(RequestClass{}, tc.warm)
			for k := range 400 {
				id, now := fmt.Sprint("w", k), 10+float64(k)*5
				inst.OnRequest(now, Request{ID: id, TimeLeft: 4000})
				inst.OnAttemptResult(now+4, AttemptResult{RequestID: id, Status: StatusServed, Final: true, Elapsed: 50})
			}
			inst.OnEndpoints(2100, EndpointUpdate{Endpoints: []Endpoint{{ID: "x", Release: 1, Weight: 1, StartedAt: 2050}}})
			port.takeActions()
			attempts := 0
			for k := range tc.requests {
				id, now := fmt.Sprint(k), 2101+float64(k)*5
				inst.OnRequest(now, Request{ID: id, TimeLeft: 4000})
				for _, action := range port.takeActions() {
					if strings.HasSuffix(action, " x") {
						attempts++
						inst.OnAttemptResult(now+4, AttemptResult{RequestID: strings.Fields(action)[1], Status: StatusServed, Final: true, Elapsed: 50})
					}
				}
			}
			if attempts > tc.most || attempts == 0 {
				t.Errorf("%d attempts at the new backend, want 1 to %d", attempts, tc.most)
			}
		})
	}
}

// Hundreds of instances discover one new backend: hardly any instance sends immediately, and in total they stay within
// its budget.
func TestSlowStartOfFleet(t *testing.T) {
	const instances = 400
	attempts := map[float64]int{5: 0, 1000: 0} // by time in ms
	for k := range instances {
		port := &recordingPort{}
		inst := New(port, Config{Seed: uint64(k)*977 + 1, Index: k, Instances: instances})
		inst.configureClasses(Config{Classes: []RequestClass{{LatencyObjective: 1000, Timeout: 4000, Value: 1}}, MaxAttempts: 5, ConcurrentAttempts: true, CancelAllowed: true})
		inst.configureSlowStart(SlowStartConfig{InitialCapacity: 0.4, WarmUp: 5000, OverloadFactor: 3, OverloadWindow: 1000})
		inst.OnEndpoints(1, EndpointUpdate{Endpoints: []Endpoint{{ID: "x", Release: 1, Weight: 1, StartedAt: 1}}, Snapshot: true})
		for _, now := range []float64{5, 1000} {
			inst.OnRequest(now, Request{ID: fmt.Sprint(now), TimeLeft: 300})
			attempts[now] += len(port.takeActions())
			inst.OnClientGone(now, fmt.Sprint(now))
			port.takeActions()
		}
	}
	// If no warm backend has been observed, the budget is based on one request per second, multiplied by the overload
	// factor, the initial capacity and a margin.
	if attempts[5] > 2 || attempts[1000] > 4 {
		t.Errorf("attempts of the fleet at 5 ms = %d, want at most 2; at 1000 ms = %d, want at most 4", attempts[5], attempts[1000])
	}
}
