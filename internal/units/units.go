// Package units reads the durations and sizes of our settings, always with their unit: a bare number says nothing of
// what it counts. It must never guess a unit.
package units

import (
	"fmt"
	"time"

	"github.com/dustin/go-humanize"
)

// Span is a duration written as 250ms, 2s or 1m30s; never negative.
type Span time.Duration

// UnmarshalText reads one.
func (s *Span) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil || d < 0 || string(text) == "0" {
		return fmt.Errorf("%q is not a duration; write 250ms", text)
	}
	*s = Span(d)
	return nil
}

func (s Span) String() string { return time.Duration(s).String() }

// MarshalText writes one.
func (s Span) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Ms is the span in milliseconds.
func (s Span) Ms() float64 { return float64(s) / 1e6 }

// Size is a number of bytes written as 64MiB or 512KiB.
type Size int64

// UnmarshalText reads one.
func (s *Size) UnmarshalText(text []byte) error {
	n, err := humanize.ParseBytes(string(text))
	if last := len(text) - 1; err != nil || n > 1<<50 || last < 0 || text[last] >= '0' && text[last] <= '9' {
		return fmt.Errorf("%q is not a size; write 64MiB", text)
	}
	*s = Size(n)
	return nil
}

func (s Size) String() string { return humanize.IBytes(uint64(s)) }

// MarshalText writes one.
func (s Size) MarshalText() ([]byte, error) { return []byte(s.String()), nil }
