package httpwire

import (
	"strings"
	"testing"
)

// A timeout is a plain decimal number with a unit; other forms of numbers are rejected.
func TestParseTimeLeft(t *testing.T) {
	for _, c := range []struct {
		name, text string
		ms         float64
		ok         bool
	}{
		{"milliseconds", "250m", 250, true},
		{"microseconds", "250000u", 250, true},
		{"a fraction", "0.5m", 0.5, true},
		{"a day", "86400000m", 86400000, true},
		{"beyond a day", "86400001m", 0, false},
		{"nothing", "", 0, false},
		{"no number", "m", 0, false},
		{"no unit", "250", 0, false},
		{"another unit", "250s", 0, false},
		{"two units", "250mu", 0, false},
		{"zero", "0m", 0, false},
		{"two points", "1.2.3m", 0, false},
		{"a sign", "+250m", 0, false},
		{"negative", "-250m", 0, false},
		{"an exponent", "1e3m", 0, false},
		{"hexadecimal", "0x9m", 0, false},
		{"infinite", "Infm", 0, false},
		{"not a number", "NaNm", 0, false},
		{"a space", "250 m", 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			ms, ok := parseTimeLeft(c.text)
			if ok != c.ok {
				t.Fatalf("parseTimeLeft(%q) accepted = %v, want %v", c.text, ok, c.ok)
			}
			if ok && ms != c.ms {
				t.Errorf("parseTimeLeft(%q) = %v ms, want %v", c.text, ms, c.ms)
			}
		})
	}
}

// A request id or idempotency key is a word of printable ASCII characters with limited length.
func TestIsToken(t *testing.T) {
	for _, c := range []struct {
		name, value string
		want        bool
	}{
		{"a word", "r-1~!", true},
		{"the longest", strings.Repeat("i", maxTokenBytes), true},
		{"too long", strings.Repeat("i", maxTokenBytes+1), false},
		{"nothing", "", false},
		{"a space", "a b", false},
		{"a tab", "a\tb", false},
		{"control characters", "a\x00", false},
		{"not ASCII", "\u00e9", false},
		{"delete", "\x7f", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := isToken(c.value); got != c.want {
				t.Errorf("isToken(%q) = %v, want %v", c.value, got, c.want)
			}
		})
	}
}
