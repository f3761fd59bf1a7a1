package policy

import (
	"math"

	"gonum.org/v1/gonum/stat/distuv"
)

// drawsUnhealthy draws an appliance's chance of an answer in time from its posterior, held against the fleet's.
func (a *Instance) drawsUnhealthy(i int) bool {
	f, all := math.Exp(-(a.now-a.recordUpdatedAt[i])/healthDecayTime), math.Exp(-(a.now-a.totalUpdatedAt)/healthDecayTime)
	good, poor := a.totalSuccesses*all, a.totalFailures*all
	if a.failures[i]*f < 0.5 {
		return false
	}
	drawn := distuv.Beta{Alpha: 1 + a.successes[i]*f, Beta: 1 + a.failures[i]*f, Src: a.rng}.Rand()
	return drawn < healthThreshold*(good+1)/(good+poor+1)
}

func (a *Instance) recordAnswer(i int, good bool) {
	f := math.Exp(-(a.now - a.totalUpdatedAt) / healthDecayTime)
	a.totalSuccesses, a.totalFailures, a.totalUpdatedAt = a.totalSuccesses*f, a.totalFailures*f, a.now
	f = math.Exp(-(a.now - a.recordUpdatedAt[i]) / healthDecayTime)
	a.successes[i], a.failures[i], a.recordUpdatedAt[i] = a.successes[i]*f, a.failures[i]*f, a.now
	if good {
		a.successes[i]++
		a.totalSuccesses++
	} else {
		a.failures[i]++
		a.totalFailures++
	}
}
