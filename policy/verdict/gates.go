package verdict

import (
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat/distuv"
)

const (
	minSample     = 20 // outcomes of each arm and class, below which only few outcomes are spoken of
	minPerBackend = 3  // backends, and outcomes of each, that tell how backends of one release differ
	// fewOutcomes is the least number of latencies of each arm below minSample that may yet show a slower candidate, where
	// many votes roll back.
	minSmallSample = 4
	// manyVotes is the number of rollback votes from which many instances must agree, so that each may speak on little.
	manyVotes = 4

	// Equivalence zones: differences up to these count as none.
	latencyZone      = 0.10 // of the baseline's latency quantile
	successShareZone = 0.05 // of attempts, difference of success shares
	// Margins beyond latencyZone, as parts of the baseline's latency, for gates that see little.
	smallSampleMargin = 0.4
	shiftMargin       = 0.15

	// equivalenceErrors is Student's t at 95% for sliceCount-1 = 4 degrees of freedom: an interval of 90%, in standard errors.
	equivalenceStdErrors = 2.13
	// maxSliceVariation is the greatest variation coefficient of the slices' success shares at which their difference counts.
	maxSliceVariation = 0.15
	// minSlowerQuantiles of the latencyQuantiles must be wholly slower: one of many that are looked at often is so by chance.
	minSlowerQuantiles = 2

	// latencyErrorParts: each latency gate may be wrong with this part of the probability that the failure gate has.
	latencyErrorDivisor = 4

	// usualBreakShare is the share of the baseline's attempts whose connection breaks, from which breaks say nothing of a release.
	maxBaselineBreakShare = 0.02
	// minFailuresWithBreaks: among fewer failures of the candidate broken connections do not count, as the network may be the cause.
	minFailuresWithBreaks = 3
	// failuresAndVotes: so many failures less one for each vote that a rollback needs must be seen, and at least one.
	minFailuresPlusVotes = 4
)

// latencyQuantiles are compared slice by slice.
var latencyQuantiles = [...]float64{0.5, 0.75, 0.9}

// Comparison is what the gates say of a candidate.
type Comparison struct {
	// Earned tells that a success share or a latency quantile is shown to be equivalent to the baseline's or better.
	NonInferior bool
	// Regression says in what the candidate is worse, for the log; empty: it is not shown to be worse.
	Regression string
}

// criteria say how sure the gates must be, and which may be asked.
type criteria struct {
	compareLatency   bool // false where the baseline's backends are idle: their latency says nothing
	released         bool // the candidate has no baseline backends beside it any more
	errorProbability float64
	rollbackVotes    int // that roll a release back
}

// comparison is the outcomes of one class on both sides, under the criteria.
type comparison struct {
	criteria
	candidate, baseline []Outcome
}

// compare runs all gates for one class: the failure gate first, as it speaks on few outcomes, then those for latency.
func compare(candidate, baseline []Outcome, by criteria) Comparison {
	c := comparison{criteria: by, candidate: candidate, baseline: baseline}
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

// failsMore is the failure gate: whether the candidate's failure share is higher than the baseline's. It goes by a posterior,
// which also speaks below the least sample and at no failures.
func (c comparison) failsMore() bool {
	candidate, baseline := c.candidate, c.baseline
	if c.rollbackVotes < manyVotes && backendCount(candidate) >= minPerBackend { // one backend's trouble is not the release's
		candidate = withoutWorstBackend(candidate)
	}
	failures, baselineFailures := failureCount(candidate), failureCount(baseline)
	if failures < minFailuresWithBreaks || float64(connectionFailureCount(baseline)) > maxBaselineBreakShare*float64(len(baseline)) {
		failures, baselineFailures = failures-connectionFailureCount(candidate), baselineFailures-connectionFailureCount(baseline)
	}
	usual := (float64(baselineFailures) + 0.1) / (float64(len(baseline)) + 1)
	bound := min(usual+successShareZone+2*c.failureVariation(candidate)/math.Sqrt(backendCount(candidate)), 1)
	beyond := 1 - failurePosterior(failures, len(candidate)-failures).CDF(bound)
	return failures >= max(minFailuresPlusVotes-c.rollbackVotes, 1) && beyond > 1-c.errorProbability
}

// failureVariation is how far backends of one release differ in their failure shares. Once released, the candidate has no
// baseline backends beside it: trouble of a few of its own must not count as the release's.
func (c comparison) failureVariation(candidate []Outcome) float64 {
	variation := backendVariation(c.baseline, failureIndicator)
	if c.released {
		variation = max(variation, backendVariation(candidate, failureIndicator))
	}
	return variation
}

// comparesLatency tells that the latencies may be compared and come from enough backends of the candidate.
func (c comparison) comparesLatency() bool {
	return c.compareLatency && backendCount(c.candidate) >= minPerBackend
}

// baselineLatencies are those since the candidate's first outcome.
func (c comparison) baselineLatencies() []float64 {
	return latencies(outcomesSince(c.baseline, c.candidate))
}

// smallSampleLatencyGate finds a candidate that is far slower by few outcomes. With hundreds of instances none may ever have
// the least sample; the many that must agree know enough together.
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

// latencyShiftGate finds a candidate of which more than half of the outcomes are slower than the baseline's median, by more than
// backends of one release differ. Quantiles by slices need hundreds of outcomes to see a release twice as slow, and by then the
// stage is over. One bad slice is not half of the outcomes.
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

// sliceGates compare slices of time of both sides: success shares by the equivalence zone, then latency quantiles.
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

// agree is the agreement gate: every slice has enough latencies, and they are alike enough to be taken as one.
func agreementGate(latencySlices [][]float64) bool {
	few := func(latencies []float64) bool { return len(latencies) < minPerSlice }
	return !slices.ContainsFunc(latencySlices, few) && slicesAgree(latencySlices)
}

// successShareEarned tells that the success shares are steady over the slices, and the candidate's equivalent or higher.
func (c comparison) successShareNonInferior(candidateSlices, baselineSlices [][]Outcome) bool {
	candidate, baseline := mapSlice(candidateSlices, successShare), mapSlice(baselineSlices, successShare)
	if variationCoefficient(candidate) > maxSliceVariation || variationCoefficient(baseline) > maxSliceVariation {
		return false
	}
	// Slices without a failure have no deviation; the error on so rare a failure is not 0.
	minError := math.Sqrt(float64(failureCount(c.candidate)+1) / float64(len(c.candidate)+2) / float64(len(c.candidate)))
	low, high := interval(differences(candidate, baseline), equivalenceStdErrors, minError)
	equivalent := low > -successShareZone && high < successShareZone
	return equivalent || low > successShareZone
}

// latencyQuantileGate compares quantiles of latency, slice by slice. It finds a regression where enough of them are slower by
// more than the equivalence zone and than backends of one release differ.
func (c comparison) latencyQuantileGate(candidateSlices, baselineSlices [][]float64) Comparison {
	var result Comparison
	slower := 0
	regressionStdErrors := distuv.StudentsT{Sigma: 1, Nu: sliceCount - 1}.Quantile(1 - c.errorProbability/latencyErrorDivisor)
	variation := 2 * backendVariation(c.baseline, comparableLatency) / math.Sqrt(backendCount(c.candidate))
	for _, share := range latencyQuantiles {
		ofSlice := func(latencies []float64) float64 { return quantile(share, latencies) }
		more := differences(mapSlice(candidateSlices, ofSlice), mapSlice(baselineSlices, ofSlice))
		usual := quantile(share, latencies(c.baseline))
		low, high := interval(more, equivalenceStdErrors, 0)
		equivalent := low > -latencyZone*usual && high < latencyZone*usual
		result.NonInferior = result.NonInferior || equivalent || high < -latencyZone*usual
		if low, _ = interval(more, regressionStdErrors, 0); low > latencyZone*usual+variation {
			slower++
			result.Regression = fmt.Sprintf("latency quantile %.2f: at least %.0f%% above the baseline's", share, 100*low/usual)
		}
	}
	if slower < minSlowerQuantiles {
		result.Regression = ""
	}
	return result
}
