package concurrency

import (
	"math/rand/v2"
	"testing"
)

// The effect of one answer on a limit of 4.
func TestOnSample(t *testing.T) {
	for _, tc := range []struct {
		name            string
		inTime          bool
		open, instances int
		want            Limit
	}{
		{"in time, in use", true, 3, 1, 4.2},
		{"in time, hardly used", true, 1, 1, 4},
		{"late, one instance", false, 3, 1, 2},
		{"late, many instances share the minimum", false, 3, 20, 0.1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			limit := InitialLimit
			change := limit.OnSample(tc.inTime, tc.open, tc.instances)
			if limit != tc.want {
				t.Errorf("limit %v, want %v", limit, tc.want)
			}
			if change != float64(limit)-float64(InitialLimit) {
				t.Errorf("change = %v, want %v - %v", change, limit, InitialLimit)
			}
		})
	}
}

// Ejections grow with each consecutive failure up to the bound, and start small again after a success.
func TestEjection(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	var ejection Ejection
	now := 1000.0
	fail := func() (lasts float64) {
		ejection.OnFailure(now, rng)
		lasts = ejection.until - now
		if !ejection.Active(now) || ejection.Active(ejection.until) {
			t.Errorf("Active = %v at the start, %v at the end; want true, false", ejection.Active(now), ejection.Active(ejection.until))
		}
		now = ejection.until
		return lasts
	}
	for k, mean := range []float64{20, 40, 80, 160, 320, 640, 1000, 1000} {
		if lasts := fail(); lasts < 0.5*mean || lasts > 1.5*mean {
			t.Errorf("failure %d: ejected for %.0f ms, want %.0f to %.0f", k, lasts, 0.5*mean, 1.5*mean)
		}
	}
	ejection.OnSuccess()
	if lasts := fail(); lasts > 1.5*firstEjection {
		t.Errorf("after a success: ejected for %.0f ms, want at most %.0f", lasts, 1.5*firstEjection)
	}
}
