package verdict

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"onyxgate/policy/release"
)

// rollingOut is an evaluator with release 2 in a stage.
func rollingOut(stage int) *Evaluator {
	e := New(Settings{Classes: 1, Stages: []float64{0.1, 0.5, 1}, Control: ControlMajority, RollbackVotes: 1, VoteLifetime: 4000})
	e.StartRollout(0, 2, true, Fleet{Instances: 2})
	e.SetState(stage, release.RollingOut, 0)
	return e
}

func seeded() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// Whether a vote is due, by the desired verdict, what was accepted and the time.
func TestVoteDue(t *testing.T) {
	for _, c := range []struct {
		name      string
		desired   Verdict
		voteState voteState
		want      bool
	}{
		{"none is desired", NoVerdict, voteState{}, false},
		{"promote", Promote, voteState{}, true},
		{"rollback", Rollback, voteState{}, true},
		{"one is out", Promote, voteState{pending: true}, false},
		{"not before", Promote, voteState{notBefore: 1001}, false},
		{"at the time", Promote, voteState{notBefore: 1000}, true},
		{"accepted", Promote, voteState{accepted: Promote, stage: 1, renewAt: 1001}, false},
		{"to be renewed", Promote, voteState{accepted: Promote, stage: 1, renewAt: 1000}, true},
		{"accepted for the stage before", Promote, voteState{accepted: Promote, stage: 0, renewAt: 9000}, true},
		{"rollback accepted in the stage before", Rollback, voteState{accepted: Rollback, stage: 0, renewAt: 9000}, false},
		{"another was accepted", Rollback, voteState{accepted: Promote, stage: 1, renewAt: 9000}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := rollingOut(1)
			e.desired, e.voteState = c.desired, c.voteState
			expect(t, "due", e.VoteDue(1000), c.want)
		})
	}
}

// What each response does to the vote that was out.
func TestVoteResponses(t *testing.T) {
	for _, c := range []struct {
		response      VoteResponse
		accepted      Verdict
		from, to      float64 // the next vote on the same verdict is due not before and not after, ms after the response
		retry         bool
		stringOfState string
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
				expect(t, "vote", e.BeginVote(), Vote{Release: 2, Stage: 1, Verdict: Promote})
				expect(t, "pending", e.VotePending(), true)
				expect(t, "due while it is out", e.VoteDue(1e9), false)
				retryAt, retry := e.OnVoteResponse(10000, c.response, random)
				expect(t, "retry", retry, c.retry)
				expect(t, "retry not before", !retry || retryAt == e.voteState.notBefore, true)
				expect(t, "accepted", e.voteState.accepted, c.accepted)
				expect(t, "pending after the response", e.VotePending(), false)
				expect(t, "due too soon", e.VoteDue(10000+c.from-1), false)
				expect(t, "due", e.VoteDue(10000+c.to), true)
			}
			expect(t, "learned by", c.response, c.stringOfState)
		})
	}
	expect(t, "learned by", NotAVote, "release update")
}

// A response draws one random number, but for one on a release that is no longer the newest: schedules are replayed.
func TestVoteResponseDraws(t *testing.T) {
	for _, response := range []VoteResponse{VoteCounted, VoteRefused, VoteUnanswered, VoteOutdated} {
		for _, newest := range []release.ID{2, 3} {
			t.Run(fmt.Sprint("response ", int(response), ", newest release ", newest), func(t *testing.T) {
				e, random, same := rollingOut(1), seeded(), seeded()
				e.desired = Promote
				e.BeginVote()
				if newest > 2 {
					e.StartRollout(10, newest, false, Fleet{Instances: 2})
				} else {
					same.Float64()
				}
				e.OnVoteResponse(20, response, random)
				expect(t, "the next number", random.Uint64(), same.Uint64())
			})
		}
	}
}

// A response to a vote on the release before is none to one on the release that has come meanwhile.
func TestVoteOnPreviousRelease(t *testing.T) {
	e := rollingOut(0)
	e.desired = Promote
	expect(t, "vote", e.BeginVote().Release, 2)
	e.StartRollout(7, 3, false, Fleet{Instances: 2})
	e.SetState(0, release.RollingOut, 7)
	retryAt, retry := e.OnVoteResponse(8, VoteCounted, seeded())
	expect(t, "retry", fmt.Sprint(retryAt, retry), "0 false")
	expect(t, "accepted for release 3", e.voteState.accepted, NoVerdict)
	expect(t, "newest", e.Release(), 3)
	e.desired = Promote
	expect(t, "due", e.VoteDue(9), true)
	expect(t, "vote on release 3", e.BeginVote(), Vote{Release: 3, Stage: 0, Verdict: Promote})
}
