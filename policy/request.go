package policy

import (
	"math"
	"slices"

	"onyxgate/policy/exposure"
)

// maySendTo guards rules 2 to 5 for one submission of t to appliance i.
func (a *Instance) maySendTo(t *request, i int) bool {
	if t.ended || a.now >= t.deadline || len(t.attempts) >= a.maxAttempts || t.openAttempts > 1 || t.openAttempts == 1 && !a.concurrentAttempts ||
		a.state[i] != EndpointRunning { // stricter than the grace: nothing goes where the list shows a drain
		return false
	}
	p := &a.classes[t.class]
	for _, s := range t.attempts {
		if s.notRun || p.Semantics == Safe {
			continue
		}
		if p.Semantics == NonIdempotent || a.now >= s.sentAt+p.DedupWindow ||
			p.DedupScope == DedupZone && a.zone[s.backend] != a.zone[i] ||
			p.DedupScope == DedupCell && a.cell[s.backend] != a.cell[i] {
			return false
		}
		break // the first that may have run binds
	}
	return a.withinExposureCap(t, i) && a.allowsWarmingUp(t, i)
}

// answerFinally gives the one final answer: a decline where nothing can have run or a repeat does no harm, else a void.
func (a *Instance) answerFinally(t *request) {
	if t.ended {
		return
	}
	t.ended = true
	p := &a.classes[t.class]
	mayHaveRun := slices.ContainsFunc(t.attempts, func(s attempt) bool { return !s.notRun })
	if !mayHaveRun || p.Semantics == Safe || p.Semantics == Idempotent && p.DedupScope == DedupAll {
		a.port.Reject(t.id, a.maxRetryAfter*(minRetryAfterShare+retryAfterSpread*a.rng.Float64()))
	} else {
		a.port.Fail(t.id)
	}
	a.cancelOpenAttempts(t)
}

// latencyDeadline is when an answer is late by its appliance's doing. What the txn waited here is not: where few machines
// may serve a key all come to them at the last moment, and limits would fall until nothing gets there.
func (a *Instance) latencyDeadline(t *request) float64 {
	return max(t.objectiveAt, a.now+minAttemptShare*a.classes[t.class].LatencyObjective)
}

func (a *Instance) route() {
	t := a.pending[0]
	a.dropPending()
	inTime := a.now+a.expectedLatency(t) < t.objectiveAt || a.classes[t.class].LateValue > 0 && len(t.attempts) > 0
	many := a.instances >= manyInstances && !t.queued
	mute := many && a.admissionProbability(1) >= fullAdmission && a.rng.Float64() < 2*a.probeFailureShare-1 // probes fail, txns do not
	racing := many && a.probesAllowed && probesPerRound*a.probePrice <= maxProbePrice && t.probeRounds < probesPerRound && !mute
	// Probes lost or waiting in queues alike: only those who went on without them can tell which.
	t.unprobed = t.unprobed || many && !racing
	late := len(t.attempts) == 0 && a.now >= a.queueDeadline(t) // a client with its time half gone has nowhere else to go
	if len(t.attempts) >= a.maxAttempts || !inTime || late || many && t.probeRounds == 0 && !a.admits(0, t) ||
		t.unprobed && !t.queued && !a.admits(1, t) {
		a.answerFinally(t) // given up: answered at once
		return
	}
	if racing {
		a.probeBeforePlacement(t)
		return
	}
	if i := a.pickBackend(t); i >= 0 {
		a.placeRequest(t, i)
	} else if a.now <= t.arrivedAt && float64(len(a.requests)) > openRequestsBeforeReject*a.maxOpenRequests {
		a.answerFinally(t) // more would take the agent's last connections, and then nobody is even declined
	} else if !t.queued {
		t.queued = true
		a.retryQueue = append(a.retryQueue, t)
		a.schedule(max(min(t.objectiveAt-a.expectedLatency(t), a.queueDeadline(t)), a.now+queueRetryInterval), t)
	}
}

// retryQueued lets the longest-held txns try again once an outcome, the list or the passing of a little time may
// have made room: oldest first, or newer ones would starve them past their SLA time.
func (a *Instance) retryQueued() {
	a.retryQueuedAt = math.Inf(1)
	held, misses := a.retryQueue, 0
	a.retryQueue = nil
	for len(held) > 0 && misses < maxQueueMisses {
		t := held[0]
		if held = held[1:]; t.ended || !t.queued {
			continue
		}
		t.queued = false
		a.pending = append([]*request{t}, a.pending...)
		if a.route(); t.queued {
			misses++
		}
	}
	a.retryQueue = slices.Insert(held, 0, a.retryQueue...)
	if len(a.retryQueue) > 0 {
		a.retryQueuedAt = a.now + queueRetryInterval
		a.schedule(a.retryQueuedAt, nil)
	}
}

// handleOverdue holds a late submission against its appliance at once, and gives up one past hope to try elsewhere:
// answers get lost on any way. No second copy goes out, and only a part is given up: both feed shortages.
func (a *Instance) handleOverdue() {
	t := a.pending[0]
	a.dropPending()
	for k := range t.attempts {
		s := &t.attempts[k]
		hopeless := a.now >= s.sentAt+tailMultiple*a.tailLatency[t.class] && len(t.attempts) < a.maxAttempts && a.cancellationBudget >= 1
		if !s.open || s.countedLate || a.now < s.dueAt && !(hopeless && a.now+a.expectedLatency(t) < t.objectiveAt) {
			continue
		}
		s.countedLate = true
		a.recordAnswer(s.backend, false)
		if a.now >= s.dueAt {
			a.onSample(s.backend, false)
		} else {
			s.canceled, a.cancellationBudget = true, a.cancellationBudget-1
			a.port.CancelAttempt(t.id, k)
		}
	}
}

// onAttemptEnd draws the conclusions from one submission's end.
func (a *Instance) onAttemptEnd(t *request, s *attempt, r AttemptStatus, took float64) {
	good := r == StatusServed && a.now <= s.dueAt
	a.updateEjection(s.backend, r)
	if a.now == a.resumedAt && r == StatusServed {
		// What took so long may be the agent's own pause: no word on the appliance, the load or the build.
		took, good = math.Inf(1), true
	}
	switch {
	case a.zone[s.backend] != a.zoneIndex: // the way there may be at fault
	case r == StatusRejected || r == StatusServed && !good:
		a.onOverloadSignal(t.unprobed, 1)
	case r == StatusServed:
		a.onOverloadSignal(t.unprobed, 0)
	case r == StatusTimedOut:
		a.onOverloadSignal(t.unprobed, timeoutOverloadSignal)
	}
	if r != StatusCanceled && r != StatusNotSent && !s.countedLate {
		a.recordAnswer(s.backend, good)
		if r != StatusConnectFailed && r != StatusErrored && r != StatusReset { // what breaks on the way is no word on the load
			a.onSample(s.backend, good)
		}
	}
	if r == StatusServed {
		a.learnLatency(s.backend, t, took)
	}
	// An answer that was spoilt on its way, or came when nobody read it, has bound its key all the same.
	if r != StatusErrored && !s.notRun {
		a.bindKey(t, s)
	}
	// Proven not run, called off: no word on the build.
	if a.announced && !math.IsInf(took, 1) && !s.notRun && r != StatusCanceled {
		a.recordEvidence(s, t, r, took)
	}
	switch {
	case t.ended:
		a.cancelOpenAttempts(t)
	case t.openAttempts == 0 && (s.notRun || a.classes[t.class].Semantics != NonIdempotent):
		t.probeRounds, t.unprobed = 0, false
		a.pending = append(a.pending, t)
	case t.openAttempts == 0:
		a.answerFinally(t)
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
func (a *Instance) sendAttempt(t *request, i int) {
	if a.underCap(a.release[i]) {
		a.allowance.Use(a.release[i], a.exposureLane(t.class), a.now)
	}
	if a.warmUpProgress(i) < 1 {
		a.slowStartBudget[i] -= t.relativeWork
	}
	binds := a.releases.BindsAs(a.release[i])
	t.attempts = append(t.attempts, attempt{backend: i, release: a.release[i], bindsTo: binds, sentAt: a.now, dueAt: a.latencyDeadline(t), open: true})
	t.openAttempts++
	if !a.releases.IsClosed(binds) {
		a.affinity.AttemptStarted(t.affinityKey, binds)
	}
	a.openAttempts[i]++
	a.totalOpenAttempts++
	a.port.SendAttempt(t.id, a.id[i], 0)
}

func (a *Instance) placeRequest(t *request, i int) {
	t.queued = false
	a.sendAttempt(t, i)
	a.schedule(t.attempts[len(t.attempts)-1].dueAt, t)
	if hope := a.now + tailMultiple*a.tailLatency[t.class]; hope < t.objectiveAt {
		a.schedule(hope, t)
	}
}

func (a *Instance) tried(t *request, i int) bool {
	return slices.ContainsFunc(t.attempts, func(s attempt) bool { return s.backend == i })
}

// cancelOpenAttempts calls off what is still out for an ended txn and forgets it once nothing is.
func (a *Instance) cancelOpenAttempts(t *request) {
	t.ended = true
	if t.openAttempts == 0 {
		delete(a.requests, t.id)
		return
	}
	for k := range t.attempts {
		if s := &t.attempts[k]; s.open && a.cancelAllowed && !s.canceled {
			s.countedLate, s.canceled = true, true
			a.port.CancelAttempt(t.id, k)
		}
	}
}

func (a *Instance) dropPending() { a.pending = a.pending[1:] }
