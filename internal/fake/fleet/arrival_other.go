//go:build !linux

package fleet

import "time"

// sinceLastData returns 0: only Linux reports when bytes arrived.
func sinceLastData(int) time.Duration { return 0 }
