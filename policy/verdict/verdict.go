// Package verdict decides what an instance votes on the release that is rolling out. It owns the evidence (outcomes of
// attempts by class, of the candidate, which is the newest release, and of the baseline, which is what ran before it), the
// gates that compare the two, the saturation of the whole fleet since the candidate came, the desired verdict, and the vote
// that is out or accepted.
//
// It must never do I/O, read a clock, start a goroutine, or draw random numbers of its own: time and generator come with each
// call, so that the same calls in the same order give the same votes. It knows no endpoint list, request or wire; a
// backend is an index that its caller gives out. An Evaluator is for one goroutine. All times are in milliseconds.
package verdict

import "onyxgate/policy/release"

// Verdict is what a vote says of a release.
type Verdict uint8

// The verdicts. Their numbers are those of the platform's wire.
const (
	NoVerdict Verdict = iota
	Promote
	Hold
	Rollback
)

// RolloutControl says what moves a rollout to its next stage.
type RolloutControl uint8

// The controls. Their numbers are those of the settings.
const (
	ControlSingleVote RolloutControl = iota // one instance's vote
	ControlMajority                         // the votes of a share of the instances
	ControlTimed                            // time alone; votes can only hold or roll back
)

// VoteResponse is how the platform answered a vote.
type VoteResponse uint8

// The responses. Only VoteCounted makes a vote an accepted one.
const (
	NotAVote VoteResponse = iota // a release update that answers no vote
	VoteCounted
	VoteRefused    // the platform was overloaded or failed: the vote does not count
	VoteUnanswered // no response: the vote may count
	VoteOutdated   // for another release or stage than the present one
)

// String says by what the state of a release was learned.
func (r VoteResponse) String() string {
	if r == NotAVote {
		return "release update"
	}
	return "vote response"
}

// Vote is a verdict on one stage of one release.
type Vote struct {
	Release release.ID
	Stage   int
	Verdict Verdict
}
