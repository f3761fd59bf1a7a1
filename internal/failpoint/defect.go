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
	killAt, killAtPassing = parseKillAt(os.Getenv(killAtVariable))
	defect                = os.Getenv(defectVariable)
	passings              atomic.Int64 // of killAt
)

// parseKillAt reads NAME:N. Without a number no passing kills.
func parseKillAt(text string) (name string, passing int64) {
	name, count, _ := strings.Cut(text, ":")
	passing, err := strconv.ParseInt(count, 10, 64)
	if err != nil {
		return name, 0
	}
	return name, passing
}

// At marks a failpoint. It does not return where this passing of it was told to kill the process. It may be called by anyone
// at any time.
func At(name string) {
	if killAt == "" || name != killAt || passings.Add(1) != killAtPassing {
		return
	}
	// A process may always signal itself; were it refused, waiting here would show as an instance that hangs.
	_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
	select {} // the signal is on its way: nothing more may happen
}

// Defect tells whether a protection is switched off.
func Defect(name string) bool { return defect == name }
