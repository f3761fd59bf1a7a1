package policy

import (
	"math"

	"onyxgate/policy/endpoints"
	"onyxgate/policy/release"
)

// aggregatesInterval (ms) is how long the sums over the fleet are used: the cost of a decision must not grow with the fleet.
const aggregatesInterval = 200

// fleetAggregates are sums over the running backends, as of the last refresh. Pairs are for the stable releases and for those that roll out,
// in this order (stableArm, rolloutArm).
type fleetAggregates struct {
	refreshAt        float64  // ms, when they are taken again
	candidates       [2][]int // backends by index
	capacity         [2]float64
	concurrencyLimit float64   // sum of the backends' limits
	warmWeight       float64   // of the backends that are warm
	maxCapacity      float64   // of one backend, as capacityOf gives it
	rolloutCap       float64   // the highest cap among the releases under one
	rolloutRelease   ReleaseID // the newest running release under a cap; 0: none
}

// Indices into the pairs of fleetAggregates.
const (
	stableArm = iota
	rolloutArm
)

func otherArm(arm int) int { return stableArm + rolloutArm - arm }

func (inst *Instance) aggregatesDue() bool { return inst.now >= inst.fleet.refreshAt }

// refreshAggregates sums over the fleet what placing a request needs.
func (inst *Instance) refreshAggregates() {
	fleet := &inst.fleet
	stable, rollout := fleet.candidates[stableArm][:0], fleet.candidates[rolloutArm][:0]
	*fleet = fleetAggregates{refreshAt: inst.now + aggregatesInterval, candidates: [2][]int{stable, rollout}}
	inst.inferReleased()
	for index := range inst.endpoints.Len() {
		if backend := inst.endpoints.At(index); backend.State == EndpointRunning {
			inst.addToAggregates(index, backend)
		}
	}
}

func (inst *Instance) addToAggregates(index int, backend *endpoints.Backend) {
	fleet, arm, progress := &inst.fleet, stableArm, inst.warmUpProgress(backend)
	limit, limited := inst.releases.Cap(backend.Release)
	if limited && limit <= 0 {
		return // no request may go there
	}
	if limited {
		arm, fleet.rolloutCap = rolloutArm, max(fleet.rolloutCap, limit)
		if backend.Release != release.Unknown {
			fleet.rolloutRelease = max(fleet.rolloutRelease, backend.Release)
		}
	}
	fleet.candidates[arm] = append(fleet.candidates[arm], index)
	fleet.capacity[arm] += backend.Weight * progress
	fleet.concurrencyLimit += float64(backend.Limit)
	fleet.maxCapacity = max(fleet.maxCapacity, inst.capacityOf(backend))
	if progress >= 1 {
		fleet.warmWeight += backend.Weight
	}
}

// inferReleased finds the release that the fleet runs: the oldest listed one as long as none is announced, and one whose release was
// missed where most backends of earlier releases run it.
func (inst *Instance) inferReleased() {
	newest := inst.evaluator.Release()
	oldest, earlier, counts := ReleaseID(math.MaxInt), 0, map[ReleaseID]int{}
	for index := range inst.endpoints.Len() {
		backend := inst.endpoints.At(index)
		if backend.State == EndpointRemoved || backend.Release == release.Unknown {
			continue
		}
		oldest = min(oldest, backend.Release)
		if backend.State == EndpointRunning && backend.Release < newest {
			earlier++
			counts[backend.Release]++
		}
	}
	if oldest < math.MaxInt {
		inst.releases.SetOldestListed(oldest)
	}
	for id, n := range counts { // the order does not matter: at most one has more than half
		if 2*n > earlier {
			inst.releases.InferReleased(id)
		}
	}
}

// crossZonePenalty is how many times its load a backend in another zone counts for, where crossing zones costs something.
const crossZonePenalty = 1.5

// capacityOf is what a backend can take, as far as is known: its weight, less while it warms up, is slow or is in another zone.
func (inst *Instance) capacityOf(backend *endpoints.Backend) float64 {
	capacity := backend.Weight * inst.warmUpProgress(backend) / backend.LatencyInflation
	if inst.crossZoneCharged && backend.Zone != inst.zone {
		capacity /= crossZonePenalty
	}
	return capacity
}

// warmUpProgress is the part of its capacity that a backend has at the least.
func (inst *Instance) warmUpProgress(backend *endpoints.Backend) float64 {
	return inst.slowStart.Progress(backend.UpSince, inst.now)
}

// recordAnswer counts an answer for its backend and for the fleet.
func (inst *Instance) recordHealth(backend *endpoints.Backend, inTime bool) {
	inst.fleetHealth.Add(inst.now, inTime)
	backend.Health.Add(inst.now, inTime)
}
