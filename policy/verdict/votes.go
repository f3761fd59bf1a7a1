package verdict

import "math/rand/v2"

const (
	// voteRetryPause (ms) goes before a vote that did not count is sent again, and outdatedVotePause before one that did not fit:
	// the stage has moved on and its release update is late, so that asking at once again teaches nothing. Each is drawn from half
	// of it to one and a half times it.
	voteRetryPause    = 300
	outdatedVotePause = 3000
	// An accepted vote is renewed after this share of its lifetime, and up to renewalSpread of it later, so that the renewals of
	// many instances scatter.
	renewalShare  = 0.7
	renewalSpread = 0.2
)

// ballot is the vote that is out, and the one that the platform has counted.
type voteState struct {
	pending   bool // a vote is out and has no response
	sent      Vote // the latest
	accepted  Verdict
	stage     int // of the accepted vote
	renewAt   float64
	notBefore float64 // no vote is sent sooner
}

// VoteDue tells whether the desired verdict is to be sent now: it is another one than the accepted, or that is to be renewed.
func (e *Evaluator) VoteDue(now float64) bool {
	b := &e.voteState
	if b.pending || now < b.notBefore || e.desired == NoVerdict {
		return false
	}
	// A promotion is for one stage, a rollback for the release.
	accepted := b.accepted == e.desired && (e.desired == Rollback || b.stage == e.stage)
	return !accepted || now >= b.renewAt
}

// BeginVote is the desired verdict, for the caller to send now. No vote is due until OnVoteResponse.
func (e *Evaluator) BeginVote() Vote {
	e.voteState.pending = true
	e.voteState.sent = Vote{Release: e.release, Stage: e.stage, Verdict: e.desired}
	return e.voteState.sent
}

// VotePending tells that a vote is out and has no response yet.
func (e *Evaluator) VotePending() bool { return e.voteState.pending }

// OnVoteResponse takes the platform's response to the vote that is out; it draws one number from random. Where the vote did not
// count, retry tells that one may be due again at the time retryAt (ms). A response on an earlier release than the newest says
// nothing of votes on that one.
func (e *Evaluator) OnVoteResponse(now float64, response VoteResponse, random *rand.Rand) (retryAt float64, retry bool) {
	b := &e.voteState
	b.pending = false
	if b.sent.Release != e.release {
		return 0, false
	}
	if response == VoteCounted {
		b.accepted, b.stage = b.sent.Verdict, b.sent.Stage
		b.renewAt = now + e.settings.VoteLifetime*(renewalShare+renewalSpread*random.Float64())
		return 0, false
	}
	pause := float64(voteRetryPause)
	if response == VoteOutdated {
		pause = outdatedVotePause
	}
	b.notBefore = now + pause*(0.5+random.Float64())
	return b.notBefore, true
}
