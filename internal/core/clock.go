package core

import (
	"fmt"
	"time"
)

// minClockStep is the smallest change of the wall clock relative to the monotonic clock that counts as a step. If it
// were lower, a pause between two readings or a correction by a time service would be taken for a step, and after a
// step every newly listed backend goes through slow start. If it were higher, smaller steps would shift the start
// times of backends unnoticed, and up to that much of a warm-up would be skipped or repeated. It depends on the
// slow-start parameters and must be reviewed when they change.
const minClockStep = 250 * time.Millisecond

// clock combines the wall clock with the monotonic clock. Its time is Unix time in milliseconds at the start of the
// process, advanced by the monotonic clock. It detects steps of the wall clock, and no step affects a measured
// duration.
type clock struct {
	startedAt float64              // Unix time, ms
	wall      func() int64         // Unix time, ns
	monotonic func() time.Duration // time since the start
	offset    time.Duration        // wall clock minus monotonic clock, at the start or after the last step
}

func newClock() clock {
	start := time.Now()
	c := clock{
		wall:      func() int64 { return time.Now().UnixNano() },
		monotonic: func() time.Duration { return time.Since(start) },
	}
	c.startedAt = float64(c.wall()) / 1e6
	c.offset = c.difference()
	return c
}

// now returns the Unix time (ms) of the start plus the monotonic time elapsed since.
func (c *clock) now() float64 { return c.startedAt + float64(c.monotonic())/1e6 }

func (c *clock) difference() time.Duration { return time.Duration(c.wall()) - c.monotonic() }

// step returns by how much the wall clock has moved against the monotonic clock since the start or the last step, or 0
// if by less than minClockStep. Smaller changes accumulate until they count as a step. A pause of the process between
// the readings of the two clocks looks like a step, so a step must be seen twice in a row.
func (c *clock) step() time.Duration {
	for range 2 {
		if (c.difference() - c.offset).Abs() < minClockStep {
			return 0
		}
	}
	previous := c.offset
	c.offset = c.difference()
	return c.offset - previous
}

// CheckClock notifies the decisions of a step of the wall clock, once per step. It must be called about once a second.
// UpdateEndpoints also calls it, so that no listed start time is compared with a clock whose step has gone unnoticed.
func (c *Core) CheckClock() {
	c.handleEvent("clock step", func(now float64) {
		step := c.clock.step()
		if step == 0 || c.instance == nil {
			return
		}
		c.instance.OnClockStep(now)
		port{c}.Log(fmt.Sprintf("wall clock stepped by %v: backends listed from here on count as just started", step.Round(time.Millisecond)))
	})
}
