package units

import (
	"strings"
	"testing"
	"time"
)

func TestSpan(t *testing.T) {
	for _, c := range []struct {
		text string
		want time.Duration // -1: an error
	}{
		{"250ms", 250 * time.Millisecond},
		{"1m30s", 90 * time.Second},
		{"0s", 0},
		{"0", -1},
		{"5", -1},
		{"-1s", -1},
		{"soon", -1},
		{"", -1},
	} {
		t.Run(c.text, func(t *testing.T) {
			var s Span
			err := s.UnmarshalText([]byte(c.text))
			if (err == nil) != (c.want >= 0) || err == nil && time.Duration(s) != c.want {
				t.Errorf("UnmarshalText(%q) = %v, %v; want %d ns (-1: an error)", c.text, s, err, c.want)
			}
			if err != nil && !strings.Contains(err.Error(), "write 250ms") {
				t.Errorf("error %q does not contain %q", err, "write 250ms")
			}
		})
	}
	if ms := Span(1500 * time.Microsecond).Ms(); ms != 1.5 {
		t.Errorf("Ms() of 1500µs = %v, want 1.5", ms)
	}
}

func TestSize(t *testing.T) {
	for _, c := range []struct {
		text string
		want Size // -1: an error
	}{
		{"64MiB", 64 << 20},
		{"512 KiB", 512 << 10},
		{"1MB", 1_000_000},
		{"0B", 0},
		{"1000", -1},
		{"12 potatoes", -1},
		{"2PiB", -1},
		{"-1KiB", -1},
		{"", -1},
	} {
		t.Run(c.text, func(t *testing.T) {
			var s Size
			err := s.UnmarshalText([]byte(c.text))
			if (err == nil) != (c.want >= 0) || err == nil && s != c.want {
				t.Errorf("UnmarshalText(%q) = %d, %v; want %d (-1: an error)", c.text, int64(s), err, int64(c.want))
			}
			if err != nil && !strings.Contains(err.Error(), "write 64MiB") {
				t.Errorf("error %q does not contain %q", err, "write 64MiB")
			}
		})
	}
}

// Marshaled values parse back to the same values.
func TestMarshal(t *testing.T) {
	text, err := Span(90 * time.Second).MarshalText()
	var span Span
	if readErr := span.UnmarshalText(text); err != nil || readErr != nil || span != Span(90*time.Second) {
		t.Errorf("marshaled to %q (error %v), parsed as %v (error %v), want %v", text, err, span, readErr, Span(90*time.Second))
	}
	text, err = Size(64 << 20).MarshalText()
	var size Size
	if readErr := size.UnmarshalText(text); err != nil || readErr != nil || size != 64<<20 {
		t.Errorf("marshaled to %q (error %v), parsed as %v (error %v), want %v", text, err, size, readErr, Size(64<<20))
	}
}
