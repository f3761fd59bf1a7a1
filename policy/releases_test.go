package policy

import (
	"fmt"
	"strings"
	"testing"

	"onyxgate/policy/verdict"
)

// What a release does is evidence on itself alone: one whose news is to come or that has been taken off counts for no other.
func TestEvidenceByRelease(t *testing.T) {
	for _, c := range []struct {
		name       string
		news       func(inst *Instance)
		release    ReleaseID
		old, newer int // outcomes on record
	}{
		{"the newest", func(inst *Instance) {
			inst.OnReleaseUpdate(5, ReleaseUpdate{Release: 2, Phase: RollingOut, Cap: 0.5, Known: true})
		}, 2, 0, 1},
		{"the one before", func(inst *Instance) {
			inst.OnReleaseUpdate(5, ReleaseUpdate{Release: 2, Phase: RollingOut, Cap: 0.5, Known: true})
		}, 1, 1, 0},
		{"its news is to come", func(inst *Instance) {}, 2, 0, 0},
		{"it was withdrawn, and the next one came", func(inst *Instance) {
			inst.OnReleaseUpdate(5, ReleaseUpdate{Release: 2, Phase: Withdrawn, Cap: 0, Known: true})
			inst.OnReleaseUpdate(6, ReleaseUpdate{Release: 3, Phase: RollingOut, Cap: 0.5, Known: true})
		}, 2, 0, 0},
	} {
		inst, _ := startWithAffinity(1, 0.5)
		c.news(inst)
		inst.addEvidence(c.release, 0, verdict.Outcome{EndedAt: 10, Latency: 5})
		got := []int{inst.evaluator.OutcomeCount(verdict.Baseline), inst.evaluator.OutcomeCount(verdict.Candidate)}
		expect(t, c.name, got, []int{c.old, c.newer})
	}
}

// An answer to a vote on the release before is no vote on the one that has come meanwhile.
func TestVoteOnReleaseBefore(t *testing.T) {
	inst, port := startWithAffinity(1, 0.5)
	failing := func(now float64, id string, release ReleaseID) {
		inst.OnEndpoints(now, EndpointUpdate{Endpoints: []Endpoint{{ID: id, Release: release, Weight: 1}}})
		backend, _ := inst.endpoints.Find(id)
		for range 20 {
			inst.addEvidence(release, 0, verdict.Outcome{EndedAt: now, Latency: 5, Failed: true, Backend: backend})
		}
	}
	inst.OnReleaseUpdate(5, ReleaseUpdate{Release: 2, Phase: RollingOut, Cap: 0.5, Known: true})
	failing(6, "x", 2)
	inst.OnTimer(6+evaluationInterval, 0)
	if did := fmt.Sprint(port.take()); !strings.Contains(did, "vote 2 3 0") {
		t.Fatalf("no vote: %s", did)
	}
	inst.OnReleaseUpdate(300, ReleaseUpdate{Release: 3, Phase: RollingOut, Cap: 0.5, Known: true})
	inst.OnReleaseUpdate(301, ReleaseUpdate{Release: 2, Phase: RollingOut, Response: VoteCounted, Cap: 0.5, Known: true})
	expect(t, "newest", inst.evaluator.Release(), 3)
	if did := fmt.Sprint(port.take()); strings.Contains(did, "vote") {
		t.Errorf("voted on release 3 before anything was seen of it: %s", did)
	}
	// Had the response counted for release 3, its rollback vote would be accepted already and none would go out.
	failing(302, "y", 3)
	inst.OnTimer(302+evaluationInterval, 0)
	if did := fmt.Sprint(port.take()); !strings.Contains(did, "vote 3 3 0") {
		t.Errorf("no vote on release 3: %s", did)
	}
}
