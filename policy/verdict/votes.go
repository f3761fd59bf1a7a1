package verdict

import "math/rand/v2"

const (
	// voteRetryPause (ms) is the pause before a vote that did not count is sent again. outdatedVotePause applies to
	// votes that were outdated: the stage has moved on and its release update is late, so an immediate retry would
	// get the same response. Each pause is randomized between half and one and a half times its value.
	voteRetryPause    = 300
	outdatedVotePause = 3000
	// An accepted vote is renewed after renewalShare of its lifetime, plus a random share of up to renewalSpread so
	// that the renewals of many instances are spread out.
	renewalShare  = 0.7
	renewalSpread = 0.2
)

// voteState holds the vote in flight and the last accepted one.
type voteState struct {
	pending   bool // a vote was sent and has no response yet
	sent      Vote // most recently sent vote
	accepted  Verdict
	stage     int     // stage of the accepted vote
	renewAt   float64 // ms, time from which the accepted vote is due for renewal
	notBefore float64 // ms, earliest time of the next vote
}

// VoteDue reports whether the desired verdict should be sent now: it differs from the accepted one, or the accepted
// one has to be renewed.
func (e *Evaluator) VoteDue(now float64) bool {
	state := &e.voteState
	if state.pending || now < state.notBefore || e.desired == NoVerdict {
		return false
	}
	// A vote to promote applies to one stage, a vote to roll back to the whole release.
	accepted := state.accepted == e.desired && (e.desired == Rollback || state.stage == e.stage)
	return !accepted || now >= state.renewAt
}

// BeginVote returns the vote to send now, for the desired verdict. No further vote is due until OnVoteResponse is
// called.
func (e *Evaluator) BeginVote() Vote {
	e.voteState.pending = true
	e.voteState.sent = Vote{Release: e.release, Stage: e.stage, Verdict: e.desired}
	return e.voteState.sent
}

// VotePending reports whether a vote was sent and has no response yet.
func (e *Evaluator) VotePending() bool { return e.voteState.pending }

// OnVoteResponse handles the platform's response to the pending vote. If it is not VoteCounted, retry is set and
// retryAt is the time (ms) from which a vote may be due again. One number is drawn from random, unless the vote was
// on a release that is no longer the newest: its response does not affect votes on the newest release.
func (e *Evaluator) OnVoteResponse(now float64, response VoteResponse, random *rand.Rand) (retryAt float64, retry bool) {
	state := &e.voteState
	state.pending = false
	if state.sent.Release != e.release {
		return 0, false
	}
	if response == VoteCounted {
		state.accepted, state.stage = state.sent.Verdict, state.sent.Stage
		state.renewAt = now + e.settings.VoteLifetime*(renewalShare+renewalSpread*random.Float64())
		return 0, false
	}
	pause := float64(voteRetryPause)
	if response == VoteOutdated {
		pause = outdatedVotePause
	}
	state.notBefore = now + pause*(0.5+random.Float64())
	return state.notBefore, true
}
