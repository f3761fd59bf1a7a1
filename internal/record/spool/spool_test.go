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

// A reader that follows a writer gets each row once, over turns of segments and prunes.
func TestFollow(t *testing.T) {
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
					t.Fatalf("%s after %d", row.Entry.RequestID, read-1)
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
		t.Errorf("%d read, %d bytes freed, %v", read, freed, reader.Replay.Defects)
	}
}

// On the host's own file system: one process at a time, and a copied directory is refused until it is adopted.
func TestDisk(t *testing.T) {
	root := t.TempDir()
	s, err := spool.Open(spool.Disk{}, root, "a/b c")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := spool.Open(spool.Disk{}, root, "a/b c"); !errors.Is(err, spool.ErrLocked) {
		t.Errorf("a second process gets in: %v", err)
	}
	w, err := s.NewIncarnation()
	if err != nil {
		t.Fatal(err)
	}
	l := record.NewLedger(smallLedger("a/b c", w.Incarnation, 0))
	l.AddEntry(1, record.Entry{RequestID: "x"})
	next := l.NextIO(1)
	if wrote, err := w.Execute(next); err != nil || wrote != len(next.Bytes) || s.Bytes() != int64(wrote) {
		t.Fatalf("%d of %d bytes, %d used, %v", wrote, len(next.Bytes), s.Bytes(), err)
	}
	w.Close()
	s.Close()
	if instances, err := spool.Instances(spool.Disk{}, root); err != nil || len(instances) != 1 || instances[0] != "a/b c" {
		t.Errorf("%v %v", instances, err)
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
		t.Errorf("a copied directory: %v", err)
	}
	if adopted, err := spool.Adopt(spool.Disk{}, copied, "a/b c"); err != nil || len(adopted) != 1 {
		t.Errorf("adopted %v, %v", adopted, err)
	}
	s, err = spool.Open(spool.Disk{}, copied, "a/b c")
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	r := s.NewReader(w.Incarnation, true)
	rows, _, err := r.Next()
	if err != nil || len(rows) != 1 || rows[0].State != record.StateInDoubt {
		t.Errorf("%v %v", rows, err)
	}
	if freed, err := s.RemoveIncarnation(w.Incarnation); err != nil || freed == 0 || len(s.Incarnations()) != 0 {
		t.Errorf("%d freed, %v, %v left", freed, err, s.Incarnations())
	}
}
