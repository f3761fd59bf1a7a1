package policy

import (
	"fmt"
	"strings"
	"testing"
)

// startWithAffinity starts an instance with key affinity, with backends of release 1, which is released, and a cap for the first stage.
func startWithAffinity(backends int, limit float64) (*Instance, *recordingPort) {
	inst, port := startInstance(RequestClass{}, backends)
	inst.configureExposure(ExposureConfig{FreeAttempts: 2, Caps: []float64{limit, 1}, KeyAffinity: true})
	inst.OnReleaseUpdate(2, ReleaseUpdate{Release: 1, Stage: 2, Phase: Released, Cap: 1, HasState: true})
	return inst, port
}

// attemptedBackend is the backend to which the last attempt among some actions goes; empty: there is none.
func attemptedBackend(actions []string) (backend string) {
	for _, line := range actions {
		if strings.HasPrefix(line, "submit ") {
			backend = line[strings.LastIndexByte(line, ' ')+1:]
		}
	}
	return backend
}

// list lists one backend.
func updateEndpoint(inst *Instance, now float64, id string, release ReleaseID, state EndpointState) {
	inst.OnEndpoints(now, EndpointUpdate{Endpoints: []Endpoint{{ID: id, Release: release, Weight: 1, State: state}}})
}

// rollOut sends an update by which a release rolls out with a cap of 1.
func rollOut(inst *Instance, now float64, release ReleaseID) {
	inst.OnReleaseUpdate(now, ReleaseUpdate{Release: release, Phase: RollingOut, Cap: 1, HasState: true})
}

// rollBack sends an update by which a release rolls back.
func rollBack(inst *Instance, now float64, release ReleaseID) {
	inst.OnReleaseUpdate(now, ReleaseUpdate{Release: release, Phase: RollingBack, Cap: 0, HasState: true})
}

// withdraw sends two updates by which a release rolls out and is withdrawn.
func withdraw(inst *Instance, now float64, release ReleaseID) {
	rollOut(inst, now, release)
	inst.OnReleaseUpdate(now+1, ReleaseUpdate{Release: release, Phase: Withdrawn, Cap: 0, HasState: true})
}

// finish sends an update by which a release is released.
func markReleased(inst *Instance, now float64, release ReleaseID) {
	inst.OnReleaseUpdate(now, ReleaseUpdate{Release: release, Stage: 1, Phase: Released, Cap: 1, HasState: true})
}

// announcedThenListed, listedOnly and withdrawnThenListed are what comes before a key's first answer in TestAffinityCrossings: backend x is
// there to give it, of release 2 or 3.
func announcedThenListed(inst *Instance) {
	rollOut(inst, 5, 2)
	updateEndpoint(inst, 6, "x", 2, EndpointRunning)
}

func listedOnly(inst *Instance) { updateEndpoint(inst, 6, "x", 2, EndpointRunning) }

func withdrawnThenListed(inst *Instance) {
	withdraw(inst, 3, 2)
	updateEndpoint(inst, 6, "x", 3, EndpointRunning)
}

// onlyReleaseTwoListed: release 2 is released, and no earlier one is listed for a while.
func onlyReleaseTwoListed(inst *Instance) {
	markReleased(inst, 25, 2)
	inst.OnEndpoints(26, EndpointUpdate{Endpoints: []Endpoint{{ID: "x", Release: 2, Weight: 1}}, Snapshot: true})
	inst.OnTimer(26+2*aggregatesInterval, 0)
}

// releaseThreeRollsBack: release 3 answers the key too, and rolls back.
func releaseThreeRollsBack(inst *Instance) {
	rollOut(inst, 25, 3)
	inst.OnEndpoints(26, EndpointUpdate{Endpoints: []Endpoint{{ID: "x", Release: 2, State: EndpointDraining}, {ID: "y", Release: 3, Weight: 1}}})
	inst.OnRequest(30, Request{ID: "t2", Key: "k", TimeLeft: 4000})
	inst.OnAttemptResult(31, AttemptResult{RequestID: "t2", Status: StatusServed, Final: true, Elapsed: 1})
	rollBack(inst, 32, 3)
}

// A key that a release has answered, or may be answering, goes to no earlier one, whichever came first, the list or the update.
func TestAffinityEventOrders(t *testing.T) {
	for _, tc := range []struct {
		name            string
		before          func(inst *Instance) // up to the first answer: only x is there to give it
		after           func(inst *Instance) // then, before the key comes again: only a is there
		servedByEarlier bool                 // a may serve the key
	}{
		{"update, list", announcedThenListed, nil, false},
		{"list, no update", listedOnly, nil, false},
		{"list, then update", listedOnly, func(inst *Instance) { rollOut(inst, 25, 2) }, false},
		{"the one before withdrawn, list, no update", withdrawnThenListed, nil, false},
		{"the one before withdrawn, list, then update", withdrawnThenListed, func(inst *Instance) { rollOut(inst, 25, 3) }, false},
		{"another update on the one before, that it rolls back", withdrawnThenListed, func(inst *Instance) { rollBack(inst, 25, 2) }, false},
		{"two unannounced", listedOnly, func(inst *Instance) { rollOut(inst, 25, 3) }, false},
		{"released, and an earlier one's fresh backend before the update", announcedThenListed, onlyReleaseTwoListed, false},
		{"rolls back, update after the list", announcedThenListed, func(inst *Instance) { rollBack(inst, 25, 2) }, true},
		{"rolls back, and a response from its rollout comes late", announcedThenListed, func(inst *Instance) {
			rollBack(inst, 25, 2)
			inst.OnReleaseUpdate(26, ReleaseUpdate{Release: 2, Phase: RollingOut, Response: VoteCounted, Cap: 1, HasState: true})
		}, true},
		{"the later of two rolls back", func(inst *Instance) {
			rollOut(inst, 3, 2)
			markReleased(inst, 4, 2)
			updateEndpoint(inst, 6, "x", 2, EndpointRunning)
		}, releaseThreeRollsBack, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			inst, port := startWithAffinity(1, 1)
			updateEndpoint(inst, 2, "a", 1, EndpointDraining)
			tc.before(inst)
			// The first of a process's attempts at a release under a cap needs no more than the free ones.
			inst.OnRequest(10, Request{ID: "t", Key: "k", TimeLeft: 4000})
			if got := attemptedBackend(port.takeActions()); got != "x" {
				t.Fatalf("first %q", got)
			}
			inst.OnAttemptResult(15, AttemptResult{RequestID: "t", Status: StatusServed, Final: true, Elapsed: 5})
			if tc.after != nil {
				tc.after(inst)
			}
			inst.OnEndpoints(1000, EndpointUpdate{Endpoints: []Endpoint{{ID: "a", Release: 1, Weight: 1}, {ID: "x", Release: 2, State: EndpointRemoved}, {ID: "y", Release: 3, State: EndpointRemoved}}})
			port.takeActions()
			inst.OnRequest(1001, Request{ID: "u", Key: "k", TimeLeft: 4000})
			if got := attemptedBackend(port.takeActions()); (got == "a") != tc.servedByEarlier {
				t.Errorf("the key goes to %q, open %v", got, tc.servedByEarlier)
			}
		})
	}
}

// A backend returns with another release while an attempt there is open: either release may have answered.
func TestAffinityReleaseChangedDuringAttempt(t *testing.T) {
	inst, port := startWithAffinity(2, 1)
	inst.OnEndpoints(3, EndpointUpdate{Endpoints: []Endpoint{{ID: "b", State: EndpointRemoved}}})
	inst.OnRequest(10, Request{ID: "t", Key: "k", TimeLeft: 4000})
	expect(t, "first", attemptedBackend(port.takeActions()), "a")
	inst.OnEndpoints(12, EndpointUpdate{Endpoints: []Endpoint{{ID: "a", Release: 2, Weight: 1}}})
	inst.OnAttemptResult(15, AttemptResult{RequestID: "t", Status: StatusServed, Final: true, Elapsed: 5})
	inst.OnEndpoints(16, EndpointUpdate{Endpoints: []Endpoint{{ID: "a", Release: 2, Weight: 1, State: EndpointDraining}, {ID: "b", Release: 1, Weight: 1}}})
	inst.OnRequest(20, Request{ID: "u", Key: "k", TimeLeft: 4000})
	expect(t, "the key again, with only the earlier release there", attemptedBackend(port.takeActions()), "")
	inst.OnRequest(21, Request{ID: "v", Key: "other", TimeLeft: 4000})
	expect(t, "another key", attemptedBackend(port.takeActions()), "b")
}

// With the next release announced, the one before still binds the keys that it has answered, and no others.
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

// An attempt may still go out when its connection is up, unless what came meanwhile forbids it.
func TestMaySend(t *testing.T) {
	for _, tc := range []struct {
		name       string
		meanwhile  func(inst *Instance)
		want       bool
		rollingOut bool // the attempt is at a release that rolls out
	}{
		{"nothing", func(*Instance) {}, true, false},
		{"its backend drains", func(inst *Instance) {
			inst.OnEndpoints(11, EndpointUpdate{Endpoints: []Endpoint{{ID: "a", Release: 1, Weight: 1, State: EndpointDraining}}})
		}, false, false},
		{"its backend has another release", func(inst *Instance) {
			inst.OnEndpoints(11, EndpointUpdate{Endpoints: []Endpoint{{ID: "a", Release: 2, Weight: 1}}})
		}, false, false},
		{"a later release answers the key", func(inst *Instance) {
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
		{"rolling out, nothing", func(*Instance) {}, true, true},
		{"its release rolls back", func(inst *Instance) {
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
				t.Fatalf("first %q", got)
			}
			tc.meanwhile(inst)
			expect(t, "may send", inst.MaySend("t", 0), tc.want)
		})
	}
}

// The keys of a rollout are the same ones before its first update, after it and in the process that follows, and others for another instance.
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
	expect(t, "after the update", selectedKeys(7, 0, true), early)
	expect(t, "in the next process", selectedKeys(8, 0, true), early)
	expect(t, "another instance's are others", selectedKeys(7, 1, true) != early, true)
}

// A backend whose release no source names may run any: its answers bind a key as the latest release's would, it serves only keys that the
// oldest release may, and the rollout's keys are not drawn anew for it.
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
		t.Run(tc.first+" has answered, "+tc.then+" is there", func(t *testing.T) {
			inst, port := startWithAffinity(1, 1)
			inst.OnReleaseUpdate(3, ReleaseUpdate{Release: 2, Phase: RollingOut, Cap: 1, HasState: true})
			listOnly(inst, 4, "")
			position := inst.rolloutPosition(&request{key: "k", affinityKey: 1})
			listOnly(inst, 5, tc.first)
			expect(t, "drawn", inst.rolloutPosition(&request{key: "k", affinityKey: 1}), position)
			inst.OnRequest(10, Request{ID: "t", Key: "k", TimeLeft: 4000})
			expect(t, "first", attemptedBackend(port.takeActions()), tc.first)
			inst.OnAttemptResult(15, AttemptResult{RequestID: "t", Status: StatusServed, Final: true, Elapsed: 5})
			listOnly(inst, 20, tc.then)
			inst.OnRequest(30, Request{ID: "v", Key: "k", TimeLeft: 4000})
			expect(t, "serves the key", attemptedBackend(port.takeActions()) == tc.then, tc.serves)
		})
	}
}
