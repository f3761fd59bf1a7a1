package health

import (
	"math/rand/v2"
	"testing"
)

// How many of 1000 draws skip a backend, depending on its record, in a fleet that answers nearly everything in time.
func TestDrawUnhealthy(t *testing.T) {
	for _, tc := range []struct {
		name                string
		successes, failures int
		age                 float64 // ms since the backend's last answer
		minimum, maximum    int
	}{
		{"no answers", 0, 0, 0, 0, 0},
		{"only successes", 20, 0, 0, 0, 0},
		{"one failure of many", 20, 1, 0, 0, 50},
		{"half of the answers failed", 10, 10, 0, 900, 1000},
		{"all failed", 0, 10, 0, 990, 1000},
		{"all failed, long ago", 0, 10, 20 * decayTime, 0, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var backend, fleet Record
			for range 100 {
				fleet.Add(1000, true)
			}
			for range tc.successes {
				backend.Add(1000, true)
			}
			for range tc.failures {
				backend.Add(1000, false)
			}
			if skipped := skippedOf1000(&backend, &fleet, 1000+tc.age); skipped < tc.minimum || skipped > tc.maximum {
				t.Errorf("skipped in %d of 1000 draws, want %d to %d", skipped, tc.minimum, tc.maximum)
			}
		})
	}
}

func skippedOf1000(backend, fleet *Record, now float64) (skipped int) {
	rng := rand.New(rand.NewPCG(1, 1))
	for range 1000 {
		if DrawUnhealthy(backend, fleet, now, rng) {
			skipped++
		}
	}
	return skipped
}
