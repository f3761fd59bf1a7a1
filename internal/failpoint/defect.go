//go:build defect

package failpoint

import (
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
)

const (
	killAtVariable = "ONYXGATE_KILL_AT"
	defectVariable = "ONYXGATE_DEFECT"
)

var (
	killAt, killAtHit = parseKillAt(os.Getenv(killAtVariable))
	defect            = os.Getenv(defectVariable)
	hits              atomic.Int64 // number of times that the failpoint killAt was reached
)

// parseKillAt parses NAME:N. If N is missing or invalid it returns 0, and the process is never killed.
func parseKillAt(text string) (name string, hit int64) {
	name, count, _ := strings.Cut(text, ":")
	hit, err := strconv.ParseInt(count, 10, 64)
	if err != nil {
		return name, 0
	}
	return name, hit
}

// At marks a failpoint. If the process was configured to be killed at this hit of the failpoint, At kills it and does
// not return. It is safe for concurrent use.
func At(name string) {
	if killAt == "" || name != killAt || hits.Add(1) != killAtHit {
		return
	}
	// A process may always signal itself. If the signal were refused, the block below would show as a hanging instance.
	_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
	select {} // nothing more may be executed until the signal arrives
}

// Defect reports whether the named protection is switched off.
func Defect(name string) bool { return defect == name }
