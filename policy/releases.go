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
func (a *Instance) ReleaseStatus() ReleaseStatus {
	newest, _ := a.releases.Newest()
	return ReleaseStatus{Newest: newest, RollingOut: a.rolloutRelease, Keys: a.affinity.Len(), Skipped: a.skipped}
}

// underCap tells that a release is under a cap.
func (a *Instance) underCap(build ReleaseID) bool {
	_, limited := a.releases.Cap(build)
	return limited
}

// oldestAllowedRelease is the earliest release that may serve a request, by its key.
func (a *Instance) oldestAllowedRelease(t *request) ReleaseID {
	if now := a.affinity.Changes() + 1; t.oldestReleaseAsOf != now {
		t.oldestRelease, t.oldestReleaseAsOf = a.affinity.Floor(t.affinityKey), now
	}
	return t.oldestRelease
}

// withinExposureCap guards the rule on exposure for one attempt of a request at a backend.
func (a *Instance) withinExposureCap(t *request, i int) bool {
	build := a.release[i]
	if a.releases.ServesAs(build) < a.oldestAllowedRelease(t) {
		a.skipped.Affinity++
		return false
	}
	limit, limited := a.releases.Cap(build)
	if !limited {
		return true
	}
	guarded := a.guardedStages > 0 && a.classes[t.class].Semantics != Safe && a.releases.Record(build).Stage < a.guardedStages
	if limit <= 0 || guarded {
		a.skipped.Closed++
		return false
	}
	if !a.allowance.Allows(build, a.exposureLane(t.class), a.now) {
		a.skipped.CapReached++
		return false
	}
	return true
}

// bindKey notes that a release may have answered a request's key. Where the backend was listed with another release meanwhile, it
// may have been either that answered.
func (a *Instance) bindKey(t *request, s *attempt) {
	for _, build := range [...]ReleaseID{s.release, a.release[s.backend]} {
		if to := a.releases.BindsAs(build); !a.releases.IsClosed(to) {
			a.affinity.Bind(t.affinityKey, to)
		}
	}
}

// MaySend tells whether an attempt that was decided a while ago may still go out: its connection came up late, and the list,
// the news or another attempt's answer came meanwhile. One that may not counts as never sent.
func (a *Instance) MaySend(id string, attempt int) bool {
	t := a.requests[id]
	if t == nil || attempt < 0 || attempt >= len(t.attempts) {
		return false
	}
	s := &t.attempts[attempt]
	if a.state[s.backend] != EndpointRunning || a.release[s.backend] != s.release || a.releases.ServesAs(s.release) < a.oldestAllowedRelease(t) {
		return false
	}
	limit, limited := a.releases.Cap(s.release)
	return !limited || limit > 0
}

// onReleaseListed notes that a backend of a release is listed.
func (a *Instance) onReleaseListed(build ReleaseID) {
	if a.releases.OnListed(build) {
		limit, _ := a.releases.Cap(build)
		a.port.Log(fmt.Sprintf("release %d: listed before any news of it, first stage, cap %.2f", build, limit))
	}
}

// applyReleaseUpdate takes an update on a release; age is how long it has stood so.
func (a *Instance) applyReleaseUpdate(u release.Update, age float64, by VoteResponse) {
	was, known := a.releases.Newest()
	change := a.releases.Apply(u)
	a.logUpdate(u, change, by)
	if change != release.Moved {
		return
	}
	a.aggregatesDueAt = a.now
	if a.releases.IsClosed(u.Release) {
		a.affinity.ReleaseKeys(u.Release)
	}
	now, _ := a.releases.Newest()
	if !known || now.Release != was.Release {
		a.startRollout(now.Release)
		a.affinity.ForgetBefore(a.releases.Baseline())
		a.allowance.Forget(a.releases.Baseline())
	}
	if now.Stage != a.stage || now.Phase != a.phase {
		a.stateSince, a.voteNotBefore = a.now-age, 0
		a.stageStarted, a.desiredVerdict = false, NoVerdict // what was seen of one stage carries no vote on the next
	}
	a.announced, a.newest, a.stage, a.phase = true, now.Release, now.Stage, now.Phase
}

func (a *Instance) logUpdate(u release.Update, change release.Change, by VoteResponse) {
	what := fmt.Sprintf("release %d: stage %d, %s, cap %.2f, by %s", u.Release, u.Stage, u.Phase, u.Cap, by)
	switch change {
	case release.Moved:
		a.port.Log(what)
	case release.StaleUpdate:
		held := a.releases.Record(u.Release)
		a.port.Log(fmt.Sprintf("%s: passed over, it is at stage %d, %s, cap %.2f", what, held.Stage, held.Phase, held.Cap))
	}
}

// inferReleasedReleases looks which release the fleet runs: the oldest listed one as long as nothing is announced, and one whose end was
// missed where most backends of earlier releases run it.
func (a *Instance) inferReleasedReleases() {
	oldest, earlier, counts := ReleaseID(math.MaxInt), 0, map[ReleaseID]int{}
	for i, build := range a.release {
		if a.state[i] == EndpointRemoved || build == release.Unknown {
			continue
		}
		oldest = min(oldest, build)
		if a.state[i] == EndpointRunning && build < a.newest {
			earlier++
			counts[build]++
		}
	}
	if oldest < math.MaxInt {
		a.releases.SetOldestListed(oldest)
	}
	for build, n := range counts { // one at most has more than half
		if 2*n > earlier {
			a.releases.MarkPrevailing(build)
		}
	}
}

func (a *Instance) exposureLane(product int) int {
	if a.exposurePerClass {
		return product
	}
	return 0
}

// decayPopularKeys forgets keys seen long ago: popularity is of late, and the record must not grow for ever.
func (a *Instance) decayPopularKeys() {
	for k, n := range a.popularKeys {
		if a.popularKeys[k] = n / 2; n < 2 {
			delete(a.popularKeys, k)
		}
	}
	a.requestsTaken /= 2
}
