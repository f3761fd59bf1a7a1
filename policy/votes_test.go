package policy

import (
	"fmt"
	"strings"
	"testing"

	"onyxgate/policy/verdict"
)

// When the instance votes, and how it answers the platform's responses.
func TestVotes(t *testing.T) {
	for _, tc := range []struct {
		name      string
		control   RolloutControl
		responses []VoteResponse // to the votes in turn; the last one to all that follow
		failEvery int            // of the requests at the newest release; 0: none fails
		want      string         // the first vote
		from      float64        // ms, no vote sooner
		votes     int            // at the most until 20 s
	}{
		{"a good release", ControlMajority, []VoteResponse{VoteCounted}, 0, "vote 2 1 0", 4000, 6},
		{"a good release on a clock", ControlTimed, []VoteResponse{VoteCounted}, 0, "", 0, 0},
		{"a bad release", ControlMajority, []VoteResponse{VoteCounted}, 2, "vote 2 3 0", 1000, 9},
		{"a bad release on a clock", ControlTimed, []VoteResponse{VoteCounted}, 2, "vote 2 3 0", 1000, 9},
		{"refused, unanswered, then counted", ControlMajority, []VoteResponse{VoteRefused, VoteUnanswered, VoteCounted}, 0, "vote 2 1 0", 4000, 8},
	} {
		t.Run(tc.name, func(t *testing.T) {
			inst, port := startInstance(RequestClass{}, 9)
			inst.configureRollout(RolloutConfig{Stages: []float64{0.1, 1}, Control: tc.control, RollbackVotes: 1, VoteLifetime: 4000})
			platform := &votingPlatform{inst: inst, port: port, responses: tc.responses, failEvery: tc.failEvery}
			platform.play()
			if platform.first != tc.want || platform.firstAt < tc.from && tc.want != "" || platform.votes > tc.votes {
				t.Errorf("%q at %v, %d votes", platform.first, platform.firstAt, platform.votes)
			}
		})
	}
}

// votingPlatform rolls out release 2, answers votes, and serves or fails requests.
type votingPlatform struct {
	inst      *Instance
	port      *recordingPort
	responses []VoteResponse
	failEvery int
	votes     int
	first     string // vote
	firstAt   float64
}

// play sends a request each 10 ms, for 19 s.
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

// answer answers one action: a vote, or an attempt for the request of a number.
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

// A response to a vote on the release before says nothing of a vote on the one that was announced meanwhile.
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
		t.Fatalf("no vote: %s", actions)
	}
	inst.OnReleaseUpdate(300, ReleaseUpdate{Release: 3, Phase: RollingOut, Cap: 0.5, HasState: true})
	inst.OnReleaseUpdate(301, ReleaseUpdate{Release: 2, Phase: RollingOut, Response: VoteCounted, Cap: 0.5, HasState: true})
	expect(t, "newest", inst.evaluator.Release(), 3)
	if actions := fmt.Sprint(port.takeActions()); strings.Contains(actions, "vote") {
		t.Errorf("voted on release 3 before anything was seen of it: %s", actions)
	}
	// Had the response counted for release 3, its rollback vote would be accepted already and none would go out.
	addFailures(302, "y", 3)
	inst.OnTimer(302+evaluationInterval, 0)
	if actions := fmt.Sprint(port.takeActions()); !strings.Contains(actions, "vote 3 3 0") {
		t.Errorf("no vote on release 3: %s", actions)
	}
}
