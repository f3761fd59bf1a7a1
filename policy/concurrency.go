package policy

import "math"

// hasCapacity tells that own open submissions, at the appliance and in all, are fewer than those lately answered in
// time: it keeps queues short where agents are few. The dear may use the last of them.
func (inst *Instance) hasCapacity(req *request, backend int) bool {
	part := [2]float64{1, lowValueLimitShare}[boolIndex(req.value < inst.meanValue)]
	here, all := max(inst.concurrencyLimit[backend]*part, 1), max(inst.totalConcurrencyLimit*part, 2)
	return inst.now >= inst.ejectedUntil[backend] && float64(inst.openAttempts[backend]) < here && float64(inst.totalOpenAttempts) < all
}

// onSample moves the limit: up while answers are in time and it binds, down for late ones.
func (inst *Instance) onSample(backend int, good bool) {
	was := inst.concurrencyLimit[backend]
	if good && float64(inst.openAttempts[backend])+1 > limitUseThreshold*inst.concurrencyLimit[backend] {
		inst.concurrencyLimit[backend] += limitIncrease
	} else if !good {
		inst.concurrencyLimit[backend] = max(inst.concurrencyLimit[backend]-limitDecrease, minConcurrencyLimit/float64(inst.instances))
	}
	inst.totalConcurrencyLimit += inst.concurrencyLimit[backend] - was
}

// updateEjection lets an appliance be after a quick failure, longer for each in a row. One that fails at once never has
// much open and would draw all work to it: a dead process, a full one, a build that breaks, a list that lags.
func (inst *Instance) updateEjection(backend int, r AttemptStatus) {
	switch r {
	case StatusServed:
		inst.consecutiveFailures[backend] = 0
	case StatusRejected, StatusConnectFailed, StatusErrored, StatusReset:
		pause := min(firstEjection*math.Pow(2, inst.consecutiveFailures[backend]), maxEjection) * (0.5 + inst.rng.Float64())
		inst.consecutiveFailures[backend], inst.ejectedUntil[backend] = inst.consecutiveFailures[backend]+1, max(inst.ejectedUntil[backend], inst.now+pause)
	}
}
