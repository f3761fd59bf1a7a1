package policy

import (
	"fmt"

	"onyxgate/policy/verdict"
)

func (inst *Instance) voteDue() bool { return inst.evaluator.VoteDue(inst.now) }

func (inst *Instance) sendVote() {
	vote := inst.evaluator.BeginVote()
	inst.port.SendVote(vote.Release, vote.Verdict, vote.Stage)
	if vote.Verdict == verdict.Rollback { // other votes have no reason to report; the live transport logs every vote
		inst.port.Log(fmt.Sprintf("rollback vote: release %d, stage %d: %s", vote.Release, vote.Stage, inst.evaluator.RollbackReason()))
	}
}

// onVoteResponse handles the platform's response to the pending vote, if there is one.
func (inst *Instance) onVoteResponse(response VoteResponse) {
	if !inst.evaluator.VotePending() {
		return
	}
	if retryAt, retry := inst.evaluator.OnVoteResponse(inst.now, response, inst.rng); retry {
		inst.schedule(retryAt, nil)
	}
}
