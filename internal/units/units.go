// Package units parses durations and sizes in the settings. A unit is required, because a bare number is ambiguous.
package units

import (
	"fmt"
	"time"

	"github.com/dustin/go-humanize"
)

// Span is a non-negative duration, written as 250ms, 2s or 1m30s.
type Span time.Duration

// UnmarshalText parses a duration. The error quotes the text and shows a valid example.
func (s *Span) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	hasNoUnit := string(text) == "0" // time.ParseDuration accepts a bare 0
	if err != nil || d < 0 || hasNoUnit {
		return fmt.Errorf("%q is not a duration; write 250ms", text)
	}
	*s = Span(d)
	return nil
}

func (s Span) String() string { return time.Duration(s).String() }

// MarshalText returns the duration in the form that UnmarshalText parses.
func (s Span) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Ms returns the duration in milliseconds.
func (s Span) Ms() float64 { return float64(s) / float64(time.Millisecond) }

// Size is a number of bytes, written as 64MiB or 512KiB.
type Size int64

// maxSize is larger than any disk, and small enough that calculations with sizes do not overflow.
const maxSize = 1 << 50

// UnmarshalText parses a size. The error quotes the text and shows a valid example.
func (s *Size) UnmarshalText(text []byte) error {
	n, err := humanize.ParseBytes(string(text))
	if err != nil || n > maxSize || endsInDigit(text) {
		return fmt.Errorf("%q is not a size; write 64MiB", text)
	}
	*s = Size(n)
	return nil
}

// endsInDigit reports whether the text is empty or ends in a digit, as a number without a unit does.
func endsInDigit(text []byte) bool {
	last := len(text) - 1
	return last < 0 || text[last] >= '0' && text[last] <= '9'
}

func (s Size) String() string { return humanize.IBytes(uint64(s)) }

// MarshalText returns the size in the form that UnmarshalText parses.
func (s Size) MarshalText() ([]byte, error) { return []byte(s.String()), nil }
