package verdict

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"onyxgate/policy/release"
)

// rollingOut returns an Evaluator with release 2 in the given stage.
func rollingOut(stage int) *Evaluator {
	e := New(Settings{Classes: 1, Stages: []float64{0.1, 0.5, 1}, Control: ControlMajority, RollbackVotes: 1, VoteLifetime: 4000})
	e.StartRollout(0, 2, true, Fleet{Instances: 2})
	e.SetState(stage, release.RollingOut, 0)
	return e
}

// seeded returns a generator that always draws the same numbers.
func seeded() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// Whether a vote is due depends on the desired verdict, the state of the last vote and the time.
func TestVoteDue(t *testing.T) {
	for _, c := range []struct {
		name      string
		desired   Verdict
		voteState voteState
		want      bool
	}{
		{"no verdict desired", NoVerdict, voteState{}, false},
		{"promote", Promote, voteState{}, true},
		{"rollback", Rollback, voteState{}, true},
		{"vote pending", Promote, voteState{pending: true}, false},
		{"before notBefore", Promote, voteState{notBefore: 1001}, false},
		{"at notBefore", Promote, voteState{notBefore: 1000}, true},
		{"already accepted", Promote, voteState{accepted: Promote, stage: 1, renewAt: 1001}, false},
		{"renewal due", Promote, voteState{accepted: Promote, stage: 1, renewAt: 1000}, true},
		{"accepted for the previous stage", Promote, voteState{accepted: Promote, stage: 0, renewAt: 9000}, true},
		{"rollback accepted in the previous stage", Rollback, voteState{accepted: Rollback, stage: 0, renewAt: 9000}, false},
		{"different verdict accepted", Rollback, voteState{accepted: Promote, stage: 1, renewAt: 9000}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := rollingOut(1)
			e.desired, e.voteState = c.desired, c.voteState
			expect(t, "VoteDue(1000)", e.VoteDue(1000), c.want)
		})
	}
}

// TestVoteResponses checks the effect of each response on the pending vote.
func TestVoteResponses(t *testing.T) {
	for _, c := range []struct {
		response VoteResponse
		accepted Verdict
		from, to float64 // ms after the response between which the next vote on the same verdict becomes due
		retry    bool
		text     string
	}{
		{VoteCounted, Promote, 2800, 3600, false, "vote response"},
		{VoteRefused, NoVerdict, 150, 450, true, "vote response"},
		{VoteUnanswered, NoVerdict, 150, 450, true, "vote response"},
		{VoteOutdated, NoVerdict, 1500, 4500, true, "vote response"},
	} {
		t.Run(fmt.Sprint("response ", int(c.response)), func(t *testing.T) {
			e, random := rollingOut(1), seeded()
			for range 100 {
				e.desired, e.voteState = Promote, voteState{}
				expect(t, "BeginVote", e.BeginVote(), Vote{Release: 2, Stage: 1, Verdict: Promote})
				expect(t, "VotePending after BeginVote", e.VotePending(), true)
				expect(t, "VoteDue while the vote is pending", e.VoteDue(1e9), false)
				retryAt, retry := e.OnVoteResponse(10000, c.response, random)
				expect(t, "retry", retry, c.retry)
				expect(t, "no retry, or retryAt equals notBefore", !retry || retryAt == e.voteState.notBefore, true)
				expect(t, "accepted verdict", e.voteState.accepted, c.accepted)
				expect(t, "VotePending after the response", e.VotePending(), false)
				expect(t, "VoteDue just before the earliest time", e.VoteDue(10000+c.from-1), false)
				expect(t, "VoteDue at the latest time", e.VoteDue(10000+c.to), true)
			}
			expect(t, "String of the response", c.response, c.text)
		})
	}
	expect(t, "String of NotAVote", NotAVote, "release update")
}

// Each response draws one random number, except a response to a vote on a release that is no longer the newest.
// Replay tests depend on the number of draws.
func TestVoteResponseDraws(t *testing.T) {
	for _, response := range []VoteResponse{VoteCounted, VoteRefused, VoteUnanswered, VoteOutdated} {
		for _, newest := range []release.ID{2, 3} {
			t.Run(fmt.Sprint("response ", int(response), ", newest release ", newest), func(t *testing.T) {
				e, random, expected := rollingOut(1), seeded(), seeded()
				e.desired = Promote
				e.BeginVote()
				if newest > 2 {
					e.StartRollout(10, newest, false, Fleet{Instances: 2})
				} else {
					expected.Float64()
				}
				e.OnVoteResponse(20, response, random)
				expect(t, "next random number", random.Uint64(), expected.Uint64())
			})
		}
	}
}

// A response to a vote on the previous release does not affect votes on a release announced in the meantime.
func TestVoteOnPreviousRelease(t *testing.T) {
	e := rollingOut(0)
	e.desired = Promote
	expect(t, "release of the first vote", e.BeginVote().Release, 2)
	e.StartRollout(7, 3, false, Fleet{Instances: 2})
	e.SetState(0, release.RollingOut, 7)
	retryAt, retry := e.OnVoteResponse(8, VoteCounted, seeded())
	expect(t, "retryAt and retry", fmt.Sprint(retryAt, retry), "0 false")
	expect(t, "accepted verdict for release 3", e.voteState.accepted, NoVerdict)
	expect(t, "newest release", e.Release(), 3)
	e.desired = Promote
	expect(t, "VoteDue(9)", e.VoteDue(9), true)
	expect(t, "vote on release 3", e.BeginVote(), Vote{Release: 3, Stage: 0, Verdict: Promote})
}
