package policy

import (
	"fmt"
	"testing"
)

// The places of a new release are those of the fleet as it is. Backends that the release before it has replaced, or that go with one that
// rolls back, still drain and are no places, while what the new one drains already is one.
func TestPlaces(t *testing.T) {
	for _, tc := range []struct {
		name                  string
		old, before, new      int // backends of releases 1, 2 and 3
		oldState, beforeState EndpointState
		want                  int
	}{
		{"nothing else", 0, 6, 0, EndpointRunning, EndpointRunning, 6},
		{"the one before has replaced all", 6, 6, 0, EndpointDraining, EndpointRunning, 6},
		{"the one before rolls back", 6, 3, 0, EndpointRunning, EndpointDraining, 6},
		{"the new one drains some already", 0, 6, 2, EndpointRunning, EndpointRunning, 6},
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
