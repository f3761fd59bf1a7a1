package policy

import (
	"fmt"
	"testing"
)

// A superseded release counts as released if it runs on more than half of the running backends of all releases before
// the newest one. Otherwise it keeps its cap.
func TestSupersededReleaseCountsAsReleased(t *testing.T) {
	for _, c := range []struct {
		name             string
		first            int // running backends of release 1
		superseded       int // backends of release 2, which was rolling out when release 3 was announced
		supersededListed EndpointState
		newest           int // running backends of release 3, which must not count
		want             bool
	}{
		{"on none", 4, 0, EndpointRunning, 1, false},
		{"on a quarter", 3, 1, EndpointRunning, 1, false},
		{"just over a quarter", 5, 2, EndpointRunning, 1, false},
		{"just under half", 3, 2, EndpointRunning, 1, false},
		{"exactly half", 2, 2, EndpointRunning, 1, false},
		{"exactly half of many", 50, 50, EndpointRunning, 1, false},
		{"just over half", 2, 3, EndpointRunning, 1, true},
		{"just over half of many", 50, 51, EndpointRunning, 1, true},
		{"just over half, most backends run the newest", 2, 3, EndpointRunning, 20, true},
		{"on all", 0, 4, EndpointRunning, 1, true},
		{"draining backends do not count", 2, 9, EndpointDraining, 1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			inst, _ := startInstance(RequestClass{}, 0)
			inst.OnReleaseUpdate(2, ReleaseUpdate{Release: 1, Stage: 2, Phase: Released, Cap: 1, HasState: true})
			inst.OnReleaseUpdate(3, ReleaseUpdate{Release: 2, Phase: RollingOut, Cap: 0.1, HasState: true})
			inst.OnReleaseUpdate(4, ReleaseUpdate{Release: 3, Phase: RollingOut, Cap: 0.1, HasState: true})
			var list []Endpoint
			add := func(count int, release ReleaseID, state EndpointState) {
				for k := range count {
					list = append(list, Endpoint{ID: fmt.Sprint(release, "-", k), Release: release, Weight: 1, State: state})
				}
			}
			add(c.first, 1, EndpointRunning)
			add(c.superseded, 2, c.supersededListed)
			add(c.newest, 3, EndpointRunning)
			inst.OnEndpoints(5, EndpointUpdate{Endpoints: list, Snapshot: true})
			superseded := inst.releases.Record(2)
			expect(t, "released", superseded.Phase == Released, c.want)
			expect(t, "superseded", superseded.Superseded, !c.want)
			limit, limited := inst.releases.Cap(2)
			expect(t, "capped", limited, !c.want)
			expect(t, "cap", limit, map[bool]float64{true: 1, false: 0.1}[c.want])
		})
	}
}
