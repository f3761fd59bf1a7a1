package units

import (
	"strings"
	"testing"
	"time"
)

func TestSpan(t *testing.T) {
	for _, c := range []struct {
		text string
		want time.Duration // below zero: refused
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
				t.Errorf("%v, %v", s, err)
			}
			if err != nil && !strings.Contains(err.Error(), "write 250ms") {
				t.Errorf("%v says not what to write", err)
			}
		})
	}
	if ms := Span(1500 * time.Microsecond).Ms(); ms != 1.5 {
		t.Errorf("%v ms", ms)
	}
}

func TestSize(t *testing.T) {
	for _, c := range []struct {
		text string
		want Size // below zero: refused
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
				t.Errorf("%v, %v", s, err)
			}
			if err != nil && !strings.Contains(err.Error(), "write 64MiB") {
				t.Errorf("%v says not what to write", err)
			}
		})
	}
}

// What is written reads back as the same.
func TestMarshal(t *testing.T) {
	text, err := Span(90 * time.Second).MarshalText()
	var span Span
	if readErr := span.UnmarshalText(text); err != nil || readErr != nil || span != Span(90*time.Second) {
		t.Errorf("%s: %v, %v, %v", text, span, err, readErr)
	}
	text, err = Size(64 << 20).MarshalText()
	var size Size
	if readErr := size.UnmarshalText(text); err != nil || readErr != nil || size != 64<<20 {
		t.Errorf("%s: %v, %v, %v", text, size, err, readErr)
	}
}
