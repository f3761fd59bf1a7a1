package simadapter

import (
	"math"
	"slices"
)

// This file holds the fleet's release platform: releases come one after the other, some of them with a defect, and go on or back
// by the votes of the instances.

const firstRelease = 1

// Phases of a release on the wire.
const (
	phaseRollingOut = iota
	phaseRollingBack
	phaseReleased
	phaseWithdrawn
)

// Verdicts of a vote on the wire.
const (
	voteNone     = 0
	votePromote  = 1
	voteRollback = 3
)

// What the platform says to a vote. voteCounted is also what it says in an update that answers none.
const (
	voteCounted    = 1
	voteFull       = 2
	voteError      = 3
	voteUnanswered = 4
	voteOutdated   = 8
)

const (
	soakTime      = 4 * second // before a stage may move on
	timedStage    = 9 * second // after which it moves on by itself, where the settings say so
	rollbackDelay = 2 * second // from the verdict until the backends are replaced
)

// fleetRollout is the newest release and its phase.
type fleetRollout struct {
	release, stage, phase int
	stageSince            int64
	caps, stages          []float64 // shares of the requests, and of the backends, in each stage
	backends              int       // places to fill
	defect                defect
	sharedSlowdown        float64 // of all backends while it rolls out, whatever they run: times the usual latency
	announced             int     // releases so far
}

func newFleetRollout(s scenario) fleetRollout {
	r := fleetRollout{
		release: firstRelease, phase: phaseReleased, backends: s.backends, sharedSlowdown: 1,
		caps: s.familyInfo()["most-shares"].([]float64), stages: s.familyInfo()["rings"].([]float64),
	}
	r.stage = len(r.stages) - 1
	return r
}

// goesBack tells that no more backends get the release.
func (r *fleetRollout) isClosed() bool {
	return r.phase == phaseRollingBack || r.phase == phaseWithdrawn
}

// wantedBackends is how many backends shall run the release.
func (r *fleetRollout) wantedBackends() int {
	if r.phase == phaseReleased {
		return r.backends
	}
	return int(math.Ceil(r.stages[r.stage] * float64(r.backends)))
}

// setNextDefect gives the newest release its defect: most releases have none.
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

// sendRelease tells an instance of the newest release, in answer to a vote (isResponse 1) or by itself (0).
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

// setPhase moves the newest release; votes to promote hold for one stage only.
func (f *fleet) setPhase(stage, phase int) {
	f.rollout.stage, f.rollout.phase, f.rollout.stageSince = stage, phase, f.now
	for _, in := range f.instances {
		if in.vote == votePromote {
			in.vote = voteNone
		}
	}
	f.sendReleaseToAll()
}

// announceRelease begins the next release. One that is still rolling out is withdrawn.
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

// fillStage has as many backends run the newest release as its stage wants.
func (f *fleet) fillStage() {
	if f.rollout.isClosed() {
		return
	}
	want := f.rollout.wantedBackends()
	for n := f.countRunning(f.rollout.release); n < want; n++ {
		f.schedule(f.randomTime(700*millisecond), f.upgradeBackend)
	}
}

// upgradeBackend puts a backend with the newest release in the place of one with an earlier release.
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

// replaceBackends replaces those that run a release that goes back by ones with the release before it.
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

// countVotes moves the newest release on or back by the votes that it has accepted.
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

// rollBack takes the newest release back; what came after it meanwhile stays.
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

// receiveVote answers a vote. A vote to roll back what is released already is enough by itself.
func (f *fleet) receiveVote(k, release, verdict, stage int) {
	f.schedule(f.randomTime(30*millisecond), func() {
		in, r := f.instances[k], &f.rollout
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
		f.sendRelease(k, 1, status)
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
