package spool_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"onyxgate/internal/fake/memfs"
	"onyxgate/internal/record"
	"onyxgate/internal/record/spool"
)

var errDisk = errors.New("no space left")

// smallLedger are the options of a ledger that begins a new segment every few entries.
func smallLedger(instance, incarnation string, spoolBytes int64) record.LedgerOptions {
	return record.LedgerOptions{
		Instance: instance, Incarnation: incarnation, Sync: true, MaxWriteBytes: 4096, MaxSegmentBytes: 2048,
		MaxSpoolBytes: 1 << 20, MaxQueuedBytes: 1 << 18, CommitDelay: 100, StallAfter: 50, SpoolBytes: spoolBytes,
	}
}

// life writes n entries, each with its end but the last, and leaves the spool as a kill would. It returns the ordinals
// that were durable before their answer, by txn.
func life(t *testing.T, m *memfs.FS, name string, n int) (incarnation string, durable map[string]bool) {
	t.Helper()
	s, err := spool.Open(m, "root", "n1")
	if err != nil {
		t.Fatal(err)
	}
	w, err := s.Begin()
	if err != nil {
		t.Fatal(err)
	}
	l := record.NewLedger(smallLedger("n1", w.Incarnation, s.Bytes()))
	durable = map[string]bool{}
	now := 0.0
	work := func() {
		for {
			x := l.NextIO(now)
			if x.Idle() {
				return
			}
			wrote, err := w.Do(x)
			l.Completed(now, wrote, err == nil)
		}
	}
	ordinals := map[string]uint64{}
	for i := range n {
		txn := fmt.Sprint(name, i)
		ordinals[txn], _ = l.AddEntry(now, record.Entry{RequestID: txn, Outcome: record.OutcomeServed})
		for range 30 { // pauses after failures pass
			work()
			now += 100
		}
		if l.Confirmed() >= ordinals[txn] {
			durable[txn] = true
		}
		if i < n-1 {
			l.AddCompletion(now, ordinals[txn], true)
		}
	}
	for range 5 {
		work()
		now += 300
	}
	for txn, o := range ordinals {
		if l.Confirmed() >= o {
			durable[txn] = true
		}
	}
	return w.Incarnation, durable
}

// all reads an incarnation that nobody writes.
func all(t *testing.T, m *memfs.FS, incarnation string) (*spool.Reader, map[string]record.State) {
	t.Helper()
	r := spool.View(m, "root", "n1").Read(incarnation, true)
	got := map[string]record.State{}
	for more := true; more; {
		var rows []record.Row
		var err error
		if rows, more, err = r.Next(); err != nil {
			t.Fatal(err)
		}
		for _, row := range rows {
			if _, twice := got[row.Entry.RequestID]; twice && row.Gap == nil {
				t.Errorf("%s twice", row.Entry.RequestID)
			}
			got[row.Entry.RequestID] = row.State
		}
	}
	return r, got
}

// Whatever fails at whichever moment, and however the power goes, what was durable is read once and nothing else claims
// an end.
func TestFaults(t *testing.T) {
	for _, op := range []string{"none", "create", "write", "sync", "syncdir"} {
		for every := 2; every <= 5; every++ {
			t.Run(fmt.Sprint(op, every), func(t *testing.T) {
				m, k := memfs.New(), 0
				m.Fail = func(o, name string, bytes int) (int, error) {
					if o == op && strings.HasSuffix(name, spool.SegmentSuffix) || o == op && o == "syncdir" && strings.Count(name, "/") == 2 && k > 1 {
						if k++; k%every == 0 {
							return bytes / 2, errDisk
						}
					}
					return bytes, nil
				}
				id, durable := life(t, m, "x", 40)
				m.Fail = nil
				m.Crash(11) // 11 bytes of what no sync confirmed got to the disk
				r, got := all(t, m, id)
				if len(r.Replay.Defects) > 0 {
					t.Fatal(r.Replay.Defects)
				}
				if len(durable) != 40 {
					t.Errorf("%d durable", len(durable))
				}
				for i := range 40 {
					txn, want := fmt.Sprint("x", i), record.StateAnswered
					if i == 39 {
						want = record.StateInDoubt
					}
					if state, ok := got[txn]; !ok || state != want {
						t.Errorf("%s: %v %v, want %v", txn, ok, state, want)
					}
				}
			})
		}
	}
}

// A kill within any of the operations of a life leaves a spool that the next life takes over, and a kill within that
// as well.
func TestKillAnywhere(t *testing.T) {
	type killed struct{}
	attempt := func(f func()) (died bool) {
		defer func() {
			if x := recover(); x != nil {
				if _, ok := x.(killed); !ok {
					panic(x)
				}
				died = true
			}
		}()
		f()
		return false
	}
	for at := 0; ; at++ {
		m, k := memfs.New(), 0
		confirmed := map[string]bool{}
		m.Fail = func(op, name string, bytes int) (int, error) {
			if k++; k-1 == at {
				panic(killed{})
			}
			return bytes, nil
		}
		died := attempt(func() {
			_, durable := life(t, m, "x", 12)
			for txn := range durable {
				confirmed[txn] = true
			}
		})
		m.Fail = nil
		m.Crash(at % 50)
		s, err := spool.Open(m, "root", "n1")
		if err != nil {
			t.Fatalf("killed at operation %d: %v", at, err)
		}
		found := map[string]bool{}
		for _, id := range s.Incarnations() {
			r, got := all(t, m, id)
			if len(r.Replay.Defects) > 0 {
				t.Fatalf("killed at operation %d: %v", at, r.Replay.Defects)
			}
			for txn := range got {
				found[txn] = true
			}
			// The second kill: in dropping what has been shipped.
			removed := 0
			m.Fail = func(op, _ string, bytes int) (int, error) {
				if op == "remove" {
					if removed++; removed == 1+at%3 {
						panic(killed{})
					}
				}
				return bytes, nil
			}
			attempt(func() { s.Drop(id) })
			m.Fail = nil
		}
		for txn := range confirmed {
			if !found[txn] {
				t.Errorf("killed at operation %d: %s is gone", at, txn)
			}
		}
		m.Crash(0)
		if s, err = spool.Open(m, "root", "n1"); err != nil {
			t.Fatalf("killed at operation %d and again: %v", at, err)
		}
		if _, err := s.Begin(); err != nil {
			t.Fatal(err)
		}
		if !died {
			if at < 20 {
				t.Fatalf("only %d operations", at)
			}
			return
		}
	}
}

// Bytes that change in an old segment are told, and all else is read.
func TestEdits(t *testing.T) {
	for _, c := range []struct {
		name string
		edit func([]byte) []byte
		kind string
		most int // entries lost
	}{
		{"a bit flipped", func(b []byte) []byte { b[len(b)/2] ^= 4; return b }, "spoilt", 1},
		{"zeros in the middle", func(b []byte) []byte { clear(b[500:900]); return b }, "spoilt", 4},
		{"bytes taken out", func(b []byte) []byte { return append(b[:600:600], b[640:]...) }, "spoilt", 2},
		{"noise put in", func(b []byte) []byte {
			return append(append(b[:600:600], "\x0fox\xf1\xff\xff\x00\x00 noise"...), b[600:]...)
		}, "spoilt", 2},
		{"the end cut off", func(b []byte) []byte { return b[:len(b)-300] }, "spoilt", 3},
		{"all gone", func(b []byte) []byte { return nil }, "hole", 20},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := memfs.New()
			id, _ := life(t, m, "x", 60)
			if err := m.Edit(spool.Join("root", "n1", id, spool.SegmentName(2)), c.edit); err != nil {
				t.Fatal(err)
			}
			r, got := all(t, m, id)
			if len(r.Replay.Defects) == 0 || r.Replay.Defects[0].Kind != c.kind {
				t.Errorf("%v, want %s first", r.Replay.Defects, c.kind)
			}
			in := 0
			for txn := range got {
				if txn != "" {
					in++
				}
			}
			if in < 60-c.most || in == 60 && c.kind != "spoilt" {
				t.Errorf("%d entries of 60", in)
			}
		})
	}
}

// A tail of zeros, of noise, or of a later frame without the one before is cut and told as torn, not as a hole in what
// was durable.
func TestTails(t *testing.T) {
	for _, tail := range []string{"\x00\x00\x00\x00\x00\x00", "\x0fox\xf1", strings.Repeat("noise", 99), "\x0fox\xf1\x04\x00\x00\x00aaaa"} {
		m := memfs.New()
		id, _ := life(t, m, "x", 5)
		numbers := spool.SegmentNumbers(m, spool.Join("root", "n1", id))
		m.Edit(spool.Join("root", "n1", id, spool.SegmentName(numbers[len(numbers)-1])),
			func(b []byte) []byte { return append(b, tail...) })
		r, got := all(t, m, id)
		if len(r.Replay.Defects) > 0 || r.Replay.TornBytes != int64(len(tail)) || len(got) != 5 {
			t.Errorf("%q: %v, %d torn, %d entries", tail, r.Replay.Defects, r.Replay.TornBytes, len(got))
		}
	}
}

// Pages that reached the disk in another order than they were written: what is there is read, and what is not is told.
func TestReordered(t *testing.T) {
	m := memfs.New()
	id, _ := life(t, m, "x", 5)
	numbers := spool.SegmentNumbers(m, spool.Join("root", "n1", id))
	name := spool.Join("root", "n1", id, spool.SegmentName(numbers[len(numbers)-1]))
	var last, before int // where the last two frames begin
	m.Edit(name, func(b []byte) []byte {
		for at := 0; at < len(b); {
			_, size, err := record.ParseFrame(b[at:])
			if err != nil {
				t.Fatal(err)
			}
			before, last = last, at
			at += size
		}
		clear(b[before:last])
		return b
	})
	r, got := all(t, m, id)
	if len(r.Replay.Defects) != 2 || r.Replay.Defects[0].Kind != "spoilt" || r.Replay.Defects[1].Kind != "hole" || len(got) < 4 {
		t.Errorf("%v, %d entries", r.Replay.Defects, len(got))
	}
}

// A reader that follows a writer gets each row once, over turns of segments and prunes.
func TestFollow(t *testing.T) {
	m := memfs.New()
	s, _ := spool.Open(m, "root", "n1")
	w, err := s.Begin()
	if err != nil {
		t.Fatal(err)
	}
	l := record.NewLedger(smallLedger("n1", w.Incarnation, 0))
	r := s.Read(w.Incarnation, false)
	now, read, freed := 0.0, 0, int64(0)
	for i := range 200 {
		n, _ := l.AddEntry(now, record.Entry{RequestID: fmt.Sprint(i)})
		for x := l.NextIO(now); !x.Idle(); x = l.NextIO(now) {
			wrote, err := w.Do(x)
			l.Completed(now, wrote, err == nil)
		}
		l.AddCompletion(now, n, true)
		now += 300
		if i%7 == 0 {
			for more := true; more; {
				var rows []record.Row
				if rows, more, err = r.Next(); err != nil {
					t.Fatal(err)
				}
				for _, row := range rows {
					if row.Entry.RequestID != fmt.Sprint(read) {
						t.Fatalf("%s after %d", row.Entry.RequestID, read-1)
					}
					read++
				}
			}
			n, err := s.Prune(w.Incarnation, min(l.Segment(), r.Segment()), r.Replay.FinalThrough())
			if freed += n; err != nil {
				t.Fatal(err)
			}
		}
	}
	if read < 190 || freed == 0 || len(r.Replay.Defects) > 0 {
		t.Errorf("%d read, %d bytes freed, %v", read, freed, r.Replay.Defects)
	}
}

// On the machine's own file system: one process at a time, and a copied directory is refused until it is adopted.
func TestDisk(t *testing.T) {
	root := t.TempDir()
	s, err := spool.Open(spool.Disk{}, root, "a/b c")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := spool.Open(spool.Disk{}, root, "a/b c"); !errors.Is(err, spool.ErrLocked) {
		t.Errorf("a second process gets in: %v", err)
	}
	w, err := s.Begin()
	if err != nil {
		t.Fatal(err)
	}
	l := record.NewLedger(smallLedger("a/b c", w.Incarnation, 0))
	l.AddEntry(1, record.Entry{RequestID: "x"})
	x := l.NextIO(1)
	if wrote, err := w.Do(x); err != nil || wrote != len(x.Bytes) || s.Bytes() != int64(wrote) {
		t.Fatalf("%d of %d bytes, %d used, %v", wrote, len(x.Bytes), s.Bytes(), err)
	}
	w.Close()
	s.Close()
	if agents, err := spool.Instances(spool.Disk{}, root); err != nil || len(agents) != 1 || agents[0] != "a/b c" {
		t.Errorf("%v %v", agents, err)
	}

	copied := t.TempDir()
	from, to := spool.Join(root, "a%2Fb%20c", w.Incarnation), spool.Join(copied, "a%2Fb%20c", w.Incarnation)
	if err := (spool.Disk{}).MkdirAll(to); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{spool.OwnerName, spool.SegmentName(1)} {
		in, _ := spool.Disk{}.Open(spool.Join(from, name))
		b := make([]byte, 4096)
		n, _ := in.ReadAt(b, 0)
		out, err := spool.Disk{}.Create(spool.Join(to, name))
		if err != nil {
			t.Fatal(err)
		}
		out.Write(b[:n])
		out.Close()
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
	r := s.Read(w.Incarnation, true)
	rows, _, err := r.Next()
	if err != nil || len(rows) != 1 || rows[0].State != record.StateInDoubt {
		t.Errorf("%v %v", rows, err)
	}
	if freed, err := s.Drop(w.Incarnation); err != nil || freed == 0 || len(s.Incarnations()) != 0 {
		t.Errorf("%d freed, %v, %v left", freed, err, s.Incarnations())
	}
}

// Whatever stands in a segment, reading it ends, keeps to what is there and claims no end that it has not read.
func FuzzReader(f *testing.F) {
	m := memfs.New()
	l := record.NewLedger(smallLedger("n1", "i", 0))
	n, _ := l.AddEntry(1, record.Entry{RequestID: "x"})
	w := l.NextIO(1)
	l.Completed(1, len(w.Bytes), true)
	l.AddCompletion(2, n, true)
	whole := append(w.Bytes, l.NextIO(300).Bytes...)
	f.Add(whole, whole[:20])
	f.Add(whole[:len(whole)-5], []byte("\x0fox\xf1"))
	f.Add([]byte{}, whole)
	f.Fuzz(func(t *testing.T, one, two []byte) {
		m = memfs.New()
		for i, b := range [][]byte{one, two} {
			file, _ := m.Create(spool.Join("root", "n1", "i", spool.SegmentName(uint64(i+1))))
			file.Write(b)
		}
		r, ends := spool.View(m, "root", "n1").Read("i", true), 0
		for k := 0; ; k++ {
			rows, more, err := r.Next()
			for _, row := range rows {
				if row.State == record.StateAnswered {
					ends++
				}
			}
			if err != nil || !more {
				break
			}
			if k > 100 {
				t.Fatal("reading does not end")
			}
		}
		if ends > len(one)+len(two) || r.Replay.OpenEntries() > len(one)+len(two) {
			t.Fatalf("%d ends and %d open in %d bytes", ends, r.Replay.OpenEntries(), len(one)+len(two))
		}
	})
}
