package policy

import "math"

// admit sets a new txn's SLA time and counts it where the cap, the reserve for the dear and the heat need it.
func (inst *Instance) admit(req *request, r Request) {
	class := &inst.classes[req.class]
	req.objectiveAt = req.arrivedAt + class.LatencyObjective + class.ObjectivePerWork*r.Work
	// A repeat's SLA time began with the first try: what is left of the expiry tells, once less than usual.
	inst.longestTimeLeft[req.class] = max(inst.longestTimeLeft[req.class], r.TimeLeft)
	if r.Retry && r.TimeLeft < inst.longestTimeLeft[req.class]-1 {
		req.objectiveAt -= class.Timeout - r.TimeLeft
	}
	req.objectiveAt = min(req.objectiveAt, req.deadline)
	req.value = class.Value
	if req.tenant < len(inst.quotas) && inst.overQuota(req) {
		req.value *= inst.overQuotaValue
	}
	inst.meanValue += (req.value - inst.meanValue) * max(meanStep, 1/inst.requestsTaken)
	inst.allowance.OnRequest(inst.exposureLane(req.class), inst.releases)
	inst.pending, inst.cancellationBudget = append(inst.pending, req), min(inst.cancellationBudget+cancellationsPerRequest, maxCancellations)
	inst.schedule(req.deadline-finalAnswerMargin, req)
}

// onOverloadSignal moves the part of the txns that is taken on, and of those whose probes went unanswered: down for late
// answers, up for good ones and with time. Limits on open work bind nothing where each agent has little.
func (inst *Instance) onOverloadSignal(blind bool, short float64) {
	for k := range inst.admission {
		if k == 0 || blind {
			flow := inst.admissionProbability(k) * (1 - admissionDecrease*short)
			if short == 0 {
				flow += admissionIncrease
			}
			inst.admission[k], inst.admissionAt[k] = min(flow, 1), inst.now
		}
	}
}

// admits draws whether a txn goes on, the dear sooner.
func (inst *Instance) admits(k int, req *request) bool {
	return inst.rng.Float64() < math.Pow(inst.admissionProbability(k)/fullAdmission, inst.meanValue/max(req.value, 1e-9))
}

func (inst *Instance) queueDeadline(req *request) float64 {
	return req.arrivedAt + maxQueueShare*(req.deadline-req.arrivedAt)
}

// expectedLatency: what an answer takes. Bounded, or a product sent no more would keep its worst hour's for ever.
func (inst *Instance) expectedLatency(req *request) float64 {
	return min(inst.meanLatency[req.class], maxExpectedLatencyShare*inst.classes[req.class].LatencyObjective)
}

func (inst *Instance) admissionProbability(k int) float64 {
	return 1 - (1-inst.admission[k])*math.Exp(-(inst.now-inst.admissionAt[k])/admissionRecoveryTime)
}

// countArrival counts what is asked for.
func (inst *Instance) countArrival(now float64) {
	inst.arrivals = inst.arrivals*math.Exp(-(now-inst.arrivalsAt)/inflationWindow) + 1
	inst.arrivalsAt = now
	if inst.arrivalsSince == 0 {
		inst.arrivalsSince = now
	}
}

// overQuota tells that a tenant asks for more than its share, of which an agent takes its part to be like
// others'.
func (inst *Instance) overQuota(req *request) bool {
	rate := inst.quotas[req.tenant] / float64(inst.instances)
	inst.quotaTokens[req.tenant] = min(inst.quotaTokens[req.tenant]+rate*(req.arrivedAt-inst.quotaTokensAt[req.tenant]), rate*quotaBurstTime) - 1
	inst.quotaTokensAt[req.tenant] = req.arrivedAt
	if inst.quotaTokens[req.tenant] < 0 {
		inst.quotaTokens[req.tenant]++
		return true
	}
	return false
}

// arrivalRate is the first tries of late, right also soon after the start, when few can have been counted.
func (inst *Instance) arrivalRate() float64 {
	return inst.arrivals * math.Exp(-(inst.now-inst.arrivalsAt)/inflationWindow) / max(1-math.Exp(-(inst.now-inst.arrivalsSince)/inflationWindow), 0.05)
}
