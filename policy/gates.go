package policy

import (
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat/distuv"
)

// evaluateGates compares the builds product by product, and all products at once by latency over the product's usual
// one, which sees a slow build sooner and hides no single product.
func (a *Instance) evaluateGates() (earned bool, worse string) {
	arms := [2][][]outcome{}
	for k := range arms {
		arms[k] = append(slices.Clone(a.evidence[k]), poolClasses(a.evidence[k]))
	}
	for p, neu := range arms[1] {
		e, w := compareReleases(neu, arms[0][p], !a.inLastStage(), a.phase == Released, a.errorBudget(), a.rollbackVotes)
		if w != "" {
			return false, fmt.Sprintf("product %d: %s", p, w)
		}
		earned = earned || e
	}
	return earned, ""
}

// errorBudget is the chance to be wrong that one agent may take: small where few of many undo a build, larger where
// many must agree, each of whom sees little.
func (a *Instance) errorBudget() float64 {
	looking := a.instances
	if a.peerMessages && a.isEvaluator() {
		looking = min(looking, evaluators)
	}
	return min(distuv.Gamma{Alpha: float64(a.rollbackVotes), Beta: 1}.Quantile(fleetErrorProbability)/float64(looking), maxErrorProbability)
}

// compareReleases is gates two and three for one product.
func compareReleases(neu, old []outcome, alike, released bool, err float64, backs int) (earned bool, worse string) {
	if failsMore(neu, old, released, err, backs) {
		return false, fmt.Sprintf("failures %d of %d against %d of %d", failureCount(neu), len(neu), failureCount(old), len(old))
	}
	if len(neu) < minSample || len(old) < minSample {
		// With hundreds of agents none may ever have the least sample; the many that agree know enough.
		if backs >= manyVotes && alike && backendCount(neu) >= minSamplePerBackend &&
			latencyRatioLowerBound(latencies(neu), latencies(outcomesSince(old, neu)), manyVotes, 1-err/4) > 1+latencyZone+smallSampleMargin {
			worse = "few outcomes, slower"
		}
		return false, worse
	}
	// Percentiles by slices need hundreds of outcomes to see a build twice as slow; its stage is over by then.
	// Most of the outcomes beyond what machines of one build differ by are enough. One bad slice is not most.
	x, y := latencies(neu), latencies(outcomesSince(old, neu))
	apart := 2 * backendVariation(old, minSamplePerBackend, minSamplePerBackend, outcome.comparableLogLatency) / math.Sqrt(backendCount(neu))
	apart += 1 + latencyZone + shiftMargin
	if over := countAbove(x, y, apart); alike && backendCount(neu) >= minSamplePerBackend && len(y) >= minSample &&
		(distuv.Beta{Alpha: over + 0.5, Beta: float64(len(x)) - over + 0.5}).CDF(0.5) < err/4 {
		return false, fmt.Sprintf("latency: %.0f of %d beyond %.2f times the usual", over, len(x), apart)
	}
	ns, paired := timeSlices(neu, nil, sliceCount, minSample/sliceCount)
	os, paired := timeSlices(old, neu, sliceCount, minSample/sliceCount)
	if sn, so := each(ns, successShare), each(os, successShare); variationCoefficient(sn) <= maxSliceVariation && variationCoefficient(so) <= maxSliceVariation {
		noise := math.Sqrt(float64(failureCount(neu)+1) / float64(len(neu)+2) / float64(len(neu)))
		lo, hi := interval(differences(sn, so), equivalenceQuantile, noise)
		earned = lo > -shareZone && hi < shareZone || lo > shareZone
	}
	nl, ol := each(ns, latencies), each(os, latencies)
	few := func(x []float64) bool { return len(x) < minSample/sliceCount }
	if slices.ContainsFunc(nl, few) || slices.ContainsFunc(ol, few) || !alike || !paired ||
		!slicesAgree(nl, maxSliceDistance) || !slicesAgree(ol, maxSliceDistance) {
		return earned, ""
	}
	slow, sure := 0, distuv.StudentsT{Sigma: 1, Nu: sliceCount - 1}.Quantile(1-err/4)
	room := 2 * backendVariation(old, minSamplePerBackend, minSamplePerBackend, outcome.comparableLatency) / math.Sqrt(backendCount(neu))
	for _, q := range []float64{0.5, 0.75, 0.9} {
		at := func(x []float64) float64 { return quantile(q, x) }
		d, base := differences(each(nl, at), each(ol, at)), quantile(q, latencies(old))
		lo, hi := interval(d, equivalenceQuantile, 0)
		earned = earned || lo > -latencyZone*base && hi < latencyZone*base || hi < -latencyZone*base
		if lo, _ = interval(d, sure, 0); lo > latencyZone*base+room {
			slow++
			worse = fmt.Sprintf("latency quantile %.2f: at least %.0f%% more", q, 100*lo/base)
		}
	}
	if slow < minSlowerPercentiles {
		return earned, ""
	}
	return false, worse
}

// failsMore is the interval on a failure share: a posterior, for it also speaks below the least sample and at
// no failures.
func failsMore(neu, old []outcome, released bool, err float64, backs int) bool {
	if backs < manyVotes && backendCount(neu) >= minSamplePerBackend { // no single machine's trouble is the build's
		neu = withoutWorst(neu)
	}
	f, g := failureCount(neu), failureCount(old)
	if f < 3 || float64(breakCount(old)) > usualBreakShare*float64(len(old)) { // breaks speak of the way or a machine
		f, g = f-breakCount(neu), g-breakCount(old)
	}
	base := (float64(g) + 0.1) / (float64(len(old)) + 1)
	// Released, it has no other machines beside it: trouble of a few of its own must not pass for its doing.
	uneven := backendVariation(old, minSamplePerBackend, minSamplePerBackend, outcome.failureIndicator)
	if released {
		uneven = max(uneven, backendVariation(neu, minSamplePerBackend, minSamplePerBackend, outcome.failureIndicator))
	}
	edge := min(base+shareZone+2*uneven/math.Sqrt(backendCount(neu)), 1)
	beyond := 1 - distuv.Beta{Alpha: float64(f) + 0.5, Beta: float64(len(neu)-f) + 1}.CDF(edge)
	return f >= max(4-backs, 1) && beyond > 1-err
}
