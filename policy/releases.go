package policy

// This file owns what the instance makes of releases: their updates and listings go to the book (package release), and every
// question about an attempt is asked of the release that it goes to (package exposure). None is asked of "the newest" when
// another is meant.

import (
	"fmt"
	"math"

	"onyxgate/policy/release"
)

// SkippedBackends counts the backends passed over for a request, by what kept it from them.
type SkippedBackends struct {
	Closed     int // the release goes back, has gone or is guarded from the request's class
	CapReached int // the allowance is used up
	Affinity   int // the request's key belongs to a later release
}

// ReleaseStatus is what is known of exposure now.
type ReleaseStatus struct {
	Newest     release.Record
	RollingOut ReleaseID // the newest running release under a cap; 0: none
	Keys       int       // remembered, with the releases that answered them
	Skipped    SkippedBackends
}

// ReleaseStatus is the state of releases for logs and metrics.
func (inst *Instance) ReleaseStatus() ReleaseStatus {
	newest, _ := inst.releases.Newest()
	return ReleaseStatus{Newest: newest, RollingOut: inst.rolloutRelease, Keys: inst.affinity.Len(), Skipped: inst.skipped}
}

// underCap tells that a release is under a cap.
func (inst *Instance) underCap(id ReleaseID) bool {
	_, limited := inst.releases.Cap(id)
	return limited
}

// oldestAllowedRelease is the earliest release that may serve a request, by its key.
func (inst *Instance) oldestAllowedRelease(req *request) ReleaseID {
	if now := inst.affinity.Changes() + 1; req.oldestReleaseAsOf != now {
		req.oldestRelease, req.oldestReleaseAsOf = inst.affinity.Floor(req.affinityKey), now
	}
	return req.oldestRelease
}

// withinExposureCap guards the rule on exposure for one attempt of a request at a backend.
func (inst *Instance) withinExposureCap(req *request, backend int) bool {
	build := inst.release[backend]
	if inst.releases.ServesAs(build) < inst.oldestAllowedRelease(req) {
		inst.skipped.Affinity++
		return false
	}
	limit, limited := inst.releases.Cap(build)
	if !limited {
		return true
	}
	guarded := inst.guardedStages > 0 && inst.classes[req.class].Semantics != Safe && inst.releases.Record(build).Stage < inst.guardedStages
	if limit <= 0 || guarded {
		inst.skipped.Closed++
		return false
	}
	if !inst.allowance.Allows(build, inst.exposureLane(req.class), inst.now) {
		inst.skipped.CapReached++
		return false
	}
	return true
}

// bindKey notes that a release may have answered a request's key. Where the backend was listed with another release meanwhile, it
// may have been either that answered.
func (inst *Instance) bindKey(req *request, s *attempt) {
	for _, build := range [...]ReleaseID{s.release, inst.release[s.backend]} {
		if to := inst.releases.BindsAs(build); !inst.releases.IsClosed(to) {
			inst.affinity.Bind(req.affinityKey, to)
		}
	}
}

// MaySend tells whether an attempt that was decided a while ago may still go out: its connection came up late, and the list,
// the news or another attempt's answer came meanwhile. One that may not counts as never sent.
func (inst *Instance) MaySend(id string, attempt int) bool {
	req := inst.requests[id]
	if req == nil || attempt < 0 || attempt >= len(req.attempts) {
		return false
	}
	s := &req.attempts[attempt]
	if inst.state[s.backend] != EndpointRunning || inst.release[s.backend] != s.release || inst.releases.ServesAs(s.release) < inst.oldestAllowedRelease(req) {
		return false
	}
	limit, limited := inst.releases.Cap(s.release)
	return !limited || limit > 0
}

// onReleaseListed notes that a backend of a release is listed.
func (inst *Instance) onReleaseListed(id ReleaseID) {
	if inst.releases.OnListed(id) {
		limit, _ := inst.releases.Cap(id)
		inst.port.Log(fmt.Sprintf("release %d: listed before any news of it, first stage, cap %.2f", id, limit))
	}
}

// applyReleaseUpdate takes an update on a release; age is how long it has stood so.
func (inst *Instance) applyReleaseUpdate(u release.Update, age float64, by VoteResponse) {
	was, known := inst.releases.Newest()
	change := inst.releases.Apply(u)
	inst.logUpdate(u, change, by)
	if change != release.Moved {
		return
	}
	inst.aggregatesDueAt = inst.now
	if inst.releases.IsClosed(u.Release) {
		inst.affinity.ReleaseKeys(u.Release)
	}
	now, _ := inst.releases.Newest()
	if !known || now.Release != was.Release {
		inst.startRollout(now.Release)
		inst.affinity.ForgetBefore(inst.releases.Baseline())
		inst.allowance.Forget(inst.releases.Baseline())
	}
	if now.Stage != inst.stage || now.Phase != inst.phase {
		inst.stateSince, inst.voteNotBefore = inst.now-age, 0
		inst.stageStarted, inst.desiredVerdict = false, NoVerdict // what was seen of one stage carries no vote on the next
	}
	inst.announced, inst.newest, inst.stage, inst.phase = true, now.Release, now.Stage, now.Phase
}

func (inst *Instance) logUpdate(u release.Update, change release.Change, by VoteResponse) {
	what := fmt.Sprintf("release %d: stage %d, %s, cap %.2f, by %s", u.Release, u.Stage, u.Phase, u.Cap, by)
	switch change {
	case release.Moved:
		inst.port.Log(what)
	case release.StaleUpdate:
		held := inst.releases.Record(u.Release)
		inst.port.Log(fmt.Sprintf("%s: passed over, it is at stage %d, %s, cap %.2f", what, held.Stage, held.Phase, held.Cap))
	}
}

// inferReleasedReleases looks which release the fleet runs: the oldest listed one as long as nothing is announced, and one whose end was
// missed where most backends of earlier releases run it.
func (inst *Instance) inferReleasedReleases() {
	oldest, earlier, counts := ReleaseID(math.MaxInt), 0, map[ReleaseID]int{}
	for i, build := range inst.release {
		if inst.state[i] == EndpointRemoved || build == release.Unknown {
			continue
		}
		oldest = min(oldest, build)
		if inst.state[i] == EndpointRunning && build < inst.newest {
			earlier++
			counts[build]++
		}
	}
	if oldest < math.MaxInt {
		inst.releases.SetOldestListed(oldest)
	}
	for build, n := range counts { // one at most has more than half
		if 2*n > earlier {
			inst.releases.MarkPrevailing(build)
		}
	}
}

func (inst *Instance) exposureLane(class int) int {
	if inst.exposurePerClass {
		return class
	}
	return 0
}

// decayPopularKeys forgets keys seen long ago: popularity is of late, and the record must not grow for ever.
func (inst *Instance) decayPopularKeys() {
	for k, n := range inst.popularKeys {
		if inst.popularKeys[k] = n / 2; n < 2 {
			delete(inst.popularKeys, k)
		}
	}
	inst.requestsTaken /= 2
}
