package replay

import (
	"fmt"
	"path/filepath"
	"strings"
	"testing"
)

// spy is a test that notes its failures.
type spy struct {
	testing.TB
	failures []string
}

func (s *spy) Helper()             {}
func (s *spy) Logf(string, ...any) {}
func (s *spy) Errorf(format string, a ...any) {
	s.failures = append(s.failures, fmt.Sprintf(format, a...))
}

// A stream that differs from its recording by one effect, one event, or in length fails with the place named.
func TestDifferencesAreFound(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(effects []string) []string
		event  string
		wants  string // empty: nothing differs
	}{
		{"the same", func(e []string) []string { return e }, "event", ""},
		{"one effect", func(e []string) []string { e[1500] = "other"; return e }, "event", "effect 1501 differs"},
		{"one effect left out", func(e []string) []string { return append(e[:1500], e[1501:]...) }, "event", "effect 1501 differs"},
		{"one more at the end", func(e []string) []string { return append(e, "more") }, "event", "effect 2501 differs"},
		{"the last one missing", func(e []string) []string { return e[:2499] }, "event", "differ from the recording"},
		{"the last block missing", func(e []string) []string { return e[:2000] }, "event", "the recording has more"},
		{"other events", func(e []string) []string { return e }, "change", "effects up to 1000, or their events, differ"},
	} {
		t.Run(c.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "recording")
			play := func(tb testing.TB, write bool, event string, effects []string) {
				was := *record
				*record = write
				defer func() { *record = was }()
				r := Open(tb, path)
				for _, effect := range effects {
					r.Event(event)
					r.Effect(effect)
				}
				r.Close()
			}
			effects := make([]string, 2500)
			for k := range effects {
				effects[k] = fmt.Sprint("effect ", k)
			}
			play(t, true, "event", effects)
			watched := &spy{TB: t}
			play(watched, false, c.event, c.change(effects))
			got := strings.Join(watched.failures, "; ")
			if c.wants == "" && got != "" || c.wants != "" && (len(watched.failures) != 1 || !strings.Contains(got, c.wants)) {
				t.Errorf("got %q, want %q", got, c.wants)
			}
		})
	}
}
