package policy

import "math"

// learnLatency keeps the usual latencies and the load that warm appliances bear.
func (a *Instance) learnLatency(i int, t *request, took float64) {
	if math.IsInf(took, 1) {
		return
	}
	u := &a.meanLatency[t.class]
	if *u == 0 {
		*u = took
	}
	*u += meanStep * (took - *u)
	// Up by each answer beyond it and down by the others, so that tailPart of them stay under it.
	q := &a.tailLatency[t.class]
	if math.IsInf(*q, 1) && a.cancelAllowed && a.classes[t.class].Semantics != NonIdempotent { // else nothing is ever past hope
		*q = maxLatencyInflation * took
	}
	if took > *q {
		*q *= math.Exp(tailUpdateStep * tailQuantile)
	} else {
		*q *= math.Exp(-tailUpdateStep * (1 - tailQuantile))
	}
	if a.overallMeanLatency == 0 {
		a.overallMeanLatency = took
	}
	a.overallMeanLatency += meanStep * (took - a.overallMeanLatency)
	a.latencyInflation[i] += backendStep * (min(took/max(*u, 1), maxLatencyInflation) - a.latencyInflation[i])
	if a.warmWeight > 0 && a.warmUpProgress(i) >= 1 {
		if a.throughputAt > 0 {
			dt := a.now - a.throughputAt
			a.throughput, a.throughputAge = a.throughput*math.Exp(-dt/throughputTime), a.throughputAge+dt
		}
		a.throughput, a.throughputAt = a.throughput+t.relativeWork/a.warmWeight, a.now
	}
}
