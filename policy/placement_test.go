package policy

import (
	"testing"

	"onyxgate/policy/balance"
)

// In a large fleet, requests must not concentrate on the backends with the highest weight, nor on those that report no
// load.
func TestPickBackendDistribution(t *testing.T) {
	for _, tc := range []struct {
		name         string
		weight, load float64 // of backend a; the others have weight 1 and report 0.8
		least, most  int     // of 1000 picks among 5 backends
	}{{"same weight and load", 1, 0.8, 150, 250}, {"higher weight", 1.5, 0.8, 220, 340}, {"reports no load", 1, 0, 150, 250}} {
		t.Run(tc.name, func(t *testing.T) {
			inst, _ := startInstance(RequestClass{}, 5)
			inst.instances, inst.endpoints.At(0).Weight, inst.fleet.refreshAt = 300, tc.weight, 0
			inst.OnTimer(2, 0)
			for backend, load := range []float64{tc.load, 0.8, 0.8, 0.8, 0.8} {
				inst.endpoints.At(backend).Load = balance.NewLoad(load, 0, 2)
			}
			picked := 0
			for range 1000 {
				if inst.pickBackend(&request{deadline: 100, relativeWork: 1}) == 0 {
					picked++
				}
			}
			if picked < tc.least || picked > tc.most {
				t.Errorf("backend a picked %d times in 1000, want %d to %d", picked, tc.least, tc.most)
			}
		})
	}
}
