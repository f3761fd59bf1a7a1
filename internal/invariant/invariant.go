// Package invariant checks conditions that must hold whatever the network does. Programs built with the debug tag panic
// at the first violation, so that tests and staging show where it occurred. Other builds count and log violations and
// continue.
package invariant

import (
	"sync/atomic"

	"github.com/sirupsen/logrus"
)

var violations atomic.Int64

// Check returns ok. If ok is false, it counts a violation of the named invariant and logs it with the details; debug
// builds panic. It may be called from any goroutine and with any lock held.
func Check(ok bool, name string, detail ...any) bool {
	if !ok {
		violations.Add(1)
		logrus.WithFields(logrus.Fields{"invariant": name, "detail": detail}).Error("invariant violated")
		panicInDebug(name)
	}
	return ok
}

// Violations returns the number of violations since the process started.
func Violations() int64 { return violations.Load() }
