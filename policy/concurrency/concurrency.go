// Package concurrency limits the attempts that an instance has open at a backend.
//
// It provides the adaptive concurrency limit (Limit) and the ejection after fast failures (Ejection) of one backend.
// It does not choose backends and does not know why an attempt failed: the caller decides which attempt results are
// load samples and which are fast failures.
package concurrency

import (
	"math"
	"math/rand/v2"
)

const (
	// InitialLimit is the limit, in open attempts, of a backend with no history.
	InitialLimit Limit = 4
	// minLimit is the lowest limit, summed over all instances. A backend must always receive some requests, or it
	// could never show that it has recovered.
	minLimit = 2
	// increase is added to the limit for each answer in time while the limit is in use.
	increase = 0.20
	// decrease is subtracted for each late answer. It is much larger than increase so that a queue at the backend
	// drains immediately.
	decrease = 4.0
	// useThreshold is the fraction of the limit above which the limit counts as in use. An unused limit must not
	// grow, because nothing has tested it.
	useThreshold = 0.6
)

// Limit is the number of attempts an instance may have open at one backend. It grows while answers arrive in time and
// shrinks when they are late.
type Limit float64

// OnSample adjusts the limit for one answer and returns the change. open is the number of attempts still open at the
// backend, and instances the number of instances in the fleet.
func (l *Limit) OnSample(inTime bool, open, instances int) (change float64) {
	previous := float64(*l)
	limit := previous
	if inTime && float64(open)+1 > useThreshold*limit {
		limit += increase
	} else if !inTime {
		limit = max(limit-decrease, minLimit/float64(instances))
	}
	*l = Limit(limit)
	return limit - previous
}

const (
	// firstEjection and maxEjection (ms) are the mean length of the first ejection and the upper bound on the mean
	// after repeated failures.
	firstEjection, maxEjection = 20, 1000
	// minJitter and jitter spread ejections over 0.5 to 1.5 times the mean, so that instances do not return to the
	// backend at the same moment.
	minJitter, jitter = 0.5, 1
)

// Ejection keeps requests away from a backend after fast failures, for longer after each consecutive one. A backend
// that fails immediately never has many attempts open and would otherwise attract all requests. Causes include a dead
// process, a full queue, a broken release and a stale endpoint list. The zero value is not ejected.
type Ejection struct {
	consecutiveFailures float64
	until               float64 // ms
}

// Active reports whether the backend is ejected at the given time (ms).
func (e *Ejection) Active(now float64) bool { return now < e.until }

// OnSuccess resets the count of consecutive failures. It does not end an ejection that is in progress.
func (e *Ejection) OnSuccess() { e.consecutiveFailures = 0 }

// OnFailure starts or extends an ejection. It draws exactly one random number.
func (e *Ejection) OnFailure(now float64, rng *rand.Rand) {
	pause := min(firstEjection*math.Pow(2, e.consecutiveFailures), maxEjection) * (minJitter + jitter*rng.Float64())
	e.consecutiveFailures, e.until = e.consecutiveFailures+1, max(e.until, now+pause)
}
