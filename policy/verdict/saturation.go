package verdict

import (
	"math"
	"slices"

	"onyxgate/policy/release"
)

const (
	// inflationWindow (ms) is over which the fleet's latency is averaged; twice as long before a rollout.
	inflationWindow = 3000
	// saturationLimit (ms) is how long a saturation lasts until it counts against the candidate: longer than most outside trouble.
	saturationLimit = 7000
	// saturatedFrom and saturatedUntil are how many times slower than before the rollout the fleet is when a saturation begins
	// and when it ends.
	saturationStart = 1.6
	saturationEnd   = 1.35
	// comparableArrivals is the arrival rate, as times that before the rollout, up to which latencies are compared: a higher one
	// is itself the cause of any saturation.
	maxArrivalRatio = 1.3
	// releaseSettleTime (ms) after a release all traffic has moved to it; what begins later is not its doing.
	releaseSettleTime = 500
	// lowQuantile is the quantile that is taken for a low latency: queues touch it least.
	lowQuantile = 0.3
	// manyInstances is the number of instances from which each sees too little of a single backend.
	manyInstances = 10
)

// baseline is the fleet as it was when the rollout began.
type baseline struct {
	lowLatency  []float64 // by class, ms for each unit of work; 0: too little was seen
	typical     float64   // typicalLatency; 0: too little was seen
	arrivalRate float64
}

// saturation follows whether the whole fleet, candidate and baseline alike, is slower than before the rollout. It stands in
// for a comparison where a release slows down what it shares with the others.
type saturation struct {
	since      float64 // ms; infinite: the fleet is not saturated
	correction float64 // latency inflation that is not the candidate's doing, at least 1
}

func newSaturation() saturation { return saturation{since: math.Inf(1), correction: 1} }

// update takes the latency inflation now. What begins from outside the rollout is not the candidate's doing and counts only for
// what it grows by: a saturation that a candidate makes grows by stage. A saturation blocks promotion, and counts as a
// regression once it is too long. That may hurt a good release in a long slowness.
func (s *saturation) update(now, inflation float64, external bool) (saturated, tooLong bool) {
	switch {
	case inflation < saturationEnd*s.correction:
		s.since = math.Inf(1)
		if inflation < saturationEnd {
			s.correction = 1
		}
	case external && math.IsInf(s.since, 1):
		s.correction = max(s.correction, inflation)
	case inflation >= saturationStart*s.correction && math.IsInf(s.since, 1):
		s.since = now
	}
	return now >= s.since, now >= s.since+saturationLimit
}

// updateSaturation tells whether the fleet is saturated, and for too long. Outside the rollout is what begins before the
// candidate had a share worth the name, or after its release.
func (e *Evaluator) updateSaturation(now float64, fleet Fleet) (saturated, tooLong bool) {
	external := e.stage < 1 || e.phase == release.Released && now > e.stateSince+releaseSettleTime
	return e.saturation.update(now, e.latencyInflation(now, fleet), external)
}

// latencyInflation is the fleet's typical latency over what it was before the rollout; 0 where too little is seen, or where more
// arrives than before.
func (e *Evaluator) latencyInflation(now float64, fleet Fleet) float64 {
	if e.baseline.typical == 0 || fleet.ArrivalRate > maxArrivalRatio*e.baseline.arrivalRate {
		return 0
	}
	return e.typicalLatency(e.evidence.outcomes, now-inflationWindow, fleet) / e.baseline.typical
}

// startBaseline measures the fleet as it is when a rollout begins, from the outcomes of both arms until then.
func (e *Evaluator) startBaseline(now float64, before [2][][]Outcome, fleet Fleet) {
	e.baseline.arrivalRate = fleet.ArrivalRate
	since := now - 2*inflationWindow
	for class := range e.baseline.lowLatency {
		var values []float64
		for _, arm := range before {
			for _, outcome := range arm[class] {
				if outcome.comparable && outcome.EndedAt > since {
					values = append(values, outcome.Latency)
				}
			}
		}
		e.baseline.lowLatency[class] = 0
		if len(values) >= minSample {
			e.baseline.lowLatency[class] = quantile(lowQuantile, values)
		}
	}
	e.baseline.typical = e.typicalLatency(before, since, fleet)
}

// typicalLatency is a low latency of a backend among the faster ones, relative to the low latency of each class before the
// rollout; 0 where too little is seen. It is one of the faster backends, so that trouble of some does not pass for trouble of
// all.
func (e *Evaluator) typicalLatency(outcomes [2][][]Outcome, since float64, fleet Fleet) float64 {
	byBackend := e.relativeToBaseline(outcomes, since)
	if fleet.Instances >= manyInstances && !fleet.PeerMessages {
		// Each instance sees too little of one backend; all backends together may be enough.
		if all := slices.Concat(byBackend...); len(all) >= minSample {
			return quantile(lowQuantile, all)
		}
	}
	var lowLatencies []float64
	for _, values := range byBackend {
		if len(values) >= minPerBackend {
			lowLatencies = append(lowLatencies, quantile(lowQuantile, values))
		}
	}
	if len(lowLatencies) < minPerBackend {
		return 0
	}
	return quantile(lowQuantile, lowLatencies)
}

// relativeToBaseline is the latencies since a time, over the low latency of their class before the rollout, by backend.
func (e *Evaluator) relativeToBaseline(outcomes [2][][]Outcome, since float64) [][]float64 {
	var byBackend [][]float64
	for _, arm := range outcomes {
		for class, classOutcomes := range arm {
			low := e.baseline.lowLatency[class]
			for i := len(classOutcomes) - 1; i >= 0 && classOutcomes[i].EndedAt > since && low > 0; i-- {
				outcome := classOutcomes[i]
				if !outcome.comparable {
					continue
				}
				for len(byBackend) <= outcome.Backend {
					byBackend = append(byBackend, nil)
				}
				byBackend[outcome.Backend] = append(byBackend[outcome.Backend], outcome.Latency/low)
			}
		}
	}
	return byBackend
}
