package sqlstore_test

import (
	"errors"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"onyxgate/internal/record"
	"onyxgate/internal/record/sqlstore"
)

// Both stores keep each row once, however often it is put, and return it unchanged.
func TestStoresKeepEachRowOnce(t *testing.T) {
	sqliteStore := openSQLite(t, filepath.Join(t.TempDir(), "a b?.db"), time.Second)
	postgresStore, _ := newPipeStore(t, filepath.Join(t.TempDir(), "pg"), "right")
	for name, store := range map[string]*sqlstore.Store{"sqlite": sqliteStore, "postgres": postgresStore} {
		t.Run(name, func(t *testing.T) {
			fill(t, store)
			expectFilled(t, store)
		})
	}
	t.Run("filters", func(t *testing.T) { checkFilters(t, sqliteStore) })
	t.Run("prune", func(t *testing.T) { checkPrune(t, sqliteStore) })
	t.Run("visit error", func(t *testing.T) {
		stop := errors.New("stop")
		err := sqliteStore.Select(t.Context(), sqlstore.Filter{}, func(sqlstore.Row) error { return stop })
		if !errors.Is(err, stop) {
			t.Errorf("Select: error %v, want %v", err, stop)
		}
	})
	t.Run("checkpoint", func(t *testing.T) {
		if err := sqliteStore.Checkpoint(t.Context()); err != nil {
			t.Error(err)
		}
	})
}

// fill stores entries 1 to 31, except for 21, which is a gap. Some are put repeatedly, and another spool directory
// tries too.
func fill(t *testing.T, store *sqlstore.Store) {
	t.Helper()
	for range 2 { // the second time the schema exists
		migrate(t, store)
	}
	withGap := batch(1, 20, 20)
	gap := record.Gap{Ordinal: 21, Counts: [4]uint64{0, 3, 2, 1}, From: 5, To: 6, Cause: "full"}
	withGap.Rows = append(withGap.Rows, record.Row{Gap: &gap})
	for _, b := range []sqlstore.Batch{withGap, withGap, batch(10, 30, 30), batch(1, 5, 5)} { // some rows are put more than once
		put(t, store, b)
	}
	other := batch(31, 32, 32)
	other.DirID = "elsewhere"
	_, err := store.Put(t.Context(), other)
	if !errors.Is(err, sqlstore.ErrForeign) || store.Classify(err) != record.ExportForeign {
		t.Errorf("Put from another directory: error %v is classified as %v, want %v",
			err, store.Classify(err), record.ExportForeign)
	}
	closed := batch(31, 31, 31)
	closed.Closed = true
	put(t, store, closed)
}

func expectFilled(t *testing.T, store *sqlstore.Store) {
	t.Helper()
	if through, closed, err := store.Progress(t.Context(), "i1"); through != 31 || !closed || err != nil {
		t.Errorf("Progress = %d, %v, error %v, want 31, true, nil", through, closed, err)
	}
	if through, _, err := store.Progress(t.Context(), "unknown"); through != 0 || err != nil {
		t.Errorf("Progress of an unknown incarnation = %d, error %v, want 0, nil", through, err)
	}
	rows := selectAll(t, store, sqlstore.Filter{})
	want := sqlstore.Row{
		Instance: "n1", Incarnation: "i1", Ordinal: 7, State: "given", RequestID: "t'\"\\7", Class: "p",
		Outcome: "settled", Reason: "answered", Release: 2, Backend: "a", Attempts: 1, ArrivedAt: 1.25, AnsweredAt: 7.5,
		BodyDigest: "01" + strings.Repeat("0", 30),
	}
	if len(rows) != 31 {
		t.Errorf("%d rows selected, want 31", len(rows))
	}
	if !slices.Contains(rows, want) {
		t.Errorf("rows = %+v, want one to be %+v", rows, want)
	}
	gaps := 0
	if err := store.Gaps(t.Context(), "", func(gap sqlstore.GapRow) error {
		gaps++
		want := sqlstore.GapRow{
			Instance: "n1", Incarnation: "i1", Ordinal: 21, Served: 3, Rejected: 2, Failed: 1, From: 5, To: 6, Cause: "full",
		}
		if gap != want {
			t.Errorf("gap = %+v, want %+v", gap, want)
		}
		return nil
	}); err != nil {
		t.Error(err)
	}
	if gaps != 1 {
		t.Errorf("%d gaps, want 1", gaps)
	}
	if n, err := store.CountDuplicates(t.Context()); n != 0 || err != nil {
		t.Errorf("CountDuplicates = %d, error %v, want 0, nil", n, err)
	}
}

func checkFilters(t *testing.T, store *sqlstore.Store) {
	t.Helper()
	for _, c := range []struct {
		name   string
		filter sqlstore.Filter
		want   int
	}{
		{"by time", sqlstore.Filter{From: 10, To: 20}, 10},
		{"by request", sqlstore.Filter{RequestID: "t'\"\\3"}, 1},
		{"by instance", sqlstore.Filter{Instance: "n2"}, 0},
		{"by several fields, limited", sqlstore.Filter{State: "given", Outcome: "settled", Class: "p", Limit: 7}, 7},
	} {
		t.Run(c.name, func(t *testing.T) {
			if rows := selectAll(t, store, c.filter); len(rows) != c.want {
				t.Errorf("Select(%+v): %d rows, want %d", c.filter, len(rows), c.want)
			}
		})
	}
}

func checkPrune(t *testing.T, store *sqlstore.Store) {
	t.Helper()
	if n, err := store.Prune(t.Context(), 10, 5); n != 5 || err != nil {
		t.Errorf("Prune = %d, error %v, want 5, nil", n, err)
	}
	counted := int64(0)
	if err := store.Count(t.Context(), sqlstore.Filter{}, func(group sqlstore.GroupCount) error {
		counted += group.Entries
		return nil
	}); err != nil {
		t.Error(err)
	}
	if counted != 26 {
		t.Errorf("%d entries left, want 26", counted)
	}
}
