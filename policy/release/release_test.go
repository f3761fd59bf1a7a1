package release

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// The state of a release after updates on it and on others, in this order.
func TestApply(t *testing.T) {
	rollingOut := func(release ID, stage int, limit float64) Update { return Update{release, stage, RollingOut, limit} }
	released := func(release ID) Update { return Update{release, 2, Released, 1} }
	rollingBack := func(release ID, limit float64) Update { return Update{release, 0, RollingBack, limit} }
	withdrawn := func(release ID) Update { return Update{release, 0, Withdrawn, 0} }
	for _, tc := range []struct {
		name    string
		updates []Update
		of      ID
		phase   Phase
		stage   int
		limit   float64
		limited bool
		last    UpdateResult
	}{
		{"rolling out", []Update{released(1), rollingOut(2, 0, 0.1)}, 2, RollingOut, 0, 0.1, true, Changed},
		{"the next stage", []Update{rollingOut(2, 0, 0.1), rollingOut(2, 1, 0.5)}, 2, RollingOut, 1, 0.5, true, Changed},
		{"a stage before, late", []Update{rollingOut(2, 1, 0.5), rollingOut(2, 0, 0.1)}, 2, RollingOut, 1, 0.5, true, StaleUpdate},
		{"the same update again", []Update{rollingOut(2, 1, 0.5), rollingOut(2, 1, 0.5)}, 2, RollingOut, 1, 0.5, true, NoChange},
		{"a lower cap in a stage", []Update{rollingOut(2, 1, 0.5), rollingOut(2, 1, 0.3)}, 2, RollingOut, 1, 0.3, true, Changed},
		{"a higher cap in a stage", []Update{rollingOut(2, 1, 0.3), rollingOut(2, 1, 0.5)}, 2, RollingOut, 1, 0.3, true, NoChange},
		{"released", []Update{rollingOut(2, 1, 0.5), released(2)}, 2, Released, 2, 1, false, Changed},
		{"rolling out, late, when released", []Update{released(2), rollingOut(2, 1, 0.5)}, 2, Released, 2, 1, false, StaleUpdate},
		{"released, then rolled back", []Update{released(2), rollingBack(2, 0.2)}, 2, RollingBack, 0, 0.2, true, Changed},
		{"released, late, when rolling back", []Update{rollingBack(2, 0.2), released(2)}, 2, RollingBack, 0, 0.2, true, StaleUpdate},
		{"rolling out, late, when rolling back", []Update{rollingOut(2, 0, 0.1), rollingBack(2, 0), rollingOut(2, 0, 0.1)}, 2, RollingBack, 0, 0, true, StaleUpdate},
		{"a cap that rises during the rollback", []Update{rollingOut(2, 0, 0.1), rollingBack(2, 0.2)}, 2, RollingBack, 0, 0.1, true, Changed},
		{"a cap that falls during the rollback", []Update{released(2), rollingBack(2, 0.2), rollingBack(2, 0), rollingBack(2, 0.2)}, 2, RollingBack, 0, 0, true, NoChange},
		{"withdrawn", []Update{rollingOut(2, 0, 0.1), rollingBack(2, 0), withdrawn(2)}, 2, Withdrawn, 0, 0, true, Changed},
		{"rolling back, late, when withdrawn", []Update{withdrawn(2), rollingBack(2, 0.2)}, 2, Withdrawn, 0, 0, true, StaleUpdate},
		{"withdrawn, and the next one is announced", []Update{withdrawn(2), rollingOut(3, 0, 0.1)}, 2, Withdrawn, 0, 0, true, Changed},
		{"rolling back, and the next one is announced", []Update{rollingBack(2, 0.2), rollingOut(3, 0, 0.1)}, 2, Withdrawn, 0, 0, true, Changed},
		{"rolling out, and the next one is announced", []Update{rollingOut(2, 0, 0.2), rollingOut(3, 0, 0.1)}, 2, RollingOut, 0, 0.2, true, Changed},
		{"its release comes late", []Update{rollingOut(2, 0, 0.2), rollingOut(3, 0, 0.1), released(2)}, 2, Released, 2, 1, false, Changed},
		{"its rollback comes late", []Update{rollingOut(2, 0, 0.2), rollingOut(3, 0, 0.1), rollingBack(2, 0.2)}, 2, Withdrawn, 0, 0, true, Changed},
		{"announced after the next one", []Update{rollingOut(3, 0, 0.1), rollingOut(2, 0, 0.2)}, 2, RollingOut, 0, 0.2, true, Changed},
		{"an update on the one before", []Update{released(2), rollingOut(3, 0, 0.1), released(2)}, 3, RollingOut, 0, 0.1, true, NoChange},
		{"no update, an earlier one", []Update{rollingOut(3, 0, 0.1)}, 2, Released, 0, 1, false, Changed},
		{"no update, a later one", []Update{withdrawn(2)}, 3, RollingOut, 0, 0.08, true, Changed},
	} {
		t.Run(tc.name, func(t *testing.T) {
			registry := NewRegistry(0.08)
			var last UpdateResult
			for _, update := range tc.updates {
				last = registry.Apply(update)
			}
			record := registry.Record(tc.of)
			limit, limited := registry.Cap(tc.of)
			got := fmt.Sprint(record.Phase, record.Stage, limit, limited, last)
			if want := fmt.Sprint(tc.phase, tc.stage, tc.limit, tc.limited, tc.last); got != want {
				t.Errorf("got %s, want %s", got, want)
			}
		})
	}
}

// A release that is listed before its first update counts as in the first stage, and one that was listed and never got an update is not
// opened by the announcement of a later one.
func TestListed(t *testing.T) {
	b := NewRegistry(0.08)
	if b.OnListed(7) {
		t.Error("before any update every release counts as early")
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
		t.Errorf("no update on it, with 4 announced: cap %v, limited %v", limit, limited)
	}
	b.InferReleased(3)
	if _, limited := b.Cap(3); limited {
		t.Error("it runs on most backends, and is still limited")
	}
	b.InferReleased(2)
	if limit, limited := b.Cap(2); !limited || limit != 0 {
		t.Error("a withdrawn release was opened by running on most backends")
	}
}

// Before any update the oldest listed release is what the fleet runs, and later ones count as in the first stage.
func TestNothingAnnounced(t *testing.T) {
	b := NewRegistry(0.08)
	b.SetOldestListed(4)
	if _, limited := b.Cap(4); limited {
		t.Error("the release that the fleet runs is limited")
	}
	if limit, limited := b.Cap(5); !limited || limit != 0.08 {
		t.Error("a later release is not")
	}
}

// checkBook compares a book with what each release's own updates say: the furthest phase of each, the newest, and the withdrawn.
func checkRegistry(t *rapid.T, registry *Registry, furthest map[ID]Phase, newest ID) {
	if record, known := registry.Newest(); !known || record.Release != newest {
		t.Fatalf("newest is %d, not %d", record.Release, newest)
	}
	for id, phase := range furthest {
		if got := registry.Record(id).Phase; got.rank() < phase.rank() {
			t.Fatalf("release %d: %v after %v", id, got, phase)
		}
		if limit, limited := registry.Cap(id); phase == Withdrawn && (!limited || limit > 0) {
			t.Fatalf("release %d is withdrawn, and open with %v", id, limit)
		}
	}
}

// In whatever order and however often updates come, each release ends where the furthest of its own updates puts it: no phase
// goes back, a withdrawn release stays closed, and the newest stays the newest.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		registry, furthest, newest := NewRegistry(0.08), map[ID]Phase{}, ID(0)
		for range rapid.IntRange(1, 40).Draw(t, "updates") {
			update := Update{
				Release: ID(rapid.IntRange(1, 4).Draw(t, "release")),
				Stage:   rapid.IntRange(0, 2).Draw(t, "stage"),
				Phase:   Phase(rapid.IntRange(0, 3).Draw(t, "phase")),
				Cap:     float64(rapid.IntRange(0, 4).Draw(t, "cap")) / 4,
			}
			if rapid.Bool().Draw(t, "listed first") {
				registry.OnListed(update.Release)
			}
			registry.Apply(update)
			if was, announced := furthest[update.Release]; !announced || update.Phase.rank() > was.rank() {
				furthest[update.Release] = update.Phase
			}
			newest = max(newest, update.Release)
			checkRegistry(t, registry, furthest, newest)
		}
	})
}
