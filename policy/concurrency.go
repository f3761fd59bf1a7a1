package policy

import "math"

// hasCapacity tells that own open submissions, at the appliance and in all, are fewer than those lately answered in
// time: it keeps queues short where agents are few. The dear may use the last of them.
func (a *Instance) hasCapacity(t *request, i int) bool {
	part := [2]float64{1, lowValueLimitShare}[boolIndex(t.value < a.meanValue)]
	here, all := max(a.concurrencyLimit[i]*part, 1), max(a.totalConcurrencyLimit*part, 2)
	return a.now >= a.ejectedUntil[i] && float64(a.openAttempts[i]) < here && float64(a.totalOpenAttempts) < all
}

// onSample moves the limit: up while answers are in time and it binds, down for late ones.
func (a *Instance) onSample(i int, good bool) {
	was := a.concurrencyLimit[i]
	if good && float64(a.openAttempts[i])+1 > limitUseThreshold*a.concurrencyLimit[i] {
		a.concurrencyLimit[i] += limitIncrease
	} else if !good {
		a.concurrencyLimit[i] = max(a.concurrencyLimit[i]-limitDecrease, minConcurrencyLimit/float64(a.instances))
	}
	a.totalConcurrencyLimit += a.concurrencyLimit[i] - was
}

// updateEjection lets an appliance be after a quick failure, longer for each in a row. One that fails at once never has
// much open and would draw all work to it: a dead process, a full one, a build that breaks, a list that lags.
func (a *Instance) updateEjection(i int, r AttemptStatus) {
	switch r {
	case StatusServed:
		a.consecutiveFailures[i] = 0
	case StatusRejected, StatusConnectFailed, StatusErrored, StatusReset:
		pause := min(firstEjection*math.Pow(2, a.consecutiveFailures[i]), maxEjection) * (0.5 + a.rng.Float64())
		a.consecutiveFailures[i], a.ejectedUntil[i] = a.consecutiveFailures[i]+1, max(a.ejectedUntil[i], a.now+pause)
	}
}
