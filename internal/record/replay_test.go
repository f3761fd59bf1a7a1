package record

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
)

// writtenDisk returns a disk with n completed entries in small segments.
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
		t.Fatalf("defects = %v, %d rows, %d answered, want none, %d, %d",
			replay.Defects, len(rows), replay.Counts[StateAnswered], n, n)
	}
	return d
}

// Damage to a spool is detected, and undamaged entries are still read.
func TestReplayDetectsDamage(t *testing.T) {
	for _, c := range []struct {
		name    string
		damage  func(d *disk)
		kind    string // of the first defect; empty for none
		minRows int    // minimum number of rows
	}{
		{"torn tail", func(d *disk) { s := &d.segments[3]; *s = (*s)[:len(*s)-7]; d.segments = d.segments[:4] }, "", 20},
		{"missing segment", func(d *disk) { d.segments = append(d.segments[:2:2], d.segments[3:]...) }, "hole", 28},
		{"first segments missing", func(d *disk) { d.segments = d.segments[2:] }, "", 13},
		{"modified entry with a valid checksum", func(d *disk) {
			s := d.segments[1]
			_, head, _ := ParseFrame(s)
			frame, size, _ := ParseFrame(s[head:])
			payload := bytes.Replace(frame.Payload, []byte("answered"), []byte("declined"), 1)
			copy(s[head:head+size], AppendFrame(nil, frame.Ordinal, frame.Chain, payload))
		}, "chain", 40},
		{"frame with an unknown kind", func(d *disk) {
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
				t.Errorf("defects = %v, %d rows, want first defect %q, at least %d rows",
					replay.Defects, len(rows), c.kind, c.minRows)
			}
		})
	}
}

// A frame before any header is a defect. A segment of another incarnation or out of sequence is an error.
func TestReplayRejectsMisplacedFrames(t *testing.T) {
	t.Run("frame before any header", func(t *testing.T) {
		replay := NewReplay()
		if replay.Apply(Frame{Ordinal: 3, Payload: []byte{0}}); len(replay.Defects) == 0 {
			t.Errorf("defects = %v, want one", replay.Defects)
		}
	})
	for _, c := range []struct {
		name   string
		second SegmentHeader
		want   string
	}{
		{"other incarnation", SegmentHeader{Instance: "n", Incarnation: "j", Segment: 2, From: 1}, "two incarnations"},
		{"other instance", SegmentHeader{Instance: "m", Incarnation: "i", Segment: 2, From: 1}, "two incarnations"},
		{"same segment", SegmentHeader{Instance: "n", Incarnation: "i", Segment: 1, From: 1}, "comes after"},
	} {
		t.Run(c.name, func(t *testing.T) {
			replay := startedReplay(t)
			if err := replay.StartSegment(c.second); err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("StartSegment(%+v): error %v, want one containing %q", c.second, err, c.want)
			}
		})
	}
}

// startedReplay returns a replay that has read the header of the first segment.
func startedReplay(t *testing.T) *Replay {
	t.Helper()
	replay := NewReplay()
	if err := replay.StartSegment(SegmentHeader{Instance: "n", Incarnation: "i", Segment: 1, From: 1}); err != nil {
		t.Fatal(err)
	}
	return replay
}

// FinalThrough never passes an entry without a completion, in whatever order completions are read.
func TestFinalThrough(t *testing.T) {
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
			t.Errorf("FinalThrough after the completion of %d = %d, want %d", c.done, replay.FinalThrough(), c.through)
		}
	}
}

// applyFrames applies all frames of a segment except its header.
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
