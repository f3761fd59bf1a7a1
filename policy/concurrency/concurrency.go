// Package concurrency limits the attempts that an instance has open at a backend.
//
// It owns the adaptive limit (Limit) and the ejection after quick failures (Ejection) of one backend. It must never choose a backend or
// know why an attempt failed: the caller says which ends of attempts are samples of load and which are quick failures.
package concurrency

import (
	"math"
	"math/rand/v2"
)

const (
	// InitialLimit is the limit, in open attempts, of a backend of which nothing is known.
	InitialLimit Limit = 4
	// minLimit is the lowest limit, for all instances together: a backend must always get some requests, or it could never show
	// that it has recovered.
	minLimit = 2
	// increase is added to the limit for each answer in time while the limit is in use.
	increase = 0.20
	// decrease is taken off for each late answer. It is far larger than increase, so that a queue at the backend drains at once.
	decrease = 4.0
	// useThreshold is the part of the limit from which it counts as in use: an unused limit must not grow, for nothing tests it.
	useThreshold = 0.6
)

// Limit is how many attempts an instance may have open at one backend. It grows while answers come in time and falls for late ones.
type Limit float64

// OnSample moves the limit by one answer, that came in time or late, with the attempts still open at the backend and the
// number of instances in the fleet. It returns by how much the limit has changed.
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
	// firstEjection and maxEjection (ms) are the mean time without requests after one quick failure and the bound on it after many.
	firstEjection, maxEjection = 20, 1000
	// minJitter and jitter spread an ejection over 0.5 to 1.5 of its mean, so that instances don't return all at once.
	minJitter, jitter = 0.5, 1
)

// Ejection keeps requests away from a backend after quick failures, for longer after each one in a row. A backend that fails at once
// never has many attempts open and would otherwise draw all requests: a dead process, a full one, a broken release, a stale
// endpoint list. The zero value is not ejected.
type Ejection struct {
	consecutiveFailures float64
	until               float64 // ms
}

// Active says whether the backend is ejected at a time in ms.
func (e *Ejection) Active(now float64) bool { return now < e.until }

// OnSuccess ends the row of failures; an ejection that is running goes on.
func (e *Ejection) OnSuccess() { e.consecutiveFailures = 0 }

// OnFailure starts or prolongs an ejection. It draws one random number.
func (e *Ejection) OnFailure(now float64, rng *rand.Rand) {
	pause := min(firstEjection*math.Pow(2, e.consecutiveFailures), maxEjection) * (minJitter + jitter*rng.Float64())
	e.consecutiveFailures, e.until = e.consecutiveFailures+1, max(e.until, now+pause)
}
