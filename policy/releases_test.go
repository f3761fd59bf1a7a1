package policy

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"onyxgate/policy/verdict"
)

// startWithAffinity starts an agent whose keys stay, on so many backends of release 1, with news of that and a cap for the first stage.
func startWithAffinity(backends int, limit float64) (*Instance, *recordingPort) {
	inst, port := startInstance(RequestClass{}, backends)
	inst.configureExposure(ExposureConfig{FreeAttempts: 2, Caps: []float64{limit, 1}, KeyAffinity: true})
	inst.OnReleaseUpdate(2, ReleaseUpdate{Release: 1, Stage: 2, Phase: Released, Cap: 1, Known: true})
	return inst, port
}

// attemptedBackend is the backend to which the only attempt of what was done goes; empty: there is none.
func attemptedBackend(did []string) (backend string) {
	for _, line := range did {
		if strings.HasPrefix(line, "submit ") {
			backend = line[strings.LastIndexByte(line, ' ')+1:]
		}
	}
	return backend
}

// A key that a release has answered, or may be answering, goes to no earlier one, whichever came first, the list or the news.
func TestAffinityCrossings(t *testing.T) {
	trial := func(inst *Instance, now float64, release ReleaseID) {
		inst.OnReleaseUpdate(now, ReleaseUpdate{Release: release, Phase: RollingOut, Cap: 1, Known: true})
	}
	listed := func(inst *Instance, now float64, id string, release ReleaseID, state EndpointState) {
		inst.OnEndpoints(now, EndpointUpdate{Endpoints: []Endpoint{{ID: id, Release: release, Weight: 1, State: state}}})
	}
	withdrawn := func(inst *Instance, now float64, release ReleaseID) {
		inst.OnReleaseUpdate(now, ReleaseUpdate{Release: release, Phase: RollingOut, Cap: 1, Known: true})
		inst.OnReleaseUpdate(now+1, ReleaseUpdate{Release: release, Phase: Withdrawn, Cap: 0, Known: true})
	}
	for _, c := range []struct {
		name   string
		before func(inst *Instance) // up to the first answer: only x is there to give it
		after  func(inst *Instance) // then, before the key comes again: only a is there
		open   bool                 // a may serve the key
	}{
		{"news, list", func(inst *Instance) { trial(inst, 5, 2); listed(inst, 6, "x", 2, EndpointRunning) }, nil, false},
		{"list, no news", func(inst *Instance) { listed(inst, 6, "x", 2, EndpointRunning) }, nil, false},
		{"list, then news", func(inst *Instance) { listed(inst, 6, "x", 2, EndpointRunning) }, func(inst *Instance) { trial(inst, 25, 2) }, false},
		{"the one before withdrawn, list, no news", func(inst *Instance) { withdrawn(inst, 3, 2); listed(inst, 6, "x", 3, EndpointRunning) }, nil, false},
		{
			"the one before withdrawn, list, then news", func(inst *Instance) { withdrawn(inst, 3, 2); listed(inst, 6, "x", 3, EndpointRunning) },
			func(inst *Instance) { trial(inst, 25, 3) }, false,
		},
		{
			"the one before going back is told on", func(inst *Instance) { withdrawn(inst, 3, 2); listed(inst, 6, "x", 3, EndpointRunning) },
			func(inst *Instance) {
				inst.OnReleaseUpdate(25, ReleaseUpdate{Release: 2, Phase: RollingBack, Cap: 0, Known: true})
			}, false,
		},
		{"two unannounced", func(inst *Instance) { listed(inst, 6, "x", 2, EndpointRunning) }, func(inst *Instance) { trial(inst, 25, 3) }, false},
		{
			"released, and an earlier one's fresh backend before the word", func(inst *Instance) { trial(inst, 5, 2); listed(inst, 6, "x", 2, EndpointRunning) },
			func(inst *Instance) {
				inst.OnReleaseUpdate(25, ReleaseUpdate{Release: 2, Stage: 1, Phase: Released, Cap: 1, Known: true})
				inst.OnEndpoints(26, EndpointUpdate{Endpoints: []Endpoint{{ID: "x", Release: 2, Weight: 1}}, Snapshot: true}) // nothing earlier is listed
				inst.OnTimer(26+2*evaluationInterval, 0)
			}, false,
		},
		{
			"goes back, told after the list", func(inst *Instance) { trial(inst, 5, 2); listed(inst, 6, "x", 2, EndpointRunning) },
			func(inst *Instance) {
				inst.OnReleaseUpdate(25, ReleaseUpdate{Release: 2, Phase: RollingBack, Cap: 0, Known: true})
			}, true,
		},
		{
			"goes back, and an answer on its trial comes late", func(inst *Instance) { trial(inst, 5, 2); listed(inst, 6, "x", 2, EndpointRunning) },
			func(inst *Instance) {
				inst.OnReleaseUpdate(25, ReleaseUpdate{Release: 2, Phase: RollingBack, Cap: 0, Known: true})
				inst.OnReleaseUpdate(26, ReleaseUpdate{Release: 2, Phase: RollingOut, Response: VoteCounted, Cap: 1, Known: true})
			}, true,
		},
		{"the later of two goes back", func(inst *Instance) {
			trial(inst, 3, 2)
			inst.OnReleaseUpdate(4, ReleaseUpdate{Release: 2, Stage: 1, Phase: Released, Cap: 1, Known: true})
			listed(inst, 6, "x", 2, EndpointRunning)
		}, func(inst *Instance) {
			trial(inst, 25, 3)
			inst.OnEndpoints(26, EndpointUpdate{Endpoints: []Endpoint{{ID: "x", Release: 2, State: EndpointDraining}, {ID: "y", Release: 3, Weight: 1}}})
			inst.OnRequest(30, Request{ID: "t2", Key: "k", TimeLeft: 4000})
			inst.OnAttemptResult(31, AttemptResult{RequestID: "t2", Status: StatusServed, Final: true, Took: 1})
			inst.OnReleaseUpdate(32, ReleaseUpdate{Release: 3, Phase: RollingBack, Cap: 0, Known: true})
		}, false},
	} {
		inst, port := startWithAffinity(1, 1)
		listed(inst, 2, "a", 1, EndpointDraining)
		c.before(inst)
		now := 10.0
		// The first of a process's attempts at a release on trial needs no more than the free ones.
		inst.OnRequest(now, Request{ID: "t", Key: "k", TimeLeft: 4000})
		if got := attemptedBackend(port.take()); got != "x" {
			t.Fatalf("%s: first %q", c.name, got)
		}
		inst.OnAttemptResult(now+5, AttemptResult{RequestID: "t", Status: StatusServed, Final: true, Took: 5})
		if c.after != nil {
			c.after(inst)
		}
		now = 1000
		inst.OnEndpoints(now, EndpointUpdate{Endpoints: []Endpoint{{ID: "a", Release: 1, Weight: 1, StartedAt: 0}, {ID: "x", Release: 2, State: EndpointRemoved}, {ID: "y", Release: 3, State: EndpointRemoved}}})
		port.take()
		inst.OnRequest(now+1, Request{ID: "u", Key: "k", TimeLeft: 4000})
		if got := attemptedBackend(port.take()); (got == "a") != c.open {
			t.Errorf("%s: the key goes to %q, open %v", c.name, got, c.open)
		}
	}
}

// An id that returns with another release while its answer is out: either may have given it.
func TestAnswerAcrossReleases(t *testing.T) {
	inst, port := startWithAffinity(2, 1)
	inst.OnEndpoints(3, EndpointUpdate{Endpoints: []Endpoint{{ID: "b", State: EndpointRemoved}}})
	inst.OnRequest(10, Request{ID: "t", Key: "k", TimeLeft: 4000})
	expect(t, "first", attemptedBackend(port.take()), "a")
	inst.OnEndpoints(12, EndpointUpdate{Endpoints: []Endpoint{{ID: "a", Release: 2, Weight: 1}}})
	inst.OnAttemptResult(15, AttemptResult{RequestID: "t", Status: StatusServed, Final: true, Took: 5})
	inst.OnEndpoints(16, EndpointUpdate{Endpoints: []Endpoint{{ID: "a", Release: 2, Weight: 1, State: EndpointDraining}, {ID: "b", Release: 1, Weight: 1}}})
	inst.OnRequest(20, Request{ID: "u", Key: "k", TimeLeft: 4000})
	expect(t, "again, with only the earlier release there", attemptedBackend(port.take()), "")
	inst.OnRequest(21, Request{ID: "v", Key: "other", TimeLeft: 4000})
	expect(t, "another key", attemptedBackend(port.take()), "b")
}

// With the next release announced, the one before still binds the keys that it has answered, and no others.
func TestKeysOfReleaseBefore(t *testing.T) {
	inst, port := startWithAffinity(1, 1)
	inst.OnReleaseUpdate(3, ReleaseUpdate{Release: 2, Phase: RollingOut, Cap: 1, Known: true})
	inst.OnEndpoints(4, EndpointUpdate{Endpoints: []Endpoint{{ID: "a", Release: 1, Weight: 1, State: EndpointDraining}, {ID: "x", Release: 2, Weight: 1}}})
	inst.OnRequest(10, Request{ID: "t", Key: "k", TimeLeft: 4000})
	inst.OnAttemptResult(15, AttemptResult{RequestID: "t", Status: StatusServed, Final: true, Took: 5})
	inst.OnReleaseUpdate(20, ReleaseUpdate{Release: 2, Stage: 1, Phase: Released, Cap: 1, Known: true})
	inst.OnReleaseUpdate(21, ReleaseUpdate{Release: 3, Phase: RollingOut, Cap: 1, Known: true})
	inst.OnEndpoints(22, EndpointUpdate{Endpoints: []Endpoint{{ID: "a", Release: 1, Weight: 1}, {ID: "x", Release: 2, Weight: 1, State: EndpointDraining}}})
	port.take()
	for key, want := range map[string]string{"k": "", "other": "a"} {
		inst.OnRequest(30, Request{ID: key, Key: key, TimeLeft: 4000})
		expect(t, key, attemptedBackend(port.take()), want)
	}
}

// Whether an attempt may still go out when its connection is up, after what came meanwhile.
func TestSendable(t *testing.T) {
	for _, c := range []struct {
		name  string
		mean  func(inst *Instance)
		want  bool
		trial bool // the attempt is at the release on trial
	}{
		{"nothing", func(inst *Instance) {}, true, false},
		{"its backend drains", func(inst *Instance) {
			inst.OnEndpoints(11, EndpointUpdate{Endpoints: []Endpoint{{ID: "a", Release: 1, Weight: 1, State: EndpointDraining}}})
		}, false, false},
		{"its backend has another release", func(inst *Instance) {
			inst.OnEndpoints(11, EndpointUpdate{Endpoints: []Endpoint{{ID: "a", Release: 2, Weight: 1}}})
		}, false, false},
		{"a later release answers the key", func(inst *Instance) {
			inst.OnEndpoints(11, EndpointUpdate{Endpoints: []Endpoint{{ID: "a", Release: 1, Weight: 1, State: EndpointDraining}, {ID: "x", Release: 2, Weight: 1}}})
			inst.OnRequest(12, Request{ID: "other", Key: "k", TimeLeft: 4000})
			inst.OnAttemptResult(13, AttemptResult{RequestID: "other", Status: StatusServed, Final: true, Took: 1})
			inst.OnEndpoints(14, EndpointUpdate{Endpoints: []Endpoint{{ID: "a", Release: 1, Weight: 1}}})
		}, false, false},
		{"an attempt at a later release is out", func(inst *Instance) {
			inst.OnEndpoints(11, EndpointUpdate{Endpoints: []Endpoint{{ID: "a", Release: 1, Weight: 1, State: EndpointDraining}, {ID: "x", Release: 2, Weight: 1}}})
			inst.OnRequest(12, Request{ID: "other", Key: "k", TimeLeft: 4000})
			inst.OnEndpoints(14, EndpointUpdate{Endpoints: []Endpoint{{ID: "a", Release: 1, Weight: 1}}})
		}, false, false},
		{"on trial, nothing", func(inst *Instance) {}, true, true},
		{"its release goes back", func(inst *Instance) {
			inst.OnReleaseUpdate(11, ReleaseUpdate{Release: 2, Phase: RollingBack, Cap: 0, Known: true})
		}, false, true},
	} {
		inst, port := startWithAffinity(1, 1)
		want := "a"
		if c.trial {
			want = "x"
			inst.OnReleaseUpdate(3, ReleaseUpdate{Release: 2, Phase: RollingOut, Cap: 1, Known: true})
			inst.OnEndpoints(4, EndpointUpdate{Endpoints: []Endpoint{{ID: "a", Release: 1, Weight: 1, State: EndpointDraining}, {ID: "x", Release: 2, Weight: 1}}})
		}
		inst.OnRequest(10, Request{ID: "t", Key: "k", TimeLeft: 4000})
		if got := attemptedBackend(port.take()); got != want {
			t.Fatalf("%s: first %q", c.name, got)
		}
		c.mean(inst)
		expect(t, c.name, inst.MaySend("t", 0), c.want)
	}
}

// The keys of a trial are the same ones before its news, after it and in the process that follows, and others for another agent.
func TestTrialKeys(t *testing.T) {
	drawn := func(seed uint64, me int, told bool) (set string) {
		inst := New(&recordingPort{}, Config{Seed: seed, Index: me, Instances: 2})
		inst.configureClasses(Config{Classes: []RequestClass{{LatencyObjective: 1000, Timeout: 4000, Value: 1}}, MaxAttempts: 5, ConcurrentAttempts: true, CancelAllowed: true})
		inst.configureExposure(ExposureConfig{FreeAttempts: 2, Caps: []float64{0.5, 1}, KeyAffinity: true})
		inst.OnReleaseUpdate(1, ReleaseUpdate{Release: 2, Phase: Withdrawn, Cap: 0, Known: true})
		inst.OnEndpoints(2, EndpointUpdate{Endpoints: []Endpoint{{ID: "a", Release: 1, Weight: 1}, {ID: "x", Release: 3, Weight: 1}}, Snapshot: true})
		if told {
			inst.OnReleaseUpdate(3, ReleaseUpdate{Release: 3, Phase: RollingOut, Cap: 0.5, Known: true})
		}
		for k := range 64 {
			x := &request{key: fmt.Sprint(k), affinityKey: 1}
			set += fmt.Sprint(boolIndex(inst.rolloutDraw(x) < 0.5))
		}
		return set
	}
	early := drawn(7, 0, false)
	expect(t, "after the news", drawn(7, 0, true), early)
	expect(t, "in the next process", drawn(8, 0, true), early)
	expect(t, "another agent's are others", drawn(7, 1, true) != early, true)
}

// A backend whose release no source tells may run any: its answers bind a key as the latest release's would, it serves only keys
// that the oldest one may, and the trial's keys are not drawn anew for it.
func TestUnknownRelease(t *testing.T) {
	only := func(inst *Instance, now float64, id string) {
		list := []Endpoint{{ID: "a", Release: 1, Weight: 1}, {ID: "x", Release: 2, Weight: 1}, {ID: "u", Release: UnknownRelease, Weight: 1}}
		for k := range list {
			if list[k].ID != id {
				list[k].State = EndpointDraining
			}
		}
		inst.OnEndpoints(now, EndpointUpdate{Endpoints: list})
	}
	for _, c := range []struct {
		first, then string
		serves      bool
	}{{"a", "u", true}, {"x", "u", false}, {"u", "x", true}, {"u", "a", false}, {"u", "u", false}} {
		inst, port := startWithAffinity(1, 1)
		inst.OnReleaseUpdate(3, ReleaseUpdate{Release: 2, Phase: RollingOut, Cap: 1, Known: true})
		only(inst, 4, "")
		drawn := inst.rolloutDraw(&request{key: "k", affinityKey: 1})
		only(inst, 5, c.first)
		expect(t, "drawn", inst.rolloutDraw(&request{key: "k", affinityKey: 1}), drawn)
		inst.OnRequest(10, Request{ID: "t", Key: "k", TimeLeft: 4000})
		expect(t, "first", attemptedBackend(port.take()), c.first)
		inst.OnAttemptResult(15, AttemptResult{RequestID: "t", Status: StatusServed, Final: true, Took: 5})
		only(inst, 20, c.then)
		inst.OnRequest(30, Request{ID: "v", Key: "k", TimeLeft: 4000})
		expect(t, fmt.Sprint(c.first, " has answered, ", c.then, " is there"), attemptedBackend(port.take()) == c.then, c.serves)
	}
}

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

// exposureRule is the rule on exposure as the pages give it, counted from events and actions alone.
type exposureRule struct {
	phase    map[ReleaseID]Phase // as told, the furthest
	limit    map[ReleaseID]float64
	newest   ReleaseID
	answered map[string][]ReleaseID // releases by key
	taken    int
	sent     map[ReleaseID]int // at a release under a cap, since its cap last fell
	from     map[ReleaseID]int // and the requests taken by then
}

// capped: by the wire's page the newest announced release is on trial until it is released, and so are later ones, in their first
// stage. Beyond the page, one that was told to go back is closed for good.
func (x *exposureRule) capped(release ReleaseID) (limit float64, capped bool) {
	phase, told := x.phase[release]
	switch {
	case told && (phase == RollingBack || phase == Withdrawn):
		return 0, true
	case release < x.newest || told && phase == Released:
		return 1, false
	case told:
		return x.limit[release], true
	}
	return 0.5, true
}

// Random orders of lists, news, votes' answers, requests and ends keep the rule on exposure, by a reference of its own.
func TestExposureAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		inst, port := startWithAffinity(0, 0.5)
		rule := &exposureRule{
			phase: map[ReleaseID]Phase{1: Released}, limit: map[ReleaseID]float64{}, newest: 1, answered: map[string][]ReleaseID{},
			sent: map[ReleaseID]int{}, from: map[ReleaseID]int{},
		}
		runs, at, out := map[string]ReleaseID{}, map[string][2]string{}, []string{}
		now, ids := 10.0, 0
		attempts := func() {
			for did := port.take(); len(did) > 0; did = port.take() {
				for _, line := range did {
					var what, id, backend string
					if fmt.Sscan(line, &what, &id, &backend); what != "submit" {
						continue
					}
					release, key := runs[backend], at[id][0]
					for _, by := range rule.answered[key] {
						if release < by {
							t.Fatalf("key %s goes to release %d, answered by %d", key, release, by)
						}
					}
					if limit, capped := rule.capped(release); capped {
						rule.sent[release]++
						if most := 2 + limit*float64(rule.taken-rule.from[release]); float64(rule.sent[release]) > most || limit == 0 {
							t.Fatalf("release %d: attempt %d of %v, cap %v", release, rule.sent[release], most, limit)
						}
					}
					at[id] = [2]string{key, backend}
					out = append(out, id)
				}
			}
		}
		tell := func(release ReleaseID, phase Phase, stage int, limit float64, reply VoteResponse) {
			was, told := rule.phase[release]
			rank := map[Phase]int{RollingOut: 0, Released: 1, RollingBack: 2, Withdrawn: 3}
			if !told || rank[phase] >= rank[was] {
				if limitWas, capped := rule.capped(release); !told || !capped || limit < limitWas || phase != was {
					// Since when attempts are counted anew, and never more than was told.
					rule.sent[release], rule.from[release] = 0, rule.taken
				}
				if told && phase == was {
					limit = min(limit, rule.limit[release])
				}
				rule.phase[release], rule.limit[release] = phase, limit
			}
			if rule.phase[release] == RollingBack || rule.phase[release] == Withdrawn {
				for key, by := range rule.answered {
					kept := []ReleaseID(nil)
					for _, one := range by {
						if one != release {
							kept = append(kept, one)
						}
					}
					rule.answered[key] = kept
				}
			}
			rule.newest = max(rule.newest, release)
			inst.OnReleaseUpdate(now, ReleaseUpdate{Release: release, Stage: stage, Phase: phase, Response: reply, Cap: limit, Known: true})
		}
		for range rapid.IntRange(20, 120).Draw(t, "events") {
			now += float64(rapid.IntRange(1, 300).Draw(t, "after"))
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0, 1: // a backend is listed, drains, goes or comes back with another release
				id := string(rune('a' + rapid.IntRange(0, 4).Draw(t, "backend")))
				release := ReleaseID(rapid.IntRange(1, 4).Draw(t, "release"))
				state := EndpointState(rapid.IntRange(0, 5).Draw(t, "state") % 4 % 3)
				if state != EndpointRemoved {
					runs[id] = release
				}
				inst.OnEndpoints(now, EndpointUpdate{Endpoints: []Endpoint{{ID: id, Release: release, State: state, Weight: 1}}})
			case 2: // the platform tells a state, in any order
				release := ReleaseID(rapid.IntRange(1, 4).Draw(t, "release"))
				phase := Phase(rapid.IntRange(0, 3).Draw(t, "phase"))
				limit := [...]float64{RollingOut: 0.5, RollingBack: 0, Released: 1, Withdrawn: 0}[phase]
				tell(release, phase, 0, limit, VoteResponse(rapid.IntRange(0, 1).Draw(t, "reply")))
			case 3, 4, 5, 6: // a request
				ids++
				id, key := fmt.Sprint(ids), fmt.Sprint("k", rapid.IntRange(0, 5).Draw(t, "key"))
				at[id] = [2]string{key}
				rule.taken++
				inst.OnRequest(now, Request{ID: id, Key: key, TimeLeft: 2000})
			case 7, 8: // an attempt ends
				if len(out) > 0 {
					k := rapid.IntRange(0, len(out)-1).Draw(t, "which")
					id := out[k]
					out = append(out[:k], out[k+1:]...)
					result := []AttemptStatus{StatusServed, StatusServed, StatusServed, StatusErrored, StatusRejected, StatusReset}[rapid.IntRange(0, 5).Draw(t, "result")]
					x := inst.requests[id]
					if x == nil {
						continue
					}
					sub := len(x.attempts) - 1
					for sub > 0 && !x.attempts[sub].open {
						sub--
					}
					release := x.attempts[sub].release
					if phase, told := rule.phase[release]; result == StatusServed && !(told && (phase == RollingBack || phase == Withdrawn)) {
						rule.answered[at[id][0]] = append(rule.answered[at[id][0]], release)
					}
					inst.OnAttemptResult(now, AttemptResult{RequestID: id, Attempt: sub, Status: result, Final: result == StatusServed, Took: 10})
				}
			case 9:
				inst.OnTimer(now, inst.timerToken)
			}
			attempts()
		}
	})
}
