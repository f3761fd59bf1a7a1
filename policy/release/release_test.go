package release

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// Where a release stands after updates in this order, told of it and of others.
func TestTell(t *testing.T) {
	trial := func(release ID, stage int, limit float64) Update { return Update{release, stage, RollingOut, limit} }
	out := func(release ID) Update { return Update{release, 2, Released, 1} }
	back := func(release ID, limit float64) Update { return Update{release, 0, RollingBack, limit} }
	gone := func(release ID) Update { return Update{release, 0, Withdrawn, 0} }
	for _, c := range []struct {
		name    string
		updates []Update
		of      ID
		phase   Phase
		stage   int
		limit   float64
		limited bool
		last    Change
	}{
		{"on trial", []Update{out(1), trial(2, 0, 0.1)}, 2, RollingOut, 0, 0.1, true, Moved},
		{"the next stage", []Update{trial(2, 0, 0.1), trial(2, 1, 0.5)}, 2, RollingOut, 1, 0.5, true, Moved},
		{"a stage before, late", []Update{trial(2, 1, 0.5), trial(2, 0, 0.1)}, 2, RollingOut, 1, 0.5, true, StaleUpdate},
		{"told again", []Update{trial(2, 1, 0.5), trial(2, 1, 0.5)}, 2, RollingOut, 1, 0.5, true, NoChange},
		{"a lower cap in a stage", []Update{trial(2, 1, 0.5), trial(2, 1, 0.3)}, 2, RollingOut, 1, 0.3, true, Moved},
		{"a higher cap in a stage", []Update{trial(2, 1, 0.3), trial(2, 1, 0.5)}, 2, RollingOut, 1, 0.3, true, NoChange},
		{"released", []Update{trial(2, 1, 0.5), out(2)}, 2, Released, 2, 1, false, Moved},
		{"on trial, late, when released", []Update{out(2), trial(2, 1, 0.5)}, 2, Released, 2, 1, false, StaleUpdate},
		{"released, then sent back", []Update{out(2), back(2, 0.2)}, 2, RollingBack, 0, 0.2, true, Moved},
		{"released, late, when going back", []Update{back(2, 0.2), out(2)}, 2, RollingBack, 0, 0.2, true, StaleUpdate},
		{"on trial, late, when going back", []Update{trial(2, 0, 0.1), back(2, 0), trial(2, 0, 0.1)}, 2, RollingBack, 0, 0, true, StaleUpdate},
		{"a cap that rises on the way back", []Update{trial(2, 0, 0.1), back(2, 0.2)}, 2, RollingBack, 0, 0.1, true, Moved},
		{"a cap that falls on the way back", []Update{out(2), back(2, 0.2), back(2, 0), back(2, 0.2)}, 2, RollingBack, 0, 0, true, NoChange},
		{"withdrawn", []Update{trial(2, 0, 0.1), back(2, 0), gone(2)}, 2, Withdrawn, 0, 0, true, Moved},
		{"going back, late, when withdrawn", []Update{gone(2), back(2, 0.2)}, 2, Withdrawn, 0, 0, true, StaleUpdate},
		{"withdrawn, and the next one comes", []Update{gone(2), trial(3, 0, 0.1)}, 2, Withdrawn, 0, 0, true, Moved},
		{"going back, and the next one comes", []Update{back(2, 0.2), trial(3, 0, 0.1)}, 2, Withdrawn, 0, 0, true, Moved},
		{"on trial, and the next one comes", []Update{trial(2, 0, 0.2), trial(3, 0, 0.1)}, 2, RollingOut, 0, 0.2, true, Moved},
		{"its end told late", []Update{trial(2, 0, 0.2), trial(3, 0, 0.1), out(2)}, 2, Released, 2, 1, false, Moved},
		{"its withdrawal told late", []Update{trial(2, 0, 0.2), trial(3, 0, 0.1), back(2, 0.2)}, 2, Withdrawn, 0, 0, true, Moved},
		{"first told of after the next one", []Update{trial(3, 0, 0.1), trial(2, 0, 0.2)}, 2, RollingOut, 0, 0.2, true, Moved},
		{"an answer on the one before", []Update{out(2), trial(3, 0, 0.1), out(2)}, 3, RollingOut, 0, 0.1, true, NoChange},
		{"nothing told, an earlier one", []Update{trial(3, 0, 0.1)}, 2, Released, 0, 1, false, Moved},
		{"nothing told, a later one", []Update{gone(2)}, 3, RollingOut, 0, 0.08, true, Moved},
	} {
		b := NewBook(0.08)
		var last Change
		for _, u := range c.updates {
			last = b.Apply(u)
		}
		r := b.Record(c.of)
		limit, limited := b.Cap(c.of)
		got := fmt.Sprint(r.Phase, r.Stage, limit, limited, last)
		if want := fmt.Sprint(c.phase, c.stage, c.limit, c.limited, c.last); got != want {
			t.Errorf("%s: got %s, want %s", c.name, got, want)
		}
	}
}

// A release that is listed before its news stands in the first stage, and what was listed and never told of is not opened by
// the announcement of one behind it.
func TestListed(t *testing.T) {
	b := NewBook(0.08)
	if b.OnListed(7) {
		t.Error("before any news everything is as it was")
	}
	b.Apply(Update{2, 0, Withdrawn, 0})
	for _, c := range []struct {
		release ID
		early   bool
	}{{1, false}, {2, false}, {3, true}, {3, false}} {
		if early := b.OnListed(c.release); early != c.early {
			t.Errorf("release %d: early %v", c.release, early)
		}
	}
	b.Apply(Update{4, 0, RollingOut, 0.1})
	if limit, limited := b.Cap(3); !limited || limit != 0.08 {
		t.Errorf("never told of, with 4 announced: cap %v, limited %v", limit, limited)
	}
	b.MarkPrevailing(3)
	if _, limited := b.Cap(3); limited {
		t.Error("it runs on most backends, and is still limited")
	}
	b.MarkPrevailing(2)
	if limit, limited := b.Cap(2); !limited || limit != 0 {
		t.Error("a withdrawn release was opened by what runs")
	}
}

// Before any news the oldest listed release is the fleet's, and later ones stand in the first stage.
func TestNothingTold(t *testing.T) {
	b := NewBook(0.08)
	b.SetOldestListed(4)
	if _, limited := b.Cap(4); limited {
		t.Error("the fleet's own release is limited")
	}
	if limit, limited := b.Cap(5); !limited || limit != 0.08 {
		t.Error("a later release is not")
	}
}

// In whatever order and however often updates come, each release ends where the furthest of its own updates puts it: no phase
// goes back, a withdrawn release stays closed, and the newest stays the newest.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBook(0.08)
		furthest, newest := map[ID]Phase{}, ID(0)
		closed := map[ID]bool{}
		for range rapid.IntRange(1, 40).Draw(t, "updates") {
			u := Update{
				Release: ID(rapid.IntRange(1, 4).Draw(t, "release")), Stage: rapid.IntRange(0, 2).Draw(t, "stage"),
				Phase: Phase(rapid.IntRange(0, 3).Draw(t, "phase")), Cap: float64(rapid.IntRange(0, 4).Draw(t, "cap")) / 4,
			}
			if rapid.Bool().Draw(t, "listed first") {
				b.OnListed(u.Release)
			}
			b.Apply(u)
			if was, told := furthest[u.Release]; !told || u.Phase.rank() > was.rank() {
				furthest[u.Release] = u.Phase
			}
			newest = max(newest, u.Release)
			closed[u.Release] = closed[u.Release] || u.Phase == Withdrawn
			if n, known := b.Newest(); !known || n.Release != newest {
				t.Fatalf("newest is %d, not %d", n.Release, newest)
			}
			for release, phase := range furthest {
				if got := b.Record(release).Phase; got.rank() < phase.rank() {
					t.Fatalf("release %d: %v after %v", release, got, phase)
				}
				if limit, limited := b.Cap(release); closed[release] && (!limited || limit > 0) {
					t.Fatalf("release %d is withdrawn, and open with %v", release, limit)
				}
			}
		}
	})
}
