//go:build !linux

package httpwire

import "time"

// sinceLastData is not known on this system.
func sinceLastData(int) (since time.Duration, known bool) { return 0, false }

// closedByPeer is not known on this system.
func closedByPeer(int) bool { return false }
