package policy

import (
	"fmt"
	"strings"
	"testing"
)

// In no stretch of time do more than free + cap x txns go to a build on trial.
func TestExposure(t *testing.T) {
	for _, tc := range []struct {
		name        string
		limit       float64
		phase       Phase
		guarded     int
		effect      Semantics
		news        ReleaseID // build of the news; the machines run 2
		most, least int       // submissions at it of 100 txns, each settled at once
	}{
		{"cap 0", 0, RollingOut, 0, Safe, 2, 0, 0},
		{"cap 0.1", 0.1, RollingOut, 0, Safe, 2, 12, 2},
		{"withdrawn", 0, Withdrawn, 0, Safe, 2, 0, 0},
		{"guarded stage, with an effect", 0.5, RollingOut, 1, NonIdempotent, 2, 0, 0},
		{"guarded stage, inquiry-like", 0.5, RollingOut, 1, Safe, 2, 52, 20},
		{"not announced: first stage", 1, Released, 0, Safe, 1, 12, 2},
		{"released", 1, Released, 0, Safe, 2, 100, 30},
	} {
		t.Run(tc.name, func(t *testing.T) {
			inst, port := startInstance(RequestClass{LatencyObjective: 1000, Timeout: 4000, Value: 1, Semantics: tc.effect}, 4)
			inst.configureExposure(ExposureConfig{FreeAttempts: 2, Caps: []float64{0.1, 0.5, 1}, GuardedStages: tc.guarded})
			inst.OnReleaseUpdate(2, ReleaseUpdate{Release: tc.news, Phase: tc.phase, Cap: tc.limit, Known: true})
			inst.OnEndpoints(3, EndpointUpdate{Endpoints: []Endpoint{{ID: "x", Release: 2, Weight: 1}, {ID: "y", Release: 2, Weight: 1}, {ID: "z", Release: 2, Weight: 4}}})
			n := 0
			for k := range 100 {
				id, now := fmt.Sprint(k), 10+float64(k)*20
				inst.OnRequest(now, Request{ID: id, TimeLeft: 4000})
				for _, did := range port.take() {
					if strings.ContainsAny(did[len(did)-1:], "xyz") {
						n++
					}
				}
				inst.OnAttemptResult(now+10, AttemptResult{RequestID: id, Status: StatusServed, Final: true, Took: 10})
			}
			if n > tc.most || n < tc.least {
				t.Errorf("%d submissions, want %d to %d", n, tc.least, tc.most)
			}
		})
	}
}

// A key that the trial build has settled goes to no earlier build until that build goes back.
func TestKeysStay(t *testing.T) {
	for _, tc := range []struct {
		phase Phase
		open  bool // an earlier build may serve the key
	}{{RollingOut, false}, {Released, false}, {RollingBack, true}, {Withdrawn, true}} {
		t.Run(tc.phase.String(), func(t *testing.T) {
			inst, port := startInstance(RequestClass{}, 1)
			inst.configureExposure(ExposureConfig{FreeAttempts: 2, Caps: []float64{1}, KeyAffinity: true})
			inst.OnReleaseUpdate(2, ReleaseUpdate{Release: 2, Phase: RollingOut, Cap: 1, Known: true})
			inst.OnEndpoints(3, EndpointUpdate{Endpoints: []Endpoint{{ID: "x", Release: 2, Weight: 1}, {ID: "a", Release: 1, State: EndpointDraining, Weight: 1}}})
			inst.OnRequest(10, Request{ID: "t", Key: "k", TimeLeft: 4000})
			inst.OnAttemptResult(20, AttemptResult{RequestID: "t", Status: StatusServed, Final: true, Took: 10})
			expect(t, "first", port.take(), "[submit t x]")
			inst.OnEndpoints(30, EndpointUpdate{Endpoints: []Endpoint{{ID: "x", Release: 2, State: EndpointDraining, Weight: 1}, {ID: "a", Release: 1, Weight: 1}}})
			inst.OnReleaseUpdate(31, ReleaseUpdate{Release: 2, Phase: tc.phase, Cap: 1, Known: true})
			inst.OnRequest(40, Request{ID: "u", Key: "k", TimeLeft: 4000})
			expect(t, fmt.Sprint("phase ", tc.phase), len(port.take()) == 1, tc.open)
		})
	}
}

// Whether an answer was read or not, and while it may still come, its key stays; one that failed or never ran binds
// nothing, nor does one that ends after its build was called back.
func TestKeysUnread(t *testing.T) {
	for _, tc := range []struct {
		result AttemptStatus // 0: still out
		phase  Phase
		open   bool // an earlier build may serve the key
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
		t.Run(fmt.Sprintf("status %d, %s", tc.result, tc.phase), func(t *testing.T) {
			inst, port := startInstance(RequestClass{}, 1)
			inst.configureExposure(ExposureConfig{FreeAttempts: 2, Caps: []float64{1}, KeyAffinity: true})
			inst.OnReleaseUpdate(2, ReleaseUpdate{Release: 2, Phase: RollingOut, Cap: 1, Known: true})
			inst.OnEndpoints(3, EndpointUpdate{Endpoints: []Endpoint{{ID: "x", Release: 2, Weight: 1}, {ID: "a", Release: 1, State: EndpointDraining, Weight: 1}}})
			inst.OnRequest(10, Request{ID: "t", Key: "k", TimeLeft: 400})
			inst.OnReleaseUpdate(15, ReleaseUpdate{Release: 2, Phase: tc.phase, Cap: 1, Known: true})
			if tc.result != 0 {
				inst.OnAttemptResult(20, AttemptResult{RequestID: "t", Status: tc.result, Final: true, Took: 10})
			}
			expect(t, "first", port.take()[0], "submit t x")
			inst.OnEndpoints(30, EndpointUpdate{Endpoints: []Endpoint{{ID: "x", Release: 2, State: EndpointDraining, Weight: 1}, {ID: "a", Release: 1, Weight: 1}}})
			inst.OnRequest(40, Request{ID: "u", Key: "k", TimeLeft: 4000})
			expect(t, fmt.Sprint("result ", tc.result, ", phase ", tc.phase), len(port.take()) == 1, tc.open)
		})
	}
}

// The guard by itself, each case one step beyond a rule; the rules list above it may change.
func TestGuard(t *testing.T) {
	for _, tc := range []struct {
		name  string
		spoil func(inst *Instance, x *request)
	}{
		{"once-only, may have run", func(inst *Instance, x *request) {
			inst.classes[0].Semantics = NonIdempotent
			x.attempts = []attempt{{}}
		}},
		{"too many submissions", func(inst *Instance, x *request) { x.attempts = make([]attempt, 5) }},
		{"past its expiry", func(inst *Instance, x *request) { inst.now = x.deadline }},
		{"two out", func(inst *Instance, x *request) { x.openAttempts = 2 }},
		{"one out, no copies allowed", func(inst *Instance, x *request) { x.openAttempts, inst.concurrentAttempts = 1, false }},
		{"ended", func(inst *Instance, x *request) { x.ended = true }},
		{"allowance used up", func(inst *Instance, x *request) {
			inst.allowance.Use(1, 0, inst.now)
			inst.allowance.Use(1, 0, inst.now)
		}},
		{"draining", func(inst *Instance, x *request) { inst.endpoints.At(0).State = EndpointDraining }},
		{"its release goes back", func(inst *Instance, x *request) {
			inst.OnReleaseUpdate(3, ReleaseUpdate{Release: 1, Stage: 1, Phase: RollingBack, Cap: 0, Known: true})
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			inst, _ := startInstance(RequestClass{}, 1)
			inst.OnReleaseUpdate(2, ReleaseUpdate{Release: 1, Stage: 1, Phase: RollingOut, Cap: 0.5, Known: true})
			x := &request{deadline: 100, relativeWork: 1}
			expect(t, "before: "+tc.name, inst.maySendTo(x, 0), true)
			tc.spoil(inst, x)
			expect(t, tc.name, inst.maySendTo(x, 0), false)
		})
	}
}
