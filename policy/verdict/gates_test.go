package verdict

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
)

// TestCompare checks the result of all gates together. Each arm has n outcomes with latencies of 50 to 150 ms. The
// candidate's latencies are multiplied by slow, and its share of failures is bad.
func TestCompare(t *testing.T) {
	for _, c := range []struct {
		name        string
		n           int
		slow, bad   float64
		jump        float64 // latency factor of the candidate's third slice
		nonInferior bool
		regression  string
	}{
		{"identical arms", 200, 1, 0, 1, true, ""},
		{"slower in all slices", 200, 2, 0, 1, false, "latency"},
		{"faster in all slices", 200, 0.5, 0, 1, true, ""},
		{"one slice slower: slices disagree", 200, 1, 0, 20, true, ""},
		{"failures", 200, 1, 0.2, 1, false, "failures"},
		{"failures, few outcomes", 10, 1, 0.4, 1, false, "failures"},
		{"too few outcomes", 15, 2, 0, 1, false, ""},
		{"one slice much slower, few outcomes", 40, 1, 0, 20, false, ""},
		{"two failures are too few", 10, 1, 0.2, 1, false, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			arm := func(slow, bad, jump float64) (outcomes []Outcome) {
				for k := range c.n {
					o := Outcome{EndedAt: float64(k), Latency: (50 + float64(k*37%101)) * slow, Backend: k % 4, comparable: true}
					if k*5/c.n == 2 {
						o.Latency *= jump
					}
					if o.Failed = float64(k*7%10) < bad*10; o.Failed {
						o.comparable = false
					}
					outcomes = append(outcomes, o)
				}
				return outcomes
			}
			gateCriteria := criteria{compareLatency: true, errorProbability: 0.01, rollbackVotes: 1}
			got := compare(arm(c.slow, c.bad, c.jump), arm(1, 0, 1), gateCriteria)
			if got.NonInferior != c.nonInferior || !strings.HasPrefix(got.Regression, c.regression) || (got.Regression != "") != (c.regression != "") {
				t.Errorf("NonInferior = %v, Regression = %q, want %v and prefix %q", got.NonInferior, got.Regression, c.nonInferior, c.regression)
			}
		})
	}
}

// With the few outcomes of one stage and latencies as uneven as in practice, the gates find a regression if the release
// is about twice as slow, and hardly ever if it is not. They hardly ever find one either if some of the release's few
// backends are degraded and some of the baseline's are too.
func TestSlowCandidate(t *testing.T) {
	for _, c := range []struct {
		name               string
		times              float64 // latency factor of the candidate
		backends, degraded int     // of the candidate; if any are degraded, so are one in six of the baseline's
		least, most        int     // bounds on the regressions found in 100 runs
	}{
		{"twice as slow", 2.3, 5, 0, 80, 100},
		{"as fast", 1, 5, 0, 0, 1},
		{"slightly slower", 1.15, 5, 0, 0, 2},
		{"one backend degraded", 1, 5, 1, 0, 2},
		{"two backends only", 2.3, 2, 0, 0, 60},
	} {
		t.Run(c.name, func(t *testing.T) {
			regressions := 0
			for seed := range uint64(100) {
				random := rand.New(rand.NewPCG(seed, 7919))
				candidate := logNormalArm(random, 50, c.backends, c.times, func(backend int) bool { return backend < c.degraded })
				baseline := logNormalArm(random, 600, 18, 1, func(backend int) bool { return backend%6 == 0 && c.degraded > 0 })
				gateCriteria := criteria{compareLatency: true, errorProbability: 0.0133, rollbackVotes: 1}
				if compare(candidate, baseline, gateCriteria).Regression != "" {
					regressions++
				}
			}
			if regressions < c.least || regressions > c.most {
				t.Errorf("regressions in 100 runs = %d, want %d to %d", regressions, c.least, c.most)
			}
		})
	}
}

// logNormalArm returns n outcomes with log-normally distributed latencies, which are multiplied by times and are four
// times higher on degraded backends.
func logNormalArm(random *rand.Rand, n, backends int, times float64, degraded func(backend int) bool) (outcomes []Outcome) {
	for k := range n {
		o := Outcome{EndedAt: float64(k) / float64(n), Latency: 70 * times * math.Exp(0.7*random.NormFloat64()), Backend: k % backends, comparable: true}
		if degraded(o.Backend) {
			o.Latency *= 4
		}
		outcomes = append(outcomes, o)
	}
	return outcomes
}

// The certainty required of one instance depends on the number of votes that roll a release back and on the number of
// evaluating instances.
func TestFailureGateCertainty(t *testing.T) {
	for _, c := range []struct {
		name                        string
		instances, votes            int
		failed, broken, backends, n int // of the candidate: errors, broken connections, backends with these, outcomes
		baseline, baselineBroken    int // of the baseline: outcomes, broken connections
		want                        bool
	}{
		{"few instances, one vote", 4, 1, 6, 0, 3, 12, 24, 0, true},
		{"one backend alone fails", 4, 1, 6, 0, 1, 12, 24, 0, false},
		{"hundreds evaluate, one vote", 353, 1, 6, 0, 3, 24, 48, 0, false},
		{"hundreds evaluate, one vote, almost certain", 353, 1, 9, 0, 3, 9, 24, 0, true},
		{"many votes: one error is enough", 540, 43, 1, 0, 1, 1, 3, 0, true},
		{"many votes: one reset may be due to the network", 540, 43, 0, 1, 1, 1, 3, 0, false},
		{"many votes: three resets", 540, 43, 0, 3, 3, 3, 9, 0, true},
		{"few instances: resets of the candidate only", 4, 1, 0, 6, 3, 12, 24, 0, true},
		{"few instances: resets of both arms", 4, 1, 0, 6, 3, 12, 100, 10, false},
		{"few instances: errors of the candidate, resets of the baseline", 4, 1, 6, 0, 3, 12, 100, 10, true},
		{"few instances: one error is not enough", 4, 1, 1, 0, 1, 1, 24, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			candidate, baseline := make([]Outcome, c.n), make([]Outcome, c.baseline)
			for k := range candidate {
				candidate[k].Backend = k % 3
			}
			for k := range c.failed + c.broken {
				candidate[k].Failed, candidate[k].ConnectionBroken, candidate[k].Backend = true, k >= c.failed, k%c.backends
			}
			for k := range baseline {
				baseline[k].Backend, baseline[k].Failed, baseline[k].ConnectionBroken = 3+k%5, k < c.baselineBroken, k < c.baselineBroken
			}
			gateCriteria := criteria{errorProbability: errorProbability(c.votes, Fleet{Instances: c.instances}), rollbackVotes: c.votes}
			expect(t, "failsMore", comparison{criteria: gateCriteria, candidate: candidate, baseline: baseline}.failsMore(), c.want)
		})
	}
}

// TestSuccessShareEquivalence checks the bounds of the equivalence zone for success shares, with five slices of 200
// outcomes each.
func TestSuccessShareEquivalence(t *testing.T) {
	for _, c := range []struct {
		name                string
		candidate, baseline int // failures in each slice of 200
		want                bool
	}{
		{"no failures", 0, 0, true},
		{"the same failures", 20, 20, true},
		{"a little worse, within the zone", 4, 0, true},
		{"worse by the zone", 10, 0, false},
		{"worse by more than the zone", 30, 0, false},
		{"better by more than the zone", 0, 30, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			arm := func(failed int) (outcomes []Outcome) {
				for k := range 1000 {
					outcomes = append(outcomes, Outcome{EndedAt: float64(k), Failed: k%200 < failed})
				}
				return outcomes
			}
			x := comparison{candidate: arm(c.candidate), baseline: arm(c.baseline)}
			expect(t, "successShareNonInferior", x.successShareNonInferior(sliceByCount(x.candidate), sliceByCount(x.baseline)), c.want)
		})
	}
}

// TestLatencyGates checks for each latency gate what it detects and in which cases it reports nothing.
func TestLatencyGates(t *testing.T) {
	arm := func(n, backends int, times float64) (outcomes []Outcome) {
		for k := range n {
			outcomes = append(outcomes, Outcome{EndedAt: float64(k), Latency: (50 + float64(k*37%101)) * times, Backend: k % backends, comparable: true})
		}
		return outcomes
	}
	few := func(c comparison) string { return c.smallSampleLatencyGate() }
	shift := func(c comparison) string { return c.latencyShiftGate() }
	quantiles := func(c comparison) string { return c.sliceGates().Regression }
	for _, c := range []struct {
		name                string
		gate                func(comparison) string
		candidate, baseline []Outcome
		idle                bool // the baseline's backends are idle
		votes               int
		want                bool
	}{
		{"few outcomes, many votes, slower", few, arm(12, 3, 3), arm(12, 3, 1), false, manyVotes, true},
		{"few outcomes, many votes, as fast", few, arm(12, 3, 1), arm(12, 3, 1), false, manyVotes, false},
		{"few outcomes, one vote fewer than many", few, arm(12, 3, 3), arm(12, 3, 1), false, manyVotes - 1, false},
		{"few outcomes of two backends", few, arm(12, 2, 3), arm(12, 3, 1), false, manyVotes, false},
		{"few outcomes, baseline idle", few, arm(12, 3, 3), arm(12, 3, 1), true, manyVotes, false},
		{"fewer outcomes than minSmallSample", few, arm(minSmallSample-1, 3, 9), arm(12, 3, 1), false, manyVotes, false},
		{"shift, slower", shift, arm(40, 4, 2), arm(40, 4, 1), false, 1, true},
		{"shift, as fast", shift, arm(40, 4, 1), arm(40, 4, 1), false, 1, false},
		{"shift, two backends", shift, arm(40, 2, 2), arm(40, 4, 1), false, 1, false},
		{"shift, baseline idle", shift, arm(40, 4, 2), arm(40, 4, 1), true, 1, false},
		{"shift, too few of the baseline", shift, arm(40, 4, 2), arm(minSample-1, 4, 1), false, 1, false},
		{"quantiles, slower", quantiles, arm(400, 4, 1.5), arm(400, 4, 1), false, 1, true},
		{"quantiles, within the zone", quantiles, arm(400, 4, 1.05), arm(400, 4, 1), false, 1, false},
		{"quantiles, baseline idle", quantiles, arm(400, 4, 1.5), arm(400, 4, 1), true, 1, false},
		{"quantiles, outcomes at different times", quantiles, delayOutcomes(arm(400, 4, 1.5), 1000), arm(400, 4, 1), false, 1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			gateCriteria := criteria{compareLatency: !c.idle, errorProbability: 0.01, rollbackVotes: c.votes}
			regression := c.gate(comparison{criteria: gateCriteria, candidate: c.candidate, baseline: c.baseline})
			if (regression != "") != c.want {
				t.Errorf("regression = %q, want a regression: %v", regression, c.want)
			}
		})
	}
}

// delayOutcomes returns the outcomes with their end times moved by the given time.
func delayOutcomes(outcomes []Outcome, by float64) []Outcome {
	return mapSlice(outcomes, func(o Outcome) Outcome {
		o.EndedAt += by
		return o
	})
}

// From minSample outcomes on, an arm is not a small sample any more and the latency shift gate applies.
func TestMinSample(t *testing.T) {
	arm := func(n int, latency float64) (outcomes []Outcome) {
		for k := range n {
			outcomes = append(outcomes, Outcome{EndedAt: float64(k) / float64(n), Latency: latency, Backend: k % 4, comparable: true})
		}
		return outcomes
	}
	for _, c := range []struct {
		candidate, baseline int
		want                bool
	}{{20, 20, true}, {19, 20, false}, {20, 19, false}, {19, 19, false}} {
		t.Run(fmt.Sprint(c.candidate, " and ", c.baseline), func(t *testing.T) {
			gateCriteria := criteria{compareLatency: true, errorProbability: 0.01, rollbackVotes: 1}
			got := compare(arm(c.candidate, 300), arm(c.baseline, 100), gateCriteria)
			expect(t, "regression found", got.Regression != "", c.want)
		})
	}
}

// Failures of a single backend do not count, unless so many votes are needed that each instance sees little of any
// one backend.
func TestOneBackendFails(t *testing.T) {
	for _, c := range []struct {
		votes, backends int
		want            bool
	}{{1, 3, false}, {3, 3, false}, {4, 3, true}, {1, 2, true}} {
		t.Run(fmt.Sprint(c.votes, " votes, ", c.backends, " backends"), func(t *testing.T) {
			candidate, baseline := make([]Outcome, 12), make([]Outcome, 24)
			for k := range candidate {
				candidate[k].Backend = k % c.backends
				candidate[k].Failed = k%c.backends == 0
			}
			gateCriteria := criteria{errorProbability: 0.01, rollbackVotes: c.votes}
			expect(t, "failsMore", comparison{criteria: gateCriteria, candidate: candidate, baseline: baseline}.failsMore(), c.want)
		})
	}
}

// Broken connections count as failures unless more than 2% of the baseline's attempts break as well.
func TestBaselineConnectionFailures(t *testing.T) {
	for _, c := range []struct {
		broken int // broken connections among the baseline's 200 attempts
		want   bool
	}{{0, true}, {4, true}, {5, false}} {
		t.Run(fmt.Sprint(c.broken), func(t *testing.T) {
			candidate, baseline := make([]Outcome, 20), make([]Outcome, 200)
			for k := range candidate {
				candidate[k] = Outcome{Backend: k % 2, Failed: k < 10, ConnectionBroken: k < 10}
			}
			for k := range baseline {
				baseline[k] = Outcome{Backend: 2 + k%5, Failed: k < c.broken, ConnectionBroken: k < c.broken}
			}
			gateCriteria := criteria{errorProbability: 0.01, rollbackVotes: 1}
			expect(t, "failsMore", comparison{criteria: gateCriteria, candidate: candidate, baseline: baseline}.failsMore(), c.want)
		})
	}
}

// unevenSlices returns an arm of 200 outcomes in five slices, with a separate number of failures (out of 40) and
// latency for each slice.
func unevenSlices(failures [5]int, latencies [5]float64) (outcomes []Outcome) {
	for k := range 200 {
		slice := k / 40
		o := Outcome{EndedAt: float64(k), Latency: latencies[slice] + float64(k*7%11), Backend: k % 4, comparable: true}
		if k%40 < failures[slice] {
			o.Failed, o.comparable = true, false
		}
		outcomes = append(outcomes, o)
	}
	return outcomes
}

// The slice gates show non-inferiority by success shares or by latencies. If one of these varies between the slices of
// an arm, it shows nothing, but the other still can.
func TestSliceGates(t *testing.T) {
	none, uneven := [5]int{}, [5]int{0, 20, 0, 20, 0}
	same, slower, faster, drifting := [5]float64{100, 100, 100, 100, 100}, [5]float64{160, 160, 160, 160, 160}, [5]float64{60, 60, 60, 60, 60}, [5]float64{100, 200, 300, 400, 500}
	for _, c := range []struct {
		name                string
		candidate, baseline []Outcome
		idle                bool
		nonInferior         bool
		regression          string
	}{
		{"identical arms", unevenSlices(none, same), unevenSlices(none, same), false, true, ""},
		{"equal shares, baseline idle", unevenSlices(none, same), unevenSlices(none, same), true, true, ""},
		{"equal shares, candidate's latency drifts", unevenSlices(none, drifting), unevenSlices(none, same), false, true, ""},
		{"equal shares, baseline's latency drifts", unevenSlices(none, same), unevenSlices(none, drifting), false, true, ""},
		{"candidate's shares uneven, equal latency", unevenSlices(uneven, same), unevenSlices(none, same), false, true, ""},
		{"baseline's shares uneven, equal latency", unevenSlices(none, same), unevenSlices(uneven, same), false, true, ""},
		{"candidate's shares uneven, faster", unevenSlices(uneven, faster), unevenSlices(none, same), false, true, ""},
		{"candidate's shares uneven, baseline idle", unevenSlices(uneven, same), unevenSlices(none, same), true, false, ""},
		{"baseline's shares uneven, baseline idle", unevenSlices(none, same), unevenSlices(uneven, same), true, false, ""},
		{"candidate's shares uneven, its latency drifts", unevenSlices(uneven, drifting), unevenSlices(none, same), false, false, ""},
		{"candidate's shares uneven, baseline's latency drifts", unevenSlices(uneven, same), unevenSlices(none, drifting), false, false, ""},
		{"equal shares, slower: inferior", unevenSlices(none, slower), unevenSlices(none, same), false, false, "latency quantile 0.90"},
	} {
		t.Run(c.name, func(t *testing.T) {
			gateCriteria := criteria{compareLatency: !c.idle, errorProbability: 0.01, rollbackVotes: 1}
			got := comparison{criteria: gateCriteria, candidate: c.candidate, baseline: c.baseline}.sliceGates()
			expect(t, "NonInferior", got.NonInferior, c.nonInferior)
			if !strings.HasPrefix(got.Regression, c.regression) || (got.Regression == "") != (c.regression == "") {
				t.Errorf("Regression = %q, want prefix %q", got.Regression, c.regression)
			}
		})
	}
}

// A single slower quantile is not a regression, but two are.
func TestSlowerQuantiles(t *testing.T) {
	// arm returns 500 outcomes. In each ten of them, the given number of slowest latencies is multiplied by times.
	arm := func(slowest int, times float64) (outcomes []Outcome) {
		for k := range 500 {
			latency := 100 + float64(k%10)
			if k%10 >= 10-slowest {
				latency *= times
			}
			outcomes = append(outcomes, Outcome{EndedAt: float64(k), Latency: latency, Backend: k / 10 % 4, comparable: true})
		}
		return outcomes
	}
	for _, c := range []struct {
		slowest int
		want    string
	}{{0, ""}, {2, ""}, {4, "latency quantile 0.90"}} {
		t.Run(fmt.Sprint("slowest ", c.slowest, " of 10"), func(t *testing.T) {
			gateCriteria := criteria{compareLatency: true, errorProbability: 0.01, rollbackVotes: 1}
			x := comparison{criteria: gateCriteria, candidate: arm(c.slowest, 2), baseline: arm(0, 1)}
			got := x.latencyQuantileGate(mapSlice(sliceByCount(x.candidate), latencies), mapSlice(sliceByCount(x.baseline), latencies))
			if !strings.HasPrefix(got.Regression, c.want) || (got.Regression == "") != (c.want == "") {
				t.Errorf("Regression = %q, want prefix %q", got.Regression, c.want)
			}
		})
	}
}
