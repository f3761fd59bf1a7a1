package verdict

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
)

// What the gates say of two arms; n outcomes each, latencies 50 to 150 ms times slow, a share bad.
func TestGates(t *testing.T) {
	for _, c := range []struct {
		name        string
		n           int
		slow, bad   float64
		jump        float64 // the candidate's third slice so many times slower
		nonInferior bool
		regression  string
	}{
		{"the same", 200, 1, 0, 1, true, ""},
		{"wholly slower", 200, 2, 0, 1, false, "latency"},
		{"wholly faster", 200, 0.5, 0, 1, true, ""},
		{"one slice slower: latency does not agree", 200, 1, 0, 20, true, ""},
		{"failures", 200, 1, 0.2, 1, false, "failures"},
		{"failures, few outcomes", 10, 1, 0.4, 1, false, "failures"},
		{"too few", 15, 2, 0, 1, false, ""},
		{"one slice far slower, few outcomes", 40, 1, 0, 20, false, ""},
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
			by := criteria{compareLatency: true, errorProbability: 0.01, rollbackVotes: 1}
			got := compare(arm(c.slow, c.bad, c.jump), arm(1, 0, 1), by)
			if got.NonInferior != c.nonInferior || !strings.HasPrefix(got.Regression, c.regression) || (got.Regression != "") != (c.regression != "") {
				t.Errorf("earned %v, regression %q", got.NonInferior, got.Regression)
			}
		})
	}
}

// With the few outcomes of a stage, and latencies as uneven as they are, a release twice as slow is seen and one that is not is
// left alone; so is one of whose few backends some are in trouble that the baseline's know too.
func TestSlowCandidate(t *testing.T) {
	for _, c := range []struct {
		name               string
		times              float64
		backends, degraded int // of the candidate: so many are four times slower, as one of six of the baseline is
		least, most        int // times of 100 that a regression is found
	}{
		{"twice as slow", 2.3, 5, 0, 80, 100},
		{"as fast", 1, 5, 0, 0, 1},
		{"hardly slower", 1.15, 5, 0, 0, 2},
		{"a backend in trouble", 1, 5, 1, 0, 2},
		{"two backends only", 2.3, 2, 0, 0, 60},
	} {
		t.Run(c.name, func(t *testing.T) {
			regressions := 0
			for seed := range uint64(100) {
				random := rand.New(rand.NewPCG(seed, 7919))
				candidate := logNormalArm(random, 50, c.backends, c.times, func(backend int) bool { return backend < c.degraded })
				baseline := logNormalArm(random, 600, 18, 1, func(backend int) bool { return backend%6 == 0 && c.degraded > 0 })
				by := criteria{compareLatency: true, errorProbability: 0.0133, rollbackVotes: 1}
				if compare(candidate, baseline, by).Regression != "" {
					regressions++
				}
			}
			if regressions < c.least || regressions > c.most {
				t.Errorf("a regression %d times of 100, want %d to %d", regressions, c.least, c.most)
			}
		})
	}
}

// unevenArm is n outcomes with latencies of a log-normal distribution, four times as long at the ailing backends.
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

// How sure one instance must be goes by how many votes roll a release back and how many instances look.
func TestFailureGateCertainty(t *testing.T) {
	for _, c := range []struct {
		name                        string
		instances, votes            int
		failed, broken, backends, n int // the failures fall on so many of the backends
		baseline, baselineBroken    int
		want                        bool
	}{
		{"few instances, one vote", 4, 1, 6, 0, 3, 12, 24, 0, true},
		{"one backend alone fails", 4, 1, 6, 0, 1, 12, 24, 0, false},
		{"hundreds look, one vote", 353, 1, 6, 0, 3, 24, 48, 0, false},
		{"hundreds look, one vote, hardly any doubt", 353, 1, 9, 0, 3, 9, 24, 0, true},
		{"many must agree: one error is enough", 540, 43, 1, 0, 1, 1, 3, 0, true},
		{"many must agree: a reset may be the way's", 540, 43, 0, 1, 1, 1, 3, 0, false},
		{"many must agree: three resets", 540, 43, 0, 3, 3, 3, 9, 0, true},
		{"few instances: resets of the release's own", 4, 1, 0, 6, 3, 12, 24, 0, true},
		{"few instances: resets that all have", 4, 1, 0, 6, 3, 12, 100, 10, false},
		{"few instances: errors among resets that all have", 4, 1, 6, 0, 3, 12, 100, 10, true},
		{"few instances: one error is not", 4, 1, 1, 0, 1, 1, 24, 0, false},
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
			by := criteria{errorProbability: errorProbability(c.votes, Fleet{Instances: c.instances}), rollbackVotes: c.votes}
			expect(t, "fails more", comparison{criteria: by, candidate: candidate, baseline: baseline}.failsMore(), c.want)
		})
	}
}

// The equivalence zone for success shares, at its edges: five slices of 200 outcomes each.
func TestSuccessShareEquivalence(t *testing.T) {
	for _, c := range []struct {
		name                string
		candidate, baseline int // failures of each 200
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
			expect(t, "earned", x.successShareNonInferior(sliceByCount(x.candidate), sliceByCount(x.baseline)), c.want)
		})
	}
}

// Each latency gate by itself: what it finds, and what keeps it silent.
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
		idle                bool // the baseline's backends
		votes               int
		want                bool
	}{
		{"few outcomes, many votes, slower", few, arm(12, 3, 3), arm(12, 3, 1), false, manyVotes, true},
		{"few outcomes, many votes, as fast", few, arm(12, 3, 1), arm(12, 3, 1), false, manyVotes, false},
		{"few outcomes, one vote less than many", few, arm(12, 3, 3), arm(12, 3, 1), false, manyVotes - 1, false},
		{"few outcomes of two backends", few, arm(12, 2, 3), arm(12, 3, 1), false, manyVotes, false},
		{"few outcomes, baseline idle", few, arm(12, 3, 3), arm(12, 3, 1), true, manyVotes, false},
		{"fewer than few outcomes", few, arm(minSmallSample-1, 3, 9), arm(12, 3, 1), false, manyVotes, false},
		{"shift, slower", shift, arm(40, 4, 2), arm(40, 4, 1), false, 1, true},
		{"shift, as fast", shift, arm(40, 4, 1), arm(40, 4, 1), false, 1, false},
		{"shift, two backends", shift, arm(40, 2, 2), arm(40, 4, 1), false, 1, false},
		{"shift, baseline idle", shift, arm(40, 4, 2), arm(40, 4, 1), true, 1, false},
		{"shift, too few of the baseline", shift, arm(40, 4, 2), arm(minSample-1, 4, 1), false, 1, false},
		{"quantiles, slower", quantiles, arm(400, 4, 1.5), arm(400, 4, 1), false, 1, true},
		{"quantiles, within the zone", quantiles, arm(400, 4, 1.05), arm(400, 4, 1), false, 1, false},
		{"quantiles, baseline idle", quantiles, arm(400, 4, 1.5), arm(400, 4, 1), true, 1, false},
		{"quantiles, of other times", quantiles, delayOutcomes(arm(400, 4, 1.5), 1000), arm(400, 4, 1), false, 1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			by := criteria{compareLatency: !c.idle, errorProbability: 0.01, rollbackVotes: c.votes}
			regression := c.gate(comparison{criteria: by, candidate: c.candidate, baseline: c.baseline})
			if (regression != "") != c.want {
				t.Errorf("regression %q, want one: %v", regression, c.want)
			}
		})
	}
}

// outcomesLater moves outcomes by a time.
func delayOutcomes(outcomes []Outcome, by float64) []Outcome {
	return mapSlice(outcomes, func(o Outcome) Outcome {
		o.EndedAt += by
		return o
	})
}

// At which number of outcomes of each arm a comparison is no longer one of few: from there on the latency shift is looked for.
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
		t.Run(fmt.Sprint(c.candidate, " of ", c.baseline), func(t *testing.T) {
			by := criteria{compareLatency: true, errorProbability: 0.01, rollbackVotes: 1}
			got := compare(arm(c.candidate, 300), arm(c.baseline, 100), by)
			expect(t, "regression", got.Regression != "", c.want)
		})
	}
}

// One backend's failures do not count, unless so many must agree that each instance sees little of any backend.
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
			by := criteria{errorProbability: 0.01, rollbackVotes: c.votes}
			expect(t, "fails more", comparison{criteria: by, candidate: candidate, baseline: baseline}.failsMore(), c.want)
		})
	}
}

// Broken connections count as failures only up to a share of the baseline's attempts that break too, 2 of 100.
func TestBaselineConnectionFailures(t *testing.T) {
	for _, c := range []struct {
		broken int // of the baseline's 200
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
			by := criteria{errorProbability: 0.01, rollbackVotes: 1}
			expect(t, "fails more", comparison{criteria: by, candidate: candidate, baseline: baseline}.failsMore(), c.want)
		})
	}
}

// uneven makes an arm of 200 outcomes in five slices; each slice has its own failures (of 40) and latency.
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

// What the slices show: equivalence of success shares, of latencies, of either, and whose unevenness hides it.
func TestSliceGates(t *testing.T) {
	none, wild := [5]int{}, [5]int{0, 20, 0, 20, 0}
	same, slower, faster, drifting := [5]float64{100, 100, 100, 100, 100}, [5]float64{160, 160, 160, 160, 160}, [5]float64{60, 60, 60, 60, 60}, [5]float64{100, 200, 300, 400, 500}
	for _, c := range []struct {
		name                string
		candidate, baseline []Outcome
		idle                bool
		nonInferior         bool
		regression          string
	}{
		{"alike in both", unevenSlices(none, same), unevenSlices(none, same), false, true, ""},
		{"shares alike, baseline idle", unevenSlices(none, same), unevenSlices(none, same), true, true, ""},
		{"shares alike, candidate's latency drifts", unevenSlices(none, drifting), unevenSlices(none, same), false, true, ""},
		{"shares alike, baseline's latency drifts", unevenSlices(none, same), unevenSlices(none, drifting), false, true, ""},
		{"candidate's shares uneven, latency alike", unevenSlices(wild, same), unevenSlices(none, same), false, true, ""},
		{"baseline's shares uneven, latency alike", unevenSlices(none, same), unevenSlices(wild, same), false, true, ""},
		{"candidate's shares uneven, faster", unevenSlices(wild, faster), unevenSlices(none, same), false, true, ""},
		{"candidate's shares uneven, baseline idle", unevenSlices(wild, same), unevenSlices(none, same), true, false, ""},
		{"baseline's shares uneven, baseline idle", unevenSlices(none, same), unevenSlices(wild, same), true, false, ""},
		{"candidate's shares uneven, its latency drifts", unevenSlices(wild, drifting), unevenSlices(none, same), false, false, ""},
		{"candidate's shares uneven, baseline's latency drifts", unevenSlices(wild, same), unevenSlices(none, drifting), false, false, ""},
		{"shares alike, slower: not earned", unevenSlices(none, slower), unevenSlices(none, same), false, false, "latency quantile 0.90"},
	} {
		t.Run(c.name, func(t *testing.T) {
			by := criteria{compareLatency: !c.idle, errorProbability: 0.01, rollbackVotes: 1}
			got := comparison{criteria: by, candidate: c.candidate, baseline: c.baseline}.sliceGates()
			expect(t, "earned", got.NonInferior, c.nonInferior)
			if !strings.HasPrefix(got.Regression, c.regression) || (got.Regression == "") != (c.regression == "") {
				t.Errorf("regression %q, want %q", got.Regression, c.regression)
			}
		})
	}
}

// One quantile that is slower is no regression, two are.
func TestSlowerQuantiles(t *testing.T) {
	// Of ten latencies of a slice: the candidate's slowest one, or its slowest four, take so many times as long.
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
			by := criteria{compareLatency: true, errorProbability: 0.01, rollbackVotes: 1}
			x := comparison{criteria: by, candidate: arm(c.slowest, 2), baseline: arm(0, 1)}
			got := x.latencyQuantileGate(mapSlice(sliceByCount(x.candidate), latencies), mapSlice(sliceByCount(x.baseline), latencies))
			if !strings.HasPrefix(got.Regression, c.want) || (got.Regression == "") != (c.want == "") {
				t.Errorf("regression %q, want %q", got.Regression, c.want)
			}
		})
	}
}
