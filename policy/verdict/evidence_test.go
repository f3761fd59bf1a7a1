package verdict

import (
	"fmt"
	"testing"
)

// endTimes are when the outcomes of an arm and class ended, in the order on record.
func endTimes(e *evidence, arm Arm, class int) []float64 {
	return mapSlice(e.outcomes[arm][class], func(o Outcome) float64 { return o.EndedAt })
}

// Outcomes stand in order of time however they come in.
func TestEvidenceOrder(t *testing.T) {
	for _, c := range []struct {
		name string
		came []float64
		want string
	}{
		{"in order", []float64{1, 2, 3}, "[1 2 3]"},
		{"one late", []float64{1, 3, 2}, "[1 2 3]"},
		{"the oldest last", []float64{2, 3, 1}, "[1 2 3]"},
		{"all late", []float64{5, 4, 3, 2, 1}, "[1 2 3 4 5]"},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := newEvidence(2)
			for _, at := range c.came {
				e.add(Candidate, 1, Outcome{EndedAt: at, Latency: 1}, true)
			}
			expect(t, "candidate", endTimes(&e, Candidate, 1), c.want)
			expect(t, "baseline", endTimes(&e, Baseline, 1), "[]")
			expect(t, "the other class", endTimes(&e, Candidate, 0), "[]")
		})
	}
}

// The record is bounded: past twice maxOutcomes the oldest go.
func TestEvidenceBound(t *testing.T) {
	for _, c := range []struct {
		count, want int
		oldest      float64
	}{
		{2 * minKeptOutcomes, 2 * minKeptOutcomes, 0},
		{2*minKeptOutcomes + 1, minKeptOutcomes, minKeptOutcomes + 1},
		{2*minKeptOutcomes + 2, minKeptOutcomes + 1, minKeptOutcomes + 1},
		{20 * minKeptOutcomes, 0, 0}, // below the bound, whatever it is
	} {
		t.Run(fmt.Sprint(c.count), func(t *testing.T) {
			e := newEvidence(1)
			for k := range c.count {
				e.add(Baseline, 0, Outcome{EndedAt: float64(k), Latency: 1}, true)
			}
			got := len(e.outcomes[Baseline][0])
			if got > 2*minKeptOutcomes || got < minKeptOutcomes {
				t.Errorf("%d outcomes on record", got)
			}
			if c.want > 0 {
				expect(t, "outcomes", got, c.want)
				expect(t, "oldest", e.outcomes[Baseline][0][0].EndedAt, c.oldest)
			}
		})
	}
}

// A latency counts if the attempt succeeded at a backend that is warm, or steady while it warms up.
func TestComparable(t *testing.T) {
	repeat := func(latency float64, count int) (latencies []float64) {
		for range count {
			latencies = append(latencies, latency)
		}
		return latencies
	}
	for _, c := range []struct {
		name   string
		before []float64 // latencies of the backend before
		warm   bool
		failed bool
		want   bool
	}{
		{"warm", nil, true, false, true},
		{"warm, failed", nil, true, true, false},
		{"warming up, the first", nil, false, false, false},
		{"warming up, one short of the sample", repeat(10, steadyStateSample-2), false, false, false},
		{"warming up, steady", repeat(10, steadyStateSample-1), false, false, true},
		{"warming up, steady, failed", repeat(10, steadyStateSample-1), false, true, false},
		{"warming up, getting faster", append(repeat(30, steadyStateSample/2), repeat(10, steadyStateSample/2-1)...), false, false, false},
		{"warming up, steady of late", append(repeat(30, steadyStateSample), repeat(10, 3*steadyStateSample)...), false, false, true},
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

// Another process under a backend's index begins its steady-state check anew.
func TestResetBackend(t *testing.T) {
	e := newEvidence(1)
	for k := range steadyStateSample {
		e.add(Candidate, 0, Outcome{EndedAt: float64(k), Latency: 10, Backend: 1}, false)
	}
	expect(t, "steady", e.outcomes[Candidate][0][steadyStateSample-1].comparable, true)
	e.resetBackend(1)
	e.resetBackend(7) // nothing is known of it
	e.add(Candidate, 0, Outcome{EndedAt: 100, Latency: 10, Backend: 1}, false)
	expect(t, "another process", e.outcomes[Candidate][0][steadyStateSample].comparable, false)
	expect(t, "outcomes stay", len(e.outcomes[Candidate][0]), steadyStateSample+1)
}

// An unrelated release's outcome is not kept, yet teaches the mean latency of its class.
func TestUnrelatedOutcome(t *testing.T) {
	e := newEvidence(1)
	e.add(Unrelated, 0, Outcome{EndedAt: 1, Latency: 50}, true)
	expect(t, "kept", e.count(Baseline)+e.count(Candidate), 0)
	expectNear(t, "mean latency", e.meanLatency[0], 50)
	e.add(Candidate, 0, Outcome{EndedAt: 2, Latency: 100}, true)
	expectNear(t, "mean latency after another", e.meanLatency[0], 51)
	expectNear(t, "relative latency", e.outcomes[Candidate][0][0].relativeLatency, 100.0/51)
}

// A wrong answer turns the latest success that fits into a failure, and only that one.
func TestMarkFailed(t *testing.T) {
	for _, c := range []struct {
		name    string
		class   int
		backend int
		sentAt  float64
		want    string // failed, of the baseline's three outcomes and the candidate's one, sent at 90, 190, 190.5 and 290
	}{
		{"fits one", 0, 1, 90, "[true false false false]"},
		{"fits two: the latest", 0, 1, 190.2, "[false false true false]"},
		{"the candidate's", 0, 1, 290.9, "[false false false true]"},
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
			expect(t, "failed", failed, c.want)
		})
	}
	t.Run("twice: the one before", func(t *testing.T) {
		e := newEvidence(1)
		for _, at := range []float64{200, 200.5} {
			e.add(Baseline, 0, Outcome{EndedAt: at, Latency: 10, Backend: 1}, true)
		}
		e.markFailed(0, 1, 190.2)
		e.markFailed(0, 1, 190.2)
		expect(t, "failures", failureCount(e.outcomes[Baseline][0]), 2)
	})
}

// A released candidate becomes the next one's baseline; one that was not leaves the baseline as it is.
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
			expect(t, "baseline", endTimes(&e, Baseline, 0), c.want)
			expect(t, "candidate", endTimes(&e, Candidate, 0), "[]")
			expect(t, "snapshot", []int{len(before[Baseline][0]), len(before[Candidate][0])}, "[2 1]")
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
				expect(t, "of the forgotten backend", outcome.Backend == 2, false)
			}
		}
	}
	expect(t, "left", e.count(Baseline)+e.count(Candidate), 9)
}

// All classes pooled stand in order of time, each latency relative to the mean of its class.
func TestPoolClasses(t *testing.T) {
	e := newEvidence(2)
	for k := range 4 {
		e.add(Candidate, 0, Outcome{EndedAt: float64(2 * k), Latency: 10}, true)
		e.add(Candidate, 1, Outcome{EndedAt: float64(2*k + 1), Latency: 1000}, true)
	}
	pooled := poolClasses(e.outcomes[Candidate])
	expect(t, "times", mapSlice(pooled, func(o Outcome) float64 { return o.EndedAt }), "[0 1 2 3 4 5 6 7]")
	expect(t, "latencies", latencies(pooled), "[1 1 1 1 1 1 1 1]")
	expect(t, "the classes keep theirs", latencies(e.outcomes[Candidate][1]), "[1000 1000 1000 1000]")
}

func TestWithoutWorstBackend(t *testing.T) {
	for _, c := range []struct {
		name     string
		failures []int // by backend, of four outcomes each
		want     int   // outcomes left
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
			left := withoutWorstBackend(outcomes)
			expect(t, "left", len(left), c.want)
			expect(t, "all are still there", len(outcomes), 12)
			for _, outcome := range left {
				expect(t, "of the worst", c.want < 12 && outcome.Backend == 1, false)
			}
		})
	}
}

// Outcomes of one time keep the order in which they came.
func TestEvidenceEqualTimes(t *testing.T) {
	e := newEvidence(1)
	for backend := range 4 {
		e.add(Baseline, 0, Outcome{EndedAt: 7, Latency: 1, Backend: backend}, true)
	}
	expect(t, "backends", mapSlice(e.outcomes[Baseline][0], func(o Outcome) int { return o.Backend }), "[0 1 2 3]")
}
