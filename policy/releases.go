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
	newest, _ := a.book.Newest()
	return ReleaseStatus{Newest: newest, RollingOut: a.trialRelease, Keys: a.affinity.Len(), Skipped: a.withheld}
}

// limited tells that a release is under a cap.
func (a *Instance) limited(build ReleaseID) bool {
	_, limited := a.book.Cap(build)
	return limited
}

// floor is the earliest release that may serve a request, by its key.
func (a *Instance) floor(t *txn) ReleaseID {
	if now := a.affinity.Changes() + 1; t.floorOf != now {
		t.floor, t.floorOf = a.affinity.Floor(t.affinity), now
	}
	return t.floor
}

// exposed guards the rule on exposure for one attempt of a request at a backend.
func (a *Instance) exposed(t *txn, i int) bool {
	build := a.builds[i]
	if a.book.ServesAs(build) < a.floor(t) {
		a.withheld.Affinity++
		return false
	}
	limit, limited := a.book.Cap(build)
	if !limited {
		return true
	}
	guarded := a.guarded > 0 && a.products[t.product].Semantics != Safe && a.book.Record(build).Stage < a.guarded
	if limit <= 0 || guarded {
		a.withheld.Closed++
		return false
	}
	if !a.allowance.Allows(build, a.lane(t.product), a.now) {
		a.withheld.CapReached++
		return false
	}
	return true
}

// bind notes that a release may have answered a request's key. Where the backend was listed with another release meanwhile, it
// may have been either that answered.
func (a *Instance) bind(t *txn, s *submission) {
	for _, build := range [...]ReleaseID{s.build, a.builds[s.app]} {
		if to := a.book.BindsAs(build); !a.book.IsClosed(to) {
			a.affinity.Bind(t.affinity, to)
		}
	}
}

// MaySend tells whether an attempt that was decided a while ago may still go out: its connection came up late, and the list,
// the news or another attempt's answer came meanwhile. One that may not counts as never sent.
func (a *Instance) MaySend(id string, attempt int) bool {
	t := a.txns[id]
	if t == nil || attempt < 0 || attempt >= len(t.subs) {
		return false
	}
	s := &t.subs[attempt]
	if a.state[s.app] != EndpointRunning || a.builds[s.app] != s.build || a.book.ServesAs(s.build) < a.floor(t) {
		return false
	}
	limit, limited := a.book.Cap(s.build)
	return !limited || limit > 0
}

// releaseListed notes that a backend of a release is listed.
func (a *Instance) releaseListed(build ReleaseID) {
	if a.book.OnListed(build) {
		limit, _ := a.book.Cap(build)
		a.port.Log(fmt.Sprintf("release %d: listed before any news of it, first stage, cap %.2f", build, limit))
	}
}

// releaseTold takes an update on a release; age is how long it has stood so.
func (a *Instance) releaseTold(u release.Update, age float64, by VoteResponse) {
	was, known := a.book.Newest()
	change := a.book.Apply(u)
	a.logUpdate(u, change, by)
	if change != release.Moved {
		return
	}
	a.surveyAt = a.now
	if a.book.IsClosed(u.Release) {
		a.affinity.ReleaseKeys(u.Release)
	}
	now, _ := a.book.Newest()
	if !known || now.Release != was.Release {
		a.offered(now.Release)
		a.affinity.ForgetBefore(a.book.Baseline())
		a.allowance.Forget(a.book.Baseline())
	}
	if now.Stage != a.stage || now.Phase != a.phase {
		a.phaseAt, a.voteAt = a.now-age, 0
		a.begun, a.want = false, NoVerdict // what was seen of one stage carries no vote on the next
	}
	a.known, a.newest, a.stage, a.phase = true, now.Release, now.Stage, now.Phase
}

func (a *Instance) logUpdate(u release.Update, change release.Change, by VoteResponse) {
	what := fmt.Sprintf("release %d: stage %d, %s, cap %.2f, by %s", u.Release, u.Stage, u.Phase, u.Cap, by)
	switch change {
	case release.Moved:
		a.port.Log(what)
	case release.StaleUpdate:
		held := a.book.Record(u.Release)
		a.port.Log(fmt.Sprintf("%s: passed over, it is at stage %d, %s, cap %.2f", what, held.Stage, held.Phase, held.Cap))
	}
}

// concluded looks which release the fleet runs: the oldest listed one as long as nothing is announced, and one whose end was
// missed where most backends of earlier releases run it.
func (a *Instance) concluded() {
	oldest, earlier, counts := ReleaseID(math.MaxInt), 0, map[ReleaseID]int{}
	for i, build := range a.builds {
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
		a.book.SetOldestListed(oldest)
	}
	for build, n := range counts { // one at most has more than half
		if 2*n > earlier {
			a.book.MarkPrevailing(build)
		}
	}
}
