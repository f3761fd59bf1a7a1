package admission

import (
	"math/rand/v2"
	"testing"
)

// A tenant gets its share of the quota plus one burst. Requests beyond that are over the quota and do not consume it.
func TestQuotas(t *testing.T) {
	// 0.02 requests per ms over 2 instances: 10 per second at this instance, with a burst of 20.
	for _, tc := range []struct {
		name    string
		tenant  int
		gap     float64 // ms between consecutive requests; 1000 are sent
		minimum int     // admitted by the quota, of 1000
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
				t.Errorf("%d of 1000 requests within the quota, want %d to %d", within, tc.minimum, tc.maximum)
			}
		})
	}
}

// The admission probability falls with overload signals and rises with answers in time and with idle time.
func TestThrottle(t *testing.T) {
	for _, tc := range []struct {
		name             string
		signals          []float64
		after            float64 // ms since the last signal
		minimum, maximum float64
	}{
		{"no signals", nil, 0, 1, 1},
		{"one late answer", []float64{1}, 0, 0.59, 0.61},
		{"an uncertain signal", []float64{0.3}, 0, 0.87, 0.89},
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

// Under overload, requests of higher value are admitted more often; without overload, all are admitted.
func TestAdmits(t *testing.T) {
	for _, tc := range []struct {
		name             string
		overload         int // number of overload signals
		value            float64
		minimum, maximum int // admitted, of 1000, with a mean value of 1
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
				t.Errorf("%d of 1000 requests admitted, want %d to %d", admitted, tc.minimum, tc.maximum)
			}
		})
	}
}

// The estimate is accurate shortly after the start and later, and decays when nothing arrives.
func TestArrivalRate(t *testing.T) {
	for _, tc := range []struct {
		name             string
		lasts, idle      float64 // ms with one request every 10 ms, then ms without requests
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
				t.Errorf("%.1f requests per window, want %v to %v", got, tc.minimum, tc.maximum)
			}
		})
	}
}
