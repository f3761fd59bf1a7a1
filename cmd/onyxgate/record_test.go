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

// nineEntries makes settings and a store with entries 1 to 9, answered a second after each other from 1970 on, three of each
// outcome.
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

// Each form holds each entry once, and a filter holds.
func TestWrite(t *testing.T) {
	line := nineEntries(t)
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
			if err := writeEntries(line, c.selected, c.limit, c.format, &out); err != nil {
				t.Fatal(err)
			}
			entries, lines := strings.Count(out.String(), "t/"), strings.Count(out.String(), "\n")
			if entries != c.entries || lines != c.lines {
				t.Errorf("%d entries in %d lines, want %d in %d\n%s", entries, lines, c.entries, c.lines, out.String())
			}
		})
	}
	for _, bad := range []string{"yesterday", "12", "2026-13-01T00:00:00Z"} {
		t.Run("a time that is none: "+bad, func(t *testing.T) {
			err := writeEntries(line, selection{To: bad}, 0, "csv", &bytes.Buffer{})
			if err == nil || !strings.Contains(err.Error(), bad) {
				t.Errorf("%q: %v", bad, err)
			}
		})
	}
}

// Old entries go, and what is left can still be looked at.
func TestRecordPrune(t *testing.T) {
	line := nineEntries(t)
	if err := (recordPrune{OlderThan: -1, Batch: 1}).Run(line); err == nil {
		t.Error("the future is pruned")
	}
	if err := (recordPrune{OlderThan: time.Hour, Batch: 2}).Run(line); err != nil {
		t.Error(err)
	}
	var out bytes.Buffer
	if err := writeEntries(line, selection{}, 0, "ndjson", &out); err != nil {
		t.Error(err)
	}
	if out.Len() > 0 {
		t.Errorf("left after pruning: %s", out.String())
	}
	if err := (recordVerify{}).Run(line); err != nil {
		t.Error(err)
	}
	if err := (recordStatus{}).Run(line); err != nil {
		t.Error(err)
	}
}
