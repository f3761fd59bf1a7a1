package policy

import (
	"cmp"

	"onyxgate/policy/balance"
	"onyxgate/policy/endpoints"
	"onyxgate/policy/health"
)

// This file owns the choice of a backend for a request.

const (
	// capUtilization is the part of the cap that the share of a rollout aims at: chance would otherwise use up the allowance.
	capUtilization = 0.9
	// maxKeyShareOfCap bounds the requests with one key, as a part of the cap: a key that is more popular is not taken into a rollout, for
	// once bound to the release it could need more than the allowance. The first minPopularRequests never make a key popular.
	maxKeyShareOfCap, minPopularRequests = 0.2, 2
	// minCapacity keeps a share finite where no backend is listed.
	minCapacity = 1e-9
	// lowValueLimitShare is the part of the concurrency limits that requests below the mean value may use.
	lowValueLimitShare = 0.6
	// minOpenPerBackend and minOpenInAll are open attempts that are always allowed, at one backend and at all together.
	minOpenPerBackend, minOpenTotal = 1, 2
)

// rolloutShare is the part of the requests for the releases that roll out: their backends' share of the capacity, within the cap.
func (inst *Instance) rolloutShare() float64 {
	limit, total := inst.fleet.rolloutCap*capUtilization, inst.fleet.capacity[stableArm]+inst.fleet.capacity[rolloutArm]
	if limit >= capUtilization {
		limit = 1
	}
	// Where the earlier backends stay in the last stage, those of the new release get what their places would, at no more load
	// for each.
	if inst.inLastStage() {
		total = min(total, inst.placesWeight)
	}
	return min(inst.fleet.capacity[rolloutArm]/max(total, minCapacity), limit)
}

// inLastStage says whether the rollout is in the stage over all places. Earlier backends that stay are idle in it, so that latencies are
// not compared.
func (inst *Instance) inLastStage() bool {
	return inst.evaluator.Stage() == len(inst.rolloutConfig.Stages)-1 && inst.placesWeight > 0 && inst.fleet.rolloutRelease <= inst.evaluator.Release()
}

// pickBackend draws the arm (stable or rollout) and then chooses a backend in it, or in the other one where there is none; -1: none may
// take the request.
func (inst *Instance) pickBackend(req *request) int {
	failedInRollout := len(req.attempts) > 0 && inst.isCapped(req.attempts[len(req.attempts)-1].release)
	arm := stableArm
	if !failedInRollout && inst.rolloutPosition(req) < inst.rolloutShare() {
		arm = rolloutArm
	}
	unassigned := req.affinityKey != 0 && inst.fleet.rolloutCap < 1 && inst.oldestAllowedRelease(req) < inst.fleet.rolloutRelease
	if unassigned && inst.isPopular(req.key) {
		arm = stableArm
	}
	index := inst.pickCandidate(req, arm)
	stayInStable := unassigned && arm == stableArm // in the other arm its key would be bound without having been drawn
	if index >= 0 || stayInStable {
		return index
	}
	return inst.pickCandidate(req, otherArm(arm))
}

// isPopular says whether a key has more of the requests than may be bound to a release under a cap.
func (inst *Instance) isPopular(key string) bool {
	return inst.popularKeys[key] > minPopularRequests+maxKeyShareOfCap*inst.fleet.rolloutCap*inst.requestCount
}

// rolloutDraw is a request's position in [0,1): by its key where keys stay with a release. A rollout's keys are the same ones from the first
// listing of its release on: before its first update, after it and in a process that starts anew.
func (inst *Instance) rolloutPosition(req *request) float64 {
	if req.affinityKey != 0 {
		return balance.KeyPosition(req.key, inst.salt^uint64(max(inst.fleet.rolloutRelease, inst.evaluator.Release())))
	}
	return inst.rng.Float64()
}

// pickCandidate chooses a backend in one arm, with a probability by its capacity and then by its load.
func (inst *Instance) pickCandidate(req *request, arm int) int {
	eligible := func(index int) bool {
		return inst.hasCapacity(req, inst.endpoints.At(index)) && inst.maySendTo(req, index)
	}
	accepts := func(index int) bool {
		backend := inst.endpoints.At(index)
		if inst.rng.Float64()*inst.fleet.maxCapacity > inst.capacityOf(backend) || req.hasTried(index) || !eligible(index) {
			return false
		}
		return !health.DrawUnhealthy(&backend.Health, &inst.fleetHealth, inst.now, inst.rng)
	}
	return balance.LeastLoaded(inst.fleet.candidates[arm], inst.rng, accepts, eligible, inst.loadOf)
}

// loadOf is a backend's load for its capacity: the instance's own open attempts. In a small fleet the reported load is added; in a large one
// reports are old, and a false one would draw the requests of all instances.
func (inst *Instance) loadOf(index int) float64 {
	backend := inst.endpoints.At(index)
	load := float64(backend.OpenAttempts)
	if inst.instances < manyInstances {
		load += backend.Load.At(inst.now)
	}
	return load / inst.capacityOf(backend)
}

// hasCapacity says whether a backend is not ejected and the instance's own open attempts, there and in all, are within the concurrency
// limits, whose last part is for requests of high value.
func (inst *Instance) hasCapacity(req *request, backend *endpoints.Backend) bool {
	share := 1.0
	if req.value < inst.meanValue {
		share = lowValueLimitShare
	}
	backendLimit, totalLimit := max(float64(backend.Limit)*share, minOpenPerBackend), max(inst.fleet.concurrencyLimit*share, minOpenTotal)
	return !backend.Ejection.Active(inst.now) && float64(backend.OpenAttempts) < backendLimit && float64(inst.openAttempts) < totalLimit
}

// maySendTo guards every attempt: the limits on attempts, the rule on repeats, the exposure cap and the slow start.
func (inst *Instance) maySendTo(req *request, index int) bool {
	backend := inst.endpoints.At(index)
	// A draining backend gets nothing, though the platform would still allow it for a while.
	return inst.mayAttempt(req) && backend.State == EndpointRunning && inst.mayRepeatAt(req, backend) &&
		inst.passesExposureChecks(req, backend) && inst.allowsSlowStart(req, backend)
}

// mayAttempt says whether a request may have one more attempt.
func (inst *Instance) mayAttempt(req *request) bool {
	if req.ended || inst.now >= req.deadline || len(req.attempts) >= inst.maxAttempts {
		return false
	}
	return req.openAttempts == 0 || req.openAttempts == 1 && inst.concurrentAttempts
}

// mayRepeatAt says whether a repeat at a backend can have no second effect. The first attempt that may have run decides: the backends that
// know of it are those in its scope, for as long as they drop repeats.
func (inst *Instance) mayRepeatAt(req *request, backend *endpoints.Backend) bool {
	class := &inst.classes[req.class]
	if class.Semantics == Safe {
		return true
	}
	for k := range req.attempts {
		earlier := &req.attempts[k]
		if earlier.notRun {
			continue
		}
		if class.Semantics == NonIdempotent || inst.now >= earlier.sentAt+class.DedupWindow {
			return false
		}
		return inDedupScope(class.DedupScope, inst.endpoints.At(earlier.backend), backend)
	}
	return true
}

// inDedupScope says whether two backends drop each other's repeats.
func inDedupScope(scope DedupScope, a, b *endpoints.Backend) bool {
	switch scope {
	case DedupZone:
		return a.Zone == b.Zone
	case DedupCell:
		return a.Cell == b.Cell
	default:
		return true
	}
}

// allowsWarmingUp keeps to the slow-start budget of a backend that is not warm: by its progress, a part of what warm backends are seen to
// serve. Where none is seen, a backend counts as serving one request at a time, shared by all instances.
func (inst *Instance) allowsSlowStart(req *request, backend *endpoints.Backend) bool {
	progress := inst.warmUpProgress(backend)
	if progress >= 1 {
		return true
	}
	observed := inst.throughput.PerWeight() * backend.Weight
	latency := cmp.Or(inst.meanLatency, inst.classes[req.class].LatencyObjective)
	return backend.SlowStart.Allows(&inst.slowStart, progress, max(observed, 1/(latency*float64(inst.instances))), inst.now)
}
