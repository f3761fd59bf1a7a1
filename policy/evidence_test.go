package policy

import (
	"fmt"
	"strings"
	"testing"

	"onyxgate/policy/verdict"
)

// If the instance stalled, the duration of an attempt that ended meanwhile is no evidence against the backend or the
// release.
func TestStallIsNoEvidence(t *testing.T) {
	for _, tc := range []struct {
		name    string
		stalled bool
		want    int // outcomes in evidence
	}{{"running", false, 1}, {"stalled", true, 0}} {
		t.Run(tc.name, func(t *testing.T) {
			inst, port := startInstance(RequestClass{}, 1)
			inst.OnReleaseUpdate(2, ReleaseUpdate{Release: 1, Phase: RollingOut, Cap: 1, HasState: true})
			inst.OnRequest(10, Request{ID: "t", TimeLeft: 4000})
			port.takeActions()
			for now := 20.0; now < 900 && !tc.stalled; now += 20 {
				inst.OnTimer(now, inst.timers.token)
			}
			inst.OnAttemptResult(900, AttemptResult{RequestID: "t", Status: StatusServed, Final: true, Elapsed: 890})
			expect(t, "outcomes", inst.evaluator.OutcomeCount(verdict.Candidate), tc.want)
		})
	}
}

// Outcomes received from other instances count as evidence like those of this instance; malformed and unknown ones are
// ignored.
func TestPeerMessages(t *testing.T) {
	sender, port := startInstance(RequestClass{}, 3)
	sender.instances, sender.index = 300, 7
	sender.peerMessages = true
	sender.OnReleaseUpdate(2, ReleaseUpdate{Release: 1, Phase: RollingOut, Cap: 1, HasState: true})
	sender.OnRequest(10, Request{ID: "t", TimeLeft: 4000})
	sender.OnAttemptResult(60, AttemptResult{RequestID: "t", Status: StatusServed, Final: true, Elapsed: 50})
	var message []byte
	for _, action := range port.takeActions() {
		if !strings.HasPrefix(action, "tell 0 ") {
			continue
		}
		if _, err := fmt.Sscanf(action, "tell 0 %x", &message); err != nil {
			t.Fatalf("message to instance 0 in action %q: %v", action, err)
		}
	}
	for _, tc := range []struct {
		name    string
		message []byte
		want    int // outcomes in evidence
	}{
		{"complete", message, 1},
		{"truncated", message[:9], 0},
		{"empty", nil, 0},
		{"unknown backend", append([]byte{1, 2, 3, 4}, message[4:]...), 0},
		{"unknown class", append(append([]byte{}, message[:6]...), append([]byte{9}, message[7:]...)...), 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			receiver, _ := startInstance(RequestClass{}, 3)
			receiver.OnReleaseUpdate(2, ReleaseUpdate{Release: 1, Phase: RollingOut, Cap: 1, HasState: true})
			receiver.OnMessage(70, tc.message)
			expect(t, "outcomes", receiver.evaluator.OutcomeCount(verdict.Candidate), tc.want)
		})
	}
}

// An outcome is evidence only on the release that it was recorded for: outcomes of releases that are withdrawn or not
// yet announced count for no other release.
func TestEvidenceByRelease(t *testing.T) {
	for _, tc := range []struct {
		name                string
		updates             func(inst *Instance)
		release             ReleaseID
		baseline, candidate int // outcomes in evidence
	}{
		{"newest release", func(inst *Instance) {
			inst.OnReleaseUpdate(5, ReleaseUpdate{Release: 2, Phase: RollingOut, Cap: 0.5, HasState: true})
		}, 2, 0, 1},
		{"previous release", func(inst *Instance) {
			inst.OnReleaseUpdate(5, ReleaseUpdate{Release: 2, Phase: RollingOut, Cap: 0.5, HasState: true})
		}, 1, 1, 0},
		{"before its first update", func(*Instance) {}, 2, 0, 0},
		{"withdrawn, next release announced", func(inst *Instance) {
			inst.OnReleaseUpdate(5, ReleaseUpdate{Release: 2, Phase: Withdrawn, Cap: 0, HasState: true})
			inst.OnReleaseUpdate(6, ReleaseUpdate{Release: 3, Phase: RollingOut, Cap: 0.5, HasState: true})
		}, 2, 0, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			inst, _ := startWithAffinity(1, 0.5)
			tc.updates(inst)
			inst.addEvidence(tc.release, 0, verdict.Outcome{EndedAt: 10, Latency: 5})
			got := []int{inst.evaluator.OutcomeCount(verdict.Baseline), inst.evaluator.OutcomeCount(verdict.Candidate)}
			expect(t, "baseline and candidate outcomes", got, []int{tc.baseline, tc.candidate})
		})
	}
}
