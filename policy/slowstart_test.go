package policy

import (
	"fmt"
	"strings"
	"testing"
)

// How cold a backend is: a wall clock that was stepped, here or where its start is told, never makes a fresh backend pass for a
// warm one, nor keeps a warm one cold.
func TestClockStepped(t *testing.T) {
	const hour, now = 3600_000.0, 7200_000.0
	for _, c := range []struct {
		name    string
		listed  bool    // after a first list
		seen    bool    // a step of our clock was seen
		start   float64 // as told, against now, when it comes
		at      float64
		minimum float64
		maximum float64
	}{
		{"no step", true, false, now - 500, now, 0.4, 0.5},
		{"no step, up for two seconds", true, false, now - 2_000, now, 0.6, 0.7},
		{"no step, later", true, false, now - 500, now + 5_000, 1, 1},
		{"a step was seen", true, true, now - 2_000, now, 0.4, 0.4},
		{"a step was seen, warm by now", true, true, now - 2_000, now + 5_000, 1, 1},
		{"set back by five seconds, seen", true, true, now - 5_000, now, 0.4, 0.4},
		{"set back an hour where it is told", true, false, now - hour, now, 0.4, 0.4},
		{"set back an hour, a second later", true, false, now - hour, now + 1_000, 0.5, 0.6},
		{"set forward an hour", true, false, now + hour, now, 0.4, 0.4},
		{"set forward an hour, warm by now", true, false, now + hour, now + 5_000, 1, 1},
		{"in the first list, up for a second", false, false, now - 1_000, now, 0.5, 0.6},
		{"in the first list, in the future", false, false, now + hour, now, 0.4, 0.4},
		{"in the first list, in the future, warm by now", false, false, now + hour, now + 5_000, 1, 1},
		{"long ago", true, false, 0, now, 1, 1},
	} {
		inst, _ := startInstance(RequestClass{}, 0)
		inst.discovery.heard = false
		if c.listed {
			inst.OnEndpoints(1, EndpointUpdate{Endpoints: []Endpoint{{ID: "a", Release: 1, Weight: 1}}, Snapshot: true})
		}
		if c.seen {
			inst.OnClockStep(2)
		}
		inst.OnEndpoints(now, EndpointUpdate{Endpoints: []Endpoint{{ID: "x", Release: 1, Weight: 1, StartedAt: c.start}}})
		inst.OnTimer(c.at, 0)
		backend, _ := inst.endpoints.Find("x")
		if got := inst.warmUpProgress(inst.endpoints.At(backend)); got < c.minimum-1e-9 || got > c.maximum+1e-9 {
			t.Errorf("%s: %.2f of its capacity, want %.2f to %.2f", c.name, got, c.minimum, c.maximum)
		}
	}
}

// A start that is told in the future keeps no stage waiting for it.
func TestFutureStartVotes(t *testing.T) {
	inst, _ := startInstance(RequestClass{}, 3)
	inst.OnReleaseUpdate(10, ReleaseUpdate{Release: 2, Phase: RollingOut, Cap: 0.5, Known: true})
	inst.OnEndpoints(1000, EndpointUpdate{Endpoints: []Endpoint{{ID: "x", Release: 2, Weight: 1, StartedAt: 3600_000}}})
	count, lastStart := inst.newestReleaseBackends()
	expect(t, "backends", count, 1)
	expect(t, "last start", lastStart, 1000.0)
}

// A cold appliance gets no more than its part, be it alone, among warm ones or after a restart.
func TestCold(t *testing.T) {
	for _, tc := range []struct {
		name string
		warm int
		txns int // one each 5 ms, answered at once by the cold appliance alone
		most int // submissions at it
	}{{"among warm", 4, 100, 30}, {"alone", 0, 600, 30}} {
		t.Run(tc.name, func(t *testing.T) {
			inst, port := startInstance(RequestClass{}, tc.warm)
			for k := range 400 {
				id, now := fmt.Sprint("w", k), 10+float64(k)*5
				inst.OnRequest(now, Request{ID: id, TimeLeft: 4000})
				inst.OnAttemptResult(now+4, AttemptResult{RequestID: id, Status: StatusServed, Final: true, Took: 50})
			}
			inst.OnEndpoints(2100, EndpointUpdate{Endpoints: []Endpoint{{ID: "x", Release: 1, Weight: 1, StartedAt: 2050}}})
			port.take()
			n := 0
			for k := range tc.txns {
				id, now := fmt.Sprint(k), 2101+float64(k)*5
				inst.OnRequest(now, Request{ID: id, TimeLeft: 4000})
				for _, did := range port.take() {
					if strings.HasSuffix(did, " x") {
						n++
						inst.OnAttemptResult(now+4, AttemptResult{RequestID: strings.Fields(did)[1], Status: StatusServed, Final: true, Took: 50})
					}
				}
			}
			if n > tc.most || n == 0 {
				t.Errorf("%d submissions, want 1 to %d", n, tc.most)
			}
		})
	}
}

// Hundreds of agents meet one cold appliance: none at once, and in sum at the rate of its budget.
func TestColdSum(t *testing.T) {
	const agents = 400
	at := map[float64]int{5: 0, 1000: 0}
	for k := range agents {
		port := &recordingPort{}
		inst := New(port, Config{Seed: uint64(k)*977 + 1, Index: k, Instances: agents})
		inst.configureClasses(Config{Classes: []RequestClass{{LatencyObjective: 1000, Timeout: 4000, Value: 1}}, MaxAttempts: 5, ConcurrentAttempts: true, CancelAllowed: true})
		inst.configureSlowStart(SlowStartConfig{InitialCapacity: 0.4, WarmUp: 5000, OverloadFactor: 3, OverloadWindow: 1000})
		inst.OnEndpoints(1, EndpointUpdate{Endpoints: []Endpoint{{ID: "x", Release: 1, Weight: 1, StartedAt: 1}}, Snapshot: true})
		for _, now := range []float64{5, 1000} {
			inst.OnRequest(now, Request{ID: fmt.Sprint(now), TimeLeft: 300})
			at[now] += len(port.take())
			inst.OnClientGone(now, fmt.Sprint(now))
			port.take()
		}
	}
	// One txn a second is the floor where nothing warm is seen, times multiple, least warmth and margin.
	if at[5] > 2 || at[1000] > 4 {
		t.Errorf("%d at once, %d after a second", at[5], at[1000])
	}
}
