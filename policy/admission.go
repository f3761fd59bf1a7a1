package policy

const (
	// maxQueueShare is the part of a request's time that it may wait without ever having been sent: its client then still has time
	// to try elsewhere.
	maxQueueShare = 0.45
	// maxExpectedLatencyShare bounds the expected latency, as a part of the latency objective. Without a bound, a class that gets no more
	// requests would keep the figure of its worst hour for good.
	maxExpectedLatencyShare = 0.5
	// timeoutOverloadSignal is how sure a sign of overload a timeout is: the answer may as well have been lost on the way.
	timeoutOverloadSignal = 0.3
	// minRepeatGap (ms): a repeat has at least so much less time left than the most that any request of its class had.
	minRepeatGap = 1
	// cancellationsPerRequest is what each request adds to the cancellation budget, maxCancellations its bound: cancellations
	// add attempts, and too many of them would feed an overload.
	cancellationsPerRequest, maxCancellations = 0.1, 20
)

// admit sets the latency objective and value of a new request and counts it for the exposure cap and the cancellation budget.
func (inst *Instance) admit(req *request, incoming Request) {
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

// objectiveAt is until when an answer has the full value. For a repeat that time began with the first try: how long ago that was shows
// in its time left, which is less than usual.
func (inst *Instance) objectiveDeadline(req *request, incoming Request) float64 {
	class, longest := &inst.classes[req.class], &inst.latencies[req.class].longestTimeLeft
	deadline := req.arrivedAt + class.LatencyObjective + class.ObjectivePerWork*incoming.Work
	*longest = max(*longest, incoming.TimeLeft)
	if incoming.Retry && incoming.TimeLeft < *longest-minRepeatGap {
		deadline -= class.Timeout - incoming.TimeLeft
	}
	return min(deadline, req.deadline)
}

// learnWork takes a request's work as the client estimates it.
func (inst *Instance) recordWork(req *request, work float64) {
	if inst.meanWork == 0 {
		inst.meanWork = work
	}
	inst.meanWork += meanSmoothing * (work - inst.meanWork)
	req.relativeWork, req.workDivisor = work/inst.meanWork, work
}

// queueDeadline is until when a request may wait in the queue without ever having been sent.
func (inst *Instance) queueDeadline(req *request) float64 {
	return req.arrivedAt + maxQueueShare*(req.deadline-req.arrivedAt)
}

// expectedLatency is how long an answer usually takes (ms).
func (inst *Instance) expectedLatency(req *request) float64 {
	return min(inst.latencies[req.class].mean, maxExpectedLatencyShare*inst.classes[req.class].LatencyObjective)
}

// onOverloadSignal moves the admission probability of all requests, and for an unprobed one that of the unprobed: unanswered probes may be
// lost or wait in queues, and only requests that went on without them show which.
func (inst *Instance) onOverloadSignal(unprobed bool, overload float64) {
	inst.admission.OnSignal(overload, inst.now)
	if unprobed {
		inst.unprobedAdmission.OnSignal(overload, inst.now)
	}
}

// arrivalRate is how many requests that are no repeats arrive in 3 s.
func (inst *Instance) arrivalRate() float64 { return inst.arrivals.PerWindow(inst.now) }
