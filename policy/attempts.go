package policy

import "math"

// This file owns the ends of attempts: what each says of its backend, the load and the release, and how the request goes on.

// endAttempt takes the end of an open attempt.
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

// learnFromAttempt draws the conclusions from an attempt's end. took is in ms, infinite where it is not known.
func (inst *Instance) recordAttemptEnd(req *request, attempt *attempt, status AttemptStatus, elapsed float64) {
	served := status == StatusServed
	inTime := served && inst.now <= attempt.lateAt
	inst.updateEjection(attempt, status)
	if served && inst.now == inst.resumedAt {
		// What took so long may be this instance's own stall: it says nothing of the backend, the load or the release.
		elapsed, inTime = math.Inf(1), true
	}
	inst.signalOverload(req, attempt, status, inTime)
	inst.recordOutcome(attempt, status, inTime)
	if served {
		inst.recordLatency(inst.endpoints.At(attempt.backend), req, elapsed)
	}
	// An answer that broke on its way, or came when nobody read it, has bound its key all the same.
	if status != StatusErrored && !attempt.notRun {
		inst.recordKeyAffinity(req, attempt)
	}
	isEvidence := !math.IsInf(elapsed, 1) && !attempt.notRun && status != StatusCanceled
	if inst.evaluator.Announced() && isEvidence {
		inst.recordEvidence(attempt, req, status, elapsed)
	}
}

// continueRequest ends a request that has its answer, and lets one without an open attempt go on where it may run again.
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

// updateEjection ejects a backend that fails quickly.
func (inst *Instance) updateEjection(attempt *attempt, status AttemptStatus) {
	ejection := &inst.endpoints.At(attempt.backend).Ejection
	switch status {
	case StatusServed:
		ejection.OnSuccess()
	case StatusRejected, StatusConnectFailed, StatusErrored, StatusReset:
		ejection.OnFailure(inst.now, inst.rng)
	}
}

// signalOverload takes an attempt's end as a sign of overload or of none. Ends in other zones are no sign: the way there may be at fault.
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

// sampleAnswer counts an attempt's end in its backend's record and as a sample for its concurrency limit, once. What breaks on the way says
// nothing of the load there, and a canceled attempt nothing at all.
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

// sampleLimit moves a backend's concurrency limit and the sum of all limits.
func (inst *Instance) updateConcurrencyLimit(index int, inTime bool) {
	backend := inst.endpoints.At(index)
	inst.fleet.concurrencyLimit += backend.Limit.OnSample(inTime, backend.OpenAttempts, inst.instances)
}

// handleOverdue takes the first pending request's attempts that are late or taken for lost.
func (inst *Instance) handleOverdue() {
	req := inst.pending[0]
	inst.dropPending()
	for k := range req.attempts {
		if attempt := &req.attempts[k]; attempt.open && !attempt.countedLate {
			inst.handleOverdueAttempt(req, k)
		}
	}
}

// handleOverdueAttempt counts a late attempt against its backend at once, and cancels one that is taken for lost while there is time to try
// elsewhere: answers get lost on any way. No second copy goes out beside it, and the cancellation budget keeps such retries few: both
// would feed an overload.
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

// isLost says whether an attempt has outlasted nearly all answers and can be replaced in time.
func (inst *Instance) shouldCancelLost(req *request, attempt *attempt) bool {
	outlasted := inst.now >= inst.presumedLostAt(req.class, attempt.sentAt)
	mayReplace := len(req.attempts) < inst.maxAttempts && inst.cancellationBudget >= 1
	return outlasted && mayReplace && inst.now+inst.expectedLatency(req) < req.objectiveDeadline
}
