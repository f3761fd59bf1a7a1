package slowstart

import "testing"

// The minimum fraction of its capacity that a backend has, by the time since it came up.
func TestProgress(t *testing.T) {
	config := Config{InitialCapacity: 0.4, WarmUp: 5000}
	for _, tc := range []struct {
		name         string
		config       Config
		upSince, now float64
		want         float64
	}{
		{"up long ago", config, 0, 1, 1},
		{"just started", config, 100, 100, 0.4},
		{"a start in the future", config, 200, 100, 0.4},
		{"half way", config, 100, 2600, 0.7},
		{"warm", config, 100, 5100, 1},
		{"no warm-up configured", Config{InitialCapacity: 0.4}, 100, 100, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := tc.config.Progress(tc.upSince, tc.now); got != tc.want {
				t.Errorf("progress %v, want %v", got, tc.want)
			}
		})
	}
}

// A budget allows no more requests than its rate plus one burst, and spent requests are deducted.
func TestBudget(t *testing.T) {
	config := Config{InitialCapacity: 0.5, WarmUp: 5000, OverloadFactor: 2, OverloadWindow: 1000}
	// 0.7 x 2 x 0.5 x 0.1 = 0.07 requests per ms, with a burst of 17.5.
	const progress, fullRate, rate = 0.5, 0.1, 0.07
	budget, sent, now := NewBudget(0, 1000), 0, 1000.0
	if budget.Allows(&config, progress, fullRate, now) {
		t.Error("Allows = true for an empty budget, want false")
	}
	for range 1000 {
		now += 5
		for budget.Allows(&config, progress, fullRate, now) {
			budget.Spend(1)
			sent++
		}
	}
	if most := rate*5000 + 0.25*1000*rate; float64(sent) > most || float64(sent) < 0.9*rate*5000 {
		t.Errorf("%d requests in 5 s, want %.0f to %.0f", sent, 0.9*rate*5000, most)
	}
	now += 60_000
	sent = 0
	for budget.Allows(&config, progress, fullRate, now) {
		budget.Spend(1)
		sent++
	}
	if sent != 17 {
		t.Errorf("%d requests at once after a pause, want 17", sent)
	}
}

// The average is accurate, including shortly after the start.
func TestThroughput(t *testing.T) {
	for _, tc := range []struct {
		name   string
		lasts  float64 // ms, with one request every 10 ms at a weight of 1
		least  float64
		atMost float64
	}{
		{"soon after the start", 1000, 0.09, 0.12},
		{"after a minute", 60_000, 0.099, 0.102},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var throughput Throughput
			for now := 10.0; now <= tc.lasts; now += 10 {
				throughput.Add(1, now)
			}
			if got := throughput.PerWeight(); got < tc.least || got > tc.atMost {
				t.Errorf("throughput = %v requests per ms, want %v to %v", got, tc.least, tc.atMost)
			}
		})
	}
}
