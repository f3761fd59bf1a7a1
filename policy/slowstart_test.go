package policy

import "testing"

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
