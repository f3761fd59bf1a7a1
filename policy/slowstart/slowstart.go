// Package slowstart limits what a backend gets while it warms up.
//
// It owns since when a backend counts as up, what part of its capacity it has by then, and the budget of requests that may go to it
// until it is warm. It must never choose a backend, and it takes no time from a clock of its own: all times are the caller's, in ms.
package slowstart

import "math"

// Config says what a backend can take after its start.
type Config struct {
	InitialCapacity float64 // share of its capacity right after the start, at the least
	WarmUp          float64 // ms after which it has all of its capacity
	OverloadFactor  float64 // times its present capacity, at which it fails
	OverloadWindow  float64 // ms for which it has to get that much
}

// Progress is the part of its capacity that a backend has at the least, from Config.InitialCapacity to 1. upSince is since when it has been
// up; 0 stands for long ago.
func (c *Config) Progress(upSince, now float64) float64 {
	up := now - upSince
	if upSince <= 0 || c.WarmUp <= 0 || up >= c.WarmUp {
		return 1
	}
	return c.InitialCapacity + (1-c.InitialCapacity)*max(up, 0)/c.WarmUp
}

// maxStartAge (ms) is how long a backend can have been up when it is first listed while a process runs: discovery lists it within
// seconds, even with an outage in between. A backend that seems to have been up for longer was timed by another clock. The price: after a
// very long outage of discovery warm backends are warmed up again.
const maxStartAge = 20000

// Start is a backend's start as discovery lists it.
type Start struct {
	ListedStart  float64 // ms; 0: long ago
	FirstList    bool    // the process has had no list from discovery before
	ClockStepped bool    // a step of the wall clock was seen since the process started
}

// UpSince is since when a backend has been up for certain. The listed start was read from a wall clock, which may have been stepped, as may
// ours; the process's own time runs evenly. A fresh backend must never pass for a warm one. So the listed start is believed only while no
// step of the clock was seen, and only where it can be true of a backend that has just been listed. Otherwise the backend counts as up
// since now, which is later than its start by the list's delay and never too early. A process's first list is believed: there is
// nothing else to go by.
func (s Start) UpSince(now float64) float64 {
	switch {
	case s.ListedStart <= 0:
		return 0
	case !s.FirstList && (s.ClockStepped || now-s.ListedStart > maxStartAge):
		return now
	}
	return min(s.ListedStart, now)
}

const (
	// margin is the part of the overload rate that the budget uses.
	margin = 0.7
	// burst is the part of the overload window's requests that may come at once.
	burst = 0.25
)

// Budget counts the requests that may go to a backend while it warms up: a token bucket whose rate follows the backend's capacity. The zero
// value is empty.
type Budget struct {
	requests  float64
	updatedAt float64 // ms
}

// NewBudget is a budget of so many requests at a time.
func NewBudget(requests, now float64) Budget { return Budget{requests: requests, updatedAt: now} }

// Allows refills the budget up to now and says whether one more request may go to the backend. progress is its Config.Progress and
// fullRate the requests per ms that it can take from this instance once it is warm.
func (b *Budget) Allows(c *Config, progress, fullRate, now float64) bool {
	rate := margin * c.OverloadFactor * progress * fullRate
	b.requests = min(b.requests+rate*(now-b.updatedAt), max(rate*c.OverloadWindow*burst, 1))
	b.updatedAt = now
	return b.requests >= 1
}

// Spend takes off one request's work, where 1 is the mean request's.
func (b *Budget) Spend(work float64) { b.requests -= work }

const (
	// throughputTime (ms) is over which the throughput of warm backends is averaged.
	throughputTime = 4000
	// minObservedShare bounds the correction for a short observation: at its very start it would be without bound.
	minObservedShare = 0.05
)

// Throughput is what warm backends serve for this instance, as an exponential average. The zero value has seen nothing.
type Throughput struct {
	served    float64 // requests by unit of weight, decayed
	updatedAt float64 // ms; 0: nothing served yet
	observed  float64 // ms
}

// Add counts one request's work, divided by the weight of all warm backends.
func (t *Throughput) Add(workPerWeight, now float64) {
	if t.updatedAt > 0 {
		elapsed := now - t.updatedAt
		t.served, t.observed = t.served*math.Exp(-elapsed/throughputTime), t.observed+elapsed
	}
	t.served, t.updatedAt = t.served+workPerWeight, now
}

// PerWeight is in requests per ms and unit of weight, corrected for a short observation.
func (t *Throughput) PerWeight() float64 {
	return t.served / throughputTime / max(1-math.Exp(-t.observed/throughputTime), minObservedShare)
}
