package main

import (
	"bytes"
	"context"
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

// Each form holds each entry once, and a filter holds.
func TestWrite(t *testing.T) {
	dir := t.TempDir()
	file, db := filepath.Join(dir, "o.toml"), filepath.Join(dir, "r.db")
	text := fmt.Sprintf("[record]\nmode = \"spool\"\ndirectory = %q\n[record.store]\nkind = \"sqlite\"\npath = %q\n", dir, db)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	s, err := sqlite.Open(db, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	b := sqlstore.Batch{Agent: "n1", Incarnation: "i", Place: "p"}
	for n := uint64(1); n <= 9; n++ {
		b.Rows = append(b.Rows, record.Row{State: record.StateAnswered, Entry: record.Entry{N: n, RequestID: fmt.Sprintf("t/%d,", n),
			Outcome: record.Outcome(1 + n%3), AnsweredAt: float64(1000 * n)}})
	}
	if err := s.Migrate(context.Background()); err != nil {
		t.Fatal(err)
	}
	if _, err := s.Put(context.Background(), b); err != nil {
		t.Fatal(err)
	}
	line := &recordLine{Settings: file}
	for _, c := range []struct {
		format  string
		s       selection
		limit   int
		entries int
		lines   int
	}{{"ndjson", selection{}, 0, 9, 9}, {"csv", selection{}, 0, 9, 10}, {"table", selection{}, 4, 4, 8},
		{"csv", selection{Outcome: "voided"}, 0, 3, 4}, {"ndjson", selection{From: "1970-01-01T00:00:08Z"}, 0, 2, 2}} {
		var out bytes.Buffer
		if err := write(line, c.s, c.limit, c.format, &out); err != nil {
			t.Fatal(err)
		}
		if n, lines := strings.Count(out.String(), "t/"), strings.Count(out.String(), "\n"); n != c.entries || lines != c.lines {
			t.Errorf("%+v: %d entries in %d lines\n%s", c, n, lines, out.String())
		}
	}
	for _, bad := range []string{"yesterday", "12", "2026-13-01T00:00:00Z"} {
		if err := write(line, selection{To: bad}, 0, "csv", &bytes.Buffer{}); err == nil || !strings.Contains(err.Error(), bad) {
			t.Errorf("%q: %v", bad, err)
		}
	}
	if err := (recordPrune{OlderThan: -1, Batch: 1}).Run(line); err == nil {
		t.Error("the future is pruned")
	}
	if err := (recordPrune{OlderThan: time.Hour, Batch: 2}).Run(line); err != nil {
		t.Error(err)
	}
	var out bytes.Buffer
	if write(line, selection{}, 0, "ndjson", &out); out.Len() > 0 {
		t.Errorf("left after pruning: %s", out.String())
	}
	if err := (recordVerify{}).Run(line); err != nil {
		t.Error(err)
	}
	if err := (recordStatus{}).Run(line); err != nil {
		t.Error(err)
	}
}
