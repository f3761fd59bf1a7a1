package policy

import (
	"math"

	"onyxgate/policy/endpoints"
)

const (
	// meanStep is the weight of one answer in a mean latency, work or value; backendStep that in the figures of one backend, which
	// sees fewer answers.
	meanSmoothing, backendSmoothing = 0.02, 0.1
	// maxLatencyInflation bounds what one answer counts, as times the usual latency: a single one must not shut out its backend.
	maxLatencyInflation = 10
	// tailQuantile is the share of the answers that come within the tail latency. An attempt that takes tailMultiple times the tail
	// latency is taken for lost.
	tailQuantile, tailMultiple = 0.97, 1.5
	// tailUpdateStep is how far one answer moves the logarithm of the tail latency.
	tailUpdateStep = 0.2
)

// classLatency is what is known of the latency of one class. Times are in ms.
type classLatency struct {
	mean            float64 // 0: no answer yet
	tail            float64 // within which tailQuantile of the answers come; infinite while attempts are never taken for lost
	longestTimeLeft float64 // the most that a request had on arrival
}

// learnLatency takes the latency of an answer.
func (inst *Instance) recordLatency(backend *endpoints.Backend, req *request, elapsed float64) {
	if math.IsInf(elapsed, 1) {
		return
	}
	latency := &inst.latencies[req.class]
	updateMean(&latency.mean, elapsed)
	inst.updateTailLatency(req.class, elapsed)
	updateMean(&inst.meanLatency, elapsed)
	backend.LatencyInflation += backendSmoothing * (min(elapsed/max(latency.mean, 1), maxLatencyInflation) - backend.LatencyInflation)
	if inst.fleet.warmWeight > 0 && inst.warmUpProgress(backend) >= 1 {
		inst.throughput.Add(req.relativeWork/inst.fleet.warmWeight, inst.now)
	}
}

// moveMean moves an exponential mean, which starts with its first value.
func updateMean(mean *float64, value float64) {
	if *mean == 0 {
		*mean = value
	}
	*mean += meanSmoothing * (value - *mean)
}

// learnTail moves the tail latency up for each answer beyond it and down for the others, by steps that balance where tailQuantile of the
// answers stay within it. It stays infinite where a lost attempt could not be replaced.
func (inst *Instance) updateTailLatency(class int, elapsed float64) {
	tail := &inst.latencies[class].tail
	replaceable := inst.cancelAllowed && inst.classes[class].Semantics != NonIdempotent
	if math.IsInf(*tail, 1) && replaceable {
		*tail = maxLatencyInflation * elapsed
	}
	if elapsed > *tail {
		*tail *= math.Exp(tailUpdateStep * tailQuantile)
	} else {
		*tail *= math.Exp(-tailUpdateStep * (1 - tailQuantile))
	}
}

// givenUpAt is when an attempt sent at a time is taken for lost.
func (inst *Instance) presumedLostAt(class int, sentAt float64) float64 {
	return sentAt + tailMultiple*inst.latencies[class].tail
}
