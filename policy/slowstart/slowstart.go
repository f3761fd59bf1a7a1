// Package slowstart limits the requests sent to a backend while it warms up.
//
// It estimates when a backend came up and what fraction of its capacity it has reached, and keeps the slow-start
// budget of requests for it. It does not choose backends and does not read a clock; all times are passed in by the
// caller, in milliseconds.
package slowstart

import "math"

// Config describes the capacity of a backend after its start.
type Config struct {
	InitialCapacity float64 // minimum fraction of its capacity immediately after the start
	WarmUp          float64 // ms until it has its full capacity
	OverloadFactor  float64 // load, as a multiple of its current capacity, at which it fails
	OverloadWindow  float64 // ms for which that load must last
}

// Progress returns the minimum fraction of its capacity that a backend has reached, from Config.InitialCapacity to 1.
// upSince is the time since which it has been up; 0 means long ago.
func (c *Config) Progress(upSince, now float64) float64 {
	up := now - upSince
	if upSince <= 0 || c.WarmUp <= 0 || up >= c.WarmUp {
		return 1
	}
	return c.InitialCapacity + (1-c.InitialCapacity)*max(up, 0)/c.WarmUp
}

// maxStartAge (ms) is the longest time for which a backend can have been up when a running instance first sees it
// listed. Discovery lists a backend within seconds, even across an outage, so a backend that appears to have been up
// for longer has a start time from a different clock. The drawback is that after a very long discovery outage, warm
// backends go through slow start again.
const maxStartAge = 20000

// Start is the start time of a backend as listed by discovery, with the conditions under which it was listed.
type Start struct {
	ListedStart  float64 // ms; 0: long ago
	FirstList    bool    // this instance has received no list from discovery before
	ClockStepped bool    // the wall clock has been stepped since this instance started
}

// UpSince returns the time since which the backend has certainly been up. The listed start was read from a wall
// clock, which may have been stepped, as may the local one, whereas the instance's own time is monotonic. A fresh
// backend must never be taken for a warm one. Therefore the listed start is used only if no clock step has been seen
// and the start is plausible for a newly listed backend. Otherwise the backend counts as up since now, which is later
// than its real start by the delay of the list and never too early. The first list that an instance receives is
// trusted, because there is no other information.
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
	// margin is the fraction of the overload rate that the budget uses.
	margin = 0.7
	// burst is the fraction of the requests of an overload window that may be sent at once.
	burst = 0.25
)

// Budget limits the requests to a backend while it warms up. It is a token bucket whose rate follows the capacity of
// the backend. The zero value is empty at time 0, and Allows refills it from then on.
type Budget struct {
	requests  float64
	updatedAt float64 // ms
}

// NewBudget returns a budget with the given number of requests at time now.
func NewBudget(requests, now float64) Budget { return Budget{requests: requests, updatedAt: now} }

// Allows refills the budget up to now and reports whether another request may be sent to the backend. progress is the
// result of Config.Progress, and fullRate is the rate, in requests per ms, that the backend can take from this
// instance once it is warm.
func (b *Budget) Allows(c *Config, progress, fullRate, now float64) bool {
	rate := margin * c.OverloadFactor * progress * fullRate
	b.requests = min(b.requests+rate*(now-b.updatedAt), max(rate*c.OverloadWindow*burst, 1))
	b.updatedAt = now
	return b.requests >= 1
}

// Spend deducts the work of one request, where 1 is the work of an average request.
func (b *Budget) Spend(work float64) { b.requests -= work }

const (
	// throughputTime (ms) is the time constant of the average throughput of warm backends.
	throughputTime = 4000
	// minObservedShare bounds the correction for a short observation, which would otherwise be unbounded at the
	// start.
	minObservedShare = 0.05
)

// Throughput is the exponential average of the requests that warm backends serve for this instance. The zero value
// has seen no requests.
type Throughput struct {
	served    float64 // requests per unit of weight, decayed
	updatedAt float64 // ms; 0 if nothing has been served yet
	observed  float64 // ms of observation
}

// Add records the work of one request, divided by the total weight of all warm backends.
func (t *Throughput) Add(workPerWeight, now float64) {
	if t.updatedAt > 0 {
		elapsed := now - t.updatedAt
		t.served, t.observed = t.served*math.Exp(-elapsed/throughputTime), t.observed+elapsed
	}
	t.served, t.updatedAt = t.served+workPerWeight, now
}

// PerWeight returns the throughput in requests per ms and unit of weight, corrected for a short observation.
func (t *Throughput) PerWeight() float64 {
	return t.served / throughputTime / max(1-math.Exp(-t.observed/throughputTime), minObservedShare)
}
