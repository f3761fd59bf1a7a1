package policy

import "math"

// learnLatency keeps the usual latencies and the load that warm appliances bear.
func (inst *Instance) learnLatency(backend int, req *request, took float64) {
	if math.IsInf(took, 1) {
		return
	}
	u := &inst.meanLatency[req.class]
	if *u == 0 {
		*u = took
	}
	*u += meanStep * (took - *u)
	// Up by each answer beyond it and down by the others, so that tailPart of them stay under it.
	q := &inst.tailLatency[req.class]
	if math.IsInf(*q, 1) && inst.cancelAllowed && inst.classes[req.class].Semantics != NonIdempotent { // else nothing is ever past hope
		*q = maxLatencyInflation * took
	}
	if took > *q {
		*q *= math.Exp(tailUpdateStep * tailQuantile)
	} else {
		*q *= math.Exp(-tailUpdateStep * (1 - tailQuantile))
	}
	if inst.overallMeanLatency == 0 {
		inst.overallMeanLatency = took
	}
	inst.overallMeanLatency += meanStep * (took - inst.overallMeanLatency)
	inst.latencyInflation[backend] += backendStep * (min(took/max(*u, 1), maxLatencyInflation) - inst.latencyInflation[backend])
	if inst.warmWeight > 0 && inst.warmUpProgress(backend) >= 1 {
		if inst.throughputAt > 0 {
			dt := inst.now - inst.throughputAt
			inst.throughput, inst.throughputAge = inst.throughput*math.Exp(-dt/throughputTime), inst.throughputAge+dt
		}
		inst.throughput, inst.throughputAt = inst.throughput+req.relativeWork/inst.warmWeight, inst.now
	}
}
