// Package invariant says what has to hold whatever the network does. A debug build stops at the first breach, so that
// tests and staging show where; a release build counts and logs it and serves on. It must never decide anything.
package invariant

import (
	"sync/atomic"

	"github.com/sirupsen/logrus"
)

var broken atomic.Int64

// Check states a condition; what is said is logged where it does not hold.
func Check(ok bool, what string, detail ...any) bool {
	if !ok {
		broken.Add(1)
		logrus.WithField("detail", detail).Error("must hold: " + what)
		stop(what)
	}
	return ok
}

// Violations counts what did not hold since the start.
func Violations() int64 { return broken.Load() }
