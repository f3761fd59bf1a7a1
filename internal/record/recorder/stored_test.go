package recorder

import (
	"bytes"
	"cmp"
	"database/sql"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"testing"
	"time"

	"onyxgate/internal/record"
	"onyxgate/internal/record/spool"
	"onyxgate/internal/record/sqlstore"
	"onyxgate/internal/units"
)

// storedData was written by the program at commit a848032: a spool of two instances (n1: two incarnations, segments
// left after failed writes, a gap, a torn tail; n2: a flipped bit in its first segment), and an SQLite store to which
// that program had exported some of n1's rows when it was stopped. expected.json holds what that program itself read,
// exported and found in its audits.
const storedData = "testdata/a848032"

// storedInstance is what the old program read, exported and found for one instance.
type storedInstance struct {
	AuditSpool   []Finding         `json:"audit_spool"` // before the export
	AuditStore   []Finding         `json:"audit_store"` // after the export
	Rows         []sqlstore.Row    `json:"rows"`
	Gaps         []sqlstore.GapRow `json:"gaps"`
	Through      map[string]uint64 `json:"through"` // by incarnation
	Closed       map[string]bool   `json:"closed"`
	StoredBefore int               `json:"stored_before"` // rows of the instance in record.db
}

func expectedOfStoredData(t *testing.T) map[string]storedInstance {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(storedData, "expected.json"))
	if err != nil {
		t.Fatal(err)
	}
	var expected struct {
		Instances map[string]storedInstance `json:"agents"`
	}
	if err := json.Unmarshal(text, &expected); err != nil {
		t.Fatal(err)
	}
	for _, instance := range expected.Instances {
		slices.SortFunc(instance.Rows, byOrdinal)
	}
	return expected.Instances
}

func byOrdinal(a, b sqlstore.Row) int {
	return cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Ordinal, b.Ordinal))
}

// copyStoredData copies the spool and the store and makes the copies usable. A spool records the directory in which it
// was created, and a store the directory from which an incarnation is exported, so that copies are rejected. Here only
// the copy is ever used, so the directory ID of the copy is written to both, and the check itself stays enabled.
func copyStoredData(t *testing.T) Config {
	t.Helper()
	dir := t.TempDir()
	if err := os.CopyFS(dir, os.DirFS(storedData)); err != nil {
		t.Fatal(err)
	}
	config := DefaultConfig()
	config.Mode, config.Directory = "spool", filepath.Join(dir, "spool")
	config.Store.Kind, config.Store.Path, config.Store.MaxBatchRows = "sqlite", filepath.Join(dir, "record.db"), 7
	config.Store.BatchWait = units.Span(10 * time.Millisecond)
	db, err := sql.Open("sqlite", config.Store.Path)
	if err != nil {
		t.Fatal(err)
	}
	defer db.Close()
	owners, err := filepath.Glob(filepath.Join(config.Directory, "*", "*", "owner.json"))
	if err != nil || len(owners) != 3 {
		t.Fatalf("owner files = %v, error %v, want 3 files", owners, err)
	}
	for _, file := range owners {
		place, err := spool.Disk{}.DirID(filepath.Dir(file))
		if err != nil {
			t.Fatal(err)
		}
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		var owner map[string]string
		if err := json.Unmarshal(text, &owner); err != nil {
			t.Fatal(err)
		}
		owner["place"] = place
		if text, err = json.Marshal(owner); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(file, text, 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := db.ExecContext(t.Context(), "update onyxgate_incarnation set place = ? where incarnation = ?", place,
			owner["incarnation"]); err != nil {
			t.Fatal(err)
		}
	}
	return config
}

// TestStoredDataRead checks that each row that the old program exported is read from its spool.
func TestStoredDataRead(t *testing.T) {
	for instance, want := range expectedOfStoredData(t) {
		t.Run(instance, func(t *testing.T) {
			rows, gaps := rowsOfSpool(t, copyStoredData(t).Directory, instance)
			for i := range want.Rows {
				want.Rows[i].BodyDigest, want.Rows[i].KeyDigest = "", "" // compared by TestStoredDataShip
			}
			if !slices.Equal(rows, want.Rows) || gaps != len(want.Gaps) {
				t.Errorf("%d gaps, rows\n%+v\nwant %d gaps, rows\n%+v", gaps, rows, len(want.Gaps), want.Rows)
			}
		})
	}
}

// rowsOfSpool reads all rows in the spool of an instance, without digests.
func rowsOfSpool(t *testing.T, directory, instance string) (rows []sqlstore.Row, gaps int) {
	t.Helper()
	opened, err := spool.Open(spool.Disk{}, directory, instance)
	if err != nil {
		t.Fatal(err)
	}
	defer opened.Close()
	for _, incarnation := range opened.Incarnations() {
		for _, row := range rowsOfIncarnation(t, opened.NewReader(incarnation, true)) {
			if row.Gap != nil {
				gaps++
				continue
			}
			entry := row.Entry
			rows = append(rows, sqlstore.Row{
				Instance: instance, Incarnation: incarnation, Ordinal: entry.Ordinal, State: row.State.String(),
				RequestID: entry.RequestID,
				Class:     entry.Class, Outcome: entry.Outcome.String(), Reason: entry.Reason, Release: entry.Release,
				Backend: entry.Backend, Attempts: entry.Attempts, ArrivedAt: entry.ArrivedAt, AnsweredAt: entry.AnsweredAt,
			})
		}
	}
	slices.SortFunc(rows, byOrdinal)
	return rows, gaps
}

// TestStoredDataShip checks that exports to a new store and to the one that the old program left partly filled store
// the rows that the old program exported, each once.
func TestStoredDataShip(t *testing.T) {
	expected := expectedOfStoredData(t)
	t.Run("new store", func(t *testing.T) {
		config := copyStoredData(t)
		config.Store.Path = filepath.Join(t.TempDir(), "new.db")
		shipStoredData(t, config, expected)
	})
	t.Run("existing store", func(t *testing.T) {
		config := copyStoredData(t)
		store := openStore(t, config)
		for instance, want := range expected {
			if before := len(storedRows(t, store, instance)); before != want.StoredBefore {
				t.Errorf("%s: %d rows in the store before the export, want %d", instance, before, want.StoredBefore)
			}
		}
		shipStoredData(t, config, expected)
	})
}

func shipStoredData(t *testing.T, config Config, expected map[string]storedInstance) {
	t.Helper()
	store := openStore(t, config)
	for instance, want := range expected {
		if err := Ship(t.Context(), config, instance, func(uint64, uint64) {}); err != nil {
			t.Fatal(err)
		}
		checkStored(t, store, instance, want)
	}
	for instance, want := range map[string]int{"n1": 0, "n2": 1} { // the files of a damaged incarnation are kept
		if incarnations := spool.OpenReadOnly(spool.Disk{}, config.Directory, instance).Incarnations(); len(incarnations) != want {
			t.Errorf("%s: incarnations left in the spool = %v, want %d", instance, incarnations, want)
		}
	}
}

// TestStoredDataAudit checks that audits of the spool before the export and of the store after it find the same as the
// old program's.
func TestStoredDataAudit(t *testing.T) {
	config := copyStoredData(t)
	for instance, want := range expectedOfStoredData(t) {
		t.Run(instance, func(t *testing.T) {
			spoolOnly, storeOnly := config, config
			spoolOnly.Store.Kind = "none"
			storeOnly.Directory = t.TempDir()
			if found := audit(t, spoolOnly, instance); !slices.Equal(found, want.AuditSpool) {
				t.Errorf("audit of the spool found %+v\nwant %+v", found, want.AuditSpool)
			}
			if err := Ship(t.Context(), config, instance, func(uint64, uint64) {}); err != nil {
				t.Fatal(err)
			}
			if found := audit(t, storeOnly, instance); !slices.Equal(found, want.AuditStore) {
				t.Errorf("audit of the store found %+v\nwant %+v", found, want.AuditStore)
			}
		})
	}
}

func audit(t *testing.T, config Config, instance string) (found []Finding) {
	t.Helper()
	if err := Audit(t.Context(), config, instance, func(f Finding) { found = append(found, f) }, func(int) {}); err != nil {
		t.Fatal(err)
	}
	return found
}

func storedRows(t *testing.T, store *sqlstore.Store, instance string) (rows []sqlstore.Row) {
	t.Helper()
	if err := store.Select(t.Context(), sqlstore.Filter{Instance: instance}, func(r sqlstore.Row) error {
		rows = append(rows, r)
		return nil
	}); err != nil {
		t.Fatal(err)
	}
	slices.SortFunc(rows, byOrdinal)
	return rows
}

func checkStored(t *testing.T, store *sqlstore.Store, instance string, want storedInstance) {
	t.Helper()
	if rows := storedRows(t, store, instance); !slices.Equal(rows, want.Rows) {
		t.Errorf("%s: rows\n%+v\nwant\n%+v", instance, rows, want.Rows)
	}
	var gaps []sqlstore.GapRow
	if err := store.Gaps(t.Context(), instance, func(g sqlstore.GapRow) error {
		gaps = append(gaps, g)
		return nil
	}); err != nil {
		t.Fatal(err)
	}
	if !slices.Equal(gaps, want.Gaps) {
		t.Errorf("%s: gaps\n%+v\nwant\n%+v", instance, gaps, want.Gaps)
	}
	through, closed := map[string]uint64{}, map[string]bool{}
	for incarnation := range want.Through {
		var err error
		if through[incarnation], closed[incarnation], err = store.Progress(t.Context(), incarnation); err != nil {
			t.Fatal(err)
		}
	}
	if !reflect.DeepEqual(through, want.Through) || !reflect.DeepEqual(closed, want.Closed) {
		t.Errorf("%s: through = %v, closed = %v, want %v, %v", instance, through, closed, want.Through, want.Closed)
	}
}

// TestStoredDataEncode checks that frames written by the old program are encoded to the same bytes today.
func TestStoredDataEncode(t *testing.T) {
	files, err := filepath.Glob(filepath.Join(storedData, "spool", "n1", "*", "*.seg"))
	if err != nil || len(files) != 7 {
		t.Fatalf("segments = %v, error %v, want 7 segments", files, err)
	}
	kinds := map[record.Kind]int{}
	for _, file := range files {
		segment, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for len(segment) > 0 {
			frame, size, err := record.ParseFrame(segment)
			if errors.Is(err, record.ErrShortFrame) {
				break // the rest is a short write
			}
			if err != nil {
				t.Fatalf("%s: parse frame: %v", file, err)
			}
			value, err := record.Decode(frame.Payload)
			if err != nil {
				t.Fatalf("%s: decode frame %d: %v", file, frame.Ordinal, err)
			}
			kind := record.Kind(frame.Payload[0])
			kinds[kind]++
			encoded := record.AppendFrame(nil, frame.Ordinal, frame.Chain, record.Encode(kind, value))
			if !bytes.Equal(encoded, segment[:size]) {
				t.Errorf("%s: frame %d is encoded as %x, want %x", file, frame.Ordinal, encoded, segment[:size])
			}
			segment = segment[size:]
		}
	}
	want := map[record.Kind]int{record.KindHeader: 7, record.KindEntry: 60, record.KindCompletions: 35, record.KindGap: 1}
	if !reflect.DeepEqual(kinds, want) {
		t.Errorf("frames by kind = %v, want %v", kinds, want)
	}
}
