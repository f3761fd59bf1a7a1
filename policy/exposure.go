package policy

import (
	"onyxgate/policy/endpoints"
	"onyxgate/policy/exposure"
	"onyxgate/policy/release"
)

// The checks below always use the state of the release that an attempt goes to, which is not necessarily the newest
// release.

// maxCountedKeys is the number of keys above which request counts are halved and rare keys are dropped, to limit the
// memory that the counts use.
const maxCountedKeys = 1 << 14

// SkippedBackends counts the backends that were skipped when requests were routed, by reason.
type SkippedBackends struct {
	Closed     int // the cap is 0, as of a withdrawn release, or the stage is guarded and the request is not safe
	CapReached int // the allowance is used up
	Affinity   int // the request's key has affinity to a later release
}

// ReleaseStatus is the current state of releases and exposure.
type ReleaseStatus struct {
	Newest       release.Record
	RollingOut   ReleaseID // the newest running release under a cap; 0: none
	AffinityKeys int       // number of remembered keys, summed over the releases that served them
	Skipped      SkippedBackends
}

// ReleaseStatus returns the state of releases for logs and metrics. It has no effect on later decisions.
func (inst *Instance) ReleaseStatus() ReleaseStatus {
	newest, _ := inst.releases.Newest()
	return ReleaseStatus{Newest: newest, RollingOut: inst.fleet.rolloutRelease, AffinityKeys: inst.affinity.Len(), Skipped: inst.skipped}
}

// isCapped reports whether a release is under a cap.
func (inst *Instance) isCapped(id ReleaseID) bool {
	_, limited := inst.releases.Cap(id)
	return limited
}

// oldestAllowedRelease returns the oldest release that may serve a request, given its key.
func (inst *Instance) oldestAllowedRelease(req *request) ReleaseID {
	if version := inst.affinity.Version() + 1; req.affinityVersion != version {
		req.oldestRelease, req.affinityVersion = inst.affinity.OldestAllowed(req.affinityKey), version
	}
	return req.oldestRelease
}

// passesExposureChecks reports whether key affinity, the guarded stages and the exposure cap allow an attempt of a
// request at a backend. If not, the backend is counted as skipped.
func (inst *Instance) passesExposureChecks(req *request, backend *endpoints.Backend) bool {
	if inst.releases.OldestIfUnknown(backend.Release) < inst.oldestAllowedRelease(req) {
		inst.skipped.Affinity++
		return false
	}
	limit, limited := inst.releases.Cap(backend.Release)
	if !limited {
		return true
	}
	if limit <= 0 || inst.isGuarded(req, backend.Release) {
		inst.skipped.Closed++
		return false
	}
	if !inst.allowance.Allows(backend.Release, inst.allowanceIndex(req.class), inst.now) {
		inst.skipped.CapReached++
		return false
	}
	return true
}

// isGuarded reports whether a release is in a guarded stage, which accepts only safe requests, and the request is not
// safe.
func (inst *Instance) isGuarded(req *request, id ReleaseID) bool {
	if inst.exposureConfig.GuardedStages <= 0 || inst.classes[req.class].Semantics == Safe {
		return false
	}
	return inst.releases.Record(id).Stage < inst.exposureConfig.GuardedStages
}

// allowanceIndex returns the index of the allowance that counts the requests of a class.
func (inst *Instance) allowanceIndex(class int) int {
	if inst.exposureConfig.PerClass {
		return class
	}
	return 0
}

// recordKeyAffinity records that a release may have handled a request's key. If the backend has been listed with
// another release since the attempt was sent, either release may have handled it.
func (inst *Instance) recordKeyAffinity(req *request, attempt *attempt) {
	for _, id := range [...]ReleaseID{attempt.release, inst.endpoints.At(attempt.backend).Release} {
		if target := inst.releases.LatestIfUnknown(id); !inst.releases.IsClosed(target) {
			inst.affinity.RecordAnswer(req.affinityKey, target)
		}
	}
}

// MaySend reports whether an attempt that was decided earlier may still be sent: its backend is running with the same
// release, and key affinity and the cap still allow it. The attempt's connection may have been established late, and the
// endpoint list, a release update or the response to another attempt may have arrived in the meantime. The host must
// report an attempt that may not be sent with StatusNotSent. MaySend has no effect on later decisions, but like the On
// methods it must not be called by several goroutines at the same time.
func (inst *Instance) MaySend(id string, number int) bool {
	req := inst.requests[id]
	if req == nil || number < 0 || number >= len(req.attempts) {
		return false
	}
	attempt := &req.attempts[number]
	backend := inst.endpoints.At(attempt.backend)
	unchanged := backend.State == EndpointRunning && backend.Release == attempt.release
	if !unchanged || inst.releases.OldestIfUnknown(attempt.release) < inst.oldestAllowedRelease(req) {
		return false
	}
	limit, limited := inst.releases.Cap(attempt.release)
	return !limited || limit > 0
}

// countKey counts a request for the popularity of its key. Keys are counted by their hashes: clients choose the keys, and a
// key may be as long as a request head.
func (inst *Instance) countKey(key exposure.Key) {
	if key == 0 {
		return
	}
	inst.popularKeys[key]++
	if len(inst.popularKeys) > maxCountedKeys {
		inst.decayPopularKeys()
	}
}

// decayPopularKeys halves the counts and drops keys whose count falls below 1. Popularity refers to recent requests, and
// the map must not grow without bound.
func (inst *Instance) decayPopularKeys() {
	for key, requests := range inst.popularKeys { // each key on its own, so the iteration order does not matter
		inst.popularKeys[key] = requests / 2
		if requests < 2 {
			delete(inst.popularKeys, key)
		}
	}
	inst.requestCount /= 2
}
