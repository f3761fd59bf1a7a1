package verdict

import (
	"cmp"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

const (
	// minKeptOutcomes is the number of outcomes kept for each arm and class when old ones are dropped, which happens
	// once there are more than twice as many.
	minKeptOutcomes = 400
	// steadyStateSample is the number of latest outcomes of a backend whose two halves are compared to detect that a
	// backend in its warm-up is already steady. A smaller sample shows nothing, and a larger one would take longer to
	// collect than a warm-up lasts.
	steadyStateSample = 12
	// meanLatencyWeight is the weight of a new answer in the moving average of a class's latency.
	meanLatencyWeight = 0.02
)

// Arm is one side of the comparison.
type Arm int

// The arms. Unrelated is for outcomes of a release that belongs to neither: it is not announced yet, or is not
// evaluated any more.
const (
	Unrelated Arm = iota - 1
	Baseline
	Candidate
)

// Outcome is the result of one attempt, used as evidence on a release.
type Outcome struct {
	EndedAt          float64 // ms
	Latency          float64 // ms per unit of work
	Failed           bool
	ConnectionBroken bool // it failed because its connection broke
	Backend          int  // index of the backend, assigned by the caller

	relativeLatency float64 // latency divided by the mean latency of its class
	comparable      bool    // the latency is used in comparisons: recorded as a success on a warm or steady backend
}

// evidence holds the outcomes of both arms by class, in order of time.
type evidence struct {
	outcomes    [2][][]Outcome // by arm and class
	meanLatency []float64      // ms per unit of work, by class
	recent      [][]float64    // latest relative latencies of each backend, at most steadyStateSample
}

func newEvidence(classes int) evidence {
	return evidence{
		outcomes:    [2][][]Outcome{make([][]Outcome, classes), make([][]Outcome, classes)},
		meanLatency: make([]float64, classes),
	}
}

// add records an outcome. warm is set if its backend has finished its warm-up. An outcome of an unrelated release is
// not stored, but it updates the mean latency of the class and the steady-state check of the backend.
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

// insertByTime inserts an outcome in order of time, as outcomes sent by other instances arrive late, and limits the
// number of outcomes.
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

// checkSteadyState adds the relative latency to the backend's latest ones and reports whether the backend is in a
// steady state: its warm-up has ended, or the means of the two halves of its latest outcomes are within the
// equivalence zone.
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

// markFailed turns the latest success of a class and backend that was sent within a millisecond of sentAt into a
// failure. It searches the baseline first, and takes the send time to be the end minus the latency.
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

// resetBackend clears the steady-state check of a backend, because another process runs under its index.
func (e *evidence) resetBackend(backend int) {
	if backend < len(e.recent) {
		e.recent[backend] = nil
	}
}

// forgetBackend drops the outcomes of a backend whose index is being reused for another backend.
func (e *evidence) forgetBackend(backend int) {
	for arm := range e.outcomes {
		for class, outcomes := range e.outcomes[arm] {
			e.outcomes[arm][class] = slices.DeleteFunc(outcomes, func(o Outcome) bool { return o.Backend == backend })
		}
	}
}

// startCandidate clears the candidate's outcomes for a new candidate. If the previous candidate was released, its
// outcomes become the baseline's; otherwise they are dropped and the baseline stays the same.
func (e *evidence) startCandidate(released bool) {
	if released {
		e.outcomes[Baseline], e.outcomes[Candidate] = e.outcomes[Candidate], e.outcomes[Baseline]
	}
	clear(e.outcomes[Candidate])
}

// snapshot returns the current outcomes, unaffected by a later startCandidate.
func (e *evidence) snapshot() [2][][]Outcome {
	return [2][][]Outcome{slices.Clone(e.outcomes[Baseline]), slices.Clone(e.outcomes[Candidate])}
}

// count returns the number of outcomes of an arm, over all classes.
func (e *evidence) count(arm Arm) (count int) {
	for _, outcomes := range e.outcomes[arm] {
		count += len(outcomes)
	}
	return count
}

// poolClasses merges all classes in order of time and makes each latency relative to the mean of its class.
func poolClasses(classes [][]Outcome) []Outcome {
	pooled := slices.Concat(classes...)
	slices.SortStableFunc(pooled, func(x, y Outcome) int { return cmp.Compare(x.EndedAt, y.EndedAt) })
	for i := range pooled {
		pooled[i].Latency = pooled[i].relativeLatency
	}
	return pooled
}

// outcomesSince returns the outcomes that did not end before the first of reference.
func outcomesSince(outcomes, reference []Outcome) []Outcome {
	first := 0
	for first < len(outcomes) && len(reference) > 0 && outcomes[first].EndedAt < reference[0].EndedAt {
		first++
	}
	return outcomes[first:]
}

// withoutWorstBackend returns the outcomes without those of the backend with the most failures.
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

// backendCount returns the number of distinct backends among the outcomes, but at least 1.
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

// latencies returns the comparable latencies, in order of time.
func latencies(outcomes []Outcome) []float64 {
	var values []float64
	for _, outcome := range outcomes {
		if outcome.comparable {
			values = append(values, outcome.Latency)
		}
	}
	return values
}

// metric extracts a number from an outcome, and reports whether the outcome has it.
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
