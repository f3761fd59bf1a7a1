package policy

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

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
