package record

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
)

// written is a spool of n entries, each with its end, in small segments.
func written(t *testing.T, n int) *disk {
	t.Helper()
	l, d := ledger(true, 1<<30, 1<<16, KeepServing), &disk{}
	for i := range n {
		ordinal, _ := l.AddEntry(float64(i), entry(fmt.Sprint(i)))
		d.all(l, float64(i))
		l.AddCompletion(float64(i), ordinal, true)
	}
	for i := range 3 {
		d.all(l, float64(n+300*i+300))
	}
	if f, rows := d.read(true); len(f.Defects) != 0 || len(rows) != n || f.Counts[StateAnswered] != uint64(n) {
		t.Fatalf("%v, %d rows", f.Defects, len(rows))
	}
	return d
}

// What is wrong with a spool is found, and the rest is kept.
func TestDamage(t *testing.T) {
	for _, c := range []struct {
		name   string
		damage func(d *disk)
		kind   string // of the first defect; empty: none
		least  int    // rows
	}{
		{"a torn tail", func(d *disk) { s := &d.segments[3]; *s = (*s)[:len(*s)-7]; d.segments = d.segments[:4] }, "", 20},
		{"a segment gone", func(d *disk) { d.segments = append(d.segments[:2:2], d.segments[3:]...) }, "hole", 28},
		{"the first segments gone", func(d *disk) { d.segments = d.segments[2:] }, "", 13},
		{"an edited entry with its checksum made right", func(d *disk) {
			s := d.segments[1]
			_, head, _ := ParseFrame(s)
			x, size, _ := ParseFrame(s[head:])
			payload := bytes.Replace(x.Payload, []byte("answered"), []byte("declined"), 1)
			copy(s[head:head+size], AppendFrame(nil, x.N, x.Chain, payload))
		}, "chain", 40},
		{"a frame that says another kind", func(d *disk) {
			s := d.segments[1]
			_, head, _ := ParseFrame(s)
			x, size, _ := ParseFrame(s[head:])
			payload := append([]byte{99}, x.Payload[1:]...)
			copy(s[head:head+size], AppendFrame(nil, x.N, x.Chain, payload))
		}, "chain", 38},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := written(t, 40)
			c.damage(d)
			for len(d.synced) < len(d.segments) {
				d.synced = append(d.synced, 0)
			}
			f, rows := d.read(false)
			kind := ""
			if len(f.Defects) > 0 {
				kind = f.Defects[0].Kind
			}
			if kind != c.kind || len(rows) < c.least {
				t.Errorf("%v, %d rows, want %q and at least %d", f.Defects, len(rows), c.kind, c.least)
			}
		})
	}
}

func TestFoldRefuses(t *testing.T) {
	f := NewReplay()
	if f.Apply(Frame{N: 3, Payload: []byte{0}}); len(f.Defects) == 0 {
		t.Error("a frame before any head passes")
	}
	for _, c := range []struct {
		second SegmentHeader
		want   string
	}{
		{SegmentHeader{Instance: "n", Incarnation: "j", Segment: 2, From: 1}, "two incarnations"},
		{SegmentHeader{Instance: "m", Incarnation: "i", Segment: 2, From: 1}, "two incarnations"},
		{SegmentHeader{Instance: "n", Incarnation: "i", Segment: 1, From: 1}, "comes after"},
	} {
		f := NewReplay()
		f.StartSegment(SegmentHeader{Instance: "n", Incarnation: "i", Segment: 1, From: 1})
		if err := f.StartSegment(c.second); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%+v: %v", c.second, err)
		}
	}
}

// Through never passes an entry whose end is not read, whatever the order of ends.
func TestThrough(t *testing.T) {
	l, d := ledger(true, 1<<20, 1<<16, KeepServing), &disk{}
	for i := range 4 {
		l.AddEntry(1, entry(fmt.Sprint(i)))
	}
	d.all(l, 1)
	for k, c := range []struct {
		done    uint64
		through uint64
	}{{3, 0}, {1, 1}, {4, 1}, {2, 8}} {
		l.AddCompletion(float64(10*k+10), c.done, true)
		d.all(l, float64(10*k+15))
		f := NewReplay()
		for _, s := range d.segments {
			for len(s) > 0 {
				x, size, _ := ParseFrame(s)
				if s = s[size:]; x.N > 0 {
					f.Apply(x)
				} else {
					f.StartSegment(SegmentHeader{Instance: "n", Incarnation: "i", Segment: 1, From: 1})
				}
			}
		}
		if f.FinalThrough() != c.through {
			t.Errorf("after the end of %d: through %d, want %d", c.done, f.FinalThrough(), c.through)
		}
	}
}

// Frames cut anywhere are short, changed anywhere spoilt; nothing else is ever read.
func TestFrames(t *testing.T) {
	whole := AppendFrame(nil, 7, Digest{1}, Encode(KindGap, Gap{N: 7, Cause: "x"}))
	for i := range whole {
		if _, _, err := ParseFrame(whole[:i]); err != ErrShortFrame {
			t.Errorf("cut at %d: %v", i, err)
		}
		b := bytes.Clone(whole)
		b[i] ^= 1 << (i % 8)
		if _, _, err := ParseFrame(b); err == nil {
			t.Errorf("bit of byte %d flipped: taken", i)
		}
	}
	for _, bad := range [][]byte{nil, {0}, {1}, {2, 0xff}, {3, 0x9f}, {4, 0x80}} {
		if v, err := Decode(bad); err == nil {
			t.Errorf("%x decodes to %+v", bad, v)
		}
	}
	if at := FindFrame(append([]byte{0x0f, 'o', 'x', 0xf1, 0x0f}, whole...)); at != 5 {
		t.Errorf("found at %d", at)
	}
}

func FuzzFrames(f *testing.F) {
	f.Add(AppendFrame(nil, 1, Digest{}, Encode(KindEntry, entry("x"))))
	f.Add(AppendFrame(nil, 1, Digest{}, Encode(KindCompletions, Completions{Delivered: []uint64{1}})))
	f.Add([]byte{0x0f, 'o', 'x', 0xf1, 1, 0, 0, 0})
	f.Fuzz(func(t *testing.T, b []byte) {
		fold := NewReplay()
		fold.StartSegment(SegmentHeader{Instance: "n", Incarnation: "i", Segment: 1, From: 1})
		for len(b) > 0 {
			x, size, err := ParseFrame(b)
			if err != nil {
				b = b[1:]
				continue
			}
			if size <= FrameOverhead || size > len(b) {
				t.Fatalf("a frame of %d bytes in %d", size, len(b))
			}
			fold.Apply(x)
			if fold.FinalThrough() > fold.LastRead() {
				t.Fatalf("through %d of %d", fold.FinalThrough(), fold.LastRead())
			}
			b = b[size:]
		}
		fold.Finish()
	})
}

func TestShipper(t *testing.T) {
	s := NewExportScheduler(100, 50, rand.New(rand.NewPCG(1, 2)))
	now := 1000.0
	if n, _ := s.Next(now, 0); n != 0 {
		t.Error("nothing waits and something goes")
	}
	if n, wait := s.Next(now, 3); n != 0 || wait != 50 {
		t.Errorf("a few rows do not wait for more: %d, %v", n, wait)
	}
	if n, _ := s.Next(now+50, 3); n != 3 {
		t.Errorf("they wait too long: %d", n)
	}
	if n, _ := s.Next(now, 1000); n != 64 {
		t.Errorf("the first batch has %d", n)
	}
	s.Result(now, ExportStored)
	if n, _ := s.Next(now, 1000); n != 100 {
		t.Errorf("it does not grow: %d", n)
	}
	last := 0.0
	for k, c := range []struct {
		r        ExportResult
		low, top float64 // of the pause
	}{{ExportUnknown, 50, 150}, {ExportUnknown, 100, 300}, {ExportBusy, 200, 600}, {ExportUnreachable, 400, 1200}, {ExportUnreachable, 800, 2400}, {ExportDenied, 2500, 7500}} {
		s.Result(now, c.r)
		n, wait := s.Next(now, 1000)
		if n != 0 || wait < c.low || wait > c.top {
			t.Errorf("%d: after %v a pause of %v, %d rows", k, c.r, wait, n)
		}
		if wait == last {
			t.Error("pauses do not scatter")
		}
		last = wait
		if now += wait; s.CircuitOpen() != (k >= 3) {
			t.Errorf("%d: broken %v", k, s.CircuitOpen())
		}
	}
	if n, _ := s.Next(now, 1000); n != 1 {
		t.Errorf("a store that may be back is asked with %d rows", n)
	}
	s.Result(now, ExportStored)
	if n, _ := s.Next(now, 1000); n < 2 || s.CircuitOpen() {
		t.Errorf("it is back, and gets %d", n)
	}
	live := 0
	for range 400 {
		if s.TakesRunning(true, true) {
			live++
		}
	}
	if live != 300 || !s.TakesRunning(true, false) || s.TakesRunning(false, true) {
		t.Errorf("%d of 400 turns are the running one's", live)
	}
}
