package policy

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// exposureModel is a reference model of the exposure rule. It is derived from the protocol documentation and sees only
// events and actions.
type exposureModel struct {
	phase           map[ReleaseID]Phase // the most advanced phase that was sent
	limit           map[ReleaseID]float64
	newest          ReleaseID
	answered        map[string][]ReleaseID // releases by key
	requestCount    int
	sent            map[ReleaseID]int // attempts at a release under a cap since its cap was last lowered or its phase changed
	requestsAtReset map[ReleaseID]int // value of requestCount at that time
}

func newExposureModel() *exposureModel {
	return &exposureModel{
		phase: map[ReleaseID]Phase{1: Released}, limit: map[ReleaseID]float64{}, newest: 1,
		answered: map[string][]ReleaseID{}, sent: map[ReleaseID]int{}, requestsAtReset: map[ReleaseID]int{},
	}
}

// closed reports whether an update has declared a release as rolling back or withdrawn.
func (model *exposureModel) closed(release ReleaseID) bool {
	phase, known := model.phase[release]
	return known && (phase == RollingBack || phase == Withdrawn)
}

// capOf returns the cap of a release. According to the wire protocol's documentation the newest announced release has a
// cap until it is released, and later releases count as in their first stage. Beyond the documentation, a release that
// rolls back stays closed.
func (model *exposureModel) capOf(release ReleaseID) (limit float64, capped bool) {
	phase, known := model.phase[release]
	switch {
	case model.closed(release):
		return 0, true
	case release < model.newest || known && phase == Released:
		return 1, false
	case known:
		return model.limit[release], true
	}
	return 0.5, true
}

// update applies the state of a release and returns the effective cap: within a phase the cap never rises above an
// earlier value.
func (model *exposureModel) update(release ReleaseID, phase Phase, limit float64) float64 {
	previous, known := model.phase[release]
	rank := map[Phase]int{RollingOut: 0, Released: 1, RollingBack: 2, Withdrawn: 3}
	if !known || rank[phase] >= rank[previous] {
		previousLimit, capped := model.capOf(release)
		if !known || !capped || limit < previousLimit || phase != previous {
			model.sent[release], model.requestsAtReset[release] = 0, model.requestCount // attempts are counted from here on
		}
		if known && phase == previous {
			limit = min(limit, model.limit[release])
		}
		model.phase[release], model.limit[release] = phase, limit
	}
	if model.closed(release) {
		for key, releases := range model.answered {
			model.answered[key] = slices.DeleteFunc(releases, func(served ReleaseID) bool { return served == release })
		}
	}
	model.newest = max(model.newest, release)
	return limit
}

// attempt checks an attempt with a key at a release.
func (model *exposureModel) attempt(t *rapid.T, key string, release ReleaseID) {
	for _, servedBy := range model.answered[key] {
		if release < servedBy {
			t.Fatalf("key %s sent to release %d, but already served by later release %d", key, release, servedBy)
		}
	}
	limit, capped := model.capOf(release)
	if !capped {
		return
	}
	model.sent[release]++
	allowed := 2 + limit*float64(model.requestCount-model.requestsAtReset[release])
	if float64(model.sent[release]) > allowed || limit == 0 {
		t.Fatalf("release %d: %d attempts at cap %v, want at most %v and none at cap 0", release, model.sent[release], limit, allowed)
	}
}

// exposureRun feeds random events to an instance and to the model.
type exposureRun struct {
	t         *rapid.T
	inst      *Instance
	port      *recordingPort
	model     *exposureModel
	now       float64
	requests  int
	releaseOf map[string]ReleaseID // by backend
	keyOf     map[string]string    // by request
	open      []string             // the request of each open attempt
}

// listBackend lists a backend as running, draining or removed, possibly with a new release.
func (run *exposureRun) listBackend() {
	id := string(rune('a' + rapid.IntRange(0, 4).Draw(run.t, "backend")))
	release := ReleaseID(rapid.IntRange(1, 4).Draw(run.t, "release"))
	state := EndpointState(rapid.IntRange(0, 5).Draw(run.t, "state") % 4 % 3)
	if state != EndpointRemoved {
		run.releaseOf[id] = release
	}
	run.inst.OnEndpoints(run.now, EndpointUpdate{Endpoints: []Endpoint{{ID: id, Release: release, State: state, Weight: 1}}})
}

// sendUpdate sends the state of a release, as a notification or as the response to a vote.
func (run *exposureRun) sendUpdate() {
	release := ReleaseID(rapid.IntRange(1, 4).Draw(run.t, "release"))
	phase := Phase(rapid.IntRange(0, 3).Draw(run.t, "phase"))
	response := VoteResponse(rapid.IntRange(0, 1).Draw(run.t, "response"))
	limit := [...]float64{RollingOut: 0.5, RollingBack: 0, Released: 1, Withdrawn: 0}[phase]
	limit = run.model.update(release, phase, limit)
	run.inst.OnReleaseUpdate(run.now, ReleaseUpdate{Release: release, Phase: phase, Response: response, Cap: limit, HasState: true})
}

// sendRequest sends a request with one of a few keys.
func (run *exposureRun) sendRequest() {
	run.requests++
	id := fmt.Sprint(run.requests)
	run.keyOf[id] = fmt.Sprint("k", rapid.IntRange(0, 5).Draw(run.t, "key"))
	run.model.requestCount++
	run.inst.OnRequest(run.now, Request{ID: id, Key: run.keyOf[id], TimeLeft: 2000})
}

// endAttempt ends an open attempt.
func (run *exposureRun) endAttempt() {
	if len(run.open) == 0 {
		return
	}
	index := rapid.IntRange(0, len(run.open)-1).Draw(run.t, "which")
	id := run.open[index]
	run.open = slices.Delete(run.open, index, index+1)
	ends := []AttemptStatus{StatusServed, StatusServed, StatusServed, StatusErrored, StatusRejected, StatusReset}
	status := ends[rapid.IntRange(0, 5).Draw(run.t, "status")]
	req := run.inst.requests[id]
	if req == nil {
		return
	}
	attempt := len(req.attempts) - 1
	for attempt > 0 && !req.attempts[attempt].open {
		attempt--
	}
	release := req.attempts[attempt].release
	if status == StatusServed && !run.model.closed(release) {
		run.model.answered[run.keyOf[id]] = append(run.model.answered[run.keyOf[id]], release)
	}
	run.inst.OnAttemptResult(run.now, AttemptResult{RequestID: id, Attempt: attempt, Status: status, Final: status == StatusServed, Elapsed: 10})
}

// checkAttempts checks the attempts that the instance has sent since the last call.
func (run *exposureRun) checkAttempts() {
	for _, line := range run.port.takeActions() {
		var action, id, backend string
		if n, _ := fmt.Sscan(line, &action, &id, &backend); n < 3 || action != "submit" { // other actions have fewer words
			continue
		}
		run.model.attempt(run.t, run.keyOf[id], run.releaseOf[backend])
		run.open = append(run.open, id)
	}
}

// The exposure rule holds for endpoint lists, release updates, responses to votes, requests and ends of attempts in
// random order.
func TestExposureAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		inst, port := startWithAffinity(0, 0.5)
		run := &exposureRun{t: t, inst: inst, port: port, model: newExposureModel(), now: 10, releaseOf: map[string]ReleaseID{}, keyOf: map[string]string{}}
		for range rapid.IntRange(20, 120).Draw(t, "events") {
			run.now += float64(rapid.IntRange(1, 300).Draw(t, "after"))
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0, 1:
				run.listBackend()
			case 2:
				run.sendUpdate()
			case 3, 4, 5, 6:
				run.sendRequest()
			case 7, 8:
				run.endAttempt()
			case 9:
				run.inst.OnTimer(run.now, run.inst.timers.token)
			}
			run.checkAttempts()
		}
	})
}
