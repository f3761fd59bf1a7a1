package policy

import (
	"cmp"
	"math"
)

// This file owns how long a backend has been up, and by that what part of its capacity it has at the least. Its start is told by
// others' wall clock, which may be stepped, as may ours; this process's own time runs on evenly.

// maxStartAge (ms) is how long a backend can have been up when it is first listed while a process runs: discovery tells within seconds, an
// outage included. One that was up for longer is told by another clock. It trades the warm-up of backends after a very long outage.
const maxStartAge = 20000

// believedStart is since when a backend has been up for certain, by a start as told (0: long ago). A fresh backend must never pass for
// a warm one. So the start is believed only as long as no step of the clock was seen and where it can be true of a backend that is listed
// just now; else it has been up since now, which is later than its start by the list's delay and never too soon. In a process's first
// list there is nothing else to go by.
func (a *Instance) believedStart(start float64) float64 {
	switch {
	case start <= 0:
		return 0
	case a.discoveryHeard && (a.clockStepped || a.now-start > maxStartAge):
		return a.now
	}
	return min(start, a.now)
}

// warmUpProgress is the part of its capacity that a backend has at the least.
func (a *Instance) warmUpProgress(i int) float64 {
	up := a.now - a.upSince[i]
	if a.upSince[i] <= 0 || a.warmUpTime <= 0 || up >= a.warmUpTime {
		return 1
	}
	return a.initialCapacity + (1-a.initialCapacity)*max(up, 0)/a.warmUpTime
}

// allowsWarmingUp keeps the cold budget: a part, by the least warmth, of what warm appliances are seen to serve.
func (a *Instance) allowsWarmingUp(t *request, i int) bool {
	c := a.warmUpProgress(i)
	if c >= 1 {
		return true
	}
	pace := a.throughput / throughputTime / max(1-math.Exp(-a.throughputAge/throughputTime), 0.05) * a.weight[i]
	// One core at the least bears one txn per latency, shared by all: the floor where nothing warm is seen.
	mean := cmp.Or(a.overallMeanLatency, a.classes[t.class].LatencyObjective)
	rate := slowStartMargin * a.overloadFactor * c * max(pace, 1/(mean*float64(a.instances)))
	a.slowStartBudget[i] = min(a.slowStartBudget[i]+rate*(a.now-a.slowStartBudgetAt[i]), max(rate*a.overloadWindow*slowStartBurst, 1))
	a.slowStartBudgetAt[i] = a.now
	return a.slowStartBudget[i] >= 1
}
