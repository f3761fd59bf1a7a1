package spool_test

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"

	"onyxgate/internal/fake/memfs"
	"onyxgate/internal/record"
	"onyxgate/internal/record/spool"
)

// A reader that follows a writer reads each row once, across new segments and pruning.
func TestReaderFollowsWriter(t *testing.T) {
	i := newIncarnation(t, memfs.New())
	reader := i.spool.NewReader(i.writer.Incarnation, false)
	read, freed := 0, int64(0)
	for k := range 200 {
		ordinal, _ := i.ledger.AddEntry(i.now, record.Entry{RequestID: fmt.Sprint(k)})
		i.write()
		i.ledger.AddCompletion(i.now, ordinal, true)
		i.now += 300
		if k%7 != 0 {
			continue
		}
		for more := true; more; {
			var rows []record.Row
			rows, more = readNext(t, reader)
			for _, row := range rows {
				if row.Entry.RequestID != fmt.Sprint(read) {
					t.Fatalf("read request %s, want %d", row.Entry.RequestID, read)
				}
				read++
			}
		}
		pruned, err := i.spool.Prune(i.writer.Incarnation, min(i.ledger.CurrentSegment(), reader.Segment()), reader.Replay.FinalThrough())
		if freed += pruned; err != nil {
			t.Fatal(err)
		}
	}
	if read < 190 || freed == 0 || len(reader.Replay.Defects) > 0 {
		t.Errorf("read %d rows, freed %d bytes, defects = %v, want at least 190 rows, some bytes, no defects",
			read, freed, reader.Replay.Defects)
	}
}

// On the host's file system, only one process can open a spool, and a copied directory is rejected until it is adopted.
func TestDiskLockAndAdopt(t *testing.T) {
	root := t.TempDir()
	s, err := spool.Open(spool.Disk{}, root, "a/b c")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := spool.Open(spool.Disk{}, root, "a/b c"); !errors.Is(err, spool.ErrLocked) {
		t.Errorf("second Open: error %v, want %v", err, spool.ErrLocked)
	}
	w, err := s.NewIncarnation()
	if err != nil {
		t.Fatal(err)
	}
	l := record.NewLedger(smallLedger("a/b c", w.Incarnation, 0))
	l.AddEntry(1, record.Entry{RequestID: "x"})
	next := l.NextIO(1)
	if wrote, err := w.Execute(next); err != nil || wrote != len(next.Bytes) || s.Bytes() != int64(wrote) {
		t.Fatalf("Execute wrote %d of %d bytes, spool has %d, error %v, want all bytes and no error",
			wrote, len(next.Bytes), s.Bytes(), err)
	}
	w.Close()
	s.Close()
	if instances, err := spool.Instances(spool.Disk{}, root); err != nil || len(instances) != 1 || instances[0] != "a/b c" {
		t.Errorf("Instances = %v, error %v, want [a/b c], nil", instances, err)
	}

	copied := t.TempDir()
	from, to := spool.Join(root, "a%2Fb%20c", w.Incarnation), spool.Join(copied, "a%2Fb%20c", w.Incarnation)
	if err := (spool.Disk{}).MkdirAll(to); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{spool.OwnerName, spool.SegmentName(1)} {
		text, err := os.ReadFile(spool.Join(from, name))
		if err != nil {
			t.Fatal(err)
		}
		writeFile(t, spool.Disk{}, spool.Join(to, name), text)
	}
	if _, err := spool.Open(spool.Disk{}, copied, "a/b c"); !errors.Is(err, spool.ErrCopied) || !strings.Contains(err.Error(), "adopt") {
		t.Errorf("Open of a copied directory: error %v, want %v with a hint to adopt it", err, spool.ErrCopied)
	}
	if adopted, err := spool.Adopt(spool.Disk{}, copied, "a/b c"); err != nil || len(adopted) != 1 {
		t.Errorf("Adopt = %v, error %v, want one incarnation, nil", adopted, err)
	}
	s, err = spool.Open(spool.Disk{}, copied, "a/b c")
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	r := s.NewReader(w.Incarnation, true)
	rows, _, err := r.Next()
	if err != nil || len(rows) != 1 || rows[0].State != record.StateInDoubt {
		t.Errorf("Next = %v, error %v, want one row in state %v, nil", rows, err, record.StateInDoubt)
	}
	if freed, err := s.RemoveIncarnation(w.Incarnation); err != nil || freed == 0 || len(s.Incarnations()) != 0 {
		t.Errorf("RemoveIncarnation freed %d bytes, error %v, %v left, want some bytes, nil, none left",
			freed, err, s.Incarnations())
	}
}
