package policy

import (
	"fmt"
	"testing"
)

// The places of a new release are the backends that it will replace. Backends replaced by the previous release, or
// drained because the previous release is rolling back, are not places. A backend that is draining because the new
// release takes its place counts as a place.
func TestPlaces(t *testing.T) {
	for _, tc := range []struct {
		name                  string
		old, before, new      int // number of backends of releases 1, 2 and 3
		oldState, beforeState EndpointState
		want                  int
	}{
		{"no other release", 0, 6, 0, EndpointRunning, EndpointRunning, 6},
		{"previous release has replaced all", 6, 6, 0, EndpointDraining, EndpointRunning, 6},
		{"previous release rolls back", 6, 3, 0, EndpointRunning, EndpointDraining, 6},
		{"new release already replaces some", 0, 6, 2, EndpointRunning, EndpointRunning, 6},
	} {
		t.Run(tc.name, func(t *testing.T) {
			inst, _ := startInstance(RequestClass{}, 0)
			var list []Endpoint
			add := func(n int, id ReleaseID, state EndpointState) {
				for k := range n {
					list = append(list, Endpoint{ID: fmt.Sprint(id, "-", k), Release: id, Weight: 1, State: state})
				}
			}
			add(tc.old, 1, tc.oldState)
			add(tc.before, 2, tc.beforeState)
			for k := range tc.new {
				list[k].State = EndpointDraining
			}
			add(tc.new, 3, EndpointRunning)
			inst.OnEndpoints(5, EndpointUpdate{Endpoints: list, Snapshot: true})
			inst.OnReleaseUpdate(10, ReleaseUpdate{Release: 3, Phase: RollingOut, Cap: 0.1, HasState: true})
			expect(t, "places", inst.places, tc.want)
		})
	}
}
