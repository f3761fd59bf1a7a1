package ci

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// wallClockCall matches code that converts between the wall clock and a number. Durations must not be computed from
// such numbers, because the wall clock can be stepped.
var wallClockCall = regexp.MustCompile(`\.Unix(Nano|Milli|Micro)?\(\)|time\.Unix(Milli|Micro)?\(`)

// allowedWallClockUses lists the permitted uses, as "FILE: part of the line", with the reason.
var allowedWallClockUses = map[string]string{
	"internal/core/clock.go: return time.Now().UnixNano()":         "the epoch of Core.Now, and the detection of steps against the monotonic clock",
	"internal/httpwire/conn.go: expiredDeadline = time.Unix(1, 0)": "a deadline far in the past by any clock",
	"internal/sources/dns/transport.go: time.Unix(1, 0)":           "the same",
	"internal/record/sqlstore/schema.go: time.Now().UnixMilli()":   "a stored time that only people read",
	"internal/record/recorder/ship.go: uint64(from.UnixNano())":    "a seed",
	"cmd/onyxgate/record.go: Add(-span).UnixMilli()":               "times entered and read by operators",
	"cmd/onyxgate/record.go: at.UnixNano()":                        "the same",
	"cmd/onyxgate/record_write.go: time.UnixMilli(":                "the same",
	"cmd/onyxgate/sources_show.go: UnixMilli":                      "a time read by operators",
	"cmd/onyxgate/sources_resolve.go: UnixNano":                    "a seed",
}

// Durations are measured with the monotonic clock: program code may read the wall clock as a number only for the uses
// in allowedWallClockUses.
func TestNoSpansOfWallTime(t *testing.T) {
	used := map[string]bool{}
	for _, folder := range []string{"policy", "internal", "cmd/onyxgate"} {
		err := filepath.WalkDir(filepath.Join(root, folder), func(path string, entry fs.DirEntry, err error) error {
			name, _ := filepath.Rel(root, path)
			isProgram := strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go") && !strings.HasPrefix(name, "internal/fake/")
			if err != nil || entry.IsDir() || !isProgram {
				return err
			}
			text, err := os.ReadFile(path)
			checkWallClock(t, name, string(text), used)
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	for use := range allowedWallClockUses {
		if !used[use] {
			t.Errorf("no line matches %q any more: remove it from allowedWallClockUses", use)
		}
	}
}

// checkWallClock checks one file, and marks the allowed uses that it contains in used.
func checkWallClock(t *testing.T, name, text string, used map[string]bool) {
	t.Helper()
	for n, line := range strings.Split(text, "\n") {
		if !wallClockCall.MatchString(line) {
			continue
		}
		allowed := false
		for use := range allowedWallClockUses {
			file, part, _ := strings.Cut(use, ": ")
			if file == name && strings.Contains(line, part) {
				allowed, used[use] = true, true
			}
		}
		if !allowed {
			t.Errorf("%s:%d reads the wall clock, which allowedWallClockUses does not list: %s", name, n+1, strings.TrimSpace(line))
		}
	}
}
