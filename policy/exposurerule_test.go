package policy

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// exposureRule is a reference for the rule on exposure, written from the protocol's pages and fed with events and actions alone.
type exposureRule struct {
	phase    map[ReleaseID]Phase // the furthest that was sent
	limit    map[ReleaseID]float64
	newest   ReleaseID
	answered map[string][]ReleaseID // releases by key
	taken    int                    // requests
	sent     map[ReleaseID]int      // attempts at a release under a cap, since its cap last fell
	from     map[ReleaseID]int      // and the requests taken by then
}

func newExposureRule() *exposureRule {
	return &exposureRule{
		phase: map[ReleaseID]Phase{1: Released}, limit: map[ReleaseID]float64{}, newest: 1,
		answered: map[string][]ReleaseID{}, sent: map[ReleaseID]int{}, from: map[ReleaseID]int{},
	}
}

// closed says whether a release was sent as rolling back or withdrawn.
func (rule *exposureRule) closed(release ReleaseID) bool {
	phase, known := rule.phase[release]
	return known && (phase == RollingBack || phase == Withdrawn)
}

// capped is a release's cap: by the wire's page the newest announced release has one until it is released, and later releases count as in
// their first stage. Beyond the page, one that rolls back is closed for good.
func (rule *exposureRule) capped(release ReleaseID) (limit float64, capped bool) {
	phase, known := rule.phase[release]
	switch {
	case rule.closed(release):
		return 0, true
	case release < rule.newest || known && phase == Released:
		return 1, false
	case known:
		return rule.limit[release], true
	}
	return 0.5, true
}

// update takes a release's state and returns the cap that counts: never more than was sent in the same phase before.
func (rule *exposureRule) update(release ReleaseID, phase Phase, limit float64) float64 {
	was, known := rule.phase[release]
	rank := map[Phase]int{RollingOut: 0, Released: 1, RollingBack: 2, Withdrawn: 3}
	if !known || rank[phase] >= rank[was] {
		limitWas, capped := rule.capped(release)
		if !known || !capped || limit < limitWas || phase != was {
			rule.sent[release], rule.from[release] = 0, rule.taken // attempts are counted anew
		}
		if known && phase == was {
			limit = min(limit, rule.limit[release])
		}
		rule.phase[release], rule.limit[release] = phase, limit
	}
	if rule.closed(release) {
		for key, releases := range rule.answered {
			rule.answered[key] = slices.DeleteFunc(releases, func(one ReleaseID) bool { return one == release })
		}
	}
	rule.newest = max(rule.newest, release)
	return limit
}

// attempt checks one attempt for a key at a release.
func (rule *exposureRule) attempt(t *rapid.T, key string, release ReleaseID) {
	for _, by := range rule.answered[key] {
		if release < by {
			t.Fatalf("key %s goes to release %d, answered by %d", key, release, by)
		}
	}
	limit, capped := rule.capped(release)
	if !capped {
		return
	}
	rule.sent[release]++
	most := 2 + limit*float64(rule.taken-rule.from[release])
	if float64(rule.sent[release]) > most || limit == 0 {
		t.Fatalf("release %d: attempt %d of %v, cap %v", release, rule.sent[release], most, limit)
	}
}

// exposureRun plays random events to an instance and to the reference.
type exposureRun struct {
	t        *rapid.T
	inst     *Instance
	port     *recordingPort
	rule     *exposureRule
	now      float64
	requests int
	runs     map[string]ReleaseID // by backend
	key      map[string]string    // by request
	open     []string             // the request of each open attempt
}

// listBackend lists a backend, as running, draining or removed, maybe with another release than before.
func (run *exposureRun) listBackend() {
	id := string(rune('a' + rapid.IntRange(0, 4).Draw(run.t, "backend")))
	release := ReleaseID(rapid.IntRange(1, 4).Draw(run.t, "release"))
	state := EndpointState(rapid.IntRange(0, 5).Draw(run.t, "state") % 4 % 3)
	if state != EndpointRemoved {
		run.runs[id] = release
	}
	run.inst.OnEndpoints(run.now, EndpointUpdate{Endpoints: []Endpoint{{ID: id, Release: release, State: state, Weight: 1}}})
}

// sendUpdate sends a release's state, as a notice or a vote's response.
func (run *exposureRun) sendUpdate() {
	release := ReleaseID(rapid.IntRange(1, 4).Draw(run.t, "release"))
	phase := Phase(rapid.IntRange(0, 3).Draw(run.t, "phase"))
	response := VoteResponse(rapid.IntRange(0, 1).Draw(run.t, "response"))
	limit := [...]float64{RollingOut: 0.5, RollingBack: 0, Released: 1, Withdrawn: 0}[phase]
	limit = run.rule.update(release, phase, limit)
	run.inst.OnReleaseUpdate(run.now, ReleaseUpdate{Release: release, Phase: phase, Response: response, Cap: limit, HasState: true})
}

// sendRequest sends a request with one of a few keys.
func (run *exposureRun) sendRequest() {
	run.requests++
	id := fmt.Sprint(run.requests)
	run.key[id] = fmt.Sprint("k", rapid.IntRange(0, 5).Draw(run.t, "key"))
	run.rule.taken++
	run.inst.OnRequest(run.now, Request{ID: id, Key: run.key[id], TimeLeft: 2000})
}

// endAttempt ends an open attempt.
func (run *exposureRun) endAttempt() {
	if len(run.open) == 0 {
		return
	}
	which := rapid.IntRange(0, len(run.open)-1).Draw(run.t, "which")
	id := run.open[which]
	run.open = slices.Delete(run.open, which, which+1)
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
	if status == StatusServed && !run.rule.closed(release) {
		run.rule.answered[run.key[id]] = append(run.rule.answered[run.key[id]], release)
	}
	run.inst.OnAttemptResult(run.now, AttemptResult{RequestID: id, Attempt: attempt, Status: status, Final: status == StatusServed, Elapsed: 10})
}

// checkAttempts checks what the instance has sent since the last call.
func (run *exposureRun) checkAttempts() {
	for _, line := range run.port.take() {
		var action, id, backend string
		if n, _ := fmt.Sscan(line, &action, &id, &backend); n < 3 || action != "submit" { // other actions have fewer words
			continue
		}
		run.rule.attempt(run.t, run.key[id], run.runs[backend])
		run.open = append(run.open, id)
	}
}

// Random orders of endpoint lists, release updates, votes' responses, requests and ends of attempts keep the rule on exposure.
func TestExposureAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		inst, port := startWithAffinity(0, 0.5)
		run := &exposureRun{t: t, inst: inst, port: port, rule: newExposureRule(), now: 10, runs: map[string]ReleaseID{}, key: map[string]string{}}
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
