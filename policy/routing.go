package policy

import (
	"math"
	"slices"

	"onyxgate/policy/admission"
)

// This file owns the way of a request: routing, the queue, sending and the answers that the instance gives itself.

const (
	// openRequestsBeforeReject is the part of the open requests that the instance can hold from which one that finds no place is rejected at
	// once: more would take its last connections, and then it could not even reject.
	immediateRejectShare = 0.6
	// maxQueueMisses is how many queued requests in a row may find no place before the rest wait on.
	maxQueueMisses = 4
	// queueRetryInterval (ms) is between two tries of the queue.
	queueRetryInterval = 25
	// finalAnswerMargin (ms) is how long before the deadline the final answer leaves.
	finalAnswerMargin = 12
	// minAttemptShare is the time that a backend has in any case, as a part of the latency objective: an answer within it is not late
	// by the backend's doing.
	minAttemptShare = 0.25
	// minRetryAfterShare is the shortest time after which a rejected client may retry, as a part of the longest that clients accept;
	// retryAfterSpread scatters retries over more of it.
	minRetryAfterShare, retryAfterSpread = 0.25, 0.5
)

// route finds a place for the first pending request: at once, after probes, from the queue later on, or none.
func (inst *Instance) route() {
	req := inst.pending[0]
	inst.dropPending()
	probing := inst.decideProbing(req)
	if !inst.isWorthSending(req) || !inst.passesThrottles(req) {
		inst.rejectOrFail(req)
		return
	}
	if probing {
		inst.probeBeforePlacement(req)
		return
	}
	index := inst.pickBackend(req)
	isNew := inst.now <= req.arrivedAt
	switch {
	case index >= 0:
		inst.placeRequest(req, index)
	case isNew && float64(len(inst.requests)) > immediateRejectShare*inst.maxOpenRequests:
		inst.rejectOrFail(req)
	case !req.queued:
		inst.enqueue(req)
	}
}

// choosesByProbes says whether a request's place is chosen in the way of a large fleet. A request from the queue goes by open attempts: it has
// waited for room at a backend, and that is there now.
func (inst *Instance) usesProbing(req *request) bool {
	return inst.instances >= manyInstances && !req.queued
}

// probesFirst says whether a request is probed for, and notes on the request where it goes on without. Probes that fail while requests are
// served are given up, more often the more of them fail.
func (inst *Instance) decideProbing(req *request) bool {
	if !inst.usesProbing(req) {
		return false
	}
	skipProbes := inst.unprobedAdmission.Probability(inst.now) >= admission.FullAdmissionThreshold && inst.rng.Float64() < 2*inst.probing.failureShare-1
	affordable := inst.probing.allowed && probesPerRound*inst.probing.price <= maxProbePrice
	probing := affordable && req.probeRounds < maxProbeRounds && !skipProbes
	req.unprobed = req.unprobed || !probing
	return probing
}

// isWorthSending says whether a request has an attempt left that can end in time. One that was never sent and has used up its time in the
// queue is answered now, while its client can still go elsewhere.
func (inst *Instance) isWorthSending(req *request) bool {
	if len(req.attempts) >= inst.maxAttempts {
		return false
	}
	inTime := inst.now+inst.expectedLatency(req) < req.objectiveDeadline
	hasLateValue := inst.classes[req.class].LateValue > 0 && len(req.attempts) > 0
	waitedTooLong := len(req.attempts) == 0 && inst.now >= inst.queueDeadline(req)
	return (inTime || hasLateValue) && !waitedTooLong
}

// passesThrottles draws whether the throttles admit a request: that of all on its first routing, that of the unprobed each time.
func (inst *Instance) passesThrottles(req *request) bool {
	first := inst.usesProbing(req) && req.probeRounds == 0
	if first && !inst.admission.Admits(req.value, inst.meanValue, inst.now, inst.rng) {
		return false
	}
	unprobed := req.unprobed && !req.queued
	return !unprobed || inst.unprobedAdmission.Admits(req.value, inst.meanValue, inst.now, inst.rng)
}

// enqueue lets a request wait for room at a backend. It is looked at again when its time in the queue is over.
func (inst *Instance) enqueue(req *request) {
	req.queued = true
	inst.retryQueue = append(inst.retryQueue, req)
	expiresAt := min(req.objectiveDeadline-inst.expectedLatency(req), inst.queueDeadline(req))
	inst.schedule(max(expiresAt, inst.now+queueRetryInterval), req)
}

func (inst *Instance) queueDue() bool {
	return inst.now >= inst.queueRetryAt && len(inst.retryQueue) > 0
}

// retryQueued routes the requests that have waited longest, once the end of an attempt, the endpoint list or the passing of a little time may
// have made room. Oldest first, or newer ones would keep them waiting past their objective.
func (inst *Instance) retryQueuedRequests() {
	inst.queueRetryAt = math.Inf(1)
	waiting, misses := inst.retryQueue, 0
	inst.retryQueue = nil
	for len(waiting) > 0 && misses < maxQueueMisses {
		req := waiting[0]
		waiting = waiting[1:]
		if req.ended || !req.queued {
			continue
		}
		req.queued = false
		inst.pending = append([]*request{req}, inst.pending...)
		inst.route()
		if req.queued {
			misses++
		}
	}
	inst.retryQueue = slices.Insert(waiting, 0, inst.retryQueue...)
	if len(inst.retryQueue) > 0 {
		inst.queueRetryAt = inst.now + queueRetryInterval
		inst.schedule(inst.queueRetryAt, nil)
	}
}

// placeRequest sends a request to a backend and has it looked at again when the attempt is late or taken for lost.
func (inst *Instance) placeRequest(req *request, index int) {
	req.queued = false
	inst.sendAttempt(req, index)
	inst.schedule(req.attempts[len(req.attempts)-1].lateAt, req)
	if presumedLostAt := inst.presumedLostAt(req.class, inst.now); presumedLostAt < req.objectiveDeadline {
		inst.schedule(presumedLostAt, req)
	}
}

// sendAttempt sends an attempt; the caller has asked maySendTo.
func (inst *Instance) sendAttempt(req *request, index int) {
	backend := inst.endpoints.At(index)
	if inst.isCapped(backend.Release) {
		inst.allowance.Use(backend.Release, inst.allowanceIndex(req.class), inst.now)
	}
	if inst.warmUpProgress(backend) < 1 {
		backend.SlowStart.Spend(req.relativeWork)
	}
	affinityRelease := inst.releases.LatestIfUnknown(backend.Release)
	req.attempts = append(req.attempts, attempt{
		backend: index, release: backend.Release, affinityRelease: affinityRelease, sentAt: inst.now, lateAt: inst.latencyDeadline(req), open: true,
	})
	req.openAttempts++
	if !inst.releases.IsClosed(affinityRelease) {
		inst.affinity.AttemptStarted(req.affinityKey, affinityRelease)
	}
	backend.OpenAttempts++
	inst.openAttempts++
	inst.port.SendAttempt(req.id, backend.ID, 0)
}

// latencyDeadline is after which time an answer is late by its backend's doing. What the request has waited here is not: where few backends
// may serve a key, all its requests come to them at the last moment, and their limits would fall until nothing gets there.
func (inst *Instance) latencyDeadline(req *request) float64 {
	return max(req.objectiveDeadline, inst.now+minAttemptShare*inst.classes[req.class].LatencyObjective)
}

// answerFinally gives a request its one final answer: it is rejected where no backend can have run it or a repeat does no harm, else failed.
func (inst *Instance) rejectOrFail(req *request) {
	if req.ended {
		return
	}
	req.ended = true
	class := &inst.classes[req.class]
	repeatable := class.Semantics == Safe || class.Semantics == Idempotent && class.DedupScope == DedupAll
	if repeatable || !req.mayHaveRun() {
		inst.port.Reject(req.id, inst.maxRetryAfter*(minRetryAfterShare+retryAfterSpread*inst.rng.Float64()))
	} else {
		inst.port.Fail(req.id)
	}
	inst.cancelOpenAttempts(req)
}

// cancelOpenAttempts ends a request, cancels its open attempts, and forgets it once there are none.
func (inst *Instance) cancelOpenAttempts(req *request) {
	req.ended = true
	if req.openAttempts == 0 {
		delete(inst.requests, req.id)
		return
	}
	for k := range req.attempts {
		if attempt := &req.attempts[k]; attempt.open && inst.cancelAllowed && !attempt.canceled {
			attempt.countedLate, attempt.canceled = true, true
			inst.port.CancelAttempt(req.id, k)
		}
	}
}
