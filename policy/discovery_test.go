package policy

import "testing"

// Nothing goes to an appliance that drains or is gone, and a re-used id is a new, cold machine.
func TestList(t *testing.T) {
	for _, tc := range []struct {
		name  string
		entry Endpoint
		whole bool
		want  string
	}{
		{"drains", Endpoint{ID: "a", Release: 1, State: EndpointDraining, Weight: 1}, false, "[]"},
		{"gone", Endpoint{ID: "a", Release: 1, State: EndpointRemoved, Weight: 1}, false, "[]"},
		{"not in a whole list", Endpoint{ID: "b", Release: 1, Weight: 1}, true, "[submit t b]"},
		{"runs", Endpoint{ID: "a", Release: 1, Weight: 1}, false, "[submit t a]"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			inst, port := startInstance(RequestClass{}, 1)
			inst.OnEndpoints(5, EndpointUpdate{Endpoints: []Endpoint{tc.entry}, Snapshot: tc.whole})
			inst.OnRequest(10, Request{ID: "t", TimeLeft: 4000})
			expect(t, tc.name, port.take(), tc.want)
		})
	}
	inst, port := startInstance(RequestClass{}, 1)
	inst.discovery.onDemand, inst.discovery.refreshInterval = true, 10000
	inst.OnTimer(2, 0)
	inst.OnEndpointsFailed(3)
	expect(t, "asked once", port.take(), "[subscribe]")
	var asked []float64
	for now := 3.0; now < 60000; now += 5 {
		inst.OnTimer(now, inst.timerToken)
		if len(port.take()) > 0 {
			asked = append(asked, now)
			inst.OnEndpointsFailed(now)
		}
	}
	for k := 1; k < len(asked); k++ {
		if gap := asked[k] - asked[k-1]; gap > 9000 || k < 4 && gap < asked[k-1]-3 && k > 1 && gap < 100 {
			t.Errorf("asked again after %v ms", gap)
		}
	}
	if len(asked) < 6 {
		t.Errorf("asked %d times in a minute of failures", len(asked))
	}
}
