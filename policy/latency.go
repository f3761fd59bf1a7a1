package policy

import (
	"math"

	"onyxgate/policy/endpoints"
)

const (
	// meanSmoothing is the weight of a new value in the exponential means of latency, work and value. backendSmoothing
	// is the weight in the means of a single backend, which gets fewer requests.
	meanSmoothing, backendSmoothing = 0.02, 0.1
	// maxLatencyInflation bounds the latency of one response, relative to the mean latency, so that a single slow
	// response cannot exclude its backend. The tail latency starts at this multiple of the first response's latency.
	maxLatencyInflation = 10
	// tailQuantile is the quantile that the tail latency estimates. An attempt is presumed lost after tailMultiple
	// times the tail latency.
	tailQuantile, tailMultiple = 0.97, 1.5
	// tailUpdateStep scales the changes of the logarithm of the tail latency by single responses.
	tailUpdateStep = 0.2
)

// classLatency holds the latency statistics of one class. Times are in ms.
type classLatency struct {
	mean            float64 // 0: no response yet
	tail            float64 // estimate of the tailQuantile quantile; infinite if attempts are never presumed lost
	longestTimeLeft float64 // longest time left on arrival of any request
}

// recordLatency updates the latency statistics and the throughput with one response. It ignores a response with unknown
// (infinite) latency.
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

// updateMean updates an exponential mean, whose initial value is the first sample.
func updateMean(mean *float64, value float64) {
	if *mean == 0 {
		*mean = value
	}
	*mean += meanSmoothing * (value - *mean)
}

// updateTailLatency raises the tail latency after each response that exceeds it and lowers it after the others. The
// step sizes keep the estimate stable if tailQuantile of the responses are within it. The estimate stays infinite for a
// class in which a lost attempt could not be replaced.
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

// presumedLostAt returns the time from which an attempt sent at sentAt is presumed lost, or infinity if it never is.
func (inst *Instance) presumedLostAt(class int, sentAt float64) float64 {
	return sentAt + tailMultiple*inst.latencies[class].tail
}
