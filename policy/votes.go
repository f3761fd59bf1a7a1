package policy

import (
	"fmt"

	"onyxgate/policy/verdict"
)

// This file owns the sending of votes; which vote is due, and when, is package verdict's.

func (inst *Instance) voteDue() bool { return inst.evaluator.VoteDue(inst.now) }

func (inst *Instance) sendVote() {
	vote := inst.evaluator.BeginVote()
	inst.port.SendVote(vote.Release, vote.Verdict, vote.Stage)
	if vote.Verdict == verdict.Rollback { // the others have no reason to tell; the live transport logs each vote
		inst.port.Log(fmt.Sprintf("rollback vote: release %d, stage %d: %s", vote.Release, vote.Stage, inst.evaluator.RollbackReason()))
	}
}

// onVoteResponse takes the platform's response to the vote that is out, if one is.
func (inst *Instance) onVoteResponse(response VoteResponse) {
	if !inst.evaluator.VotePending() {
		return
	}
	if retryAt, retry := inst.evaluator.OnVoteResponse(inst.now, response, inst.rng); retry {
		inst.schedule(retryAt, nil)
	}
}
