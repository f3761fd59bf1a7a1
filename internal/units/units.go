// Package units reads the durations and sizes of our settings, always with their unit: a bare number says nothing of
// what it counts, and no unit is guessed.
package units

import (
	"fmt"
	"time"

	"github.com/dustin/go-humanize"
)

// Span is a duration written as 250ms, 2s or 1m30s; never negative.
type Span time.Duration

// UnmarshalText reads a span. Its error quotes the text and says what to write.
func (s *Span) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	hasNoUnit := string(text) == "0" // time.ParseDuration takes it
	if err != nil || d < 0 || hasNoUnit {
		return fmt.Errorf("%q is not a duration; write 250ms", text)
	}
	*s = Span(d)
	return nil
}

func (s Span) String() string { return time.Duration(s).String() }

// MarshalText writes a span.
func (s Span) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Ms returns the span in milliseconds.
func (s Span) Ms() float64 { return float64(s) / float64(time.Millisecond) }

// Size is a number of bytes written as 64MiB or 512KiB.
type Size int64

// maxSize is more than any disk, and far from what overflows.
const maxSize = 1 << 50

// UnmarshalText reads a size. Its error quotes the text and says what to write.
func (s *Size) UnmarshalText(text []byte) error {
	n, err := humanize.ParseBytes(string(text))
	if err != nil || n > maxSize || endsInDigit(text) {
		return fmt.Errorf("%q is not a size; write 64MiB", text)
	}
	*s = Size(n)
	return nil
}

// endsInDigit reports whether a text has no unit.
func endsInDigit(text []byte) bool {
	last := len(text) - 1
	return last < 0 || text[last] >= '0' && text[last] <= '9'
}

func (s Size) String() string { return humanize.IBytes(uint64(s)) }

// MarshalText writes a size.
func (s Size) MarshalText() ([]byte, error) { return []byte(s.String()), nil }
