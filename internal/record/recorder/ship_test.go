package recorder

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"

	"onyxgate/internal/core"
	"onyxgate/internal/record"
	"onyxgate/internal/record/spool"
	"onyxgate/internal/record/sqlstore"
)

// answersPerIncarnation is the number of responses of each incarnation in TestShip. Of every hundred, one has no
// completion; half of the others are delivered.
const answersPerIncarnation = 300

// writeSpool runs an instance without a store and leaves its spool.
func writeSpool(t *testing.T, config Config, incarnation int) {
	t.Helper()
	config.Store.Kind = "none"
	r, err := New(testOptions(config))
	if err != nil {
		t.Fatal(err)
	}
	stop := start(r)
	defer stop()
	var answers sync.WaitGroup
	for i := range answersPerIncarnation {
		answers.Go(func() {
			completion := core.Completion{RequestID: fmt.Sprint(incarnation, "-", i), Kind: core.ActionFail, Now: r.now()}
			ordinal := r.BeforeResponse(completion, r.now()+1e6)
			if i%100 != 0 { // otherwise as if killed before the completion
				r.AfterResponse(ordinal, r.now(), i%2 == 0)
			}
		})
	}
	answers.Wait()
}

// Rows of earlier incarnations are stored exactly once, even if exporting is interrupted and repeated.
func TestShip(t *testing.T) {
	dir := t.TempDir()
	config := DefaultConfig()
	config.Mode, config.Directory = "spool", filepath.Join(dir, "spool")
	config.MaxSegmentBytes, config.MaxWriteBytes = 64<<10, 4<<10
	config.Store.Kind, config.Store.Path, config.Store.MaxBatchRows = "sqlite", filepath.Join(dir, "r.db"), 70
	const incarnations = 3
	for incarnation := range incarnations {
		writeSpool(t, config, incarnation)
	}
	store := openStore(t, config)
	for round, c := range []struct {
		name       string
		maxBatches int // number of batches; 0 for no limit
	}{{"interrupted", 4}, {"resumed", 0}, {"nothing left", 0}} {
		t.Run(c.name, func(t *testing.T) {
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			batches := 0
			err := Ship(ctx, config, "n1", func(uint64, uint64) {
				if batches++; batches == c.maxBatches {
					stop()
				}
			})
			if (err != nil) != (c.maxBatches > 0) || round == 2 && batches > 0 {
				t.Errorf("Ship: error %v after %d batches, want an error only if interrupted and no batches if "+
					"nothing is left", err, batches)
			}
		})
	}
	seen, states := map[string]bool{}, map[string]int{}
	if err := store.Select(t.Context(), sqlstore.Filter{}, func(row sqlstore.Row) error {
		if seen[row.RequestID] {
			t.Errorf("request %s is stored more than once", row.RequestID)
		}
		seen[row.RequestID] = true
		states[row.State]++
		return nil
	}); err != nil {
		t.Fatal(err)
	}
	if len(seen) != incarnations*answersPerIncarnation {
		t.Errorf("%d of %d requests are in the store", len(seen), incarnations*answersPerIncarnation)
	}
	if states["in doubt"] != incarnations*3 || states["given"] != incarnations*147 || states["unheard"] != incarnations*150 {
		t.Errorf("entries by state = %v, want %d in doubt, %d given, %d unheard",
			states, incarnations*3, incarnations*147, incarnations*150)
	}
	for _, finding := range audit(t, config, "") {
		if finding.Defect {
			t.Errorf("audit found a defect: %+v", finding)
		}
	}
}

// The store rejects an incarnation that another spool directory exports, and its files are kept.
func TestShipForeign(t *testing.T) {
	dir := t.TempDir()
	config := DefaultConfig()
	config.Mode, config.Directory = "spool", filepath.Join(dir, "spool")
	config.Store.Kind, config.Store.Path = "sqlite", filepath.Join(dir, "r.db")
	incarnation := oneEntry(t, config.Directory)
	store := openStore(t, config)
	if err := store.Migrate(t.Context()); err != nil {
		t.Fatal(err)
	}
	elsewhere := sqlstore.Batch{Instance: "n1", Incarnation: incarnation, DirID: "elsewhere"}
	if _, err := store.Put(t.Context(), elsewhere); err != nil {
		t.Fatal(err)
	}
	err := Ship(t.Context(), config, "n1", func(uint64, uint64) {})
	var refused *RefusedError
	if !errors.As(err, &refused) || refused.Result != record.ExportForeign || !strings.Contains(err.Error(), "foreign") {
		t.Errorf("Ship: error %v, want a RefusedError with result %v", err, record.ExportForeign)
	}
	if left := spool.OpenReadOnly(spool.Disk{}, config.Directory, "n1"); left.Bytes() == 0 {
		t.Errorf("spool of %d bytes left, want the incarnation's files", left.Bytes())
	}
}

// oneEntry leaves a spool with one entry.
func oneEntry(t *testing.T, directory string) (incarnation string) {
	t.Helper()
	opened, err := spool.Open(spool.Disk{}, directory, "n1")
	if err != nil {
		t.Fatal(err)
	}
	defer opened.Close()
	writer, err := opened.NewIncarnation()
	if err != nil {
		t.Fatal(err)
	}
	ledger := record.NewLedger(record.LedgerOptions{
		Instance: "n1", Incarnation: writer.Incarnation, Sync: true, MaxWriteBytes: 4096, MaxSegmentBytes: 1 << 20,
		MaxSpoolBytes: 1 << 20, MaxQueuedBytes: 1 << 18, CommitDelay: 100, StallAfter: 50,
	})
	ledger.AddEntry(1, record.Entry{RequestID: "x"})
	if _, err := writer.Execute(ledger.NextIO(1)); err != nil {
		t.Fatal(err)
	}
	if err := writer.Close(); err != nil {
		t.Fatal(err)
	}
	return writer.Incarnation
}

// Without a store, Ship returns ErrNoStore.
func TestShipWithoutStore(t *testing.T) {
	config := DefaultConfig()
	config.Mode, config.Directory = "spool", t.TempDir()
	if err := Ship(t.Context(), config, "n1", func(uint64, uint64) {}); !errors.Is(err, ErrNoStore) {
		t.Errorf("Ship without a store: error %v, want %v", err, ErrNoStore)
	}
}

// An earlier incarnation that can't be read is kept, and later incarnations are exported.
func TestShipUnreadable(t *testing.T) {
	dir := t.TempDir()
	config := DefaultConfig()
	config.Mode, config.Directory = "spool", filepath.Join(dir, "spool")
	config.Store.Kind, config.Store.Path = "sqlite", filepath.Join(dir, "r.db")
	whole, mixed := oneEntry(t, config.Directory), oneEntry(t, config.Directory)
	segment := func(incarnation, name string) string {
		return filepath.Join(config.Directory, "n1", incarnation, name)
	}
	text, err := os.ReadFile(segment(whole, "0000000001.seg"))
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(segment(mixed, "0000000002.seg"), text, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := Ship(t.Context(), config, "n1", func(uint64, uint64) {}); err != nil {
		t.Fatal(err)
	}
	for _, row := range storedRows(t, openStore(t, config), "n1") {
		if row.Incarnation != whole {
			t.Errorf("stored row = %+v, want only rows of incarnation %s", row, whole)
		}
	}
	if left := spool.OpenReadOnly(spool.Disk{}, config.Directory, "n1").Incarnations(); !slices.Equal(left, []string{mixed}) {
		t.Errorf("incarnations left in the spool = %v, want %v", left, mixed)
	}
}
