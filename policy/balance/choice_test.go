package balance

import (
	"math/rand/v2"
	"testing"
)

// Candidate 3 of 20 has the least load. Each case states which candidate is expected and how many times in 1000
// choices, depending on which candidates are accepted and which fit.
func TestLeastLoaded(t *testing.T) {
	all := func(int) bool { return true }
	none := func(int) bool { return false }
	only := func(one int) func(int) bool { return func(candidate int) bool { return candidate == one } }
	for _, tc := range []struct {
		name             string
		candidates       int
		accepts, fits    func(int) bool
		chosen           int
		minimum, maximum int
	}{
		{"all are accepted: the least loaded of six draws", 20, all, all, 3, 200, 320},
		{"one is accepted", 20, only(5), all, 5, 800, 1000},
		{"none is accepted, one fits", 20, none, only(7), 7, 1000, 1000},
		{"none is accepted, all fit", 20, none, all, 3, 20, 90},
		{"none fits", 20, none, none, -1, 1000, 1000},
		{"no candidates", 0, all, all, -1, 1000, 1000},
	} {
		t.Run(tc.name, func(t *testing.T) {
			rng, chosen := rand.New(rand.NewPCG(1, 1)), 0
			candidates := make([]int, tc.candidates)
			for k := range candidates {
				candidates[k] = k
			}
			load := func(candidate int) float64 {
				if candidate == 3 {
					return 0.5
				}
				return 1
			}
			for range 1000 {
				if LeastLoaded(candidates, rng, tc.accepts, tc.fits, load) == tc.chosen {
					chosen++
				}
			}
			if chosen < tc.minimum || chosen > tc.maximum {
				t.Errorf("candidate %d chosen %d of 1000 times, want %d to %d", tc.chosen, chosen, tc.minimum, tc.maximum)
			}
		})
	}
}
