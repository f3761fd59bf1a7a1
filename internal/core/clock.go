package core

// This file owns the time that the decisions get: Unix time in milliseconds at the start, run on by the monotonic clock. It sees
// when the wall clock is stepped, and lets no step reach a span of time.

import (
	"fmt"
	"time"
)

// minClockStep is the least change of the wall clock against the monotonic one that counts as a step. Lower, a pause between two
// readings or the corrections of a time service would pass for a step, and each step has every backend listed after it go through
// its slow start. Higher, a step below it shifts the start times of backends unseen: up to that much of a warm-up is then skipped
// or repeated. It is a tuned value and belongs with the other figures of the slow start.
const minClockStep = 250 * time.Millisecond

// clock reads both clocks.
type clock struct {
	startedAt float64              // Unix time, ms
	wall      func() int64         // Unix time, ns
	monotonic func() time.Duration // since the start
	offset    time.Duration        // of the wall clock against the monotonic one, as last seen
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

// now is Unix time in milliseconds at the start and runs on evenly from there.
func (c *clock) now() float64 { return c.startedAt + float64(c.monotonic())/1e6 }

func (c *clock) difference() time.Duration { return time.Duration(c.wall()) - c.monotonic() }

// step is by how much the wall clock was stepped since the last call; 0: by nothing that matters. A pause of the process between
// the readings of the two clocks looks like a step, so a step has to be seen twice in a row.
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

// CheckClock tells the decisions of a step of the wall clock since it was last called. It has to be called about once a second;
// UpdateEndpoints calls it too, so that no start time is read against a clock that has been stepped unseen.
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
