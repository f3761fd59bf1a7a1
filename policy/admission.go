package policy

const (
	// maxQueueShare is the share of a request's time that it may spend queued without having been sent. After that it
	// is rejected while its client still has time to try elsewhere.
	maxQueueShare = 0.45
	// maxExpectedLatencyShare bounds the expected latency to a share of the latency objective. Without the bound, a
	// class that no longer gets requests would keep its worst latency estimate forever.
	maxExpectedLatencyShare = 0.5
	// timeoutOverloadSignal is the weight of a timeout as an overload signal. It is below 1 because the response may
	// also have been lost in the network.
	timeoutOverloadSignal = 0.3
	// minRepeatGap (ms) is how much less time a repeat must have left than the longest time left seen in its class, to
	// be recognized as a later try.
	minRepeatGap = 1
	// cancellationsPerRequest is the amount that each request adds to the cancellation budget, and maxCancellations is
	// the budget's upper bound. Cancellations lead to additional attempts, and too many of them would worsen an
	// overload.
	cancellationsPerRequest, maxCancellations = 0.1, 20
)

// prepareRequest makes a new request pending and schedules its final answer. It sets the request's latency objective and
// value and counts the request for the exposure cap and the cancellation budget.
func (inst *Instance) prepareRequest(req *request, incoming Request) {
	req.objectiveDeadline = inst.objectiveDeadline(req, incoming)
	req.value = inst.classes[req.class].Value
	if inst.quotas.OverQuota(req.tenant, req.arrivedAt) {
		req.value *= inst.overQuotaValue
	}
	inst.meanValue += (req.value - inst.meanValue) * max(meanSmoothing, 1/inst.requestCount)
	inst.allowance.OnRequest(inst.allowanceIndex(req.class), inst.releases)
	inst.pending = append(inst.pending, req)
	inst.cancellationBudget = min(inst.cancellationBudget+cancellationsPerRequest, maxCancellations)
	inst.schedule(req.deadline-finalAnswerMargin, req)
}

// objectiveDeadline returns the time until which a response has the full value. For a repeat with less time left than
// its class's maximum so far, the objective counts from the client's first try, which is estimated from the time left
// and the timeout of the class.
func (inst *Instance) objectiveDeadline(req *request, incoming Request) float64 {
	class, longest := &inst.classes[req.class], &inst.latencies[req.class].longestTimeLeft
	deadline := req.arrivedAt + class.LatencyObjective + class.ObjectivePerWork*incoming.Work
	*longest = max(*longest, incoming.TimeLeft)
	if incoming.Retry && incoming.TimeLeft < *longest-minRepeatGap {
		deadline -= class.Timeout - incoming.TimeLeft
	}
	return min(deadline, req.deadline)
}

// recordWork sets a request's work to the client's estimate and updates the mean.
func (inst *Instance) recordWork(req *request, work float64) {
	if inst.meanWork == 0 {
		inst.meanWork = work
	}
	inst.meanWork += meanSmoothing * (work - inst.meanWork)
	req.relativeWork, req.workDivisor = work/inst.meanWork, work
}

// QueueDeadline returns the time until which a request may wait without having been sent. All times are in ms.
func QueueDeadline(arrivedAt, deadline float64) float64 {
	return arrivedAt + maxQueueShare*(deadline-arrivedAt)
}

func (inst *Instance) queueDeadline(req *request) float64 {
	return QueueDeadline(req.arrivedAt, req.deadline)
}

// expectedLatency returns the expected latency of an attempt, in ms.
func (inst *Instance) expectedLatency(req *request) float64 {
	return min(inst.latencies[req.class].mean, maxExpectedLatencyShare*inst.classes[req.class].LatencyObjective)
}

// onOverloadSignal updates the admission probability of all requests and, if the request was unprobed, also that of
// unprobed requests. An unanswered probe may have been lost, or it may be queued at an overloaded backend. Only the
// requests that are sent without a probe result show which.
func (inst *Instance) onOverloadSignal(unprobed bool, overload float64) {
	inst.admission.OnSignal(overload, inst.now)
	if unprobed {
		inst.unprobedAdmission.OnSignal(overload, inst.now)
	}
}

// arrivalRate returns the average number of arrivals in 3 s: the requests of this instance, without repeats, and the
// outcomes received from other instances.
func (inst *Instance) arrivalRate() float64 { return inst.arrivals.PerWindow(inst.now) }
