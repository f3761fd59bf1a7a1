package policy

import "math"

// admit sets a new txn's SLA time and counts it where the cap, the reserve for the dear and the heat need it.
func (a *Instance) admit(t *request, r Request) {
	p := &a.classes[t.class]
	t.objectiveAt = t.arrivedAt + p.LatencyObjective + p.ObjectivePerWork*r.Work
	// A repeat's SLA time began with the first try: what is left of the expiry tells, once less than usual.
	a.longestTimeLeft[t.class] = max(a.longestTimeLeft[t.class], r.TimeLeft)
	if r.Retry && r.TimeLeft < a.longestTimeLeft[t.class]-1 {
		t.objectiveAt -= p.Timeout - r.TimeLeft
	}
	t.objectiveAt = min(t.objectiveAt, t.deadline)
	t.value = p.Value
	if t.tenant < len(a.quotas) && a.overQuota(t) {
		t.value *= a.overQuotaValue
	}
	a.meanValue += (t.value - a.meanValue) * max(meanStep, 1/a.requestsTaken)
	a.allowance.OnRequest(a.exposureLane(t.class), a.releases)
	a.pending, a.cancellationBudget = append(a.pending, t), min(a.cancellationBudget+cancellationsPerRequest, maxCancellations)
	a.schedule(t.deadline-finalAnswerMargin, t)
}

// onOverloadSignal moves the part of the txns that is taken on, and of those whose probes went unanswered: down for late
// answers, up for good ones and with time. Limits on open work bind nothing where each agent has little.
func (a *Instance) onOverloadSignal(blind bool, short float64) {
	for k := range a.admission {
		if k == 0 || blind {
			flow := a.admissionProbability(k) * (1 - admissionDecrease*short)
			if short == 0 {
				flow += admissionIncrease
			}
			a.admission[k], a.admissionAt[k] = min(flow, 1), a.now
		}
	}
}

// admits draws whether a txn goes on, the dear sooner.
func (a *Instance) admits(k int, t *request) bool {
	return a.rng.Float64() < math.Pow(a.admissionProbability(k)/fullAdmission, a.meanValue/max(t.value, 1e-9))
}

func (a *Instance) queueDeadline(t *request) float64 {
	return t.arrivedAt + maxQueueShare*(t.deadline-t.arrivedAt)
}

// expectedLatency: what an answer takes. Bounded, or a product sent no more would keep its worst hour's for ever.
func (a *Instance) expectedLatency(t *request) float64 {
	return min(a.meanLatency[t.class], maxExpectedLatencyShare*a.classes[t.class].LatencyObjective)
}

func (a *Instance) admissionProbability(k int) float64 {
	return 1 - (1-a.admission[k])*math.Exp(-(a.now-a.admissionAt[k])/admissionRecoveryTime)
}

// countArrival counts what is asked for.
func (a *Instance) countArrival(now float64) {
	a.arrivals = a.arrivals*math.Exp(-(now-a.arrivalsAt)/inflationWindow) + 1
	a.arrivalsAt = now
	if a.arrivalsSince == 0 {
		a.arrivalsSince = now
	}
}

// overQuota tells that a tenant asks for more than its share, of which an agent takes its part to be like
// others'.
func (a *Instance) overQuota(t *request) bool {
	rate := a.quotas[t.tenant] / float64(a.instances)
	a.quotaTokens[t.tenant] = min(a.quotaTokens[t.tenant]+rate*(t.arrivedAt-a.quotaTokensAt[t.tenant]), rate*quotaBurstTime) - 1
	a.quotaTokensAt[t.tenant] = t.arrivedAt
	if a.quotaTokens[t.tenant] < 0 {
		a.quotaTokens[t.tenant]++
		return true
	}
	return false
}

// arrivalRate is the first tries of late, right also soon after the start, when few can have been counted.
func (a *Instance) arrivalRate() float64 {
	return a.arrivals * math.Exp(-(a.now-a.arrivalsAt)/inflationWindow) / max(1-math.Exp(-(a.now-a.arrivalsSince)/inflationWindow), 0.05)
}
