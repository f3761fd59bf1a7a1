package verdict

import (
	"cmp"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

const (
	// maxOutcomes is how many outcomes are kept for each arm and class at the least; at twice as many the oldest go.
	minKeptOutcomes = 400
	// steadySample is how many of a backend's latest outcomes are compared, half against half, to see whether a backend that
	// warms up is steady: fewer tell nothing, more would take longer than a warm-up.
	steadyStateSample = 12
	// meanWeight is the weight of one answer in a class's mean latency.
	meanLatencyWeight = 0.02
)

// Arm is one side of the comparison.
type Arm int

// The arms. Unrelated is for outcomes of a release that is neither: not announced yet, or taken off.
const (
	Unrelated Arm = iota - 1
	Baseline
	Candidate
)

// Outcome is the end of one attempt as evidence on a release.
type Outcome struct {
	EndedAt          float64 // ms
	Latency          float64 // ms for each unit of work
	Failed           bool
	ConnectionBroken bool // it failed as its connection broke
	Backend          int  // the caller's index of the backend

	relativeLatency float64 // latency over the mean of its class
	comparable      bool    // its latency counts in comparisons: it succeeded, at a backend that was warm or steady
}

// evidence is the outcomes of both arms, by class, each class in order of time.
type evidence struct {
	outcomes    [2][][]Outcome // by arm and class
	meanLatency []float64      // ms for each unit of work, by class
	recent      [][]float64    // the latest relative latencies of each backend, at most steadySample
}

func newEvidence(classes int) evidence {
	return evidence{
		outcomes:    [2][][]Outcome{make([][]Outcome, classes), make([][]Outcome, classes)},
		meanLatency: make([]float64, classes),
	}
}

// add records an outcome; warm tells that its backend has ended its warm-up. An outcome of an unrelated release teaches what
// is usual for the class and the backend, and is not kept.
func (e *evidence) add(arm Arm, class int, outcome Outcome, warm bool) {
	mean := &e.meanLatency[class]
	if *mean == 0 {
		*mean = outcome.Latency
	}
	*mean += meanLatencyWeight * (outcome.Latency - *mean)
	outcome.relativeLatency = outcome.Latency / max(*mean, 1e-9)
	outcome.comparable = !outcome.Failed && e.checkSteadyState(outcome.Backend, outcome.relativeLatency, warm)
	if arm == Unrelated {
		return
	}
	e.outcomes[arm][class] = insertByTime(e.outcomes[arm][class], outcome)
}

// insertByTime keeps outcomes in order of time, and their number bounded. Those that other instances send come late.
func insertByTime(outcomes []Outcome, outcome Outcome) []Outcome {
	at := len(outcomes)
	for at > 0 && outcomes[at-1].EndedAt > outcome.EndedAt {
		at--
	}
	outcomes = slices.Insert(outcomes, at, outcome)
	if len(outcomes) > 2*minKeptOutcomes {
		outcomes = slices.Clone(outcomes[len(outcomes)-minKeptOutcomes:])
	}
	return outcomes
}

// isSteady is the steady-state check of a backend, which takes its latest relative latency: its warm-up has ended, or the two
// halves of its latest outcomes have means within the equivalence zone.
func (e *evidence) checkSteadyState(backend int, relativeLatency float64, warm bool) bool {
	for len(e.recent) <= backend {
		e.recent = append(e.recent, nil)
	}
	recent := append(e.recent[backend], relativeLatency)
	if len(recent) > steadyStateSample {
		recent = recent[1:]
	}
	e.recent[backend] = recent
	if warm || len(recent) < steadyStateSample {
		return warm
	}
	first, second := stat.Mean(recent[:steadyStateSample/2], nil), stat.Mean(recent[steadyStateSample/2:], nil)
	return math.Abs(first-second) <= latencyZone*max(first, second)
}

// markFailed turns the latest success of a backend that was sent within a millisecond of sentAt into a failure.
func (e *evidence) markFailed(class, backend int, sentAt float64) {
	for arm := range e.outcomes {
		outcomes := e.outcomes[arm][class]
		for i := len(outcomes) - 1; i >= 0; i-- {
			outcome := &outcomes[i]
			if outcome.Backend == backend && !outcome.Failed && math.Abs(outcome.EndedAt-outcome.Latency-sentAt) < 1 {
				outcome.Failed = true
				return
			}
		}
	}
}

// resetBackend forgets what the steady-state check knows of a backend: another process runs under its index.
func (e *evidence) resetBackend(backend int) {
	if backend < len(e.recent) {
		e.recent[backend] = nil
	}
}

// forgetBackend drops a backend's outcomes, as its index goes to another one.
func (e *evidence) forgetBackend(backend int) {
	for arm := range e.outcomes {
		for class, outcomes := range e.outcomes[arm] {
			e.outcomes[arm][class] = slices.DeleteFunc(outcomes, func(o Outcome) bool { return o.Backend == backend })
		}
	}
}

// startCandidate makes room for a new candidate's outcomes. Where the candidate so far was released, its outcomes become the
// baseline's; otherwise they are dropped and the baseline stays.
func (e *evidence) startCandidate(released bool) {
	if released {
		e.outcomes[Baseline], e.outcomes[Candidate] = e.outcomes[Candidate], e.outcomes[Baseline]
	}
	clear(e.outcomes[Candidate])
}

// snapshot is the outcomes as they are now; startCandidate does not change it.
func (e *evidence) snapshot() [2][][]Outcome {
	return [2][][]Outcome{slices.Clone(e.outcomes[Baseline]), slices.Clone(e.outcomes[Candidate])}
}

// count is the number of an arm's outcomes, in all classes.
func (e *evidence) count(arm Arm) (count int) {
	for _, outcomes := range e.outcomes[arm] {
		count += len(outcomes)
	}
	return count
}

// poolClasses joins all classes in order of time, each latency relative to the mean of its class.
func poolClasses(classes [][]Outcome) []Outcome {
	pooled := slices.Concat(classes...)
	slices.SortStableFunc(pooled, func(x, y Outcome) int { return cmp.Compare(x.EndedAt, y.EndedAt) })
	for i := range pooled {
		pooled[i].Latency = pooled[i].relativeLatency
	}
	return pooled
}

// outcomesSince leaves out what ended before the first of reference.
func outcomesSince(outcomes, reference []Outcome) []Outcome {
	first := 0
	for first < len(outcomes) && len(reference) > 0 && outcomes[first].EndedAt < reference[0].EndedAt {
		first++
	}
	return outcomes[first:]
}

// withoutWorstBackend leaves out the outcomes of the backend with most failures.
func withoutWorstBackend(outcomes []Outcome) []Outcome {
	failures, worst := map[int]int{}, -1
	for _, outcome := range outcomes {
		if outcome.Failed {
			failures[outcome.Backend]++
			if worst < 0 || failures[outcome.Backend] > failures[worst] {
				worst = outcome.Backend
			}
		}
	}
	return slices.DeleteFunc(slices.Clone(outcomes), func(o Outcome) bool { return o.Backend == worst })
}

func failureCount(outcomes []Outcome) (count int) {
	for _, outcome := range outcomes {
		if outcome.Failed {
			count++
		}
	}
	return count
}

func connectionFailureCount(outcomes []Outcome) (count int) {
	for _, outcome := range outcomes {
		if outcome.ConnectionBroken {
			count++
		}
	}
	return count
}

// backendCount is how many backends the outcomes come from, at least 1.
func backendCount(outcomes []Outcome) float64 {
	seen := map[int]bool{}
	for _, outcome := range outcomes {
		seen[outcome.Backend] = true
	}
	return max(float64(len(seen)), 1)
}

func successShare(outcomes []Outcome) float64 {
	if len(outcomes) == 0 {
		return 1
	}
	return 1 - float64(failureCount(outcomes))/float64(len(outcomes))
}

// latencies are the comparable ones, in order of time.
func latencies(outcomes []Outcome) []float64 {
	var values []float64
	for _, outcome := range outcomes {
		if outcome.comparable {
			values = append(values, outcome.Latency)
		}
	}
	return values
}

// A figure is one number of an outcome, and whether the outcome has it.
type metric func(Outcome) (value float64, present bool)

func comparableLatency(o Outcome) (float64, bool) { return o.Latency, o.comparable }

func comparableLogLatency(o Outcome) (float64, bool) {
	return math.Log(max(o.Latency, 1e-6)), o.comparable
}

func failureIndicator(o Outcome) (float64, bool) {
	if o.Failed {
		return 1, true
	}
	return 0, true
}
