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

func address(i int) string { return fmt.Sprint("10.0.0.", i, ":1") }

func entry(id, at int, state policy.EndpointState) Entry {
	return Entry{Endpoint: policy.Endpoint{ID: fmt.Sprint("a", id), Release: 1, State: state, Weight: 1}, Address: address(at)}
}

func claims(which ...int) (out []Observation) {
	for _, i := range which {
		out = append(out, Observation{address(i), 0, 1})
	}
	return out
}

// shown is the fleet in words: id, address, state and the rule that decided.
func shown(m *Merger) string {
	var all []string
	m.Fleet().Each(func(id string, e Entry) {
		all = append(all, fmt.Sprintf("%s@%s %d %s", id, e.Address[len("10.0.0."):], e.State, e.Rule))
	})
	slices.Sort(all)
	return strings.Join(all, ", ")
}

// The rule, row by row.
func TestRules(t *testing.T) {
	run, drain, gone := policy.EndpointRunning, policy.EndpointDraining, policy.EndpointRemoved
	list := func(whole bool, e ...Entry) func(*Merger) { return func(m *Merger) { m.UpdateDiscovered(1, e, whole) } }
	srv := func(which ...int) func(*Merger) { return func(m *Merger) { m.UpdateResolved(1, claims(which...)) } }
	at := func(now float64, which ...int) func(*Merger) {
		return func(m *Merger) { m.UpdateResolved(now, claims(which...)) }
	}
	for _, c := range []struct {
		name string
		do   []func(*Merger)
		want string
	}{
		{"discovery alone", []func(*Merger){list(true, entry(1, 1, run), entry(2, 2, drain))}, "a1@1:1 0 listed, a2@2:1 1 draining"},
		{"SRV adds", []func(*Merger){list(true, entry(1, 1, run)), srv(1, 2)}, "a1@1:1 0 listed, srv:10.0.0.2:1@2:1 0 named"},
		{"SRV first, then discovery lists the same", []func(*Merger){srv(1, 2), list(true, entry(1, 1, run))}, "a1@1:1 0 listed, srv:10.0.0.2:1@2:1 0 named"},
		{"SRV names one that drains", []func(*Merger){list(true, entry(1, 1, run), entry(2, 2, drain)), srv(1, 2)}, "a1@1:1 0 listed, a2@2:1 1 draining"},
		{"and after it is gone", []func(*Merger){list(true, entry(1, 1, run), entry(2, 2, drain)), srv(1, 2), list(false, entry(2, 2, gone)), srv(1, 2), srv(1, 2)}, "a1@1:1 0 listed"},
		{"and when discovery falls silent", []func(*Merger){list(true, entry(1, 1, run)), list(false, entry(2, 2, drain)), func(m *Merger) { m.MarkDoubtful(Discovery, "silent") }, srv(1, 2)}, "a1@1:1 0 listed, a2@2:1 1 draining"},
		{"and until it is listed anew", []func(*Merger){list(true, entry(1, 1, run)), list(false, entry(2, 2, gone)), srv(1, 2), list(false, entry(3, 2, run))}, "a1@1:1 0 listed, a3@2:1 0 listed"},
		{"a new one at an address that ended, named again long after", []func(*Merger){list(true, entry(1, 1, run)), list(false, entry(2, 2, gone)), srv(1, 3, 2), srv(1, 3), at(70_000, 1, 3), at(70_001, 1, 3, 2)}, "a1@1:1 0 listed, srv:10.0.0.2:1@2:1 0 named, srv:10.0.0.3:1@3:1 0 named"},
		{"SRV leaves one out once", []func(*Merger){srv(1, 2, 3), srv(1, 2)}, "srv:10.0.0.1:1@1:1 0 named, srv:10.0.0.2:1@2:1 0 named, srv:10.0.0.3:1@3:1 0 named"},
		{"and twice", []func(*Merger){srv(1, 2, 3), srv(1, 2), srv(1, 2)}, "srv:10.0.0.1:1@1:1 0 named, srv:10.0.0.2:1@2:1 0 named"},
		{"SRV shrinks by more than half", []func(*Merger){srv(1, 2, 3), srv(1), srv(1)}, "srv:10.0.0.1:1@1:1 0 named, srv:10.0.0.2:1@2:1 0 named, srv:10.0.0.3:1@3:1 0 named"},
		{"and says so again and again", []func(*Merger){srv(1, 2, 3), srv(1), srv(1), srv(1), srv(1)}, "srv:10.0.0.1:1@1:1 0 named"},
		{"SRV empty for ever", []func(*Merger){srv(1, 2), srv(), srv(), srv(), srv(), srv()}, "srv:10.0.0.1:1@1:1 0 named, srv:10.0.0.2:1@2:1 0 named"},
		{"discovery empty for ever", []func(*Merger){list(true, entry(1, 1, run)), list(true), list(true), list(true), list(true)}, "a1@1:1 0 listed"},
		{"discovery leaves one of three out", []func(*Merger){list(true, entry(1, 1, run), entry(2, 2, run), entry(3, 3, run)), list(true, entry(1, 1, run), entry(2, 2, run)), srv(1, 2, 3)}, "a1@1:1 0 listed, a2@2:1 0 listed"},
		{"an address goes over to another id", []func(*Merger){list(true, entry(1, 1, run)), list(false, entry(2, 1, run))}, "a2@1:1 0 listed"},
		{"and the old one's end comes late", []func(*Merger){list(true, entry(1, 1, run)), list(false, entry(2, 1, run)), list(false, entry(1, 1, gone)), srv(1)}, "a2@1:1 0 listed"},
		{"an id moves", []func(*Merger){list(true, entry(1, 1, run)), list(false, entry(1, 2, run)), srv(1, 2)}, "a1@2:1 0 listed, srv:10.0.0.1:1@1:1 0 named"},
		{"the same address twice", []func(*Merger){func(m *Merger) { m.UpdateResolved(1, append(claims(1), Observation{address(1), 5, 9})) }}, "srv:10.0.0.1:1@1:1 0 named"},
		{"spares stay out while others stand", []func(*Merger){list(true, entry(1, 1, run)), func(m *Merger) { m.UpdateResolved(1, append(claims(2), Observation{address(3), 5, 1})) }}, "a1@1:1 0 listed, srv:10.0.0.2:1@2:1 0 named"},
		{"and come in, all, once nobody does", []func(*Merger){list(true, entry(1, 1, run)), func(m *Merger) {
			m.UpdateResolved(1, append(claims(2), Observation{address(3), 5, 1}, Observation{address(4), 5, 1}))
		}, list(false, entry(1, 1, gone)), list(false, entry(2, 2, drain))}, "a2@2:1 1 draining, srv:10.0.0.3:1@3:1 0 reserve, srv:10.0.0.4:1@4:1 0 reserve"},
		{"and stay so at the next answer", []func(*Merger){list(true, entry(2, 2, drain)), func(m *Merger) { m.UpdateResolved(1, append(claims(2), Observation{address(3), 5, 1})) }, func(m *Merger) { m.UpdateResolved(1, append(claims(2), Observation{address(3), 5, 1})) }}, "a2@2:1 1 draining, srv:10.0.0.3:1@3:1 0 reserve"},
		{"and go out again", []func(*Merger){list(true, entry(2, 2, drain)), func(m *Merger) { m.UpdateResolved(1, append(claims(2), Observation{address(3), 5, 1})) }, list(false, entry(5, 5, run))}, "a2@2:1 1 draining, a5@5:1 0 listed"},
		{"what only SRV told, long ago", []func(*Merger){list(true, entry(1, 1, run)), srv(2), func(m *Merger) { m.MarkDoubtful(SRV, "dead"); m.Expire(maxResolvedAgeMs + 2) }}, "a1@1:1 0 listed"},
		{"but never the last one", []func(*Merger){srv(2), func(m *Merger) { m.MarkDoubtful(SRV, "dead"); m.Expire(maxResolvedAgeMs + 2) }}, "srv:10.0.0.2:1@2:1 0 named"},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := New()
			for _, do := range c.do {
				do(m)
			}
			if got := shown(m); got != c.want {
				t.Errorf("got  %s\nwant %s", got, c.want)
			}
		})
	}
}

// What SRV adds is on trial in the first stage, cold from when it was first named, and rated by its weight.
func TestAdded(t *testing.T) {
	m := New()
	changes := m.UpdateResolved(7, []Observation{{address(1), 1, 30}, {address(2), 1, 10}, {address(3), 1, 0}})
	if len(changes) != 3 {
		t.Fatalf("%d changes", len(changes))
	}
	for i, rating := range []float64{2.25, 0.75, minWeight} {
		if e := changes[i]; e.Release != policy.UnknownRelease || e.StartedAt != 7 || e.Weight != rating {
			t.Errorf("%+v, want a rating of %v", e, rating)
		}
	}
	if again := m.UpdateResolved(9, []Observation{{address(1), 1, 30}, {address(2), 1, 10}, {address(3), 1, 0}}); len(again) != 0 {
		t.Errorf("told again: %+v", again)
	}
}

// world is a merge with what a reader of the changes has, and what discovery has told to end.
type world struct {
	m      Merger
	reader map[string]Entry
	closed map[string]bool // addresses that drained or went, and were not listed as running since
}

// step applies one event and looks at what must hold whatever came before.
func (w world) step(event func(m *Merger, closed map[string]bool) []Entry, failure bool) (world, error) {
	n := world{m: w.m, reader: maps.Clone(w.reader), closed: maps.Clone(w.closed)}
	before := n.m.fleet.Running
	for _, e := range event(&n.m, n.closed) {
		if e.State == policy.EndpointRemoved {
			delete(n.reader, e.ID)
		} else {
			n.reader[e.ID] = e
		}
	}
	running, at := 0, map[string]string{}
	var err error
	n.m.fleet.Each(func(id string, e Entry) {
		if n.reader[id] != e {
			err = fmt.Errorf("a reader of the changes has %+v, the fleet %+v", n.reader[id], e)
		}
		if e.State != policy.EndpointRunning {
			return
		}
		running++
		if other, twice := at[e.Address]; twice {
			err = fmt.Errorf("%s and %s both run at %s", other, id, e.Address)
		}
		at[e.Address] = id
		if n.closed[e.Address] {
			err = fmt.Errorf("%s runs at %s, which drained or went", id, e.Address)
		}
	})
	switch {
	case err != nil:
	case running != n.m.fleet.Running || len(n.reader) != n.m.fleet.Len():
		err = fmt.Errorf("%d run, %d are counted; a reader has %d of %d", running, n.m.fleet.Running, len(n.reader), n.m.fleet.Len())
	case failure && running < before:
		err = fmt.Errorf("a failure took %d of %d away", before-running, before)
	}
	return n, err
}

// key is all that the future depends on.
func (w world) key() string {
	var b strings.Builder
	b.WriteString(shown(&w.m))
	var all []string
	for i := w.m.discovered.Iterator(); !i.Done(); {
		id, e, _ := i.Next()
		all = append(all, fmt.Sprint("l", id, e.Address, e.State))
	}
	for i := w.m.retired.Iterator(); !i.Done(); {
		a, _, _ := i.Next()
		all = append(all, "e"+a)
	}
	for i := w.m.resolved.Iterator(); !i.Done(); {
		a, c, _ := i.Next()
		all = append(all, fmt.Sprint("s", a, c.missedAnswers))
	}
	slices.Sort(all)
	return fmt.Sprint(b.String(), all, w.m.lastKept, min(w.m.shrunkenInRow[0], shrinkConfirmations), min(w.m.shrunkenInRow[1], shrinkConfirmations), len(w.closed))
}

type event struct {
	name    string
	failure bool
	do      func(m *Merger, closed map[string]bool) []Entry
}

// events are all that can happen to n appliances at as many addresses.
func events(n int) (all []event) {
	for i := range n {
		for _, state := range []policy.EndpointState{policy.EndpointRunning, policy.EndpointDraining, policy.EndpointRemoved} {
			all = append(all, event{fmt.Sprint("discovery ", i, " ", state), false, func(m *Merger, closed map[string]bool) []Entry {
				if state == policy.EndpointRunning {
					delete(closed, address(i))
				} else {
					closed[address(i)] = true
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
			return m.UpdateResolved(1, claims(which...))
		}}, event{fmt.Sprint("whole ", which), set == 0, func(m *Merger, closed map[string]bool) []Entry {
			for _, i := range which {
				delete(closed, address(i))
			}
			return m.UpdateDiscovered(1, list, true)
		}})
	}
	for source := range 2 {
		all = append(all, event{fmt.Sprint("fail ", source), true, func(m *Merger, _ map[string]bool) []Entry {
			m.MarkDoubtful(source, "told to")
			return nil
		}})
	}
	return all
}

// Every state that some appliances and two sources can come to, by every order of events: nothing that must hold breaks,
// and a drain and an answer of SRV end in the same fleet in either order. Two appliances are explored whole; of three, as many
// states as a test has time for (docs/results.md has a longer run).
func TestModel(t *testing.T) {
	for _, c := range []struct{ appliances, most int }{{2, 1 << 30}, {3, 1500}} {
		all := events(c.appliances)
		first := world{*New(), map[string]Entry{}, map[string]bool{}}
		seen, queue := map[string]bool{first.key(): true}, []world{first}
		steps, pairs := 0, 0
		for len(queue) > 0 && len(seen) < c.most {
			w := queue[0]
			queue = queue[1:]
			for _, e := range all {
				next, err := w.step(e.do, e.failure)
				steps++
				if err != nil {
					t.Fatalf("%s after %s: %v", e.name, w.key(), err)
				}
				if k := next.key(); !seen[k] {
					seen[k] = true
					queue = append(queue, next)
				}
			}
			pairs += bothOrders(t, w, all, c.appliances)
		}
		t.Logf("%d appliances: %d states, %d steps, %d pairs in both orders, %d states left", c.appliances, len(seen), steps,
			pairs, len(queue))
		if len(seen) < 100 {
			t.Errorf("only %d states", len(seen))
		}
	}
}

// bothOrders compares a drain and an answer in either order, for each pair of them.
func bothOrders(t *testing.T, w world, all []event, appliances int) (pairs int) {
	for i := range appliances {
		drain := all[3*i+1]
		for _, e := range all {
			if !strings.HasPrefix(e.name, "srv") || e.failure {
				continue
			}
			pairs++
			a, _ := w.step(drain.do, false)
			a, _ = a.step(e.do, false)
			b, _ := w.step(e.do, false)
			b, _ = b.step(drain.do, false)
			// But for one: the last that runs is kept when it is not named, and a drain of the others makes it the last.
			if a.m.lastKept == "" && b.m.lastKept == "" && shown(&a.m) != shown(&b.m) {
				t.Fatalf("%s and %s after %s: %s, and in the other order %s", drain.name, e.name, w.key(), shown(&a.m),
					shown(&b.m))
			}
		}
	}
	return pairs
}

// Long runs over more appliances, by chance and shrunk where they fail.
func TestProperties(t *testing.T) {
	all := events(5)
	rapid.Check(t, func(t *rapid.T) {
		w := world{*New(), map[string]Entry{}, map[string]bool{}}
		for _, k := range rapid.SliceOfN(rapid.IntRange(0, len(all)-1), 1, 60).Draw(t, "events") {
			var err error
			if w, err = w.step(all[k].do, all[k].failure); err != nil {
				t.Fatalf("%s: %v", all[k].name, err)
			}
		}
	})
}

func BenchmarkMerge(b *testing.B) {
	for _, n := range []int{100, 1_000, 10_000} {
		m := New()
		var list []Entry
		var named []Observation
		for i := range n {
			e := Entry{Endpoint: policy.Endpoint{ID: fmt.Sprint("a", i), Release: 1, Weight: 1}, Address: fmt.Sprint("10.1.0.1:", i)}
			list, named = append(list, e), append(named, Observation{e.Address, 0, 1})
		}
		m.UpdateDiscovered(1, list, true)
		m.UpdateResolved(1, named)
		b.Run(fmt.Sprint("one change of ", n), func(b *testing.B) {
			for k := 0; b.Loop(); k++ {
				e := list[k%n]
				e.State = policy.EndpointState(k / n % 2)
				m.UpdateDiscovered(2, []Entry{e}, false)
			}
		})
		m.UpdateDiscovered(1, list, true)
		b.Run(fmt.Sprint("whole refresh of ", n), func(b *testing.B) {
			for b.Loop() {
				m.UpdateResolved(2, named)
				m.UpdateDiscovered(2, list, true)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/appliance")
		})
	}
}
