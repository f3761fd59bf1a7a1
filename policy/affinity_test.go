package policy

import (
	"fmt"
	"strings"
	"testing"
)

// startWithAffinity starts an instance with key affinity and the given cap for the first stage. Its backends run
// release 1, which is released.
func startWithAffinity(backends int, limit float64) (*Instance, *recordingPort) {
	inst, port := startInstance(RequestClass{}, backends)
	inst.configureExposure(ExposureConfig{FreeAttempts: 2, Caps: []float64{limit, 1}, KeyAffinity: true})
	inst.OnReleaseUpdate(2, ReleaseUpdate{Release: 1, Stage: 2, Phase: Released, Cap: 1, HasState: true})
	return inst, port
}

// attemptedBackend returns the backend of the last attempt among some actions, or "".
func attemptedBackend(actions []string) (backend string) {
	for _, line := range actions {
		if strings.HasPrefix(line, "submit ") {
			backend = line[strings.LastIndexByte(line, ' ')+1:]
		}
	}
	return backend
}

// updateEndpoint sends an update of the endpoint list with one backend.
func updateEndpoint(inst *Instance, now float64, id string, release ReleaseID, state EndpointState) {
	inst.OnEndpoints(now, EndpointUpdate{Endpoints: []Endpoint{{ID: id, Release: release, Weight: 1, State: state}}})
}

// rollOut sends an update: the release is rolling out with a cap of 1.
func rollOut(inst *Instance, now float64, release ReleaseID) {
	inst.OnReleaseUpdate(now, ReleaseUpdate{Release: release, Phase: RollingOut, Cap: 1, HasState: true})
}

// rollBack sends an update: the release is rolling back.
func rollBack(inst *Instance, now float64, release ReleaseID) {
	inst.OnReleaseUpdate(now, ReleaseUpdate{Release: release, Phase: RollingBack, Cap: 0, HasState: true})
}

// withdraw sends two updates: the release is rolling out, then it is withdrawn.
func withdraw(inst *Instance, now float64, release ReleaseID) {
	rollOut(inst, now, release)
	inst.OnReleaseUpdate(now+1, ReleaseUpdate{Release: release, Phase: Withdrawn, Cap: 0, HasState: true})
}

// markReleased sends an update: the release is released.
func markReleased(inst *Instance, now float64, release ReleaseID) {
	inst.OnReleaseUpdate(now, ReleaseUpdate{Release: release, Stage: 1, Phase: Released, Cap: 1, HasState: true})
}

// announcedThenListed, listedOnly and withdrawnThenListed are the events before the first response for a key in
// TestAffinityEventOrders. They list backend x, which sends that response, with release 2 or 3.
func announcedThenListed(inst *Instance) {
	rollOut(inst, 5, 2)
	updateEndpoint(inst, 6, "x", 2, EndpointRunning)
}

func listedOnly(inst *Instance) { updateEndpoint(inst, 6, "x", 2, EndpointRunning) }

func withdrawnThenListed(inst *Instance) {
	withdraw(inst, 3, 2)
	updateEndpoint(inst, 6, "x", 3, EndpointRunning)
}

// onlyReleaseTwoListed releases release 2, after which no earlier release is listed for a while.
func onlyReleaseTwoListed(inst *Instance) {
	markReleased(inst, 25, 2)
	inst.OnEndpoints(26, EndpointUpdate{Endpoints: []Endpoint{{ID: "x", Release: 2, Weight: 1}}, Snapshot: true})
	inst.OnTimer(26+2*aggregatesInterval, 0)
}

// releaseThreeRollsBack lets release 3 serve the key as well and then rolls it back.
func releaseThreeRollsBack(inst *Instance) {
	rollOut(inst, 25, 3)
	inst.OnEndpoints(26, EndpointUpdate{Endpoints: []Endpoint{{ID: "x", Release: 2, State: EndpointDraining}, {ID: "y", Release: 3, Weight: 1}}})
	inst.OnRequest(30, Request{ID: "t2", Key: "k", TimeLeft: 4000})
	inst.OnAttemptResult(31, AttemptResult{RequestID: "t2", Status: StatusServed, Final: true, Elapsed: 1})
	rollBack(inst, 32, 3)
}

// A key that a release has served, or may be serving, is not sent to an earlier release, whether the endpoint list or
// the release update arrives first.
func TestAffinityEventOrders(t *testing.T) {
	for _, tc := range []struct {
		name            string
		before          func(inst *Instance) // events before the first response; only x can send it
		after           func(inst *Instance) // events before the second request for the key; only a can serve it
		servedByEarlier bool                 // a may serve the key
	}{
		{"update, list", announcedThenListed, nil, false},
		{"list, no update", listedOnly, nil, false},
		{"list, then update", listedOnly, func(inst *Instance) { rollOut(inst, 25, 2) }, false},
		{"previous withdrawn, list, no update", withdrawnThenListed, nil, false},
		{"previous withdrawn, list, then update", withdrawnThenListed, func(inst *Instance) { rollOut(inst, 25, 3) }, false},
		{"previous withdrawn, list, then previous rolls back", withdrawnThenListed, func(inst *Instance) { rollBack(inst, 25, 2) }, false},
		{"two unannounced releases", listedOnly, func(inst *Instance) { rollOut(inst, 25, 3) }, false},
		{"released, then a new backend of an earlier release", announcedThenListed, onlyReleaseTwoListed, false},
		{"update, list, then rollback", announcedThenListed, func(inst *Instance) { rollBack(inst, 25, 2) }, true},
		{"rollback, then a late vote response from the rollout", announcedThenListed, func(inst *Instance) {
			rollBack(inst, 25, 2)
			inst.OnReleaseUpdate(26, ReleaseUpdate{Release: 2, Phase: RollingOut, Response: VoteCounted, Cap: 1, HasState: true})
		}, true},
		{"the later of two releases rolls back", func(inst *Instance) {
			rollOut(inst, 3, 2)
			markReleased(inst, 4, 2)
			updateEndpoint(inst, 6, "x", 2, EndpointRunning)
		}, releaseThreeRollsBack, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			inst, port := startWithAffinity(1, 1)
			updateEndpoint(inst, 2, "a", 1, EndpointDraining)
			tc.before(inst)
			// The free attempts suffice for the first attempt at a release under a cap.
			inst.OnRequest(10, Request{ID: "t", Key: "k", TimeLeft: 4000})
			if got := attemptedBackend(port.takeActions()); got != "x" {
				t.Fatalf("backend of the first request = %q, want \"x\"", got)
			}
			inst.OnAttemptResult(15, AttemptResult{RequestID: "t", Status: StatusServed, Final: true, Elapsed: 5})
			if tc.after != nil {
				tc.after(inst)
			}
			inst.OnEndpoints(1000, EndpointUpdate{Endpoints: []Endpoint{{ID: "a", Release: 1, Weight: 1}, {ID: "x", Release: 2, State: EndpointRemoved}, {ID: "y", Release: 3, State: EndpointRemoved}}})
			port.takeActions()
			inst.OnRequest(1001, Request{ID: "u", Key: "k", TimeLeft: 4000})
			if got := attemptedBackend(port.takeActions()); (got == "a") != tc.servedByEarlier {
				t.Errorf("backend of the second request = %q; served by a: want %v", got, tc.servedByEarlier)
			}
		})
	}
}

// A backend is listed with another release while an attempt at it is open: either release may have served the key.
func TestAffinityReleaseChangedDuringAttempt(t *testing.T) {
	inst, port := startWithAffinity(2, 1)
	inst.OnEndpoints(3, EndpointUpdate{Endpoints: []Endpoint{{ID: "b", State: EndpointRemoved}}})
	inst.OnRequest(10, Request{ID: "t", Key: "k", TimeLeft: 4000})
	expect(t, "backend of the first request", attemptedBackend(port.takeActions()), "a")
	inst.OnEndpoints(12, EndpointUpdate{Endpoints: []Endpoint{{ID: "a", Release: 2, Weight: 1}}})
	inst.OnAttemptResult(15, AttemptResult{RequestID: "t", Status: StatusServed, Final: true, Elapsed: 5})
	inst.OnEndpoints(16, EndpointUpdate{Endpoints: []Endpoint{{ID: "a", Release: 2, Weight: 1, State: EndpointDraining}, {ID: "b", Release: 1, Weight: 1}}})
	inst.OnRequest(20, Request{ID: "u", Key: "k", TimeLeft: 4000})
	expect(t, "backend of a second request with the key, while only the earlier release is running", attemptedBackend(port.takeActions()), "")
	inst.OnRequest(21, Request{ID: "v", Key: "other", TimeLeft: 4000})
	expect(t, "backend of a request with another key", attemptedBackend(port.takeActions()), "b")
}

// After the next release has been announced, the previous one still has affinity to the keys that it has served, and to
// no others.
func TestAffinityOfPreviousRelease(t *testing.T) {
	inst, port := startWithAffinity(1, 1)
	inst.OnReleaseUpdate(3, ReleaseUpdate{Release: 2, Phase: RollingOut, Cap: 1, HasState: true})
	inst.OnEndpoints(4, EndpointUpdate{Endpoints: []Endpoint{{ID: "a", Release: 1, Weight: 1, State: EndpointDraining}, {ID: "x", Release: 2, Weight: 1}}})
	inst.OnRequest(10, Request{ID: "t", Key: "k", TimeLeft: 4000})
	inst.OnAttemptResult(15, AttemptResult{RequestID: "t", Status: StatusServed, Final: true, Elapsed: 5})
	inst.OnReleaseUpdate(20, ReleaseUpdate{Release: 2, Stage: 1, Phase: Released, Cap: 1, HasState: true})
	inst.OnReleaseUpdate(21, ReleaseUpdate{Release: 3, Phase: RollingOut, Cap: 1, HasState: true})
	inst.OnEndpoints(22, EndpointUpdate{Endpoints: []Endpoint{{ID: "a", Release: 1, Weight: 1}, {ID: "x", Release: 2, Weight: 1, State: EndpointDraining}}})
	port.takeActions()
	for key, want := range map[string]string{"k": "", "other": "a"} {
		inst.OnRequest(30, Request{ID: key, Key: key, TimeLeft: 4000})
		expect(t, key, attemptedBackend(port.takeActions()), want)
	}
}

// MaySend allows an attempt whose connection was established late, unless an event in the meantime forbids it.
func TestMaySend(t *testing.T) {
	for _, tc := range []struct {
		name       string
		meanwhile  func(inst *Instance)
		want       bool
		rollingOut bool // the attempt goes to a release that is rolling out
	}{
		{"no event", func(*Instance) {}, true, false},
		{"backend drains", func(inst *Instance) {
			inst.OnEndpoints(11, EndpointUpdate{Endpoints: []Endpoint{{ID: "a", Release: 1, Weight: 1, State: EndpointDraining}}})
		}, false, false},
		{"backend listed with another release", func(inst *Instance) {
			inst.OnEndpoints(11, EndpointUpdate{Endpoints: []Endpoint{{ID: "a", Release: 2, Weight: 1}}})
		}, false, false},
		{"a later release serves the key", func(inst *Instance) {
			inst.OnEndpoints(11, EndpointUpdate{Endpoints: []Endpoint{{ID: "a", Release: 1, Weight: 1, State: EndpointDraining}, {ID: "x", Release: 2, Weight: 1}}})
			inst.OnRequest(12, Request{ID: "other", Key: "k", TimeLeft: 4000})
			inst.OnAttemptResult(13, AttemptResult{RequestID: "other", Status: StatusServed, Final: true, Elapsed: 1})
			inst.OnEndpoints(14, EndpointUpdate{Endpoints: []Endpoint{{ID: "a", Release: 1, Weight: 1}}})
		}, false, false},
		{"an attempt at a later release is open", func(inst *Instance) {
			inst.OnEndpoints(11, EndpointUpdate{Endpoints: []Endpoint{{ID: "a", Release: 1, Weight: 1, State: EndpointDraining}, {ID: "x", Release: 2, Weight: 1}}})
			inst.OnRequest(12, Request{ID: "other", Key: "k", TimeLeft: 4000})
			inst.OnEndpoints(14, EndpointUpdate{Endpoints: []Endpoint{{ID: "a", Release: 1, Weight: 1}}})
		}, false, false},
		{"rolling out, no event", func(*Instance) {}, true, true},
		{"rolling out, then rolls back", func(inst *Instance) {
			inst.OnReleaseUpdate(11, ReleaseUpdate{Release: 2, Phase: RollingBack, Cap: 0, HasState: true})
		}, false, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			inst, port := startWithAffinity(1, 1)
			want := "a"
			if tc.rollingOut {
				want = "x"
				inst.OnReleaseUpdate(3, ReleaseUpdate{Release: 2, Phase: RollingOut, Cap: 1, HasState: true})
				inst.OnEndpoints(4, EndpointUpdate{Endpoints: []Endpoint{{ID: "a", Release: 1, Weight: 1, State: EndpointDraining}, {ID: "x", Release: 2, Weight: 1}}})
			}
			inst.OnRequest(10, Request{ID: "t", Key: "k", TimeLeft: 4000})
			if got := attemptedBackend(port.takeActions()); got != want {
				t.Fatalf("backend of the first request = %q, want %q", got, want)
			}
			tc.meanwhile(inst)
			expect(t, "MaySend", inst.MaySend("t", 0), tc.want)
		})
	}
}

// A rollout gets the same keys before its first update, after it and after a restart of the process. Another instance
// selects other keys.
func TestRolloutKeys(t *testing.T) {
	selectedKeys := func(seed uint64, index int, announced bool) (set string) {
		inst := New(&recordingPort{}, Config{Seed: seed, Index: index, Instances: 2})
		inst.configureClasses(Config{Classes: []RequestClass{{LatencyObjective: 1000, Timeout: 4000, Value: 1}}, MaxAttempts: 5, ConcurrentAttempts: true, CancelAllowed: true})
		inst.configureExposure(ExposureConfig{FreeAttempts: 2, Caps: []float64{0.5, 1}, KeyAffinity: true})
		inst.OnReleaseUpdate(1, ReleaseUpdate{Release: 2, Phase: Withdrawn, Cap: 0, HasState: true})
		inst.OnEndpoints(2, EndpointUpdate{Endpoints: []Endpoint{{ID: "a", Release: 1, Weight: 1}, {ID: "x", Release: 3, Weight: 1}}, Snapshot: true})
		if announced {
			inst.OnReleaseUpdate(3, ReleaseUpdate{Release: 3, Phase: RollingOut, Cap: 0.5, HasState: true})
		}
		for k := range 64 {
			req := &request{key: fmt.Sprint(k), affinityKey: 1}
			set += fmt.Sprintf("%t ", inst.rolloutPosition(req) < 0.5)
		}
		return set
	}
	early := selectedKeys(7, 0, false)
	expect(t, "keys after the update", selectedKeys(7, 0, true), early)
	expect(t, "keys after a restart", selectedKeys(8, 0, true), early)
	expect(t, "another instance selects other keys", selectedKeys(7, 1, true) != early, true)
}

// A backend with an unknown release may run any release. Its responses give keys affinity to the latest release, it
// serves only keys that the oldest release may serve, and it does not change the selection of keys for the rollout.
func TestAffinityOfUnknownRelease(t *testing.T) {
	listOnly := func(inst *Instance, now float64, id string) {
		list := []Endpoint{{ID: "a", Release: 1, Weight: 1}, {ID: "x", Release: 2, Weight: 1}, {ID: "u", Release: UnknownRelease, Weight: 1}}
		for k := range list {
			if list[k].ID != id {
				list[k].State = EndpointDraining
			}
		}
		inst.OnEndpoints(now, EndpointUpdate{Endpoints: list})
	}
	for _, tc := range []struct {
		first, then string
		serves      bool
	}{{"a", "u", true}, {"x", "u", false}, {"u", "x", true}, {"u", "a", false}, {"u", "u", false}} {
		t.Run(tc.first+" has served, "+tc.then+" is running", func(t *testing.T) {
			inst, port := startWithAffinity(1, 1)
			inst.OnReleaseUpdate(3, ReleaseUpdate{Release: 2, Phase: RollingOut, Cap: 1, HasState: true})
			listOnly(inst, 4, "")
			position := inst.rolloutPosition(&request{key: "k", affinityKey: 1})
			listOnly(inst, 5, tc.first)
			expect(t, "rollout position of the key", inst.rolloutPosition(&request{key: "k", affinityKey: 1}), position)
			inst.OnRequest(10, Request{ID: "t", Key: "k", TimeLeft: 4000})
			expect(t, "backend of the first request", attemptedBackend(port.takeActions()), tc.first)
			inst.OnAttemptResult(15, AttemptResult{RequestID: "t", Status: StatusServed, Final: true, Elapsed: 5})
			listOnly(inst, 20, tc.then)
			inst.OnRequest(30, Request{ID: "v", Key: "k", TimeLeft: 4000})
			expect(t, "second backend serves the key", attemptedBackend(port.takeActions()) == tc.then, tc.serves)
		})
	}
}
