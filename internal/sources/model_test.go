package sources

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"onyxgate/policy"
)

// modelState is a Merger with the fleet as seen by a reader of its changes, and the addresses that discovery has
// retired.
type modelState struct {
	merger  Merger
	applied map[string]Entry
	retired map[string]bool // addresses drained or removed, and not listed as running since
}

func newModelState() modelState { return modelState{*New(), map[string]Entry{}, map[string]bool{}} }

// step applies one event and checks the invariants.
func (s modelState) step(event func(m *Merger, retired map[string]bool) []Entry, failure bool) (modelState, error) {
	next := modelState{merger: s.merger, applied: maps.Clone(s.applied), retired: maps.Clone(s.retired)}
	before := next.merger.fleet.Running
	for _, e := range event(&next.merger, next.retired) {
		if e.State == policy.EndpointRemoved {
			delete(next.applied, e.ID)
		} else {
			next.applied[e.ID] = e
		}
	}
	running, err := next.checkFleet()
	switch {
	case err != nil:
	case running != next.merger.fleet.Running || len(next.applied) != next.merger.fleet.Len():
		err = fmt.Errorf("%d backends run, %d are counted as running; a reader of the changes has %d backends, the fleet %d", running, next.merger.fleet.Running, len(next.applied), next.merger.fleet.Len())
	case failure && running < before:
		err = fmt.Errorf("a source failure removed %d of %d running backends", before-running, before)
	}
	return next, err
}

// checkFleet compares the fleet with the view of a reader of the changes, and checks that no two backends run at one
// address and none at an address that discovery has retired. It returns the number of running backends.
func (s *modelState) checkFleet() (running int, err error) {
	at := map[string]string{}
	for id, e := range s.merger.fleet.All() {
		if s.applied[id] != e {
			err = fmt.Errorf("a reader of the changes has entry %+v, the fleet %+v", s.applied[id], e)
		}
		if e.State != policy.EndpointRunning {
			continue
		}
		running++
		if other, duplicate := at[e.Address]; duplicate {
			err = fmt.Errorf("%s and %s both run at %s", other, id, e.Address)
		}
		at[e.Address] = id
		if s.retired[e.Address] {
			err = fmt.Errorf("%s runs at %s, which was drained or removed", id, e.Address)
		}
	}
	return running, err
}

// key returns everything that the future behavior depends on.
func (s modelState) key() string {
	var b strings.Builder
	b.WriteString(formatFleet(&s.merger))
	var all []string
	for id, e := range iterate(s.merger.discovered) {
		all = append(all, fmt.Sprint("l", id, e.Address, e.State))
	}
	for a := range iterate(s.merger.retired) {
		all = append(all, "e"+a)
	}
	for a, c := range iterate(s.merger.resolved) {
		all = append(all, fmt.Sprint("s", a, c.missedAnswers))
	}
	slices.Sort(all)
	return fmt.Sprint(b.String(), all, s.merger.keptAddress, min(s.merger.consecutiveShrinks[0], shrinkConfirmations), min(s.merger.consecutiveShrinks[1], shrinkConfirmations), len(s.retired))
}

// event is a possible input of a Merger. A failure must not remove a backend.
type event struct {
	name    string
	failure bool
	do      func(m *Merger, retired map[string]bool) []Entry
}

// events returns all possible events for n backends at n addresses.
func events(n int) (all []event) {
	for i := range n {
		for _, state := range []policy.EndpointState{policy.EndpointRunning, policy.EndpointDraining, policy.EndpointRemoved} {
			all = append(all, event{fmt.Sprint("discovery ", i, " ", state), false, func(m *Merger, retired map[string]bool) []Entry {
				if state == policy.EndpointRunning {
					delete(retired, address(i))
				} else {
					retired[address(i)] = true
				}
				return m.UpdateDiscovered(1, []Entry{entry(i, i, state)}, false)
			}})
		}
	}
	for set := range 1 << n {
		var which []int
		var list []Entry
		for i := range n {
			if set>>i&1 == 1 {
				which = append(which, i)
				list = append(list, entry(i, i, policy.EndpointRunning))
			}
		}
		all = append(all, event{fmt.Sprint("srv ", which), set == 0, func(m *Merger, _ map[string]bool) []Entry {
			return m.UpdateResolved(1, observations(which...))
		}}, event{fmt.Sprint("snapshot ", which), set == 0, func(m *Merger, retired map[string]bool) []Entry {
			for _, i := range which {
				delete(retired, address(i))
			}
			return m.UpdateDiscovered(1, list, true)
		}})
	}
	for source := range numSources {
		all = append(all, event{fmt.Sprint("fail ", source), true, func(m *Merger, _ map[string]bool) []Entry {
			m.MarkDoubtful(source, "failed by the test")
			return nil
		}})
	}
	return all
}

// TestReachableStates explores the states that a few backends and two sources can reach, by every order of events. It
// checks that the invariants hold in each state, and that a drain and an SRV answer lead to the same fleet in either
// order. The states of two backends are explored completely; those of three up to a limit, to bound the duration
// (docs/results.md has a longer run).
func TestReachableStates(t *testing.T) {
	for _, c := range []struct{ backends, maxStates int }{{2, 1 << 30}, {3, 1500}} {
		t.Run(fmt.Sprint(c.backends, " backends"), func(t *testing.T) { exploreStates(t, c.backends, c.maxStates) })
	}
}

func exploreStates(t *testing.T, backends, maxStates int) {
	all := events(backends)
	first := newModelState()
	seen, queue := map[string]bool{first.key(): true}, []modelState{first}
	steps, pairs := 0, 0
	for len(queue) > 0 && len(seen) < maxStates {
		state := queue[0]
		queue = queue[1:]
		for _, e := range all {
			next, err := state.step(e.do, e.failure)
			steps++
			if err != nil {
				t.Fatalf("%s after %s: %v", e.name, state.key(), err)
			}
			if key := next.key(); !seen[key] {
				seen[key] = true
				queue = append(queue, next)
			}
		}
		for _, drain := range drainEvents(all, backends) {
			pairs += checkBothOrders(t, state, drain, all)
		}
	}
	t.Logf("%d backends: %d states, %d steps, %d pairs in both orders, %d states left", backends, len(seen), steps, pairs, len(queue))
	if len(seen) < 100 {
		t.Errorf("explored %d states, want at least 100", len(seen))
	}
}

// drainEvents returns the events by which discovery reports a drain.
func drainEvents(all []event, backends int) (some []event) {
	for i := range backends {
		some = append(some, all[3*i+1])
	}
	return some
}

// checkBothOrders compares the fleets after a drain and an SRV answer in either order, for each non-empty answer.
func checkBothOrders(t *testing.T, state modelState, drain event, all []event) (pairs int) {
	t.Helper()
	for _, answer := range all {
		if !strings.HasPrefix(answer.name, "srv") || answer.failure {
			continue
		}
		pairs++
		a, _ := state.step(drain.do, false) // errors are checked by exploreStates
		a, _ = a.step(answer.do, false)
		b, _ := state.step(answer.do, false)
		b, _ = b.step(drain.do, false)
		// Exception: the last running backend is kept although it is not named, and draining the others makes it the last.
		keptNone := a.merger.keptAddress == "" && b.merger.keptAddress == ""
		if keptNone && formatFleet(&a.merger) != formatFleet(&b.merger) {
			t.Fatalf("%s, then %s after %s: fleet %s; in the other order: %s", drain.name, answer.name, state.key(), formatFleet(&a.merger),
				formatFleet(&b.merger))
		}
	}
	return pairs
}

// TestRandomEvents checks the invariants on random sequences of events over more backends. rapid shrinks failing
// sequences.
func TestRandomEvents(t *testing.T) {
	all := events(5)
	rapid.Check(t, func(t *rapid.T) {
		s := newModelState()
		for _, k := range rapid.SliceOfN(rapid.IntRange(0, len(all)-1), 1, 60).Draw(t, "events") {
			var err error
			if s, err = s.step(all[k].do, all[k].failure); err != nil {
				t.Fatalf("%s: %v", all[k].name, err)
			}
		}
	})
}
