package verdict

import (
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat/distuv"
)

const (
	minSample     = 20 // outcomes of each arm and class; with fewer, only failsMore and smallSampleLatencyGate apply
	minPerBackend = 3  // backends, and outcomes of each, needed to estimate the variation between backends
	// minSmallSample is the minimum number of latencies of each arm with which the small-sample gate can show a
	// slower candidate. The gate only applies if a rollback needs many votes.
	minSmallSample = 4
	// manyVotes is the number of rollback votes from which a rollback needs the agreement of many instances, so that
	// each may vote on little evidence.
	manyVotes = 4

	// The equivalence zones: smaller differences count as none.
	latencyZone      = 0.10 // share of the baseline's latency quantile
	successShareZone = 0.05 // difference of success shares, as a share of the attempts
	// Margins in addition to latencyZone, as shares of the baseline's latency, for gates that work with few outcomes.
	smallSampleMargin = 0.4
	shiftMargin       = 0.15

	// equivalenceStdErrors is half the width, in standard errors, of a 90% confidence interval: the 95% quantile of
	// Student's t distribution with sliceCount-1 = 4 degrees of freedom.
	equivalenceStdErrors = 2.13
	// maxSliceVariation is the maximum coefficient of variation of the success shares of an arm's slices for which
	// the shares of the arms are compared.
	maxSliceVariation = 0.15
	// minSlowerQuantiles is the number of latencyQuantiles that must be slower for a regression. They are compared
	// often, and a single one can be slower by chance.
	minSlowerQuantiles = 2

	// latencyErrorDivisor divides the error probability of the failure gate to give that of each latency gate.
	latencyErrorDivisor = 4

	// maxBaselineBreakShare is the share of the baseline's attempts with broken connections above which broken
	// connections do not count against a release.
	maxBaselineBreakShare = 0.02
	// minFailuresWithBreaks is the number of failures of the candidate below which broken connections do not count,
	// as the network may be their cause.
	minFailuresWithBreaks = 3
	// minFailuresPlusVotes is the minimum sum of the candidate's failures and the votes that a rollback needs. However
	// many votes are needed, there must be at least one failure.
	minFailuresPlusVotes = 4
)

// latencyQuantiles are the quantiles that are compared slice by slice.
var latencyQuantiles = [...]float64{0.5, 0.75, 0.9}

// Comparison is the result of the gates for a candidate.
type Comparison struct {
	// NonInferior is set if the success share or a latency quantile was shown to be equivalent to the baseline's or
	// better.
	NonInferior bool
	// Regression describes in what way the candidate is worse, for logs. It is empty if no regression was found.
	Regression string
}

// criteria determine which gates apply and how certain they must be.
type criteria struct {
	compareLatency   bool // false if the baseline's backends are idle, so that their latency is not meaningful
	released         bool // the candidate is released, so that no baseline backends run beside it any more
	errorProbability float64
	rollbackVotes    int // votes needed to roll a release back
}

// comparison holds the outcomes of one class in both arms, and the criteria for comparing them.
type comparison struct {
	criteria
	candidate, baseline []Outcome
}

// compare runs the gates for one class and stops at the first regression. The failure gate, which needs the fewest
// outcomes, comes first. With fewer than minSample outcomes in an arm, only smallSampleLatencyGate follows it.
func compare(candidate, baseline []Outcome, gateCriteria criteria) Comparison {
	c := comparison{criteria: gateCriteria, candidate: candidate, baseline: baseline}
	if c.failsMore() {
		return Comparison{Regression: fmt.Sprintf("failures: candidate %d of %d, baseline %d of %d",
			failureCount(candidate), len(candidate), failureCount(baseline), len(baseline))}
	}
	if len(candidate) < minSample || len(baseline) < minSample {
		return Comparison{Regression: c.smallSampleLatencyGate()}
	}
	if regression := c.latencyShiftGate(); regression != "" {
		return Comparison{Regression: regression}
	}
	return c.sliceGates()
}

// failsMore is the failure gate. It reports whether, with the required certainty, the candidate's share of failures
// exceeds the baseline's by more than successShareZone plus the variation between backends. It uses a posterior
// distribution, which is also meaningful below the minimum sample and without failures.
func (c comparison) failsMore() bool {
	candidate, baseline := c.candidate, c.baseline
	if c.rollbackVotes < manyVotes && backendCount(candidate) >= minPerBackend { // one faulty backend is not the release's fault
		candidate = withoutWorstBackend(candidate)
	}
	failures, baselineFailures := failureCount(candidate), failureCount(baseline)
	if failures < minFailuresWithBreaks || float64(connectionFailureCount(baseline)) > maxBaselineBreakShare*float64(len(baseline)) {
		failures, baselineFailures = failures-connectionFailureCount(candidate), baselineFailures-connectionFailureCount(baseline)
	}
	baselineShare := (float64(baselineFailures) + 0.1) / (float64(len(baseline)) + 1)
	bound := min(baselineShare+successShareZone+2*c.failureVariation(candidate)/math.Sqrt(backendCount(candidate)), 1)
	probability := 1 - failurePosterior(failures, len(candidate)-failures).CDF(bound)
	return failures >= max(minFailuresPlusVotes-c.rollbackVotes, 1) && probability > 1-c.errorProbability
}

// failureVariation returns how much the failure shares of backends of one release vary. Once the candidate is
// released, no baseline backends run beside it, so its own variation is included: failures of a few of its backends
// must not count against the release.
func (c comparison) failureVariation(candidate []Outcome) float64 {
	variation := backendVariation(c.baseline, failureIndicator)
	if c.released {
		variation = max(variation, backendVariation(candidate, failureIndicator))
	}
	return variation
}

// comparesLatency reports whether latencies are to be compared and the candidate has enough backends for it.
func (c comparison) comparesLatency() bool {
	return c.compareLatency && backendCount(c.candidate) >= minPerBackend
}

// baselineLatencies returns the baseline's latencies since the candidate's first outcome.
func (c comparison) baselineLatencies() []float64 {
	return latencies(outcomesSince(c.baseline, c.candidate))
}

// smallSampleLatencyGate detects a much slower candidate with few outcomes and describes the regression, or returns
// "". Of hundreds of instances, none may ever reach the minimum sample, but the many that have to agree on a rollback
// have enough evidence together.
func (c comparison) smallSampleLatencyGate() string {
	if c.rollbackVotes < manyVotes || !c.comparesLatency() {
		return ""
	}
	ratio := latencyRatioLowerBound(latencies(c.candidate), c.baselineLatencies(), minSmallSample, 1-c.errorProbability/latencyErrorDivisor)
	if ratio > 1+latencyZone+smallSampleMargin {
		return "latency: slower by few outcomes"
	}
	return ""
}

// latencyShiftGate detects a candidate more than half of whose latencies exceed the baseline's median by more than
// latencyZone, shiftMargin and the variation between backends of one release together. It describes the regression,
// or returns "". Comparing quantiles by slice takes hundreds of outcomes to detect a release that is twice as slow,
// and by then the stage is over. A single bad slice has no effect here, as it is less than half of the outcomes.
func (c comparison) latencyShiftGate() string {
	candidate, baseline := latencies(c.candidate), c.baselineLatencies()
	if !c.comparesLatency() || len(baseline) < minSample {
		return ""
	}
	ratio := 2 * backendVariation(c.baseline, comparableLogLatency) / math.Sqrt(backendCount(c.candidate))
	ratio += 1 + latencyZone + shiftMargin
	above := countAbove(candidate, baseline, ratio)
	posterior := distuv.Beta{Alpha: above + 0.5, Beta: float64(len(candidate)) - above + 0.5}
	if posterior.CDF(0.5) < c.errorProbability/latencyErrorDivisor {
		return fmt.Sprintf("latency: %.0f of %d above %.2f times the baseline's median", above, len(candidate), ratio)
	}
	return ""
}

// sliceGates compares time slices of both arms: first success shares for equivalence, then latency quantiles.
func (c comparison) sliceGates() Comparison {
	candidateSlices := sliceByCount(c.candidate)
	baselineSlices, paired := sliceByTime(c.baseline, c.candidate)
	nonInferior := c.successShareNonInferior(candidateSlices, baselineSlices)
	candidate, baseline := mapSlice(candidateSlices, latencies), mapSlice(baselineSlices, latencies)
	if !c.compareLatency || !paired || !agreementGate(candidate) || !agreementGate(baseline) {
		return Comparison{NonInferior: nonInferior}
	}
	latency := c.latencyQuantileGate(candidate, baseline)
	latency.NonInferior = latency.Regression == "" && (nonInferior || latency.NonInferior)
	return latency
}

// agreementGate reports whether every slice of an arm has enough latencies and the slices are similar enough to be
// treated as one sample.
func agreementGate(latencySlices [][]float64) bool {
	few := func(latencies []float64) bool { return len(latencies) < minPerSlice }
	return !slices.ContainsFunc(latencySlices, few) && slicesAgree(latencySlices)
}

// successShareNonInferior reports whether the success shares of both arms are steady over the slices, and the
// candidate's were shown to be equivalent to the baseline's or higher.
func (c comparison) successShareNonInferior(candidateSlices, baselineSlices [][]Outcome) bool {
	candidate, baseline := mapSlice(candidateSlices, successShare), mapSlice(baselineSlices, successShare)
	if variationCoefficient(candidate) > maxSliceVariation || variationCoefficient(baseline) > maxSliceVariation {
		return false
	}
	// Slices without failures have a deviation of zero, but the standard error for rare failures is not zero.
	minError := math.Sqrt(float64(failureCount(c.candidate)+1) / float64(len(c.candidate)+2) / float64(len(c.candidate)))
	low, high := interval(differences(candidate, baseline), equivalenceStdErrors, minError)
	equivalent := low > -successShareZone && high < successShareZone
	return equivalent || low > successShareZone
}

// latencyQuantileGate compares latency quantiles slice by slice. It reports a regression if at least
// minSlowerQuantiles of them are slower by more than the equivalence zone plus the variation between backends of one
// release.
func (c comparison) latencyQuantileGate(candidateSlices, baselineSlices [][]float64) Comparison {
	var result Comparison
	slower := 0
	regressionStdErrors := distuv.StudentsT{Sigma: 1, Nu: sliceCount - 1}.Quantile(1 - c.errorProbability/latencyErrorDivisor)
	variation := 2 * backendVariation(c.baseline, comparableLatency) / math.Sqrt(backendCount(c.candidate))
	for _, share := range latencyQuantiles {
		sliceQuantile := func(latencies []float64) float64 { return quantile(share, latencies) }
		excess := differences(mapSlice(candidateSlices, sliceQuantile), mapSlice(baselineSlices, sliceQuantile))
		baselineQuantile := quantile(share, latencies(c.baseline))
		low, high := interval(excess, equivalenceStdErrors, 0)
		equivalent := low > -latencyZone*baselineQuantile && high < latencyZone*baselineQuantile
		result.NonInferior = result.NonInferior || equivalent || high < -latencyZone*baselineQuantile
		if low, _ = interval(excess, regressionStdErrors, 0); low > latencyZone*baselineQuantile+variation {
			slower++
			result.Regression = fmt.Sprintf("latency quantile %.2f: at least %.0f%% above the baseline's", share, 100*low/baselineQuantile)
		}
	}
	if slower < minSlowerQuantiles {
		result.Regression = ""
	}
	return result
}
