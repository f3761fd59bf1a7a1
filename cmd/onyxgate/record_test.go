package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"onyxgate/internal/record"
	"onyxgate/internal/record/sqlite"
	"onyxgate/internal/record/sqlstore"
)

// nineEntries creates a settings file and a store with entries 1 to 9. Entry n was answered at Unix second n; there are
// three entries of each outcome.
func nineEntries(t *testing.T) *recordCommands {
	t.Helper()
	dir := t.TempDir()
	file, db := filepath.Join(dir, "o.toml"), filepath.Join(dir, "r.db")
	text := fmt.Sprintf("[record]\nmode = \"spool\"\ndirectory = %q\n[record.store]\nkind = \"sqlite\"\npath = %q\n", dir, db)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	store, err := sqlite.Open(db, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := store.Close(); err != nil {
			t.Error(err)
		}
	})
	batch := sqlstore.Batch{Instance: "n1", Incarnation: "i", DirID: "p"}
	for n := uint64(1); n <= 9; n++ {
		batch.Rows = append(batch.Rows, record.Row{State: record.StateAnswered, Entry: record.Entry{
			Ordinal: n, RequestID: fmt.Sprintf("t/%d,", n), Outcome: record.Outcome(1 + n%3), AnsweredAt: float64(1000 * n),
		}})
	}
	if err := store.Migrate(t.Context()); err != nil {
		t.Fatal(err)
	}
	if _, err := store.Put(t.Context(), batch); err != nil {
		t.Fatal(err)
	}
	return &recordCommands{Settings: file}
}

// Each format contains every selected entry once, and filters are applied.
func TestWriteEntries(t *testing.T) {
	commands := nineEntries(t)
	for _, c := range []struct {
		name     string
		format   string
		selected selection
		limit    int
		entries  int
		lines    int
	}{
		{"ndjson", "ndjson", selection{}, 0, 9, 9},
		{"csv with a header", "csv", selection{}, 0, 9, 10},
		{"table with borders, limited", "table", selection{}, 4, 4, 8},
		{"by outcome", "csv", selection{Outcome: "voided"}, 0, 3, 4},
		{"by time", "ndjson", selection{From: "1970-01-01T00:00:08Z"}, 0, 2, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			var out bytes.Buffer
			if err := writeEntries(commands, c.selected, c.limit, c.format, &out); err != nil {
				t.Fatal(err)
			}
			entries, lines := strings.Count(out.String(), "t/"), strings.Count(out.String(), "\n")
			if entries != c.entries || lines != c.lines {
				t.Errorf("%d entries in %d lines, want %d in %d\n%s", entries, lines, c.entries, c.lines, out.String())
			}
		})
	}
	for _, bad := range []string{"yesterday", "12", "2026-13-01T00:00:00Z"} {
		t.Run("invalid time "+bad, func(t *testing.T) {
			err := writeEntries(commands, selection{To: bad}, 0, "csv", &bytes.Buffer{})
			if err == nil || !strings.Contains(err.Error(), bad) {
				t.Errorf("writeEntries with --to %q: error %v, want one that names the value", bad, err)
			}
		})
	}
}

// Pruning removes old entries, and the record can still be verified and shown afterwards.
func TestRecordPrune(t *testing.T) {
	commands := nineEntries(t)
	if err := (recordPrune{OlderThan: -1, Batch: 1}).Run(commands); err == nil {
		t.Error("pruning with a negative age succeeded, want an error")
	}
	if err := (recordPrune{OlderThan: time.Hour, Batch: 2}).Run(commands); err != nil {
		t.Errorf("prune: %v", err)
	}
	var out bytes.Buffer
	if err := writeEntries(commands, selection{}, 0, "ndjson", &out); err != nil {
		t.Errorf("list after pruning: %v", err)
	}
	if out.Len() > 0 {
		t.Errorf("entries after pruning: %s, want none", out.String())
	}
	if err := (recordVerify{}).Run(commands); err != nil {
		t.Errorf("verify after pruning: %v", err)
	}
	if err := (recordStatus{}).Run(commands); err != nil {
		t.Errorf("status after pruning: %v", err)
	}
}
