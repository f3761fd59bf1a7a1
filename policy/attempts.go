package policy

import "math"

// endAttempt handles the end of an open attempt.
func (inst *Instance) endAttempt(req *request, attempt *attempt, result AttemptResult) {
	attempt.open, attempt.notRun = false, result.Status.provesNotRun()
	req.openAttempts--
	req.ended = req.ended || result.Final
	inst.affinity.AttemptEnded(req.affinityKey, attempt.affinityRelease)
	inst.endpoints.At(attempt.backend).OpenAttempts--
	inst.openAttempts--
	inst.queueRetryAt = inst.now // there may be room for a queued request
	inst.recordLoadReport(attempt.backend, result.Load)
	inst.recordAttemptEnd(req, attempt, result.Status, result.Elapsed)
	inst.continueRequest(req, attempt)
}

// recordAttemptEnd updates the backend, overload, latency and release state from the end of an attempt. elapsed is in
// ms and infinite if unknown.
func (inst *Instance) recordAttemptEnd(req *request, attempt *attempt, status AttemptStatus, elapsed float64) {
	served := status == StatusServed
	inTime := served && inst.now <= attempt.lateAt
	inst.updateEjection(attempt, status)
	if served && inst.now == inst.resumedAt {
		// The delay may have been this instance's own stall, so it is no sign of overload and does not count against the
		// backend or the release.
		elapsed, inTime = math.Inf(1), true
	}
	inst.signalOverload(req, attempt, status, inTime)
	inst.recordOutcome(attempt, status, inTime)
	if served {
		inst.recordLatency(inst.endpoints.At(attempt.backend), req, elapsed)
	}
	// A backend that has run the attempt may have handled the key, even if its response was truncated or nobody read
	// it. An error response gives the key no affinity.
	if status != StatusErrored && !attempt.notRun {
		inst.recordKeyAffinity(req, attempt)
	}
	isEvidence := !math.IsInf(elapsed, 1) && !attempt.notRun && status != StatusCanceled
	if inst.evaluator.Announced() && isEvidence {
		inst.recordEvidence(attempt, req, status, elapsed)
	}
}

// continueRequest ends a request that has its response. A request without an open attempt is routed again if it may run
// again; otherwise it is rejected or failed.
func (inst *Instance) continueRequest(req *request, attempt *attempt) {
	mayRunAgain := attempt.notRun || inst.classes[req.class].Semantics != NonIdempotent
	switch {
	case req.ended:
		inst.cancelOpenAttempts(req)
	case req.openAttempts > 0: // the other attempt decides
	case mayRunAgain:
		req.probeRounds, req.unprobed = 0, false
		inst.pending = append(inst.pending, req)
	default:
		inst.rejectOrFail(req)
	}
}

// updateEjection records the result of an attempt for the ejection of backends that fail quickly.
func (inst *Instance) updateEjection(attempt *attempt, status AttemptStatus) {
	ejection := &inst.endpoints.At(attempt.backend).Ejection
	switch status {
	case StatusServed:
		ejection.OnSuccess()
	case StatusRejected, StatusConnectFailed, StatusErrored, StatusReset:
		ejection.OnFailure(inst.now, inst.rng)
	}
}

// signalOverload derives an overload signal from the end of an attempt. Attempts in other zones are ignored, because
// the path there may be at fault.
func (inst *Instance) signalOverload(req *request, attempt *attempt, status AttemptStatus, inTime bool) {
	if inst.endpoints.At(attempt.backend).Zone != inst.zone {
		return
	}
	switch {
	case status == StatusRejected, status == StatusServed && !inTime:
		inst.onOverloadSignal(req.unprobed, 1)
	case status == StatusServed:
		inst.onOverloadSignal(req.unprobed, 0)
	case status == StatusTimedOut:
		inst.onOverloadSignal(req.unprobed, timeoutOverloadSignal)
	}
}

// recordOutcome adds the end of an attempt to the health records and, as a sample, to the backend's concurrency limit,
// unless handleOverdueAttempt has already counted the attempt. Broken connections and error responses are not samples
// for the limit, since they say nothing about the load of the backend. The end of an attempt that was canceled or never
// sent is not counted.
func (inst *Instance) recordOutcome(attempt *attempt, status AttemptStatus, inTime bool) {
	if status == StatusCanceled || status == StatusNotSent || attempt.countedLate {
		return
	}
	inst.recordHealth(inst.endpoints.At(attempt.backend), inTime)
	broke := status == StatusConnectFailed || status == StatusErrored || status == StatusReset
	if !broke {
		inst.updateConcurrencyLimit(attempt.backend, inTime)
	}
}

// updateConcurrencyLimit updates a backend's concurrency limit and the sum of all limits.
func (inst *Instance) updateConcurrencyLimit(index int, inTime bool) {
	backend := inst.endpoints.At(index)
	inst.fleet.concurrencyLimit += backend.Limit.OnSample(inTime, backend.OpenAttempts, inst.instances)
}

// handleOverdue handles the attempts of the first pending request that are late or presumed lost.
func (inst *Instance) handleOverdue() {
	req := inst.pending[0]
	inst.dropPending()
	for k := range req.attempts {
		if attempt := &req.attempts[k]; attempt.open && !attempt.countedLate {
			inst.handleOverdueAttempt(req, k)
		}
	}
}

// handleOverdueAttempt counts a late attempt against its backend immediately. An attempt that is presumed lost is
// counted and canceled, if there is still time to try elsewhere: responses can get lost on any path. Both a concurrent
// second attempt and many such retries would worsen an overload, so the lost attempt is canceled first and the
// cancellation budget limits the number of retries.
func (inst *Instance) handleOverdueAttempt(req *request, number int) {
	attempt := &req.attempts[number]
	late := inst.now >= attempt.lateAt
	if !late && !inst.shouldCancelLost(req, attempt) {
		return
	}
	attempt.countedLate = true
	inst.recordHealth(inst.endpoints.At(attempt.backend), false)
	if late {
		inst.updateConcurrencyLimit(attempt.backend, false)
		return
	}
	attempt.canceled, inst.cancellationBudget = true, inst.cancellationBudget-1
	inst.port.CancelAttempt(req.id, number)
}

// shouldCancelLost reports whether an attempt has been open longer than nearly all responses take and can be replaced
// in time, within the limit on attempts and the cancellation budget.
func (inst *Instance) shouldCancelLost(req *request, attempt *attempt) bool {
	outlasted := inst.now >= inst.presumedLostAt(req.class, attempt.sentAt)
	mayReplace := len(req.attempts) < inst.maxAttempts && inst.cancellationBudget >= 1
	return outlasted && mayReplace && inst.now+inst.expectedLatency(req) < req.objectiveDeadline
}
