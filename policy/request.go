package policy

import (
	"math"
	"slices"

	"onyxgate/policy/exposure"
)

// maySendTo guards rules 2 to 5 for one submission of t to appliance i.
func (inst *Instance) maySendTo(req *request, backend int) bool {
	if req.ended || inst.now >= req.deadline || len(req.attempts) >= inst.maxAttempts || req.openAttempts > 1 || req.openAttempts == 1 && !inst.concurrentAttempts ||
		inst.state[backend] != EndpointRunning { // stricter than the grace: nothing goes where the list shows a drain
		return false
	}
	class := &inst.classes[req.class]
	for _, s := range req.attempts {
		if s.notRun || class.Semantics == Safe {
			continue
		}
		if class.Semantics == NonIdempotent || inst.now >= s.sentAt+class.DedupWindow ||
			class.DedupScope == DedupZone && inst.zone[s.backend] != inst.zone[backend] ||
			class.DedupScope == DedupCell && inst.cell[s.backend] != inst.cell[backend] {
			return false
		}
		break // the first that may have run binds
	}
	return inst.withinExposureCap(req, backend) && inst.allowsWarmingUp(req, backend)
}

// answerFinally gives the one final answer: a decline where nothing can have run or a repeat does no harm, else a void.
func (inst *Instance) answerFinally(req *request) {
	if req.ended {
		return
	}
	req.ended = true
	class := &inst.classes[req.class]
	mayHaveRun := slices.ContainsFunc(req.attempts, func(s attempt) bool { return !s.notRun })
	if !mayHaveRun || class.Semantics == Safe || class.Semantics == Idempotent && class.DedupScope == DedupAll {
		inst.port.Reject(req.id, inst.maxRetryAfter*(minRetryAfterShare+retryAfterSpread*inst.rng.Float64()))
	} else {
		inst.port.Fail(req.id)
	}
	inst.cancelOpenAttempts(req)
}

// latencyDeadline is when an answer is late by its appliance's doing. What the txn waited here is not: where few machines
// may serve a key all come to them at the last moment, and limits would fall until nothing gets there.
func (inst *Instance) latencyDeadline(req *request) float64 {
	return max(req.objectiveAt, inst.now+minAttemptShare*inst.classes[req.class].LatencyObjective)
}

func (inst *Instance) route() {
	req := inst.pending[0]
	inst.dropPending()
	inTime := inst.now+inst.expectedLatency(req) < req.objectiveAt || inst.classes[req.class].LateValue > 0 && len(req.attempts) > 0
	many := inst.instances >= manyInstances && !req.queued
	mute := many && inst.admissionProbability(1) >= fullAdmission && inst.rng.Float64() < 2*inst.probeFailureShare-1 // probes fail, txns do not
	racing := many && inst.probesAllowed && probesPerRound*inst.probePrice <= maxProbePrice && req.probeRounds < probesPerRound && !mute
	// Probes lost or waiting in queues alike: only those who went on without them can tell which.
	req.unprobed = req.unprobed || many && !racing
	late := len(req.attempts) == 0 && inst.now >= inst.queueDeadline(req) // a client with its time half gone has nowhere else to go
	if len(req.attempts) >= inst.maxAttempts || !inTime || late || many && req.probeRounds == 0 && !inst.admits(0, req) ||
		req.unprobed && !req.queued && !inst.admits(1, req) {
		inst.answerFinally(req) // given up: answered at once
		return
	}
	if racing {
		inst.probeBeforePlacement(req)
		return
	}
	if backend := inst.pickBackend(req); backend >= 0 {
		inst.placeRequest(req, backend)
	} else if inst.now <= req.arrivedAt && float64(len(inst.requests)) > openRequestsBeforeReject*inst.maxOpenRequests {
		inst.answerFinally(req) // more would take the agent's last connections, and then nobody is even declined
	} else if !req.queued {
		req.queued = true
		inst.retryQueue = append(inst.retryQueue, req)
		inst.schedule(max(min(req.objectiveAt-inst.expectedLatency(req), inst.queueDeadline(req)), inst.now+queueRetryInterval), req)
	}
}

// retryQueued lets the longest-held txns try again once an outcome, the list or the passing of a little time may
// have made room: oldest first, or newer ones would starve them past their SLA time.
func (inst *Instance) retryQueued() {
	inst.retryQueuedAt = math.Inf(1)
	held, misses := inst.retryQueue, 0
	inst.retryQueue = nil
	for len(held) > 0 && misses < maxQueueMisses {
		req := held[0]
		if held = held[1:]; req.ended || !req.queued {
			continue
		}
		req.queued = false
		inst.pending = append([]*request{req}, inst.pending...)
		if inst.route(); req.queued {
			misses++
		}
	}
	inst.retryQueue = slices.Insert(held, 0, inst.retryQueue...)
	if len(inst.retryQueue) > 0 {
		inst.retryQueuedAt = inst.now + queueRetryInterval
		inst.schedule(inst.retryQueuedAt, nil)
	}
}

// handleOverdue holds a late submission against its appliance at once, and gives up one past hope to try elsewhere:
// answers get lost on any way. No second copy goes out, and only a part is given up: both feed shortages.
func (inst *Instance) handleOverdue() {
	req := inst.pending[0]
	inst.dropPending()
	for k := range req.attempts {
		s := &req.attempts[k]
		hopeless := inst.now >= s.sentAt+tailMultiple*inst.tailLatency[req.class] && len(req.attempts) < inst.maxAttempts && inst.cancellationBudget >= 1
		if !s.open || s.countedLate || inst.now < s.dueAt && !(hopeless && inst.now+inst.expectedLatency(req) < req.objectiveAt) {
			continue
		}
		s.countedLate = true
		inst.recordAnswer(s.backend, false)
		if inst.now >= s.dueAt {
			inst.onSample(s.backend, false)
		} else {
			s.canceled, inst.cancellationBudget = true, inst.cancellationBudget-1
			inst.port.CancelAttempt(req.id, k)
		}
	}
}

// onAttemptEnd draws the conclusions from one submission's end.
func (inst *Instance) onAttemptEnd(req *request, s *attempt, r AttemptStatus, took float64) {
	good := r == StatusServed && inst.now <= s.dueAt
	inst.updateEjection(s.backend, r)
	if inst.now == inst.resumedAt && r == StatusServed {
		// What took so long may be the agent's own pause: no word on the appliance, the load or the build.
		took, good = math.Inf(1), true
	}
	switch {
	case inst.zone[s.backend] != inst.zoneIndex: // the way there may be at fault
	case r == StatusRejected || r == StatusServed && !good:
		inst.onOverloadSignal(req.unprobed, 1)
	case r == StatusServed:
		inst.onOverloadSignal(req.unprobed, 0)
	case r == StatusTimedOut:
		inst.onOverloadSignal(req.unprobed, timeoutOverloadSignal)
	}
	if r != StatusCanceled && r != StatusNotSent && !s.countedLate {
		inst.recordAnswer(s.backend, good)
		if r != StatusConnectFailed && r != StatusErrored && r != StatusReset { // what breaks on the way is no word on the load
			inst.onSample(s.backend, good)
		}
	}
	if r == StatusServed {
		inst.learnLatency(s.backend, req, took)
	}
	// An answer that was spoilt on its way, or came when nobody read it, has bound its key all the same.
	if r != StatusErrored && !s.notRun {
		inst.bindKey(req, s)
	}
	// Proven not run, called off: no word on the build.
	if inst.announced && !math.IsInf(took, 1) && !s.notRun && r != StatusCanceled {
		inst.recordEvidence(s, req, r, took)
	}
	switch {
	case req.ended:
		inst.cancelOpenAttempts(req)
	case req.openAttempts == 0 && (s.notRun || inst.classes[req.class].Semantics != NonIdempotent):
		req.probeRounds, req.unprobed = 0, false
		inst.pending = append(inst.pending, req)
	case req.openAttempts == 0:
		inst.answerFinally(req)
	}
}

// attempt is one try of a txn at an appliance.
type attempt struct {
	backend       int
	release       ReleaseID
	bindsTo       ReleaseID // the release to which its answer may bind the key
	sentAt, dueAt float64
	open          bool // no outcome yet
	notRun        bool // proven not to have run
	countedLate   bool // already held against the appliance
	canceled      bool // off
}

type request struct {
	id, key                string
	affinityKey            exposure.Key // 0: any release may serve it
	oldestRelease          ReleaseID    // the earliest release that may, as of so many changes
	oldestReleaseAsOf      uint64
	class                  int
	arrivedAt, objectiveAt float64
	deadline               float64
	tenant                 int
	value                  float64
	relativeWork           float64 // told cost against the mean, 1 where none is told
	workDivisor            float64 // told cost, the same
	attempts               []attempt
	openAttempts           int
	ended                  bool
	queued                 bool
	probeRounds            int  // times that probes for it have been sent
	unprobed               bool // placed without an answered one
	streaming              bool // a stream has begun: no expiry holds any more
}

// sendAttempt submits; the caller has asked mayGo.
func (inst *Instance) sendAttempt(req *request, backend int) {
	if inst.underCap(inst.release[backend]) {
		inst.allowance.Use(inst.release[backend], inst.exposureLane(req.class), inst.now)
	}
	if inst.warmUpProgress(backend) < 1 {
		inst.slowStartBudget[backend] -= req.relativeWork
	}
	binds := inst.releases.BindsAs(inst.release[backend])
	req.attempts = append(req.attempts, attempt{backend: backend, release: inst.release[backend], bindsTo: binds, sentAt: inst.now, dueAt: inst.latencyDeadline(req), open: true})
	req.openAttempts++
	if !inst.releases.IsClosed(binds) {
		inst.affinity.AttemptStarted(req.affinityKey, binds)
	}
	inst.openAttempts[backend]++
	inst.totalOpenAttempts++
	inst.port.SendAttempt(req.id, inst.id[backend], 0)
}

func (inst *Instance) placeRequest(req *request, backend int) {
	req.queued = false
	inst.sendAttempt(req, backend)
	inst.schedule(req.attempts[len(req.attempts)-1].dueAt, req)
	if hope := inst.now + tailMultiple*inst.tailLatency[req.class]; hope < req.objectiveAt {
		inst.schedule(hope, req)
	}
}

func (inst *Instance) tried(req *request, backend int) bool {
	return slices.ContainsFunc(req.attempts, func(s attempt) bool { return s.backend == backend })
}

// cancelOpenAttempts calls off what is still out for an ended txn and forgets it once nothing is.
func (inst *Instance) cancelOpenAttempts(req *request) {
	req.ended = true
	if req.openAttempts == 0 {
		delete(inst.requests, req.id)
		return
	}
	for k := range req.attempts {
		if s := &req.attempts[k]; s.open && inst.cancelAllowed && !s.canceled {
			s.countedLate, s.canceled = true, true
			inst.port.CancelAttempt(req.id, k)
		}
	}
}

func (inst *Instance) dropPending() { inst.pending = inst.pending[1:] }
