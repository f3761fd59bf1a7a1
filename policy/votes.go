package policy

import "fmt"

// onVoteResponse reads the platform's answer to the vote that is out. What was asked of a release before the newest one says nothing
// of votes on that.
func (a *Instance) onVoteResponse(reply VoteResponse) {
	a.votePending = false
	if a.pendingRelease != a.newest {
		return
	}
	if reply == VoteCounted {
		a.acceptedVerdict, a.acceptedStage = a.pendingVerdict, a.pendingStage
		a.renewAt = a.now + a.voteLifetime*(renewalShare+renewalSpread*a.rng.Float64())
		return
	}
	// Idle: the stage has moved on and the news is late, asking again tells nothing.
	pause := [2]float64{voteRetryPause, outdatedVotePause}[boolIndex(reply == VoteOutdated)]
	a.voteNotBefore = a.now + pause*(0.5+a.rng.Float64())
	a.schedule(a.voteNotBefore, nil)
}

func (a *Instance) voteDue() bool {
	if a.votePending || a.now < a.voteNotBefore || a.desiredVerdict == NoVerdict {
		return false
	}
	same := a.acceptedVerdict == a.desiredVerdict && (a.desiredVerdict == Rollback || a.acceptedStage == a.stage)
	return !same || a.now >= a.renewAt
}

func (a *Instance) sendVote() {
	a.votePending, a.pendingVerdict, a.pendingStage, a.pendingRelease = true, a.desiredVerdict, a.stage, a.newest
	a.port.SendVote(a.newest, a.desiredVerdict, a.stage)
	if a.desiredVerdict == Rollback { // many agents that say 'on' would fill any log
		a.port.Log(fmt.Sprintf("vote back on build %d stage %d: %s", a.newest, a.stage, a.rollbackReason))
	}
}
