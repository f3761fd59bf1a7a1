package policy

import (
	"fmt"
	"strings"
	"testing"

	"onyxgate/policy/verdict"
)

// When the instance votes, and how it handles the platform's responses.
func TestVotes(t *testing.T) {
	for _, tc := range []struct {
		name      string
		control   RolloutControl
		responses []VoteResponse // to the votes in order; the last one applies to all later votes
		failEvery int            // every how many requests at the newest release fail; 0: none
		want      string         // the first vote
		from      float64        // ms, earliest time of the first vote
		votes     int            // maximum number within 20 s
	}{
		{"good release", ControlMajority, []VoteResponse{VoteCounted}, 0, "vote 2 1 0", 4000, 6},
		{"good release, timed", ControlTimed, []VoteResponse{VoteCounted}, 0, "", 0, 0},
		{"bad release", ControlMajority, []VoteResponse{VoteCounted}, 2, "vote 2 3 0", 1000, 9},
		{"bad release, timed", ControlTimed, []VoteResponse{VoteCounted}, 2, "vote 2 3 0", 1000, 9},
		{"refused, unanswered, then counted", ControlMajority, []VoteResponse{VoteRefused, VoteUnanswered, VoteCounted}, 0, "vote 2 1 0", 4000, 8},
	} {
		t.Run(tc.name, func(t *testing.T) {
			inst, port := startInstance(RequestClass{}, 9)
			inst.configureRollout(RolloutConfig{Stages: []float64{0.1, 1}, Control: tc.control, RollbackVotes: 1, VoteLifetime: 4000})
			platform := &votingPlatform{inst: inst, port: port, responses: tc.responses, failEvery: tc.failEvery}
			platform.play()
			if platform.first != tc.want || platform.firstAt < tc.from && tc.want != "" || platform.votes > tc.votes {
				t.Errorf("first vote %q at %v ms, want %q at %v ms or later; %d votes, want at most %d",
					platform.first, platform.firstAt, tc.want, tc.from, platform.votes, tc.votes)
			}
		})
	}
}

// votingPlatform rolls out release 2, responds to votes, and serves or fails requests.
type votingPlatform struct {
	inst      *Instance
	port      *recordingPort
	responses []VoteResponse
	failEvery int
	votes     int
	first     string // the first vote
	firstAt   float64
}

// play sends a request every 10 ms for 19 s.
func (platform *votingPlatform) play() {
	platform.inst.OnReleaseUpdate(900, ReleaseUpdate{Release: 2, Phase: RollingOut, Cap: 0.3, HasState: true})
	platform.inst.OnEndpoints(1001, EndpointUpdate{Endpoints: []Endpoint{{ID: "x", Release: 2, Weight: 1, StartedAt: 1000}}})
	for k := range 1900 {
		now := 1010 + float64(k)*10
		platform.inst.OnRequest(now, Request{ID: fmt.Sprint(k), TimeLeft: 4000})
		for _, action := range platform.port.takeActions() {
			platform.answer(now, k, action)
		}
	}
}

// answer handles one action: a vote, or an attempt of request k.
func (platform *votingPlatform) answer(now float64, k int, action string) {
	id := fmt.Sprint(k)
	switch {
	case strings.HasPrefix(action, "vote"):
		if platform.votes == 0 {
			platform.first, platform.firstAt = action, now
		}
		response := platform.responses[min(platform.votes, len(platform.responses)-1)]
		platform.votes++
		platform.inst.OnReleaseUpdate(now, ReleaseUpdate{Release: 2, Phase: RollingOut, Response: response, Cap: 0.3, Age: now - 900, HasState: response == VoteCounted})
	case strings.HasPrefix(action, "submit "+id+" x") && platform.failEvery > 0 && k%platform.failEvery == 0:
		platform.inst.OnAttemptResult(now+5, AttemptResult{RequestID: id, Status: StatusErrored, Final: true, Elapsed: 5})
	case strings.HasPrefix(action, "submit"):
		platform.inst.OnAttemptResult(now+5, AttemptResult{RequestID: id, Status: StatusServed, Final: true, Elapsed: 50 + float64(k*37%101)})
	}
}

// The response to a vote on the previous release must not be taken as the response to a vote on the newest one.
func TestVoteResponseForPreviousRelease(t *testing.T) {
	inst, port := startWithAffinity(1, 0.5)
	addFailures := func(now float64, id string, release ReleaseID) {
		inst.OnEndpoints(now, EndpointUpdate{Endpoints: []Endpoint{{ID: id, Release: release, Weight: 1}}})
		backend, _ := inst.endpoints.Find(id)
		for range 20 {
			inst.addEvidence(release, 0, verdict.Outcome{EndedAt: now, Latency: 5, Failed: true, Backend: backend})
		}
	}
	inst.OnReleaseUpdate(5, ReleaseUpdate{Release: 2, Phase: RollingOut, Cap: 0.5, HasState: true})
	addFailures(6, "x", 2)
	inst.OnTimer(6+evaluationInterval, 0)
	if actions := fmt.Sprint(port.takeActions()); !strings.Contains(actions, "vote 2 3 0") {
		t.Fatalf("actions = %s, want a rollback vote on release 2 (\"vote 2 3 0\")", actions)
	}
	inst.OnReleaseUpdate(300, ReleaseUpdate{Release: 3, Phase: RollingOut, Cap: 0.5, HasState: true})
	inst.OnReleaseUpdate(301, ReleaseUpdate{Release: 2, Phase: RollingOut, Response: VoteCounted, Cap: 0.5, HasState: true})
	expect(t, "newest release", inst.evaluator.Release(), 3)
	if actions := fmt.Sprint(port.takeActions()); strings.Contains(actions, "vote") {
		t.Errorf("actions = %s, want no vote on release 3 without evidence", actions)
	}
	// If the response had counted for release 3, its rollback vote would already be accepted and would not be sent.
	addFailures(302, "y", 3)
	inst.OnTimer(302+evaluationInterval, 0)
	if actions := fmt.Sprint(port.takeActions()); !strings.Contains(actions, "vote 3 3 0") {
		t.Errorf("actions = %s, want a rollback vote on release 3 (\"vote 3 3 0\")", actions)
	}
}
