package balance

import (
	"math"
	"math/rand/v2"
)

const (
	// choicesCompared is the number of random candidates compared by load. It is higher than the usual two because an
	// instance sees only its own share of the load, so two candidates often look equal.
	choicesCompared = 6
	// maxDraws bounds the number of draws per choice when few candidates are accepted.
	maxDraws = 40
)

// LeastLoaded draws candidates at random and returns the least loaded of the first few for which accepts returns true.
// Choosing at random prevents all instances, each of which sees little of the load, from picking the same few backends.
// Candidates are drawn before they are tested, so the cost does not grow with the fleet. If none of the drawn
// candidates is accepted, LeastLoaded returns the first candidate that fits, scanning from a random position, or -1
// if there is none.
//
// accepts may draw random numbers itself; fits is the same test without randomness.
func LeastLoaded(candidates []int, rng *rand.Rand, accepts, fits func(candidate int) bool, loadOf func(candidate int) float64) int {
	best, bestLoad := -1, math.Inf(1)
	for accepted, draws := 0, 0; accepted < choicesCompared && draws < maxDraws && len(candidates) > 0; draws++ {
		candidate := candidates[rng.IntN(len(candidates))]
		if !accepts(candidate) {
			continue
		}
		accepted++
		if load := loadOf(candidate); load < bestLoad {
			best, bestLoad = candidate, load
		}
	}
	if best >= 0 || len(candidates) == 0 {
		return best
	}
	return firstFit(candidates, rng.IntN(len(candidates)), fits)
}

// firstFit scans all candidates once, starting at the given position and wrapping around.
func firstFit(candidates []int, from int, fits func(candidate int) bool) int {
	for k := range candidates {
		if candidate := candidates[(from+k)%len(candidates)]; fits(candidate) {
			return candidate
		}
	}
	return -1
}
