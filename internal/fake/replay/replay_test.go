package replay

import (
	"fmt"
	"path/filepath"
	"strings"
	"testing"
)

// failureCollector is a testing.TB that collects the messages of Errorf.
type failureCollector struct {
	testing.TB
	lines []string
}

func (f *failureCollector) Helper()             {}
func (f *failureCollector) Logf(string, ...any) {}
func (f *failureCollector) Errorf(format string, args ...any) {
	f.lines = append(f.lines, fmt.Sprintf(format, args...))
}

// play plays a stream in which every effect follows its own event. It writes the recording if write is set, and
// otherwise compares with it.
func play(t testing.TB, path string, write bool, event string, effects []string) {
	t.Helper()
	before := *record
	*record = write
	defer func() { *record = before }()
	r := Open(t, path)
	for _, effect := range effects {
		r.Event(event)
		r.Effect(effect)
	}
	r.Close()
}

// A stream that differs from its recording in one effect, one event or its length fails, and the message locates the
// difference.
func TestDifferencesAreFound(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(effects []string) []string
		event  string
		want   string // substring of the only message; empty if nothing differs
	}{
		{"no difference", func(e []string) []string { return e }, "event", ""},
		{"one effect", func(e []string) []string { e[1500] = "other"; return e }, "event", "effect 1501 differs"},
		{"one effect left out", func(e []string) []string { return append(e[:1500], e[1501:]...) }, "event", "effect 1501 differs"},
		{"one more at the end", func(e []string) []string { return append(e, "more") }, "event", "effect 2501 differs"},
		{"the last one missing", func(e []string) []string { return e[:2499] }, "event", "differ from the recording"},
		{"the last block missing", func(e []string) []string { return e[:2000] }, "event", "the recording has more"},
		{"other events", func(e []string) []string { return e }, "change", "effects up to 1000, or their events, differ"},
	} {
		t.Run(c.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "recording")
			effects := make([]string, 2500)
			for k := range effects {
				effects[k] = fmt.Sprint("effect ", k)
			}
			play(t, path, true, "event", effects)
			found := &failureCollector{TB: t}
			play(found, path, false, c.event, c.change(effects))
			got := strings.Join(found.lines, "; ")
			if c.want == "" && got != "" || c.want != "" && (len(found.lines) != 1 || !strings.Contains(got, c.want)) {
				t.Errorf("messages %q, want one containing %q (none if empty)", got, c.want)
			}
		})
	}
}
