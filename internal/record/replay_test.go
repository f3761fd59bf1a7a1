package record

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
)

// written is a spool of n entries, each with its end, in small segments.
func writtenDisk(t *testing.T, n int) *disk {
	t.Helper()
	options := largeOptions()
	options.MaxSpoolBytes = 1 << 30
	l, d := testLedger(options), &disk{}
	for i := range n {
		ordinal, _ := l.AddEntry(float64(i), testEntry(fmt.Sprint(i)))
		d.drain(l, float64(i))
		l.AddCompletion(float64(i), ordinal, true)
	}
	for i := range 3 {
		d.drain(l, float64(n+300*i+300))
	}
	if replay, rows := d.replay(true); len(replay.Defects) != 0 || len(rows) != n || replay.Counts[StateAnswered] != uint64(n) {
		t.Fatalf("%v, %d rows", replay.Defects, len(rows))
	}
	return d
}

// What is wrong with a spool is found, and the rest is kept.
func TestDamage(t *testing.T) {
	for _, c := range []struct {
		name    string
		damage  func(d *disk)
		kind    string // of the first defect; empty: none
		minRows int    // rows
	}{
		{"a torn tail", func(d *disk) { s := &d.segments[3]; *s = (*s)[:len(*s)-7]; d.segments = d.segments[:4] }, "", 20},
		{"a segment gone", func(d *disk) { d.segments = append(d.segments[:2:2], d.segments[3:]...) }, "hole", 28},
		{"the first segments gone", func(d *disk) { d.segments = d.segments[2:] }, "", 13},
		{"an edited entry with its checksum made right", func(d *disk) {
			s := d.segments[1]
			_, head, _ := ParseFrame(s)
			frame, size, _ := ParseFrame(s[head:])
			payload := bytes.Replace(frame.Payload, []byte("answered"), []byte("declined"), 1)
			copy(s[head:head+size], AppendFrame(nil, frame.Ordinal, frame.Chain, payload))
		}, "chain", 40},
		{"a frame that says another kind", func(d *disk) {
			s := d.segments[1]
			_, head, _ := ParseFrame(s)
			frame, size, _ := ParseFrame(s[head:])
			payload := append([]byte{99}, frame.Payload[1:]...)
			copy(s[head:head+size], AppendFrame(nil, frame.Ordinal, frame.Chain, payload))
		}, "chain", 38},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := writtenDisk(t, 40)
			c.damage(d)
			for len(d.synced) < len(d.segments) {
				d.synced = append(d.synced, 0)
			}
			replay, rows := d.replay(false)
			kind := ""
			if len(replay.Defects) > 0 {
				kind = replay.Defects[0].Kind
			}
			if kind != c.kind || len(rows) < c.minRows {
				t.Errorf("%v, %d rows, want %q and at least %d", replay.Defects, len(rows), c.kind, c.minRows)
			}
		})
	}
}

// A frame without a header is a defect, and a segment of another incarnation, or of an earlier number, an error.
func TestReplayRefuses(t *testing.T) {
	t.Run("a frame before any header", func(t *testing.T) {
		replay := NewReplay()
		if replay.Apply(Frame{Ordinal: 3, Payload: []byte{0}}); len(replay.Defects) == 0 {
			t.Error("it passes")
		}
	})
	for _, c := range []struct {
		name   string
		second SegmentHeader
		want   string
	}{
		{"another incarnation", SegmentHeader{Instance: "n", Incarnation: "j", Segment: 2, From: 1}, "two incarnations"},
		{"another instance", SegmentHeader{Instance: "m", Incarnation: "i", Segment: 2, From: 1}, "two incarnations"},
		{"the same segment", SegmentHeader{Instance: "n", Incarnation: "i", Segment: 1, From: 1}, "comes after"},
	} {
		t.Run(c.name, func(t *testing.T) {
			replay := startedReplay(t)
			if err := replay.StartSegment(c.second); err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("%+v: %v", c.second, err)
			}
		})
	}
}

// startedReplay has read the header of the first segment.
func startedReplay(t *testing.T) *Replay {
	t.Helper()
	replay := NewReplay()
	if err := replay.StartSegment(SegmentHeader{Instance: "n", Incarnation: "i", Segment: 1, From: 1}); err != nil {
		t.Fatal(err)
	}
	return replay
}

// FinalThrough never passes an entry whose end is not read, whatever the order of ends.
func TestThrough(t *testing.T) {
	l, d := testLedger(largeOptions()), &disk{}
	for i := range 4 {
		l.AddEntry(1, testEntry(fmt.Sprint(i)))
	}
	d.drain(l, 1)
	for k, c := range []struct {
		done    uint64
		through uint64
	}{{3, 0}, {1, 1}, {4, 1}, {2, 8}} {
		l.AddCompletion(float64(10*k+10), c.done, true)
		d.drain(l, float64(10*k+15))
		replay := startedReplay(t)
		for _, segment := range d.segments {
			applyFrames(t, replay, segment)
		}
		if replay.FinalThrough() != c.through {
			t.Errorf("after the end of %d: through %d, want %d", c.done, replay.FinalThrough(), c.through)
		}
	}
}

// applyFrames applies all of a segment but its header.
func applyFrames(t *testing.T, replay *Replay, segment []byte) {
	t.Helper()
	for len(segment) > 0 {
		frame, size, err := ParseFrame(segment)
		if err != nil {
			t.Fatal(err)
		}
		if segment = segment[size:]; Kind(frame.Payload[0]) != KindHeader {
			replay.Apply(frame)
		}
	}
}
