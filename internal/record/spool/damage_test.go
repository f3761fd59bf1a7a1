package spool_test

import (
	"slices"
	"strings"
	"testing"

	"onyxgate/internal/fake/memfs"
	"onyxgate/internal/record"
	"onyxgate/internal/record/spool"
)

// Damage in an earlier segment is reported, and everything else is read.
func TestReaderReportsDamage(t *testing.T) {
	for _, c := range []struct {
		name    string
		edit    func([]byte) []byte
		kind    string
		maxLost int // maximum number of entries lost
	}{
		{"flipped bit", func(b []byte) []byte { b[len(b)/2] ^= 4; return b }, "spoilt", 1},
		{"zeroed range", func(b []byte) []byte { clear(b[500:900]); return b }, "spoilt", 4},
		{"missing bytes", func(b []byte) []byte { return append(b[:600:600], b[640:]...) }, "spoilt", 2},
		{"inserted bytes", func(b []byte) []byte {
			return append(append(b[:600:600], "\x0fox\xf1\xff\xff\x00\x00 noise"...), b[600:]...)
		}, "spoilt", 2},
		{"truncated", func(b []byte) []byte { return b[:len(b)-300] }, "spoilt", 3},
		{"empty", func([]byte) []byte { return nil }, "hole", 20},
	} {
		t.Run(c.name, func(t *testing.T) {
			files := memfs.New()
			name, _ := writeIncarnation(t, files, 60)
			edit(t, files, spool.Join("root", "n1", name, spool.SegmentName(2)), c.edit)
			reader, states := readAll(t, files, name)
			if len(reader.Replay.Defects) == 0 || reader.Replay.Defects[0].Kind != c.kind {
				t.Errorf("defects = %v, want the first of kind %s", reader.Replay.Defects, c.kind)
			}
			read := 0
			for request := range states {
				if request != "" {
					read++
				}
			}
			if read < 60-c.maxLost || read == 60 && c.kind != "spoilt" {
				t.Errorf("read %d of 60 entries, want at least %d, and not all if the segment is empty", read, 60-c.maxLost)
			}
		})
	}
}

// A tail of zeros, random bytes or an incomplete frame is reported as a torn tail, not as a hole in the durable frames.
func TestReaderReportsTornTail(t *testing.T) {
	for name, tail := range map[string]string{
		"zeros":            "\x00\x00\x00\x00\x00\x00",
		"start of a frame": "\x0fox\xf1",
		"random bytes":     strings.Repeat("noise", 99),
		"incomplete frame": "\x0fox\xf1\x04\x00\x00\x00aaaa",
	} {
		t.Run(name, func(t *testing.T) {
			files := memfs.New()
			incarnation, _ := writeIncarnation(t, files, 5)
			edit(t, files, lastSegment(t, files, incarnation), func(b []byte) []byte { return append(b, tail...) })
			reader, states := readAll(t, files, incarnation)
			if len(reader.Replay.Defects) > 0 || reader.Replay.TornBytes != int64(len(tail)) || len(states) != 5 {
				t.Errorf("tail %q: defects = %v, TornBytes = %d, %d entries, want none, %d, 5",
					tail, reader.Replay.Defects, reader.Replay.TornBytes, len(states), len(tail))
			}
		})
	}
}

// If pages reach the disk out of order, the frames that are there are read, and the missing ones are reported as
// defects.
func TestReaderReportsReorderedPages(t *testing.T) {
	files := memfs.New()
	name, _ := writeIncarnation(t, files, 5)
	var last, before int // offsets of the last two frames
	edit(t, files, lastSegment(t, files, name), func(b []byte) []byte {
		for offset := 0; offset < len(b); {
			_, size, err := record.ParseFrame(b[offset:])
			if err != nil {
				t.Fatal(err)
			}
			before, last = last, offset
			offset += size
		}
		clear(b[before:last])
		return b
	})
	reader, states := readAll(t, files, name)
	var kinds []string
	for _, defect := range reader.Replay.Defects {
		kinds = append(kinds, defect.Kind)
	}
	if !slices.Equal(kinds, []string{"spoilt", "hole"}) || len(states) < 4 {
		t.Errorf("defects = %v, %d entries, want kinds spoilt and hole, at least 4 entries",
			reader.Replay.Defects, len(states))
	}
}

// Whatever the segments contain, reading them terminates, and it neither reports more completions nor keeps more open
// entries than the segments have bytes.
func FuzzReader(f *testing.F) {
	ledger := record.NewLedger(smallLedger("n1", "i", 0))
	ordinal, _ := ledger.AddEntry(1, record.Entry{RequestID: "x"})
	first := ledger.NextIO(1)
	ledger.Completed(1, len(first.Bytes), true)
	ledger.AddCompletion(2, ordinal, true)
	whole := append(first.Bytes, ledger.NextIO(300).Bytes...)
	f.Add(whole, whole[:20])
	f.Add(whole[:len(whole)-5], []byte("\x0fox\xf1"))
	f.Add([]byte{}, whole)
	f.Fuzz(func(t *testing.T, one, two []byte) {
		files := memfs.New()
		for i, content := range [][]byte{one, two} {
			writeFile(t, files, spool.Join("root", "n1", "i", spool.SegmentName(uint64(i+1))), content)
		}
		reader := spool.OpenReadOnly(files, "root", "n1").NewReader("i", true)
		completions := 0
		for calls, more := 0, true; more; calls++ {
			if calls > 100 {
				t.Fatalf("reading has not finished after %d calls of Next", calls)
			}
			rows, hasMore, err := reader.Next()
			for _, row := range rows {
				if row.State == record.StateAnswered {
					completions++
				}
			}
			more = hasMore && err == nil
		}
		if bytes := len(one) + len(two); completions > bytes || reader.Replay.OpenEntries() > bytes {
			t.Fatalf("read %d completions and %d open entries from %d bytes, want at most one of each per byte",
				completions, reader.Replay.OpenEntries(), bytes)
		}
	})
}
