package policy

import (
	"math"
	"slices"

	"onyxgate/policy/admission"
)

const (
	// immediateRejectShare is the share of the maximum number of open requests above which a new request that cannot be
	// placed is rejected immediately. Queueing more requests would use up the last connections, and the instance could
	// then not even reject.
	immediateRejectShare = 0.6
	// maxQueueMisses is the number of queued requests that may fail to be placed in one retry of the queue before the
	// retry stops.
	maxQueueMisses = 4
	// queueRetryInterval (ms) is the time between two retries of the queue.
	queueRetryInterval = 25
	// finalAnswerMargin (ms) is the time before the deadline at which the final answer is sent.
	finalAnswerMargin = 12
	// minAttemptShare is the minimum time that a backend has for an attempt, as a share of the latency objective. A
	// response within this time does not count as late against the backend.
	minAttemptShare = 0.25
	// minRetryAfterShare is the shortest time after which a rejected client may retry, as a share of the longest that
	// clients accept. A random share of up to retryAfterSpread is added, to spread the retries.
	minRetryAfterShare, retryAfterSpread = 0.25, 0.5
)

// route routes the first pending request: it is sent, probed for, queued, rejected or failed.
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

// usesProbing reports whether a request is placed by probes, as in a large fleet. A queued request is placed by open
// attempts instead, because it has waited for room at a backend. retryQueuedRequests takes a request out of the queue
// before it is routed, so this concerns only queued requests whose timer has expired.
func (inst *Instance) usesProbing(req *request) bool {
	return inst.instances >= manyInstances && !req.queued
}

// decideProbing reports whether to send probes for a request. If the request would be placed by probes but none are
// sent, it is marked as unprobed. If more than half of the probes fail while requests are served, some requests skip the
// probes; their share grows with the share of failed probes.
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

// isWorthSending reports whether a request has an attempt left that can end in time or, if it was sent before, whose
// late response would still have a value. A request that was never sent and has reached its queue deadline is not worth
// sending: it is answered while its client can still go elsewhere.
func (inst *Instance) isWorthSending(req *request) bool {
	if len(req.attempts) >= inst.maxAttempts {
		return false
	}
	inTime := inst.now+inst.expectedLatency(req) < req.objectiveDeadline
	hasLateValue := inst.classes[req.class].LateValue > 0 && len(req.attempts) > 0
	waitedTooLong := len(req.attempts) == 0 && inst.now >= inst.queueDeadline(req)
	return (inTime || hasLateValue) && !waitedTooLong
}

// passesThrottles draws whether the throttles admit a request. The throttle for all requests applies unless probes
// were sent since the request arrived or its last attempt ended. The throttle for unprobed requests applies each time an
// unprobed request is routed. Neither applies in a small fleet or to a queued request.
func (inst *Instance) passesThrottles(req *request) bool {
	first := inst.usesProbing(req) && req.probeRounds == 0
	if first && !inst.admission.Admits(req.value, inst.meanValue, inst.now, inst.rng) {
		return false
	}
	unprobed := req.unprobed && !req.queued
	return !unprobed || inst.unprobedAdmission.Admits(req.value, inst.meanValue, inst.now, inst.rng)
}

// enqueue adds a request to the retry queue and schedules it for when its time in the queue is over.
func (inst *Instance) enqueue(req *request) {
	req.queued = true
	inst.retryQueue = append(inst.retryQueue, req)
	expiresAt := min(req.objectiveDeadline-inst.expectedLatency(req), inst.queueDeadline(req))
	inst.schedule(max(expiresAt, inst.now+queueRetryInterval), req)
}

func (inst *Instance) queueDue() bool {
	return inst.now >= inst.queueRetryAt && len(inst.retryQueue) > 0
}

// retryQueuedRequests routes queued requests, oldest first. It runs after the end of an attempt, which may have made
// room, and every queueRetryInterval, because a change of the endpoint list or the passing of time may have made room
// too. If newer requests went first, older ones would wait past their objective.
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

// placeRequest sends a request to a backend and schedules it for when the attempt is late or presumed lost.
func (inst *Instance) placeRequest(req *request, index int) {
	req.queued = false
	inst.sendAttempt(req, index)
	inst.schedule(req.attempts[len(req.attempts)-1].lateAt, req)
	if presumedLostAt := inst.presumedLostAt(req.class, inst.now); presumedLostAt < req.objectiveDeadline {
		inst.schedule(presumedLostAt, req)
	}
}

// sendAttempt sends an attempt. The caller has checked maySendTo.
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

// latencyDeadline returns the time after which a response counts as late against its backend. However long the request
// has waited in this instance, the backend has minAttemptShare of the latency objective. Otherwise, if only a few
// backends may serve a key and all requests with it arrive there shortly before their objective, the concurrency limits
// of these backends would fall until they get no requests.
func (inst *Instance) latencyDeadline(req *request) float64 {
	return max(req.objectiveDeadline, inst.now+minAttemptShare*inst.classes[req.class].LatencyObjective)
}

// rejectOrFail sends a request's final answer. The request is rejected if no backend can have run it or if running it
// again is harmless; otherwise it fails.
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

// cancelOpenAttempts ends a request and cancels its open attempts, if canceling is allowed. The request is deleted if it
// has no open attempt.
func (inst *Instance) cancelOpenAttempts(req *request) {
	req.ended = true
	req.key = "" // a timer may hold the ended request, and the key may be long
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
