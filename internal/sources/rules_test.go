package sources

import (
	"testing"

	"onyxgate/policy"
)

// TestRules checks the fleet after sequences of reports that exercise each of the merge rules.
func TestRules(t *testing.T) {
	run, drain, removed := policy.EndpointRunning, policy.EndpointDraining, policy.EndpointRemoved
	list := func(snapshot bool, e ...Entry) func(*Merger) {
		return func(m *Merger) { m.UpdateDiscovered(1, e, snapshot) }
	}
	srv := func(which ...int) func(*Merger) {
		return func(m *Merger) { m.UpdateResolved(1, observations(which...)) }
	}
	at := func(now float64, which ...int) func(*Merger) {
		return func(m *Merger) { m.UpdateResolved(now, observations(which...)) }
	}
	for _, c := range []struct {
		name string
		do   []func(*Merger)
		want string
	}{
		{"discovery alone", []func(*Merger){list(true, entry(1, 1, run), entry(2, 2, drain))}, "a1@1:1 0 listed, a2@2:1 1 draining"},
		{"SRV adds", []func(*Merger){list(true, entry(1, 1, run)), srv(1, 2)}, "a1@1:1 0 listed, srv:10.0.0.2:1@2:1 0 named"},
		{"SRV first, then discovery lists the same address", []func(*Merger){srv(1, 2), list(true, entry(1, 1, run))}, "a1@1:1 0 listed, srv:10.0.0.2:1@2:1 0 named"},
		{"SRV names a draining backend", []func(*Merger){list(true, entry(1, 1, run), entry(2, 2, drain)), srv(1, 2)}, "a1@1:1 0 listed, a2@2:1 1 draining"},
		{"SRV names a drained backend after it was removed", []func(*Merger){list(true, entry(1, 1, run), entry(2, 2, drain)), srv(1, 2), list(false, entry(2, 2, removed)), srv(1, 2), srv(1, 2)}, "a1@1:1 0 listed"},
		{"SRV names a draining backend while discovery is silent", []func(*Merger){list(true, entry(1, 1, run)), list(false, entry(2, 2, drain)), func(m *Merger) { m.MarkDoubtful(Discovery, "silent") }, srv(1, 2)}, "a1@1:1 0 listed, a2@2:1 1 draining"},
		{"SRV names a removed backend until its address is listed again", []func(*Merger){list(true, entry(1, 1, run)), list(false, entry(2, 2, removed)), srv(1, 2), list(false, entry(3, 2, run))}, "a1@1:1 0 listed, a3@2:1 0 listed"},
		{"a retired address named again much later is a new backend", []func(*Merger){list(true, entry(1, 1, run)), list(false, entry(2, 2, removed)), srv(1, 3, 2), srv(1, 3), at(70_000, 1, 3), at(70_001, 1, 3, 2)}, "a1@1:1 0 listed, srv:10.0.0.2:1@2:1 0 named, srv:10.0.0.3:1@3:1 0 named"},
		{"SRV omits a backend once", []func(*Merger){srv(1, 2, 3), srv(1, 2)}, "srv:10.0.0.1:1@1:1 0 named, srv:10.0.0.2:1@2:1 0 named, srv:10.0.0.3:1@3:1 0 named"},
		{"SRV omits a backend twice", []func(*Merger){srv(1, 2, 3), srv(1, 2), srv(1, 2)}, "srv:10.0.0.1:1@1:1 0 named, srv:10.0.0.2:1@2:1 0 named"},
		{"SRV shrinks by more than half twice", []func(*Merger){srv(1, 2, 3), srv(1), srv(1)}, "srv:10.0.0.1:1@1:1 0 named, srv:10.0.0.2:1@2:1 0 named, srv:10.0.0.3:1@3:1 0 named"},
		{"SRV shrinks by more than half repeatedly", []func(*Merger){srv(1, 2, 3), srv(1), srv(1), srv(1), srv(1)}, "srv:10.0.0.1:1@1:1 0 named"},
		{"SRV stays empty", []func(*Merger){srv(1, 2), srv(), srv(), srv(), srv(), srv()}, "srv:10.0.0.1:1@1:1 0 named, srv:10.0.0.2:1@2:1 0 named"},
		{"discovery stays empty", []func(*Merger){list(true, entry(1, 1, run)), list(true), list(true), list(true), list(true)}, "a1@1:1 0 listed"},
		{"discovery omits one of three", []func(*Merger){list(true, entry(1, 1, run), entry(2, 2, run), entry(3, 3, run)), list(true, entry(1, 1, run), entry(2, 2, run)), srv(1, 2, 3)}, "a1@1:1 0 listed, a2@2:1 0 listed"},
		{"an address moves to another id", []func(*Merger){list(true, entry(1, 1, run)), list(false, entry(2, 1, run))}, "a2@1:1 0 listed"},
		{"the removal of an address's old id arrives late", []func(*Merger){list(true, entry(1, 1, run)), list(false, entry(2, 1, run)), list(false, entry(1, 1, removed)), srv(1)}, "a2@1:1 0 listed"},
		{"an id moves to another address", []func(*Merger){list(true, entry(1, 1, run)), list(false, entry(1, 2, run)), srv(1, 2)}, "a1@2:1 0 listed, srv:10.0.0.1:1@1:1 0 named"},
		{"SRV names an address twice", []func(*Merger){func(m *Merger) { m.UpdateResolved(1, append(observations(1), Observation{address(1), 5, 9})) }}, "srv:10.0.0.1:1@1:1 0 named"},
		{"spares are unused while others run", []func(*Merger){list(true, entry(1, 1, run)), func(m *Merger) { m.UpdateResolved(1, append(observations(2), Observation{address(3), 5, 1})) }}, "a1@1:1 0 listed, srv:10.0.0.2:1@2:1 0 named"},
		{"all spares are used once no primary runs", []func(*Merger){list(true, entry(1, 1, run)), func(m *Merger) {
			m.UpdateResolved(1, append(observations(2), Observation{address(3), 5, 1}, Observation{address(4), 5, 1}))
		}, list(false, entry(1, 1, removed)), list(false, entry(2, 2, drain))}, "a2@2:1 1 draining, srv:10.0.0.3:1@3:1 0 reserve, srv:10.0.0.4:1@4:1 0 reserve"},
		{"spares stay in use after the next answer", []func(*Merger){list(true, entry(2, 2, drain)), func(m *Merger) { m.UpdateResolved(1, append(observations(2), Observation{address(3), 5, 1})) }, func(m *Merger) { m.UpdateResolved(1, append(observations(2), Observation{address(3), 5, 1})) }}, "a2@2:1 1 draining, srv:10.0.0.3:1@3:1 0 reserve"},
		{"spares are removed once a primary runs", []func(*Merger){list(true, entry(2, 2, drain)), func(m *Merger) { m.UpdateResolved(1, append(observations(2), Observation{address(3), 5, 1})) }, list(false, entry(5, 5, run))}, "a2@2:1 1 draining, a5@5:1 0 listed"},
		{"a backend that only SRV named expires", []func(*Merger){list(true, entry(1, 1, run)), srv(2), func(m *Merger) { m.MarkDoubtful(SRV, "dead"); m.Expire(maxResolvedAgeMs + 2) }}, "a1@1:1 0 listed"},
		{"the last running backend never expires", []func(*Merger){srv(2), func(m *Merger) { m.MarkDoubtful(SRV, "dead"); m.Expire(maxResolvedAgeMs + 2) }}, "srv:10.0.0.2:1@2:1 0 named"},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := New()
			for _, do := range c.do {
				do(m)
			}
			if got := formatFleet(m); got != c.want {
				t.Errorf("got  %s\nwant %s", got, c.want)
			}
		})
	}
}

// A backend that only SRV names has an unknown release, counts as started when it was first named, and gets its
// weight relative to the mean of the answer.
func TestResolvedEntries(t *testing.T) {
	m := New()
	changes := m.UpdateResolved(7, []Observation{{address(1), 1, 30}, {address(2), 1, 10}, {address(3), 1, 0}})
	if len(changes) != 3 {
		t.Fatalf("%d changes, want 3", len(changes))
	}
	for i, weight := range []float64{2.25, 0.75, minWeight} {
		if e := changes[i]; e.Release != policy.UnknownRelease || e.StartedAt != 7 || e.Weight != weight {
			t.Errorf("change %d = %+v, want release %v, start 7 and weight %v", i, e, policy.UnknownRelease, weight)
		}
	}
	if again := m.UpdateResolved(9, []Observation{{address(1), 1, 30}, {address(2), 1, 10}, {address(3), 1, 0}}); len(again) != 0 {
		t.Errorf("changes after an unchanged answer = %+v, want none", again)
	}
}
