package record

import (
	"bytes"
	"errors"
	"testing"
)

// findFrame returns the offset of the first valid frame in b, or -1.
func findFrame(b []byte) int {
	for offset := range b {
		if _, _, err := ParseFrame(b[offset:]); err == nil {
			return offset
		}
	}
	return -1
}

// A frame that is truncated anywhere is short, and a frame with a flipped bit in any byte is rejected.
func TestParseFrameRejectsDamage(t *testing.T) {
	whole := AppendFrame(nil, 7, Digest{1}, Encode(KindGap, Gap{Ordinal: 7, Cause: "x"}))
	for i := range whole {
		if _, _, err := ParseFrame(whole[:i]); !errors.Is(err, ErrShortFrame) {
			t.Errorf("frame truncated at byte %d: error %v, want %v", i, err, ErrShortFrame)
		}
		b := bytes.Clone(whole)
		b[i] ^= 1 << (i % 8)
		if _, _, err := ParseFrame(b); err == nil {
			t.Errorf("frame with bit %d of byte %d flipped: error = nil, want one", i%8, i)
		}
	}
	for _, bad := range [][]byte{nil, {0}, {1}, {2, 0xff}, {3, 0x9f}, {4, 0x80}} {
		if v, err := Decode(bad); err == nil {
			t.Errorf("Decode(%x) = %+v, want an error", bad, v)
		}
	}
	if offset := findFrame(append([]byte{0x0f, 'o', 'x', 0xf1, 0x0f}, whole...)); offset != 5 {
		t.Errorf("frame found at offset %d, want 5", offset)
	}
}

// Arbitrary bytes are parsed and replayed without a panic.
func FuzzFrames(f *testing.F) {
	f.Add(AppendFrame(nil, 1, Digest{}, Encode(KindEntry, testEntry("x"))))
	f.Add(AppendFrame(nil, 1, Digest{}, Encode(KindCompletions, Completions{Delivered: []uint64{1}})))
	f.Add([]byte{0x0f, 'o', 'x', 0xf1, 1, 0, 0, 0})
	f.Fuzz(func(t *testing.T, b []byte) {
		replay := startedReplay(t)
		for len(b) > 0 {
			frame, size, err := ParseFrame(b)
			if err != nil {
				b = b[1:]
				continue
			}
			if size <= FrameOverhead || size > len(b) {
				t.Fatalf("ParseFrame: size = %d of %d bytes, want more than %d and at most all",
					size, len(b), FrameOverhead)
			}
			replay.Apply(frame)
			if replay.FinalThrough() > replay.LastRead() {
				t.Fatalf("FinalThrough = %d, beyond LastRead = %d", replay.FinalThrough(), replay.LastRead())
			}
			b = b[size:]
		}
		replay.Finish()
	})
}
