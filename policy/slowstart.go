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
func (inst *Instance) believedStart(start float64) float64 {
	switch {
	case start <= 0:
		return 0
	case inst.discoveryHeard && (inst.clockStepped || inst.now-start > maxStartAge):
		return inst.now
	}
	return min(start, inst.now)
}

// warmUpProgress is the part of its capacity that a backend has at the least.
func (inst *Instance) warmUpProgress(backend int) float64 {
	up := inst.now - inst.upSince[backend]
	if inst.upSince[backend] <= 0 || inst.warmUpTime <= 0 || up >= inst.warmUpTime {
		return 1
	}
	return inst.initialCapacity + (1-inst.initialCapacity)*max(up, 0)/inst.warmUpTime
}

// allowsWarmingUp keeps the cold budget: a part, by the least warmth, of what warm appliances are seen to serve.
func (inst *Instance) allowsWarmingUp(req *request, backend int) bool {
	c := inst.warmUpProgress(backend)
	if c >= 1 {
		return true
	}
	pace := inst.throughput / throughputTime / max(1-math.Exp(-inst.throughputAge/throughputTime), 0.05) * inst.weight[backend]
	// One core at the least bears one txn per latency, shared by all: the floor where nothing warm is seen.
	mean := cmp.Or(inst.overallMeanLatency, inst.classes[req.class].LatencyObjective)
	rate := slowStartMargin * inst.overloadFactor * c * max(pace, 1/(mean*float64(inst.instances)))
	inst.slowStartBudget[backend] = min(inst.slowStartBudget[backend]+rate*(inst.now-inst.slowStartBudgetAt[backend]), max(rate*inst.overloadWindow*slowStartBurst, 1))
	inst.slowStartBudgetAt[backend] = inst.now
	return inst.slowStartBudget[backend] >= 1
}
