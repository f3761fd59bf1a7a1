package admission

import (
	"math/rand/v2"
	"testing"
)

// A tenant gets its part of the quota and one burst; what it asks beyond that is over the quota, and doesn't use it up.
func TestQuotas(t *testing.T) {
	// 0.02 requests per ms over 2 instances: 10 a second here, 20 at once.
	for _, tc := range []struct {
		name    string
		tenant  int
		gap     float64 // ms between two of 1000 requests
		minimum int     // within the quota
		maximum int
	}{
		{"below the quota", 0, 101, 1000, 1000},
		{"twice the quota", 0, 50, 499, 521},
		{"ten times the quota", 0, 10, 99, 121},
		{"a tenant without a quota", 1, 10, 1000, 1000},
	} {
		t.Run(tc.name, func(t *testing.T) {
			quotas, within := NewQuotas([]float64{0.02}, 2), 0
			for k := range 1000 {
				if !quotas.OverQuota(tc.tenant, 10_000+float64(k)*tc.gap) {
					within++
				}
			}
			if within < tc.minimum || within > tc.maximum {
				t.Errorf("%d of 1000 within the quota, want %d to %d", within, tc.minimum, tc.maximum)
			}
		})
	}
}

// The probability after signs of overload, answers in time and time without either.
func TestThrottle(t *testing.T) {
	for _, tc := range []struct {
		name             string
		signals          []float64
		after            float64 // ms
		minimum, maximum float64
	}{
		{"nothing seen", nil, 0, 1, 1},
		{"one late answer", []float64{1}, 0, 0.59, 0.61},
		{"a sign that is not sure", []float64{0.3}, 0, 0.87, 0.89},
		{"late, then in time", []float64{1, 0}, 0, 0.69, 0.71},
		{"many in time", []float64{1, 0, 0, 0, 0, 0, 0}, 0, 1, 1},
		{"many late answers", []float64{1, 1, 1, 1, 1, 1}, 0, 0, 0.05},
		{"many late answers, a minute ago", []float64{1, 1, 1, 1, 1, 1}, 60_000, 0.9, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			throttle := NewThrottle()
			for _, overload := range tc.signals {
				throttle.OnSignal(overload, 1000)
			}
			if got := throttle.Probability(1000 + tc.after); got < tc.minimum || got > tc.maximum {
				t.Errorf("probability %.3f, want %v to %v", got, tc.minimum, tc.maximum)
			}
		})
	}
}

// Under overload requests of more value are taken on more often; without it all are.
func TestAdmits(t *testing.T) {
	for _, tc := range []struct {
		name             string
		overload         int // signs of it
		value            float64
		minimum, maximum int // of 1000, at a mean value of 1
	}{
		{"no overload", 0, 1, 1000, 1000},
		{"no overload, hardly any value", 0, 0.01, 1000, 1000},
		{"overload, mean value", 2, 1, 430, 530},
		{"overload, three times the value", 2, 3, 730, 830},
		{"overload, no value", 2, 0, 0, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			throttle, admitted, rng := NewThrottle(), 0, rand.New(rand.NewPCG(1, 1))
			for range tc.overload {
				throttle.OnSignal(1, 1000)
			}
			for range 1000 {
				if throttle.Admits(tc.value, 1, 1000, rng) {
					admitted++
				}
			}
			if admitted < tc.minimum || admitted > tc.maximum {
				t.Errorf("%d of 1000 admitted, want %d to %d", admitted, tc.minimum, tc.maximum)
			}
		})
	}
}

// The rate comes out right soon after the start and later on, and falls when nothing arrives.
func TestArrivalRate(t *testing.T) {
	for _, tc := range []struct {
		name             string
		lasts, idle      float64 // ms of one request each 10 ms, and without any after that
		minimum, maximum float64
	}{
		{"soon after the start", 500, 0, 270, 340},
		{"after a minute", 60_000, 0, 295, 305},
		{"after a pause of 10 s", 60_000, 10_000, 5, 15},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var rate ArrivalRate
			now := 0.0
			for now < tc.lasts {
				now += 10
				rate.Add(now)
			}
			if got := rate.PerWindow(now + tc.idle); got < tc.minimum || got > tc.maximum {
				t.Errorf("%.1f requests in a window, want %v to %v", got, tc.minimum, tc.maximum)
			}
		})
	}
}
