// Package verdict decides how an instance votes on the release that is being rolled out.
//
// An Evaluator collects evidence, which is outcomes of attempts by class, on the candidate (the newest release) and
// on the baseline (what ran before it). Gates compare the two. The Evaluator also tracks the saturation of the whole
// fleet since the rollout began, the desired verdict, and the pending and the accepted vote.
//
// The package must not do I/O, read a clock, start goroutines, or own a source of random numbers: the time and the
// generator are passed in with each call, so that the same calls in the same order produce the same votes. It has no
// notion of an endpoint list, requests or the wire protocol; a backend is an index assigned by the caller. An
// Evaluator is not safe for concurrent use. All times are in milliseconds.
package verdict

import "onyxgate/policy/release"

// Verdict is the action that a vote requests for a release.
type Verdict uint8

// The verdicts. Their values are those of the platform's wire protocol.
const (
	NoVerdict Verdict = iota
	Promote
	Hold
	Rollback
)

// RolloutControl determines how a rollout advances to its next stage.
type RolloutControl uint8

// The controls. Their values are those of the settings.
const (
	ControlSingleVote RolloutControl = iota // the vote of one instance
	ControlMajority                         // the votes of a share of the instances
	ControlTimed                            // time only; votes can only hold or roll back
)

// VoteResponse is the platform's response to a vote.
type VoteResponse uint8

// The responses. Only VoteCounted turns a vote into an accepted one.
const (
	NotAVote VoteResponse = iota // a release update that is not a response to a vote
	VoteCounted
	VoteRefused    // the platform was overloaded or failed, so the vote does not count
	VoteUnanswered // no response was received, so the vote may count
	VoteOutdated   // the vote was for a release or stage other than the current one
)

// String returns "vote response", or "release update" for NotAVote. Logs show it as the source of a release's state.
func (r VoteResponse) String() string {
	if r == NotAVote {
		return "release update"
	}
	return "vote response"
}

// Vote is a verdict on one stage of a release.
type Vote struct {
	Release release.ID
	Stage   int
	Verdict Verdict
}
