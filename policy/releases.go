package policy

import (
	"fmt"

	"onyxgate/policy/release"
)

// onReleaseListed handles the listing of a backend that runs a release.
func (inst *Instance) onReleaseListed(id ReleaseID) {
	if inst.releases.OnListed(id) {
		limit, _ := inst.releases.Cap(id)
		inst.port.Log(fmt.Sprintf("release %d: listed before its first update, counts as in the first stage, cap %.2f", id, limit))
	}
}

// applyReleaseUpdate applies an update of a release's state, in which the release has been for age ms.
func (inst *Instance) applyReleaseUpdate(update release.Update, age float64, source VoteResponse) {
	before, known := inst.releases.Newest()
	change := inst.releases.Apply(update)
	inst.logUpdate(update, change, source)
	if change != release.Changed {
		return
	}
	inst.fleet.refreshAt = inst.now
	if inst.releases.IsClosed(update.Release) {
		inst.affinity.ForgetRelease(update.Release)
	}
	newest, _ := inst.releases.Newest()
	if !known || newest.Release != before.Release {
		inst.startRollout(newest.Release)
		inst.affinity.ForgetBefore(inst.releases.Baseline())
		inst.allowance.ForgetBefore(inst.releases.Baseline())
	}
	inst.evaluator.SetState(newest.Stage, newest.Phase, inst.now-age)
}

// logUpdate logs each update that changes the state or is stale.
func (inst *Instance) logUpdate(update release.Update, change release.UpdateResult, source VoteResponse) {
	line := fmt.Sprintf("release %d: stage %d, %s, cap %.2f, by %s", update.Release, update.Stage, update.Phase, update.Cap, source)
	switch change {
	case release.Changed:
		inst.port.Log(line)
	case release.StaleUpdate:
		known := inst.releases.Record(update.Release)
		inst.port.Log(fmt.Sprintf("%s: stale update ignored, it is at stage %d, %s, cap %.2f", line, known.Stage, known.Phase, known.Cap))
	}
}
