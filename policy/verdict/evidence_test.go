package verdict

import (
	"fmt"
	"testing"
)

// endTimes returns the end times of the outcomes of an arm and class, in the order in which they are stored.
func endTimes(e *evidence, arm Arm, class int) []float64 {
	return mapSlice(e.outcomes[arm][class], func(o Outcome) float64 { return o.EndedAt })
}

// Outcomes are stored in order of time, whatever the order in which they arrive.
func TestEvidenceOrder(t *testing.T) {
	for _, c := range []struct {
		name    string
		arrival []float64
		want    string
	}{
		{"in order", []float64{1, 2, 3}, "[1 2 3]"},
		{"one late", []float64{1, 3, 2}, "[1 2 3]"},
		{"the oldest last", []float64{2, 3, 1}, "[1 2 3]"},
		{"all late", []float64{5, 4, 3, 2, 1}, "[1 2 3 4 5]"},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := newEvidence(2)
			for _, at := range c.arrival {
				e.add(Candidate, 1, Outcome{EndedAt: at, Latency: 1}, true)
			}
			expect(t, "end times of the candidate", endTimes(&e, Candidate, 1), c.want)
			expect(t, "end times of the baseline", endTimes(&e, Baseline, 1), "[]")
			expect(t, "end times of the candidate in the other class", endTimes(&e, Candidate, 0), "[]")
		})
	}
}

// The number of stored outcomes is bounded: beyond twice minKeptOutcomes the oldest are dropped.
func TestEvidenceBound(t *testing.T) {
	for _, c := range []struct {
		count, want int
		oldest      float64
	}{
		{2 * minKeptOutcomes, 2 * minKeptOutcomes, 0},
		{2*minKeptOutcomes + 1, minKeptOutcomes, minKeptOutcomes + 1},
		{2*minKeptOutcomes + 2, minKeptOutcomes + 1, minKeptOutcomes + 1},
		{20 * minKeptOutcomes, 0, 0}, // only the bound is checked
	} {
		t.Run(fmt.Sprint(c.count), func(t *testing.T) {
			e := newEvidence(1)
			for k := range c.count {
				e.add(Baseline, 0, Outcome{EndedAt: float64(k), Latency: 1}, true)
			}
			got := len(e.outcomes[Baseline][0])
			if got > 2*minKeptOutcomes || got < minKeptOutcomes {
				t.Errorf("stored outcomes = %d, want %d to %d", got, minKeptOutcomes, 2*minKeptOutcomes)
			}
			if c.want > 0 {
				expect(t, "stored outcomes", got, c.want)
				expect(t, "end of the oldest outcome", e.outcomes[Baseline][0][0].EndedAt, c.oldest)
			}
		})
	}
}

// A latency is comparable if the attempt succeeded on a backend that is warm, or steady during its warm-up.
func TestComparable(t *testing.T) {
	repeat := func(latency float64, count int) (latencies []float64) {
		for range count {
			latencies = append(latencies, latency)
		}
		return latencies
	}
	for _, c := range []struct {
		name   string
		before []float64 // earlier latencies of the backend
		warm   bool
		failed bool
		want   bool
	}{
		{"warm", nil, true, false, true},
		{"warm, failed", nil, true, true, false},
		{"warming up, first outcome", nil, false, false, false},
		{"warming up, one short of the sample", repeat(10, steadyStateSample-2), false, false, false},
		{"warming up, steady", repeat(10, steadyStateSample-1), false, false, true},
		{"warming up, steady, failed", repeat(10, steadyStateSample-1), false, true, false},
		{"warming up, getting faster", append(repeat(30, steadyStateSample/2), repeat(10, steadyStateSample/2-1)...), false, false, false},
		{"warming up, steady recently", append(repeat(30, steadyStateSample), repeat(10, 3*steadyStateSample)...), false, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := newEvidence(1)
			for k, latency := range c.before {
				e.add(Candidate, 0, Outcome{EndedAt: float64(k), Latency: latency, Backend: 3}, false)
			}
			e.add(Candidate, 0, Outcome{EndedAt: 1000, Latency: 10, Backend: 3, Failed: c.failed}, c.warm)
			outcomes := e.outcomes[Candidate][0]
			expect(t, "comparable", outcomes[len(outcomes)-1].comparable, c.want)
		})
	}
}

// The steady-state check of a backend starts over when another process runs under its index.
func TestResetBackend(t *testing.T) {
	e := newEvidence(1)
	for k := range steadyStateSample {
		e.add(Candidate, 0, Outcome{EndedAt: float64(k), Latency: 10, Backend: 1}, false)
	}
	expect(t, "comparable before the reset", e.outcomes[Candidate][0][steadyStateSample-1].comparable, true)
	e.resetBackend(1)
	e.resetBackend(7) // no outcomes of it are known
	e.add(Candidate, 0, Outcome{EndedAt: 100, Latency: 10, Backend: 1}, false)
	expect(t, "comparable after the reset", e.outcomes[Candidate][0][steadyStateSample].comparable, false)
	expect(t, "outcomes after the reset", len(e.outcomes[Candidate][0]), steadyStateSample+1)
}

// An outcome of an unrelated release is not stored, but updates the mean latency of its class.
func TestUnrelatedOutcome(t *testing.T) {
	e := newEvidence(1)
	e.add(Unrelated, 0, Outcome{EndedAt: 1, Latency: 50}, true)
	expect(t, "stored outcomes", e.count(Baseline)+e.count(Candidate), 0)
	expectNear(t, "mean latency", e.meanLatency[0], 50)
	e.add(Candidate, 0, Outcome{EndedAt: 2, Latency: 100}, true)
	expectNear(t, "mean latency after a second outcome", e.meanLatency[0], 51)
	expectNear(t, "relative latency", e.outcomes[Candidate][0][0].relativeLatency, 100.0/51)
}

// A wrong answer turns only the latest matching success into a failure.
func TestMarkFailed(t *testing.T) {
	for _, c := range []struct {
		name    string
		class   int
		backend int
		sentAt  float64
		want    string // failures: three baseline outcomes and one of the candidate, sent at 90, 190, 190.5 and 290
	}{
		{"one match", 0, 1, 90, "[true false false false]"},
		{"two matches: latest marked", 0, 1, 190.2, "[false false true false]"},
		{"match in the candidate", 0, 1, 290.9, "[false false false true]"},
		{"a millisecond off", 0, 1, 91, "[false false false false]"},
		{"another backend", 0, 2, 90, "[false false false false]"},
		{"another class", 1, 1, 90, "[false false false false]"},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := newEvidence(2)
			for _, at := range []float64{100, 200, 200.5} {
				e.add(Baseline, 0, Outcome{EndedAt: at, Latency: 10, Backend: 1}, true)
			}
			e.add(Candidate, 0, Outcome{EndedAt: 300, Latency: 10, Backend: 1}, true)
			e.markFailed(c.class, c.backend, c.sentAt)
			var failed []bool
			for _, arm := range e.outcomes {
				for _, outcome := range arm[0] {
					failed = append(failed, outcome.Failed)
				}
			}
			expect(t, "failed outcomes", failed, c.want)
		})
	}
	t.Run("marked twice: earlier match marked too", func(t *testing.T) {
		e := newEvidence(1)
		for _, at := range []float64{200, 200.5} {
			e.add(Baseline, 0, Outcome{EndedAt: at, Latency: 10, Backend: 1}, true)
		}
		e.markFailed(0, 1, 190.2)
		e.markFailed(0, 1, 190.2)
		expect(t, "failures", failureCount(e.outcomes[Baseline][0]), 2)
	})
}

// A released candidate becomes the baseline of the next one. Otherwise the baseline stays the same.
func TestStartCandidate(t *testing.T) {
	for _, c := range []struct {
		name     string
		released bool
		want     string
	}{{"released", true, "[3]"}, {"rolled back", false, "[1 2]"}} {
		t.Run(c.name, func(t *testing.T) {
			e := newEvidence(1)
			e.add(Baseline, 0, Outcome{EndedAt: 1, Latency: 1}, true)
			e.add(Baseline, 0, Outcome{EndedAt: 2, Latency: 1}, true)
			e.add(Candidate, 0, Outcome{EndedAt: 3, Latency: 1}, true)
			before := e.snapshot()
			e.startCandidate(c.released)
			expect(t, "end times of the baseline", endTimes(&e, Baseline, 0), c.want)
			expect(t, "end times of the candidate", endTimes(&e, Candidate, 0), "[]")
			expect(t, "outcomes of each arm in the snapshot", []int{len(before[Baseline][0]), len(before[Candidate][0])}, "[2 1]")
		})
	}
}

func TestForgetBackend(t *testing.T) {
	e := newEvidence(2)
	for k := range 12 {
		e.add(Arm(k%2), k%3%2, Outcome{EndedAt: float64(k), Latency: 1, Backend: k % 4}, true)
	}
	e.forgetBackend(2)
	for _, arm := range e.outcomes {
		for _, outcomes := range arm {
			for _, outcome := range outcomes {
				expect(t, "outcome belongs to the forgotten backend", outcome.Backend == 2, false)
			}
		}
	}
	expect(t, "remaining outcomes", e.count(Baseline)+e.count(Candidate), 9)
}

// Pooled classes are in order of time, with each latency relative to the mean of its class.
func TestPoolClasses(t *testing.T) {
	e := newEvidence(2)
	for k := range 4 {
		e.add(Candidate, 0, Outcome{EndedAt: float64(2 * k), Latency: 10}, true)
		e.add(Candidate, 1, Outcome{EndedAt: float64(2*k + 1), Latency: 1000}, true)
	}
	pooled := poolClasses(e.outcomes[Candidate])
	expect(t, "end times", mapSlice(pooled, func(o Outcome) float64 { return o.EndedAt }), "[0 1 2 3 4 5 6 7]")
	expect(t, "pooled latencies", latencies(pooled), "[1 1 1 1 1 1 1 1]")
	expect(t, "latencies of the class after pooling", latencies(e.outcomes[Candidate][1]), "[1000 1000 1000 1000]")
}

func TestWithoutWorstBackend(t *testing.T) {
	for _, c := range []struct {
		name     string
		failures []int // failures of each backend, out of four outcomes
		want     int   // remaining outcomes
	}{
		{"no failures", []int{0, 0, 0}, 12},
		{"one backend fails", []int{0, 2, 0}, 8},
		{"one fails more", []int{1, 2, 1}, 8},
	} {
		t.Run(c.name, func(t *testing.T) {
			var outcomes []Outcome
			for backend, failures := range c.failures {
				for k := range 4 {
					outcomes = append(outcomes, Outcome{Backend: backend, Failed: k < failures})
				}
			}
			remaining := withoutWorstBackend(outcomes)
			expect(t, "remaining outcomes", len(remaining), c.want)
			expect(t, "original outcomes", len(outcomes), 12)
			for _, outcome := range remaining {
				expect(t, "outcome belongs to the worst backend", c.want < 12 && outcome.Backend == 1, false)
			}
		})
	}
}

// Outcomes with equal end times keep the order in which they arrived.
func TestEvidenceEqualTimes(t *testing.T) {
	e := newEvidence(1)
	for backend := range 4 {
		e.add(Baseline, 0, Outcome{EndedAt: 7, Latency: 1, Backend: backend}, true)
	}
	expect(t, "backends of the outcomes", mapSlice(e.outcomes[Baseline][0], func(o Outcome) int { return o.Backend }), "[0 1 2 3]")
}
