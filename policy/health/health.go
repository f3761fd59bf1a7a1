// Package health estimates from recent answers whether a backend answers in time as often as the whole fleet does.
//
// It owns the decayed record of answers and the draw against it. It must never know a request, a release or a port: the caller
// says what counts as an answer in time and brings time and random numbers.
package health

import (
	"math"
	"math/rand/v2"

	"gonum.org/v1/gonum/stat/distuv"
)

const (
	// decayTime (ms) is the time after which a recorded answer counts 1/e. It is several times the usual latency objective, so that a
	// record holds enough answers, and short enough that a backend which has recovered is soon used again.
	decayTime = 5000
	// minFailures is the decayed number of failures below which a backend is never skipped: less than one recent failure shows nothing.
	minFailures = 0.5
	// threshold: a backend is skipped where the drawn probability of an answer in time is below this part of the fleet's.
	threshold = 0.7
)

// Record counts answers in time and failures; both decay exponentially. The zero value is an empty record.
type Record struct {
	successes, failures float64
	updatedAt           float64 // ms
}

// Add records one answer at a time in ms.
func (r *Record) Add(now float64, inTime bool) {
	decay := r.decay(now)
	r.successes, r.failures, r.updatedAt = r.successes*decay, r.failures*decay, now
	if inTime {
		r.successes++
	} else {
		r.failures++
	}
}

// decay is the factor that a record's counts have lost since its last answer.
func (r *Record) decay(now float64) float64 { return math.Exp(-(now - r.updatedAt) / decayTime) }

// DrawUnhealthy draws a backend's probability of an answer in time from its posterior (a beta distribution over its record) and says
// whether that falls clearly below the fleet's. A draw in place of the mean lets a backend with few failures still get a part
// of its requests, by which it can show that it has recovered. No random number is drawn for a backend without recent failures.
func DrawUnhealthy(backend, fleet *Record, now float64, rng *rand.Rand) bool {
	decay, fleetDecay := backend.decay(now), fleet.decay(now)
	fleetSuccesses, fleetFailures := fleet.successes*fleetDecay, fleet.failures*fleetDecay
	if backend.failures*decay < minFailures {
		return false
	}
	drawn := distuv.Beta{Alpha: 1 + backend.successes*decay, Beta: 1 + backend.failures*decay, Src: rng}.Rand()
	return drawn < threshold*(fleetSuccesses+1)/(fleetSuccesses+fleetFailures+1)
}
