package balance

import (
	"math"
	"math/rand/v2"
)

const (
	// choicesCompared is how many random candidates are compared by load. More than the usual two: an instance sees only its part of
	// the load, so that two candidates often look alike.
	choicesCompared = 6
	// maxDraws bounds the draws for one choice where few candidates are accepted.
	maxDraws = 40
)

// LeastLoaded draws candidates at random and returns the one with the least load of the first few that are accepted. Instances that see
// little load would otherwise all find the same few best. Candidates are drawn first and tested after, so that the cost doesn't grow
// with the fleet. Where hardly any is accepted, the first one from a random place on that fits is taken; -1: none.
//
// accepts may draw random numbers of its own; fits is the same test without chance.
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

// firstFit goes once around the candidates from a place on.
func firstFit(candidates []int, from int, fits func(candidate int) bool) int {
	for k := range candidates {
		if candidate := candidates[(from+k)%len(candidates)]; fits(candidate) {
			return candidate
		}
	}
	return -1
}
