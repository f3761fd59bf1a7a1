package core

// This file owns the time that the module is handed: Unix time in milliseconds at the start, run on by the monotonic clock. It
// sees when the wall clock is stepped, and never lets a step reach a span.

import (
	"fmt"
	"time"
)

// minClockStep is the least step that matters to a backend's warm-up. A reading that a pause of the process tore apart is made again.
const minClockStep = 250 * time.Millisecond

// clock reads both clocks.
type clock struct {
	fromMs    float64
	wall      func() int64         // Unix time, ns
	monotonic func() time.Duration // since the start
	offset    time.Duration        // of the wall clock against the monotonic one, as last seen
}

func newClock() clock {
	from := time.Now()
	c := clock{wall: func() int64 { return time.Now().UnixNano() }, monotonic: func() time.Duration { return time.Since(from) }}
	c.fromMs = float64(c.wall()) / 1e6
	c.offset = c.difference()
	return c
}

// now is Unix time in milliseconds at the start and runs on evenly from there.
func (c *clock) now() float64 { return c.fromMs + float64(c.monotonic())/1e6 }

func (c *clock) difference() time.Duration { return time.Duration(c.wall()) - c.monotonic() }

// step is by how much the wall clock was stepped since the last look; 0: by nothing that matters.
func (c *clock) step() time.Duration {
	for range 2 {
		if (c.difference() - c.offset).Abs() < minClockStep {
			return 0
		}
	}
	was := c.offset
	c.offset = c.difference()
	return c.offset - was
}

// checkClockStep tells the module of a step of the wall clock; under no lock.
func (c *Core) checkClockStep() {
	c.handleEvent("clock", func(now float64) {
		if step := c.clock.step(); step != 0 && c.instance != nil {
			c.instance.OnClockStep(now)
			(*port)(c).Log(fmt.Sprintf("wall clock stepped by %v: backends listed from here on count as just started", step.Round(time.Millisecond)))
		}
	})
}
