package policy

import (
	"onyxgate/policy/endpoints"
	"onyxgate/policy/release"
)

// This file owns what may go to which release: every question is asked of the release that an attempt goes to, with its own record,
// never of "the newest" when another is meant.

// maxCountedKeys bounds the memory for counts of keys.
const maxCountedKeys = 1 << 14

// SkippedBackends counts the backends that were skipped for a request, by the reason.
type SkippedBackends struct {
	Closed     int // the release rolls back, was withdrawn or is guarded from the request's class
	CapReached int // the allowance is used up
	Affinity   int // the request's key belongs to a later release
}

// ReleaseStatus is what is known of releases and exposure now.
type ReleaseStatus struct {
	Newest       release.Record
	RollingOut   ReleaseID // the newest running release under a cap; 0: none
	AffinityKeys int       // remembered, with the releases that answered them
	Skipped      SkippedBackends
}

// ReleaseStatus is the state of releases for logs and metrics. It changes nothing.
func (inst *Instance) ReleaseStatus() ReleaseStatus {
	newest, _ := inst.releases.Newest()
	return ReleaseStatus{Newest: newest, RollingOut: inst.fleet.rolloutRelease, AffinityKeys: inst.affinity.Len(), Skipped: inst.skipped}
}

// underCap says whether a release is under a cap.
func (inst *Instance) isCapped(id ReleaseID) bool {
	_, limited := inst.releases.Cap(id)
	return limited
}

// oldestAllowedRelease is the earliest release that may serve a request, by its key.
func (inst *Instance) oldestAllowedRelease(req *request) ReleaseID {
	if version := inst.affinity.Version() + 1; req.affinityVersion != version {
		req.oldestRelease, req.affinityVersion = inst.affinity.OldestAllowed(req.affinityKey), version
	}
	return req.oldestRelease
}

// withinExposureCap guards the rule on exposure for one attempt of a request at a backend.
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

// isGuarded says whether a release is in a stage that takes only safe requests, and the request is not one.
func (inst *Instance) isGuarded(req *request, id ReleaseID) bool {
	if inst.exposureConfig.GuardedStages <= 0 || inst.classes[req.class].Semantics == Safe {
		return false
	}
	return inst.releases.Record(id).Stage < inst.exposureConfig.GuardedStages
}

// exposureLane is the lane of the allowance in which a class counts.
func (inst *Instance) allowanceIndex(class int) int {
	if inst.exposureConfig.PerClass {
		return class
	}
	return 0
}

// bindKey notes that a release may have answered a request's key. Where the backend was listed with another release meanwhile, it
// may have been either that answered.
func (inst *Instance) recordKeyAffinity(req *request, attempt *attempt) {
	for _, id := range [...]ReleaseID{attempt.release, inst.endpoints.At(attempt.backend).Release} {
		if target := inst.releases.LatestIfUnknown(id); !inst.releases.IsClosed(target) {
			inst.affinity.RecordAnswer(req.affinityKey, target)
		}
	}
}

// MaySend says whether an attempt that was decided a while ago may still go out: its connection came up late, and the endpoint list, a release
// update or another attempt's answer came meanwhile. One that may not counts as never sent. It changes no decision.
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

// countKey counts a request for its key's popularity.
func (inst *Instance) countKey(key string) {
	if key == "" {
		return
	}
	inst.popularKeys[key]++
	if len(inst.popularKeys) > maxCountedKeys {
		inst.decayPopularKeys()
	}
}

// decayPopularKeys halves the counts and forgets keys seen long ago: popularity is recent, and the counts must not grow without bound.
func (inst *Instance) decayPopularKeys() {
	for key, requests := range inst.popularKeys { // each by itself, so that the order does not matter
		inst.popularKeys[key] = requests / 2
		if requests < 2 {
			delete(inst.popularKeys, key)
		}
	}
	inst.requestCount /= 2
}
