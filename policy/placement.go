package policy

import (
	"cmp"

	"onyxgate/policy/balance"
	"onyxgate/policy/endpoints"
	"onyxgate/policy/exposure"
	"onyxgate/policy/health"
)

const (
	// capUtilization is the share of the cap that a rollout is meant to use. Without this margin, random variation
	// would exhaust the allowance.
	capUtilization = 0.9
	// maxKeyShareOfCap bounds the share of requests with one key, relative to the cap. A key that is more popular is
	// kept out of the rollout, because once it has affinity to the release it could need more than the allowance. A key
	// with at most minPopularRequests recent requests is never popular.
	maxKeyShareOfCap, minPopularRequests = 0.2, 2
	// minCapacity avoids a division by zero if no backend is listed.
	minCapacity = 1e-9
	// lowValueLimitShare is the share of the concurrency limits that requests below the mean value may use.
	lowValueLimitShare = 0.6
	// minOpenPerBackend and minOpenTotal are the numbers of open attempts that are always allowed at one backend and in
	// total.
	minOpenPerBackend, minOpenTotal = 1, 2
)

// rolloutShare returns the share of the requests that should go to the releases that are rolling out: their backends'
// share of the capacity, bounded by capUtilization of the cap. A cap of 1 is no bound.
func (inst *Instance) rolloutShare() float64 {
	limit, total := inst.fleet.rolloutCap*capUtilization, inst.fleet.capacity[stableArm]+inst.fleet.capacity[rolloutArm]
	if limit >= capUtilization {
		limit = 1
	}
	// If the earlier backends keep running in the last stage, the backends of the new release get the requests of the
	// places that they take, so that none of them gets a higher load.
	if inst.inLastStage() {
		total = min(total, inst.placesWeight)
	}
	return min(inst.fleet.capacity[rolloutArm]/max(total, minCapacity), limit)
}

// inLastStage reports whether the newest release is in the last stage, which covers all places, and no later release is
// running yet. Earlier backends that are still running are idle in this stage, so latencies are not compared.
func (inst *Instance) inLastStage() bool {
	return inst.evaluator.Stage() == len(inst.rolloutConfig.Stages)-1 && inst.placesWeight > 0 && inst.fleet.rolloutRelease <= inst.evaluator.Release()
}

// pickBackend draws the arm (stable or rollout) and chooses a backend in it, or in the other arm if there is none. A
// request with a key that the rollout has not drawn stays in the stable arm. pickBackend returns -1 if it finds no
// backend.
func (inst *Instance) pickBackend(req *request) int {
	failedInRollout := len(req.attempts) > 0 && inst.isCapped(req.attempts[len(req.attempts)-1].release)
	arm := stableArm
	if !failedInRollout && inst.rolloutPosition(req) < inst.rolloutShare() {
		arm = rolloutArm
	}
	unassigned := req.affinityKey != 0 && inst.fleet.rolloutCap < 1 && inst.oldestAllowedRelease(req) < inst.fleet.rolloutRelease
	if unassigned && inst.isPopular(req.affinityKey) {
		arm = stableArm
	}
	index := inst.pickCandidate(req, arm)
	stayInStable := unassigned && arm == stableArm // else its key would get affinity to a release that has not drawn it
	if index >= 0 || stayInStable {
		return index
	}
	return inst.pickCandidate(req, otherArm(arm))
}

// isPopular reports whether a key has too large a share of the requests to get affinity to a release under a cap.
func (inst *Instance) isPopular(key exposure.Key) bool {
	return inst.popularKeys[key] > minPopularRequests+maxKeyShareOfCap*inst.fleet.rolloutCap*inst.requestCount
}

// rolloutPosition returns a request's position in [0,1). Without an affinity key the position is random. With one it
// depends only on the key, the instance and the newest release, so a rollout gets the same keys from the first listing
// of its release on: before the first update, after it and after a restart of the process.
func (inst *Instance) rolloutPosition(req *request) float64 {
	if req.affinityKey != 0 {
		return balance.KeyPosition(req.key, inst.salt^uint64(max(inst.fleet.rolloutRelease, inst.evaluator.Release())))
	}
	return inst.rng.Float64()
}

// pickCandidate chooses a backend in one arm, or returns -1: it samples backends by capacity and health and takes the
// least loaded one.
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

// loadOf returns the load of a backend relative to its capacity, measured by this instance's open attempts. In a small
// fleet the reported load is added. In a large fleet reports are outdated, and a false report would attract the
// requests of all instances.
func (inst *Instance) loadOf(index int) float64 {
	backend := inst.endpoints.At(index)
	load := float64(backend.OpenAttempts)
	if inst.instances < manyInstances {
		load += backend.Load.At(inst.now)
	}
	return load / inst.capacityOf(backend)
}

// hasCapacity reports whether a backend is not ejected and this instance's open attempts, at the backend and in total,
// are below the concurrency limits. The last part of the limits is reserved for requests of at least the mean value.
func (inst *Instance) hasCapacity(req *request, backend *endpoints.Backend) bool {
	share := 1.0
	if req.value < inst.meanValue {
		share = lowValueLimitShare
	}
	backendLimit, totalLimit := max(float64(backend.Limit)*share, minOpenPerBackend), max(inst.fleet.concurrencyLimit*share, minOpenTotal)
	return !backend.Ejection.Active(inst.now) && float64(backend.OpenAttempts) < backendLimit && float64(inst.openAttempts) < totalLimit
}

// maySendTo reports whether an attempt may be sent to a backend. It checks the limits on attempts, the backend's state,
// the rule on repeats, the exposure checks and the slow start.
func (inst *Instance) maySendTo(req *request, index int) bool {
	backend := inst.endpoints.At(index)
	// A draining backend gets no attempts, although the platform would allow them for a while.
	return inst.mayAttempt(req) && backend.State == EndpointRunning && inst.mayRepeatAt(req, backend) &&
		inst.passesExposureChecks(req, backend) && inst.allowsSlowStart(req, backend)
}

// mayAttempt reports whether a request may have one more attempt.
func (inst *Instance) mayAttempt(req *request) bool {
	if req.ended || inst.now >= req.deadline || len(req.attempts) >= inst.maxAttempts {
		return false
	}
	return req.openAttempts == 0 || req.openAttempts == 1 && inst.concurrentAttempts
}

// mayRepeatAt reports whether another attempt at a backend cannot have a second effect. This depends on the first
// attempt that may have run: only the backends in its dedup scope know of it, and only within the dedup window.
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

// inDedupScope reports whether two backends recognize each other's repeats.
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

// allowsSlowStart reports whether a backend is warm or its slow-start budget allows one more request. The budget is
// proportional to the warm-up progress and the observed throughput of warm backends. A warm backend is assumed to
// serve at least one request at a time, shared by all instances, even if nothing has been observed.
func (inst *Instance) allowsSlowStart(req *request, backend *endpoints.Backend) bool {
	progress := inst.warmUpProgress(backend)
	if progress >= 1 {
		return true
	}
	observed := inst.throughput.PerWeight() * backend.Weight
	latency := cmp.Or(inst.meanLatency, inst.classes[req.class].LatencyObjective)
	return backend.SlowStart.Allows(&inst.slowStart, progress, max(observed, 1/(latency*float64(inst.instances))), inst.now)
}
