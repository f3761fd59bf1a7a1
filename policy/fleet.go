package policy

import (
	"math"

	"onyxgate/policy/endpoints"
	"onyxgate/policy/release"
)

// aggregatesInterval (ms) is how long the aggregates are used before they are computed again. Without this cache the
// cost of a decision would grow with the fleet.
const aggregatesInterval = 200

// fleetAggregates summarizes the running backends, as of the last refresh. Arrays with two elements hold one value
// for the stable releases and one for the releases that are rolling out, indexed by stableArm and rolloutArm.
type fleetAggregates struct {
	refreshAt        float64    // ms, time of the next refresh
	candidates       [2][]int   // indices of backends
	capacity         [2]float64 // sum of weights times warm-up progress
	concurrencyLimit float64    // sum of the backends' limits, also updated between refreshes
	warmWeight       float64    // of the warm backends
	maxCapacity      float64    // highest capacity of one backend, as returned by capacityOf
	rolloutCap       float64    // highest cap among the capped releases
	rolloutRelease   ReleaseID  // the newest running release under a cap; 0: none
}

// Indices into the arrays of fleetAggregates.
const (
	stableArm = iota
	rolloutArm
)

func otherArm(arm int) int { return stableArm + rolloutArm - arm }

func (inst *Instance) aggregatesDue() bool { return inst.now >= inst.fleet.refreshAt }

// refreshAggregates recomputes the aggregates.
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
		return // the release may get no requests
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

// inferReleased infers which release the fleet runs, in two cases. Until a release is announced, the oldest listed one
// counts as released. An earlier release whose final update was missed counts as released if more than half of the
// running backends of all releases before the newest run it.
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

// crossZonePenalty is the number by which the capacity of a backend in another zone is divided, if crossing zones has a
// cost.
const crossZonePenalty = 1.5

// capacityOf returns the estimated capacity of a backend: its weight, corrected for warm-up and latency inflation and,
// if crossing zones has a cost, for another zone.
func (inst *Instance) capacityOf(backend *endpoints.Backend) float64 {
	capacity := backend.Weight * inst.warmUpProgress(backend) / backend.LatencyInflation
	if inst.crossZoneCharged && backend.Zone != inst.zone {
		capacity /= crossZonePenalty
	}
	return capacity
}

// warmUpProgress returns a lower bound of a backend's current capacity, as a share of its full capacity.
func (inst *Instance) warmUpProgress(backend *endpoints.Backend) float64 {
	return inst.slowStart.Progress(backend.UpSince, inst.now)
}

// recordHealth adds a result to the health records of the backend and of the fleet.
func (inst *Instance) recordHealth(backend *endpoints.Backend, inTime bool) {
	inst.fleetHealth.Add(inst.now, inTime)
	backend.Health.Add(inst.now, inTime)
}
