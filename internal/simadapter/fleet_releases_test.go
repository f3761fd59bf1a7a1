package simadapter

import (
	"math"
	"slices"
)

// This file implements the fleet's release platform. It announces releases one after the other, some of them with a
// defect, and promotes or rolls them back according to the votes of the instances.

const firstRelease = 1

// Phases of a release in the protocol.
const (
	phaseRollingOut = iota
	phaseRollingBack
	phaseReleased
	phaseWithdrawn
)

// Verdicts of a vote in the protocol.
const (
	voteNone     = 0
	votePromote  = 1
	voteRollback = 3
)

// The platform's responses to a vote. Updates that are not a response to a vote use voteCounted as well.
const (
	voteCounted    = 1
	voteFull       = 2
	voteError      = 3
	voteUnanswered = 4
	voteOutdated   = 8
)

const (
	soakTime      = 4 * second // minimum time before a stage may be promoted
	timedStage    = 9 * second // time after which a stage is promoted in a timed rollout
	rollbackDelay = 2 * second // time from the verdict until the backends are replaced
)

// fleetRollout is the newest release and its state.
type fleetRollout struct {
	release, stage, phase int
	stageSince            int64
	caps, stages          []float64 // shares of the requests and of the backends in each stage
	backends              int       // number of places
	defect                defect
	sharedSlowdown        float64 // latency factor of all backends during the rollout, whatever release they run
	announced             int     // number of releases announced so far
}

func newFleetRollout(s scenario) fleetRollout {
	r := fleetRollout{
		release: firstRelease, phase: phaseReleased, backends: s.backends, sharedSlowdown: 1,
		caps: s.familyInfo()["most-shares"].([]float64), stages: s.familyInfo()["rings"].([]float64),
	}
	r.stage = len(r.stages) - 1
	return r
}

// isClosed reports whether the release is rolling back or withdrawn, so that no more backends get it.
func (r *fleetRollout) isClosed() bool {
	return r.phase == phaseRollingBack || r.phase == phaseWithdrawn
}

// wantedBackends returns the number of backends that should run the release.
func (r *fleetRollout) wantedBackends() int {
	if r.phase == phaseReleased {
		return r.backends
	}
	return int(math.Ceil(r.stages[r.stage] * float64(r.backends)))
}

// setNextDefect chooses the defect of the newest release. Three of seven releases have none.
func (r *fleetRollout) setNextDefect() {
	r.announced++
	r.defect, r.sharedSlowdown = defect{slowdown: 1}, 1
	switch r.announced % 7 {
	case 1:
		r.defect.slowdown = 2.2
	case 3:
		r.defect.errors = 0.25
	case 5:
		r.defect.slowdown = 1.25
	case 6:
		r.sharedSlowdown = 1.9
	}
}

// sendRelease sends the state of the newest release to an instance, as a response to a vote if isResponse is 1.
func (f *fleet) sendRelease(to, isResponse, status int) {
	r := &f.rollout
	ceiling := 1.0
	switch r.phase {
	case phaseRollingOut:
		ceiling = r.caps[r.stage]
	case phaseRollingBack, phaseWithdrawn:
		ceiling = 0
	}
	f.send(to, "promotion", map[string]any{
		"ver": r.release, "wave": r.stage, "standing": r.phase, "how": isResponse, "status": status,
		"ceiling": ceiling, "old-us": f.now - r.stageSince,
	})
}

func (f *fleet) sendReleaseToAll() {
	for k := range f.instances {
		f.schedule(f.randomTime(300*millisecond), func() { f.sendRelease(k, 0, voteCounted) })
	}
}

// setPhase changes the stage and phase of the newest release. Votes to promote apply to one stage only and are reset.
func (f *fleet) setPhase(stage, phase int) {
	f.rollout.stage, f.rollout.phase, f.rollout.stageSince = stage, phase, f.now
	for _, in := range f.instances {
		if in.vote == votePromote {
			in.vote = voteNone
		}
	}
	f.sendReleaseToAll()
}

// announceRelease announces the next release. If the current one is still rolling out, it is withdrawn.
func (f *fleet) announceRelease() {
	r := &f.rollout
	if r.phase == phaseRollingOut {
		f.setPhase(r.stage, phaseWithdrawn)
		f.replaceBackends(r.release)
	}
	r.release += 1 + f.rng.IntN(2)
	r.setNextDefect()
	for _, in := range f.instances {
		in.vote = voteNone
	}
	f.setPhase(0, phaseRollingOut)
	f.fillStage()
	f.schedule(90*second+f.randomTime(60*second), f.announceRelease)
}

// fillStage schedules one upgrade for each backend that the current stage lacks.
func (f *fleet) fillStage() {
	if f.rollout.isClosed() {
		return
	}
	want := f.rollout.wantedBackends()
	for n := f.countRunning(f.rollout.release); n < want; n++ {
		f.schedule(f.randomTime(700*millisecond), f.upgradeBackend)
	}
}

// upgradeBackend replaces a backend of an earlier release with one of the newest release.
func (f *fleet) upgradeBackend() {
	r := &f.rollout
	if r.isClosed() {
		return
	}
	old := slices.IndexFunc(f.backends, func(b *fleetBackend) bool {
		return b.condition == conditionRunning && b.release < r.release
	})
	zone := f.randomZone()
	if old >= 0 {
		zone = f.backends[old].zone
		f.drain(f.backends[old])
	}
	f.announceBackend(f.addBackend(r.release, zone, f.now))
}

func (f *fleet) countRunning(release int) (n int) {
	for _, b := range f.backends {
		if b.isRunning(release) {
			n++
		}
	}
	return n
}

// replaceBackends replaces the backends of a release that is withdrawn with backends of the release before it.
func (f *fleet) replaceBackends(release int) {
	for _, b := range slices.Clone(f.backends) {
		if b.isRunning(release) {
			f.drain(b)
			fresh := f.addBackend(max(release-1, firstRelease), b.zone, f.now)
			fresh.defect = defect{slowdown: 1}
			f.announceBackend(fresh)
		}
	}
}

// countVotes promotes the newest release or rolls it back according to the accepted votes. In a timed rollout, a stage
// is also promoted after a fixed time.
func (f *fleet) countVotes() {
	f.schedule(500*millisecond, f.countVotes)
	r := &f.rollout
	if r.phase != phaseRollingOut {
		return
	}
	promote, rollback := f.acceptedVotes()
	soaked := f.now > r.stageSince+soakTime
	timed := f.familyInfo()["decided-by"] == "clocked" && f.now > r.stageSince+timedStage
	enough := 2*promote > len(f.instances)
	if f.quorum > 0 {
		enough = promote >= f.quorum
	}
	switch {
	case rollback > 0:
		f.rollBack()
	case soaked && (enough || timed):
		if r.stage+1 < len(r.stages) {
			f.setPhase(r.stage+1, phaseRollingOut)
		} else {
			f.setPhase(r.stage, phaseReleased)
		}
		f.fillStage()
	}
}

func (f *fleet) acceptedVotes() (promote, rollback int) {
	for _, in := range f.instances {
		if in.vote == votePromote && in.voteStage == f.rollout.stage {
			promote++
		}
		if in.vote == voteRollback {
			rollback++
		}
	}
	return promote, rollback
}

// rollBack rolls the newest release back. A release announced in the meantime is not affected.
func (f *fleet) rollBack() {
	f.setPhase(f.rollout.stage, phaseRollingBack)
	release := f.rollout.release
	f.schedule(rollbackDelay, func() {
		f.replaceBackends(release)
		if f.rollout.release == release {
			f.setPhase(f.rollout.stage, phaseWithdrawn)
		}
	})
}

// receiveVote responds to a vote. A single vote is enough to roll back a release that is already released.
func (f *fleet) receiveVote(index, release, verdict, stage int) {
	f.schedule(f.randomTime(30*millisecond), func() {
		in, r := f.instances[index], &f.rollout
		status := []int{
			voteCounted, voteCounted, voteCounted, voteCounted, voteCounted, voteError, voteFull, voteUnanswered,
		}[f.rng.IntN(8)]
		lateToPromote := verdict == votePromote && (stage != r.stage || r.phase != phaseRollingOut)
		if release != r.release || r.phase == phaseWithdrawn || lateToPromote {
			status = voteOutdated
		}
		if status == voteCounted {
			in.vote, in.voteStage = verdict, stage
		}
		f.sendRelease(index, 1, status)
		rollsBackReleased := verdict == voteRollback && r.phase == phaseReleased && release == r.release
		if rollsBackReleased && status == voteCounted {
			f.setPhase(r.stage, phaseRollingBack)
			f.schedule(rollbackDelay, func() {
				f.replaceBackends(release)
				f.setPhase(r.stage, phaseWithdrawn)
			})
		}
	})
}
