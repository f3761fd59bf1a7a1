package policy

import (
	"testing"

	"onyxgate/policy/balance"
)

// Many agents that see little each must not crowd on the appliances rated best, nor on those that report none.
func TestDraw(t *testing.T) {
	for _, tc := range []struct {
		name        string
		rated, told float64 // of appliance a; the others are rated 1 and tell 0.8
		least, most int     // of 1000 picks among 5
	}{{"alike", 1, 0.8, 150, 250}, {"rated higher", 1.5, 0.8, 220, 340}, {"tells no load", 1, 0, 150, 250}} {
		t.Run(tc.name, func(t *testing.T) {
			inst, _ := startInstance(RequestClass{}, 5)
			inst.instances, inst.endpoints.At(0).Weight, inst.fleet.dueAt = 300, tc.rated, 0
			inst.OnTimer(2, 0)
			for backend, load := range []float64{tc.told, 0.8, 0.8, 0.8, 0.8} {
				inst.endpoints.At(backend).Load = balance.NewLoad(load, 0, 2)
			}
			n := 0
			for range 1000 {
				if inst.pickBackend(&request{deadline: 100, relativeWork: 1}) == 0 {
					n++
				}
			}
			if n < tc.least || n > tc.most {
				t.Errorf("%d of 1000, want %d to %d", n, tc.least, tc.most)
			}
		})
	}
}
