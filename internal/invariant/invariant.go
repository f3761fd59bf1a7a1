// Package invariant checks what has to hold whatever the network does. A process built with the debug tag panics at the first
// violation, so that tests and staging show where it is; any other counts and logs it and goes on. The package never decides
// anything.
package invariant

import (
	"sync/atomic"

	"github.com/sirupsen/logrus"
)

var violations atomic.Int64

// Check returns ok. Where ok is false it counts a violation of the named invariant and logs it with the detail, and a debug build
// panics. It may be called from any goroutine and under any lock.
func Check(ok bool, name string, detail ...any) bool {
	if !ok {
		violations.Add(1)
		logrus.WithFields(logrus.Fields{"invariant": name, "detail": detail}).Error("invariant violated")
		stop(name)
	}
	return ok
}

// Violations counts the violations since the start of the process.
func Violations() int64 { return violations.Load() }
