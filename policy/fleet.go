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
	dueAt            float64  // ms, when they are taken again
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

func (inst *Instance) aggregatesDue() bool { return inst.now >= inst.fleet.dueAt }

// refreshAggregates sums over the fleet what placing a request needs.
func (inst *Instance) refreshAggregates() {
	fleet := &inst.fleet
	stable, rollout := fleet.candidates[stableArm][:0], fleet.candidates[rolloutArm][:0]
	*fleet = fleetAggregates{dueAt: inst.now + aggregatesInterval, candidates: [2][]int{stable, rollout}}
	inst.inferReleased()
	for backend := range inst.endpoints.Len() {
		if b := inst.endpoints.At(backend); b.State == EndpointRunning {
			inst.addToAggregates(backend, b)
		}
	}
}

func (inst *Instance) addToAggregates(backend int, b *endpoints.Backend) {
	fleet, arm, progress := &inst.fleet, stableArm, inst.warmUpProgress(b)
	limit, limited := inst.releases.Cap(b.Release)
	if limited && limit <= 0 {
		return // no request may go there
	}
	if limited {
		arm, fleet.rolloutCap = rolloutArm, max(fleet.rolloutCap, limit)
		if b.Release != release.Unknown {
			fleet.rolloutRelease = max(fleet.rolloutRelease, b.Release)
		}
	}
	fleet.candidates[arm] = append(fleet.candidates[arm], backend)
	fleet.capacity[arm] += b.Weight * progress
	fleet.concurrencyLimit += float64(b.Limit)
	fleet.maxCapacity = max(fleet.maxCapacity, inst.capacityOf(b))
	if progress >= 1 {
		fleet.warmWeight += b.Weight
	}
}

// inferReleased finds the release that the fleet runs: the oldest listed one as long as none is announced, and one whose release was
// missed where most backends of earlier releases run it.
func (inst *Instance) inferReleased() {
	newest := inst.evaluator.Release()
	oldest, earlier, counts := ReleaseID(math.MaxInt), 0, map[ReleaseID]int{}
	for backend := range inst.endpoints.Len() {
		b := inst.endpoints.At(backend)
		if b.State == EndpointRemoved || b.Release == release.Unknown {
			continue
		}
		oldest = min(oldest, b.Release)
		if b.State == EndpointRunning && b.Release < newest {
			earlier++
			counts[b.Release]++
		}
	}
	if oldest < math.MaxInt {
		inst.releases.SetOldestListed(oldest)
	}
	for id, n := range counts { // the order does not matter: at most one has more than half
		if 2*n > earlier {
			inst.releases.MarkPrevailing(id)
		}
	}
}

// crossZonePenalty is how many times its load a backend in another zone counts for, where crossing zones costs something.
const crossZonePenalty = 1.5

// capacityOf is what a backend can take, as far as is known: its weight, less while it warms up, is slow or is in another zone.
func (inst *Instance) capacityOf(b *endpoints.Backend) float64 {
	capacity := b.Weight * inst.warmUpProgress(b) / b.LatencyInflation
	if inst.crossZonePrice && b.Zone != inst.zone {
		capacity /= crossZonePenalty
	}
	return capacity
}

// warmUpProgress is the part of its capacity that a backend has at the least.
func (inst *Instance) warmUpProgress(b *endpoints.Backend) float64 {
	return inst.slowStart.Progress(b.UpSince, inst.now)
}

// recordAnswer counts an answer for its backend and for the fleet.
func (inst *Instance) recordAnswer(b *endpoints.Backend, inTime bool) {
	inst.answers.Add(inst.now, inTime)
	b.Answers.Add(inst.now, inTime)
}
