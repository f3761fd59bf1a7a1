package policy

import "testing"

// Backends that are draining, removed or missing from a snapshot get no attempts.
func TestEndpointStates(t *testing.T) {
	for _, tc := range []struct {
		name     string
		listed   Endpoint
		snapshot bool
		want     string
	}{
		{"draining", Endpoint{ID: "a", Release: 1, State: EndpointDraining, Weight: 1}, false, "[]"},
		{"removed", Endpoint{ID: "a", Release: 1, State: EndpointRemoved, Weight: 1}, false, "[]"},
		{"not in a snapshot", Endpoint{ID: "b", Release: 1, Weight: 1}, true, "[submit t b]"},
		{"running", Endpoint{ID: "a", Release: 1, Weight: 1}, false, "[submit t a]"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			inst, port := startInstance(RequestClass{}, 1)
			inst.OnEndpoints(5, EndpointUpdate{Endpoints: []Endpoint{tc.listed}, Snapshot: tc.snapshot})
			inst.OnRequest(10, Request{ID: "t", TimeLeft: 4000})
			expect(t, "actions", port.takeActions(), tc.want)
		})
	}
}

// Failed subscriptions are retried with increasing delays within the refresh interval of 10 s.
func TestWatchRetries(t *testing.T) {
	inst, port := startInstance(RequestClass{}, 1)
	inst.discovery.subscriptionRequired, inst.discovery.refreshInterval = true, 10000
	inst.OnTimer(2, 0)
	inst.OnDiscoveryFailed(3)
	expect(t, "actions after the first failure", port.takeActions(), "[subscribe]")
	var attempts []float64 // ms
	for now := 3.0; now < 60000; now += 5 {
		inst.OnTimer(now, inst.timers.token)
		if len(port.takeActions()) > 0 {
			attempts = append(attempts, now)
			inst.OnDiscoveryFailed(now)
		}
	}
	for k := 1; k < len(attempts); k++ {
		pause := attempts[k] - attempts[k-1]
		tooSoon := k > 1 && k < 4 && pause < attempts[k-1]-3 && pause < 100
		if pause > 9000 || tooSoon {
			t.Errorf("retry %d after %v ms, want at most 9000 ms and growing delays at first", k, pause)
		}
	}
	if len(attempts) < 6 {
		t.Errorf("subscribed %d times in a minute of failures, want at least 6", len(attempts))
	}
}
