package policy

import (
	"math"

	"gonum.org/v1/gonum/stat/distuv"
)

// drawsUnhealthy draws an appliance's chance of an answer in time from its posterior, held against the fleet's.
func (inst *Instance) drawsUnhealthy(backend int) bool {
	f, all := math.Exp(-(inst.now-inst.recordUpdatedAt[backend])/healthDecayTime), math.Exp(-(inst.now-inst.totalUpdatedAt)/healthDecayTime)
	good, poor := inst.totalSuccesses*all, inst.totalFailures*all
	if inst.failures[backend]*f < 0.5 {
		return false
	}
	drawn := distuv.Beta{Alpha: 1 + inst.successes[backend]*f, Beta: 1 + inst.failures[backend]*f, Src: inst.rng}.Rand()
	return drawn < healthThreshold*(good+1)/(good+poor+1)
}

func (inst *Instance) recordAnswer(backend int, good bool) {
	f := math.Exp(-(inst.now - inst.totalUpdatedAt) / healthDecayTime)
	inst.totalSuccesses, inst.totalFailures, inst.totalUpdatedAt = inst.totalSuccesses*f, inst.totalFailures*f, inst.now
	f = math.Exp(-(inst.now - inst.recordUpdatedAt[backend]) / healthDecayTime)
	inst.successes[backend], inst.failures[backend], inst.recordUpdatedAt[backend] = inst.successes[backend]*f, inst.failures[backend]*f, inst.now
	if good {
		inst.successes[backend]++
		inst.totalSuccesses++
	} else {
		inst.failures[backend]++
		inst.totalFailures++
	}
}
