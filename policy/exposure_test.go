package policy

import (
	"fmt"
	"strings"
	"testing"
)

// A release that is rolling out gets at most the free attempts and the cap's share of the requests.
func TestExposureCap(t *testing.T) {
	for _, tc := range []struct {
		name        string
		limit       float64
		phase       Phase
		guarded     int // stages
		semantics   Semantics
		update      ReleaseID // release that the update is about; three backends run release 2
		most, least int       // attempts at release 2 for 100 requests, each served immediately
	}{
		{"cap 0", 0, RollingOut, 0, Safe, 2, 0, 0},
		{"cap 0.1", 0.1, RollingOut, 0, Safe, 2, 12, 2},
		{"withdrawn", 0, Withdrawn, 0, Safe, 2, 0, 0},
		{"guarded stage, non-idempotent", 0.5, RollingOut, 1, NonIdempotent, 2, 0, 0},
		{"guarded stage, safe", 0.5, RollingOut, 1, Safe, 2, 52, 20},
		{"not announced, counts as in the first stage", 1, Released, 0, Safe, 1, 12, 2},
		{"released", 1, Released, 0, Safe, 2, 100, 30},
	} {
		t.Run(tc.name, func(t *testing.T) {
			inst, port := startInstance(RequestClass{LatencyObjective: 1000, Timeout: 4000, Value: 1, Semantics: tc.semantics}, 4)
			inst.configureExposure(ExposureConfig{FreeAttempts: 2, Caps: []float64{0.1, 0.5, 1}, GuardedStages: tc.guarded})
			inst.OnReleaseUpdate(2, ReleaseUpdate{Release: tc.update, Phase: tc.phase, Cap: tc.limit, HasState: true})
			inst.OnEndpoints(3, EndpointUpdate{Endpoints: []Endpoint{{ID: "x", Release: 2, Weight: 1}, {ID: "y", Release: 2, Weight: 1}, {ID: "z", Release: 2, Weight: 4}}})
			attempts := 0
			for k := range 100 {
				id, now := fmt.Sprint(k), 10+float64(k)*20
				inst.OnRequest(now, Request{ID: id, TimeLeft: 4000})
				for _, action := range port.takeActions() {
					if strings.ContainsAny(action[len(action)-1:], "xyz") {
						attempts++
					}
				}
				inst.OnAttemptResult(now+10, AttemptResult{RequestID: id, Status: StatusServed, Final: true, Elapsed: 10})
			}
			if attempts > tc.most || attempts < tc.least {
				t.Errorf("%d attempts at release 2, want %d to %d", attempts, tc.least, tc.most)
			}
		})
	}
}

// A key that a release under a cap has served is not sent to an earlier release until the later one is rolled back.
func TestAffinityUntilRollback(t *testing.T) {
	for _, tc := range []struct {
		phase           Phase
		servedByEarlier bool // an earlier release may serve the key
	}{{RollingOut, false}, {Released, false}, {RollingBack, true}, {Withdrawn, true}} {
		t.Run(tc.phase.String(), func(t *testing.T) {
			inst, port := startInstance(RequestClass{}, 1)
			inst.configureExposure(ExposureConfig{FreeAttempts: 2, Caps: []float64{1}, KeyAffinity: true})
			inst.OnReleaseUpdate(2, ReleaseUpdate{Release: 2, Phase: RollingOut, Cap: 1, HasState: true})
			inst.OnEndpoints(3, EndpointUpdate{Endpoints: []Endpoint{{ID: "x", Release: 2, Weight: 1}, {ID: "a", Release: 1, State: EndpointDraining, Weight: 1}}})
			inst.OnRequest(10, Request{ID: "t", Key: "k", TimeLeft: 4000})
			inst.OnAttemptResult(20, AttemptResult{RequestID: "t", Status: StatusServed, Final: true, Elapsed: 10})
			expect(t, "actions for the first request", port.takeActions(), "[submit t x]")
			inst.OnEndpoints(30, EndpointUpdate{Endpoints: []Endpoint{{ID: "x", Release: 2, State: EndpointDraining, Weight: 1}, {ID: "a", Release: 1, Weight: 1}}})
			inst.OnReleaseUpdate(31, ReleaseUpdate{Release: 2, Phase: tc.phase, Cap: 1, HasState: true})
			inst.OnRequest(40, Request{ID: "u", Key: "k", TimeLeft: 4000})
			expect(t, "second request goes to the earlier release", len(port.takeActions()) == 1, tc.servedByEarlier)
		})
	}
}

// An attempt gives its key affinity whether or not the response was read, and also while it is open. An attempt that
// failed or never ran does not, nor does one that ends after its release began to roll back.
func TestAffinityByStatus(t *testing.T) {
	for _, tc := range []struct {
		status          AttemptStatus // 0: still open
		phase           Phase
		servedByEarlier bool // an earlier release may serve the key
	}{
		{StatusServed, RollingOut, false},
		{StatusReset, RollingOut, false},
		{StatusTimedOut, RollingOut, false},
		{StatusCanceled, RollingOut, false},
		{0, RollingOut, false},
		{StatusErrored, RollingOut, true},
		{StatusRejected, RollingOut, true},
		{StatusConnectFailed, RollingOut, true},
		{0, RollingBack, true},
		{StatusServed, RollingBack, true},
	} {
		t.Run(fmt.Sprintf("status %d, %s", tc.status, tc.phase), func(t *testing.T) {
			inst, port := startInstance(RequestClass{}, 1)
			inst.configureExposure(ExposureConfig{FreeAttempts: 2, Caps: []float64{1}, KeyAffinity: true})
			inst.OnReleaseUpdate(2, ReleaseUpdate{Release: 2, Phase: RollingOut, Cap: 1, HasState: true})
			inst.OnEndpoints(3, EndpointUpdate{Endpoints: []Endpoint{{ID: "x", Release: 2, Weight: 1}, {ID: "a", Release: 1, State: EndpointDraining, Weight: 1}}})
			inst.OnRequest(10, Request{ID: "t", Key: "k", TimeLeft: 400})
			inst.OnReleaseUpdate(15, ReleaseUpdate{Release: 2, Phase: tc.phase, Cap: 1, HasState: true})
			if tc.status != 0 {
				inst.OnAttemptResult(20, AttemptResult{RequestID: "t", Status: tc.status, Final: true, Elapsed: 10})
			}
			expect(t, "action for the first request", port.takeActions()[0], "submit t x")
			inst.OnEndpoints(30, EndpointUpdate{Endpoints: []Endpoint{{ID: "x", Release: 2, State: EndpointDraining, Weight: 1}, {ID: "a", Release: 1, Weight: 1}}})
			inst.OnRequest(40, Request{ID: "u", Key: "k", TimeLeft: 4000})
			expect(t, "second request goes to the earlier release", len(port.takeActions()) == 1, tc.servedByEarlier)
		})
	}
}

// Calls maySendTo directly, without the checks that precede it in the rules. Each case violates one condition.
func TestMaySendTo(t *testing.T) {
	for _, tc := range []struct {
		name    string
		violate func(inst *Instance, req *request)
	}{
		{"non-idempotent, may have run", func(inst *Instance, req *request) {
			inst.classes[0].Semantics = NonIdempotent
			req.attempts = []attempt{{}}
		}},
		{"too many attempts", func(_ *Instance, req *request) { req.attempts = make([]attempt, 5) }},
		{"at its deadline", func(inst *Instance, req *request) { inst.now = req.deadline }},
		{"two attempts open", func(_ *Instance, req *request) { req.openAttempts = 2 }},
		{"one attempt open, concurrent attempts not allowed", func(inst *Instance, req *request) { req.openAttempts, inst.concurrentAttempts = 1, false }},
		{"ended", func(_ *Instance, req *request) { req.ended = true }},
		{"allowance used up", func(inst *Instance, _ *request) {
			inst.allowance.Use(1, 0, inst.now)
			inst.allowance.Use(1, 0, inst.now)
		}},
		{"draining", func(inst *Instance, _ *request) { inst.endpoints.At(0).State = EndpointDraining }},
		{"release rolls back", func(inst *Instance, _ *request) {
			inst.OnReleaseUpdate(3, ReleaseUpdate{Release: 1, Stage: 1, Phase: RollingBack, Cap: 0, HasState: true})
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			inst, _ := startInstance(RequestClass{}, 1)
			inst.OnReleaseUpdate(2, ReleaseUpdate{Release: 1, Stage: 1, Phase: RollingOut, Cap: 0.5, HasState: true})
			req := &request{deadline: 100, relativeWork: 1}
			expect(t, "maySendTo before the violation", inst.maySendTo(req, 0), true)
			tc.violate(inst, req)
			expect(t, "maySendTo after the violation", inst.maySendTo(req, 0), false)
		})
	}
}
