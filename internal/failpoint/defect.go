//go:build defect

package failpoint

import (
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
)

// ONYXGATE_KILL_AT=NAME:N kills the process at the Nth passing of NAME; ONYXGATE_DEFECT names what is switched off.
var (
	name, nth = func() (string, int64) {
		name, count, _ := strings.Cut(os.Getenv("ONYXGATE_KILL_AT"), ":")
		n, _ := strconv.ParseInt(count, 10, 64)
		return name, n
	}()
	passed atomic.Int64
	defect = os.Getenv("ONYXGATE_DEFECT")
)

// At is passed at each named moment.
func At(at string) {
	if name != "" && at == name && passed.Add(1) == nth {
		syscall.Kill(os.Getpid(), syscall.SIGKILL)
		select {} // the signal is on its way: nothing more may happen
	}
}

// Defect tells that a protection is switched off.
func Defect(what string) bool { return defect == what }
