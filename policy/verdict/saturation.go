package verdict

import (
	"math"
	"slices"

	"onyxgate/policy/release"
)

const (
	// inflationWindow (ms) is the period whose outcomes determine the fleet's current latency. The baseline before a
	// rollout covers twice as long.
	inflationWindow = 3000
	// saturationLimit (ms) is how long the fleet must be saturated before it counts against the candidate. Most
	// saturations that are not caused by a release are shorter.
	saturationLimit = 7000
	// saturationStart and saturationEnd are the latencies, as multiples of the latency before the rollout, at which a
	// saturation of the fleet starts and ends.
	saturationStart = 1.6
	saturationEnd   = 1.35
	// maxArrivalRatio is the maximum arrival rate, as a multiple of the rate before the rollout, at which latencies
	// are compared. A higher rate would itself explain a saturation.
	maxArrivalRatio = 1.3
	// releaseSettleTime (ms) is how long it takes until all traffic has moved to a release after it was released. A
	// saturation that starts later is not caused by the release.
	releaseSettleTime = 500
	// lowQuantile is the quantile used as a low latency. Low latencies are the least affected by queueing.
	lowQuantile = 0.3
	// manyInstances is the fleet size from which an instance sees too few outcomes of any one backend.
	manyInstances = 10
)

// baseline describes the fleet at the start of the rollout.
type baseline struct {
	lowLatency  []float64 // by class, ms per unit of work; 0 if there were too few outcomes
	typical     float64   // typicalLatency; 0 if there were too few outcomes
	arrivalRate float64
}

// saturation tracks whether the whole fleet, candidate and baseline alike, is slower than before the rollout. It
// detects a release that slows down a resource shared by both, which a comparison of the two cannot show.
type saturation struct {
	since      float64 // ms, start of the saturation; infinite if the fleet is not saturated
	correction float64 // latency inflation that the candidate did not cause, at least 1
}

func newSaturation() saturation { return saturation{since: math.Inf(1), correction: 1} }

// update processes the current latency inflation. external is set if a saturation that starts now is attributed to
// causes other than the candidate. Such inflation only counts against the candidate by how much it grows later,
// because a saturation caused by a candidate grows with each stage. A saturation blocks promotion, and counts as a
// regression once it lasts too long. During a long period of slowness this may hurt a good release.
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

// updateSaturation reports whether the fleet is saturated, and whether it has been for too long. A saturation is
// external if it starts before the candidate has a substantial share of the traffic, or more than releaseSettleTime
// after the candidate was released.
func (e *Evaluator) updateSaturation(now float64, fleet Fleet) (saturated, tooLong bool) {
	external := e.stage < 1 || e.phase == release.Released && now > e.stateSince+releaseSettleTime
	return e.saturation.update(now, e.latencyInflation(now, fleet), external)
}

// latencyInflation returns the fleet's typical latency as a multiple of that before the rollout, or 0 if there are
// too few outcomes or the arrival rate exceeds maxArrivalRatio times that before the rollout.
func (e *Evaluator) latencyInflation(now float64, fleet Fleet) float64 {
	if e.baseline.typical == 0 || fleet.ArrivalRate > maxArrivalRatio*e.baseline.arrivalRate {
		return 0
	}
	return e.typicalLatency(e.evidence.outcomes, now-inflationWindow, fleet) / e.baseline.typical
}

// startBaseline measures the fleet at the start of a rollout, from the outcomes of both arms until then.
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

// typicalLatency returns a low latency of one of the faster backends, relative to the low latency of each class
// before the rollout, or 0 if there are too few outcomes. One of the faster backends is used so that some slow
// backends are not mistaken for a slow fleet.
func (e *Evaluator) typicalLatency(outcomes [2][][]Outcome, since float64, fleet Fleet) float64 {
	byBackend := e.relativeToBaseline(outcomes, since)
	if fleet.Instances >= manyInstances && !fleet.PeerMessages {
		// An instance sees too few outcomes of any one backend, but all backends together may have enough.
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

// relativeToBaseline returns the comparable latencies since a given time by backend, each divided by the low latency
// of its class before the rollout. Classes without such a low latency are left out.
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
