// Package health estimates from recent answers whether a backend answers in time as often as the fleet as a whole.
//
// It provides a decaying record of answers and a randomized test against it. It knows nothing about requests,
// releases or ports: the caller decides which answers are in time, and supplies the clock and the random numbers.
package health

import (
	"math"
	"math/rand/v2"

	"gonum.org/v1/gonum/stat/distuv"
)

const (
	// decayTime (ms) is the time after which a recorded answer has decayed to 1/e. It is several times the usual
	// latency objective, so that a record holds enough answers, and short enough that a recovered backend is soon
	// used again.
	decayTime = 5000
	// minFailures is the decayed number of failures below which a backend is never skipped: less than one recent
	// failure is not evidence.
	minFailures = 0.5
	// threshold is relative to the success probability of the fleet: a backend is skipped if its sampled probability
	// is below this fraction of it.
	threshold = 0.7
)

// Record counts answers in time (successes) and failures, both decaying exponentially. The zero value is an empty
// record.
type Record struct {
	successes, failures float64
	updatedAt           float64 // ms
}

// Add records one answer at the given time (ms).
func (r *Record) Add(now float64, inTime bool) {
	decay := r.decay(now)
	r.successes, r.failures, r.updatedAt = r.successes*decay, r.failures*decay, now
	if inTime {
		r.successes++
	} else {
		r.failures++
	}
}

// decay returns the factor by which the counts have decayed since the last answer was recorded.
func (r *Record) decay(now float64) float64 { return math.Exp(-(now - r.updatedAt) / decayTime) }

// DrawUnhealthy samples the probability that the backend answers in time from its posterior, a beta distribution over
// its record, and reports whether the sample is clearly below the fleet's. Sampling instead of using the mean lets a
// backend with few failures still receive some requests, with which it can show that it has recovered. For a backend
// without recent failures no random number is drawn.
func DrawUnhealthy(backend, fleet *Record, now float64, rng *rand.Rand) bool {
	decay, fleetDecay := backend.decay(now), fleet.decay(now)
	fleetSuccesses, fleetFailures := fleet.successes*fleetDecay, fleet.failures*fleetDecay
	if backend.failures*decay < minFailures {
		return false
	}
	drawn := distuv.Beta{Alpha: 1 + backend.successes*decay, Beta: 1 + backend.failures*decay, Src: rng}.Rand()
	return drawn < threshold*(fleetSuccesses+1)/(fleetSuccesses+fleetFailures+1)
}
