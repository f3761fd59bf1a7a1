package release

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// TestApply checks the state of one release after a sequence of updates of it and of other releases.
func TestApply(t *testing.T) {
	rollingOut := func(release ID, stage int, limit float64) Update { return Update{release, stage, RollingOut, limit} }
	released := func(release ID) Update { return Update{release, 2, Released, 1} }
	rollingBack := func(release ID, limit float64) Update { return Update{release, 0, RollingBack, limit} }
	withdrawn := func(release ID) Update { return Update{release, 0, Withdrawn, 0} }
	for _, tc := range []struct {
		name    string
		updates []Update
		id      ID
		phase   Phase
		stage   int
		limit   float64
		limited bool
		last    UpdateResult
	}{
		{"rolling out", []Update{released(1), rollingOut(2, 0, 0.1)}, 2, RollingOut, 0, 0.1, true, Changed},
		{"the next stage", []Update{rollingOut(2, 0, 0.1), rollingOut(2, 1, 0.5)}, 2, RollingOut, 1, 0.5, true, Changed},
		{"late update of an earlier stage", []Update{rollingOut(2, 1, 0.5), rollingOut(2, 0, 0.1)}, 2, RollingOut, 1, 0.5, true, StaleUpdate},
		{"the same update again", []Update{rollingOut(2, 1, 0.5), rollingOut(2, 1, 0.5)}, 2, RollingOut, 1, 0.5, true, NoChange},
		{"lower cap in the same stage", []Update{rollingOut(2, 1, 0.5), rollingOut(2, 1, 0.3)}, 2, RollingOut, 1, 0.3, true, Changed},
		{"higher cap in the same stage", []Update{rollingOut(2, 1, 0.3), rollingOut(2, 1, 0.5)}, 2, RollingOut, 1, 0.3, true, NoChange},
		{"released", []Update{rollingOut(2, 1, 0.5), released(2)}, 2, Released, 2, 1, false, Changed},
		{"late rolling-out update after the release", []Update{released(2), rollingOut(2, 1, 0.5)}, 2, Released, 2, 1, false, StaleUpdate},
		{"released, then rolled back", []Update{released(2), rollingBack(2, 0.2)}, 2, RollingBack, 0, 0.2, true, Changed},
		{"late released update during the rollback", []Update{rollingBack(2, 0.2), released(2)}, 2, RollingBack, 0, 0.2, true, StaleUpdate},
		{"late rolling-out update during the rollback", []Update{rollingOut(2, 0, 0.1), rollingBack(2, 0), rollingOut(2, 0, 0.1)}, 2, RollingBack, 0, 0, true, StaleUpdate},
		{"cap raised during the rollback", []Update{rollingOut(2, 0, 0.1), rollingBack(2, 0.2)}, 2, RollingBack, 0, 0.1, true, Changed},
		{"cap lowered during the rollback", []Update{released(2), rollingBack(2, 0.2), rollingBack(2, 0), rollingBack(2, 0.2)}, 2, RollingBack, 0, 0, true, NoChange},
		{"withdrawn", []Update{rollingOut(2, 0, 0.1), rollingBack(2, 0), withdrawn(2)}, 2, Withdrawn, 0, 0, true, Changed},
		{"late rolling-back update after the withdrawal", []Update{withdrawn(2), rollingBack(2, 0.2)}, 2, Withdrawn, 0, 0, true, StaleUpdate},
		{"next release announced after the withdrawal", []Update{withdrawn(2), rollingOut(3, 0, 0.1)}, 2, Withdrawn, 0, 0, true, Changed},
		{"next release announced during the rollback", []Update{rollingBack(2, 0.2), rollingOut(3, 0, 0.1)}, 2, Withdrawn, 0, 0, true, Changed},
		{"next release announced during the rollout", []Update{rollingOut(2, 0, 0.2), rollingOut(3, 0, 0.1)}, 2, RollingOut, 0, 0.2, true, Changed},
		{"superseded, then a late released update", []Update{rollingOut(2, 0, 0.2), rollingOut(3, 0, 0.1), released(2)}, 2, Released, 2, 1, false, Changed},
		{"superseded, then a late rolling-back update", []Update{rollingOut(2, 0, 0.2), rollingOut(3, 0, 0.1), rollingBack(2, 0.2)}, 2, Withdrawn, 0, 0, true, Changed},
		{"announced after a later release", []Update{rollingOut(3, 0, 0.1), rollingOut(2, 0, 0.2)}, 2, RollingOut, 0, 0.2, true, Changed},
		{"update of the previous release", []Update{released(2), rollingOut(3, 0, 0.1), released(2)}, 3, RollingOut, 0, 0.1, true, NoChange},
		{"no update, earlier than the newest", []Update{rollingOut(3, 0, 0.1)}, 2, Released, 0, 1, false, Changed},
		{"no update, later than the newest", []Update{withdrawn(2)}, 3, RollingOut, 0, 0.08, true, Changed},
	} {
		t.Run(tc.name, func(t *testing.T) {
			registry := NewRegistry(0.08)
			var last UpdateResult
			for _, update := range tc.updates {
				last = registry.Apply(update)
			}
			record := registry.Record(tc.id)
			limit, limited := registry.Cap(tc.id)
			got := fmt.Sprint(record.Phase, record.Stage, limit, limited, last)
			if want := fmt.Sprint(tc.phase, tc.stage, tc.limit, tc.limited, tc.last); got != want {
				t.Errorf("release %d: phase, stage, cap, limited, last result = %s, want %s", tc.id, got, want)
			}
		})
	}
}

// A release that is listed before its first update counts as being in its first stage. If no update for it ever
// arrives, the announcement of a later release does not lift its cap, but InferReleased does.
func TestListedBeforeFirstUpdate(t *testing.T) {
	registry := NewRegistry(0.08)
	if registry.OnListed(7) {
		t.Error("OnListed(7) before any announcement = true, want false")
	}
	registry.Apply(Update{2, 0, Withdrawn, 0})
	for _, c := range []struct {
		release ID
		early   bool
	}{{1, false}, {2, false}, {3, true}, {3, false}} {
		if early := registry.OnListed(c.release); early != c.early {
			t.Errorf("OnListed(%d) = %v, want %v", c.release, early, c.early)
		}
	}
	registry.Apply(Update{4, 0, RollingOut, 0.1})
	if limit, limited := registry.Cap(3); !limited || limit != 0.08 {
		t.Errorf("Cap(3) without an update, after release 4 was announced = %v, %v, want 0.08, true", limit, limited)
	}
	registry.InferReleased(3)
	if _, limited := registry.Cap(3); limited {
		t.Errorf("Cap(3) after InferReleased(3): limited = %v, want false", limited)
	}
	registry.InferReleased(2)
	if limit, limited := registry.Cap(2); !limited || limit != 0 {
		t.Errorf("Cap(2) of a withdrawn release after InferReleased(2) = %v, %v, want 0, true", limit, limited)
	}
}

// Before any update the oldest listed release counts as released, and later ones as being in their first stage.
func TestNothingAnnounced(t *testing.T) {
	registry := NewRegistry(0.08)
	registry.SetOldestListed(4)
	if _, limited := registry.Cap(4); limited {
		t.Errorf("Cap(4) of the oldest listed release: limited = %v, want false", limited)
	}
	if limit, limited := registry.Cap(5); !limited || limit != 0.08 {
		t.Errorf("Cap(5) of a later release = %v, %v, want 0.08, true", limit, limited)
	}
}

// checkRegistry compares a registry with the updates that it got: no release may be in a lower phase than its
// furthest update, withdrawn releases must be closed, and Newest must return the highest announced release.
func checkRegistry(t *rapid.T, registry *Registry, furthest map[ID]Phase, newest ID) {
	if record, known := registry.Newest(); !known || record.Release != newest {
		t.Fatalf("Newest() = release %d, %v, want release %d", record.Release, known, newest)
	}
	for id, phase := range furthest {
		if got := registry.Record(id).Phase; got.rank() < phase.rank() {
			t.Fatalf("release %d: phase %v, want %v or later", id, got, phase)
		}
		if limit, limited := registry.Cap(id); phase == Withdrawn && (!limited || limit > 0) {
			t.Fatalf("Cap(%d) of a withdrawn release = %v, %v, want 0, true", id, limit, limited)
		}
	}
}

// Whatever the order and number of updates, no release is in a lower phase than its furthest update, a withdrawn
// release stays closed, and the newest release stays the newest.
func TestUpdatesInAnyOrder(t *testing.T) {
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
			if previous, announced := furthest[update.Release]; !announced || update.Phase.rank() > previous.rank() {
				furthest[update.Release] = update.Phase
			}
			newest = max(newest, update.Release)
			checkRegistry(t, registry, furthest, newest)
		}
	})
}
