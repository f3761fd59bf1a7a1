package policy

import (
	"math"
	"slices"

	"onyxgate/policy/gossip"
	"onyxgate/policy/release"
)

// scheduleWatchRetry: a failure does not say which call it was, so the subscription is asked for again, later each
// time and scattered, yet well before the agent would be taken to know what it was not told.
func (inst *Instance) scheduleWatchRetry() {
	part := min(firstWatchRetry*math.Pow(2, inst.watchFailures), maxWatchRetry) * (1 + inst.rng.Float64())
	inst.watching, inst.watchDueAt, inst.watchFailures = false, inst.now+inst.refreshInterval*part, inst.watchFailures+1
	inst.schedule(inst.watchDueAt, nil)
}

// endpointTable holds what is known of each appliance, in parallel arrays under a small index.
type endpointTable struct {
	indexOf                                        map[string]int
	indexOfHash                                    map[uint32]int
	id                                             []string
	release                                        []ReleaseID
	zone, hardwareClass, cell                      []int
	state                                          []EndpointState
	weight, startedAt                              []float64
	upSince                                        []float64 // since when, at the latest, it has been up; 0: long ago
	clockStepped                                   bool      // the wall clock, since the start
	discoveryHeard                                 bool      // a list other than the one that the process started with has come
	openAttempts                                   []int
	concurrencyLimit                               []float64 // own open submissions that it may have
	successes, failures, recordUpdatedAt           []float64 // fading record of answers within the SLA time and others
	latencyInflation                               []float64 // latency against the product's usual
	consecutiveFailures, ejectedUntil              []float64 // quick failures in a row, and the rest after them
	reportedLoad, reportedAt                       []float64 // load by the last report
	slowStartBudget, slowStartBudgetAt             []float64 // cold budget
	recentLatencies                                [][]float64
	totalSuccesses, totalFailures, totalUpdatedAt  float64 // the record of all
	totalOpenAttempts                              int
	removedAt                                      []float64
	candidates                                     [2][]int // running appliances, of earlier builds and on trial
	capacity                                       [2]float64
	totalConcurrencyLimit, warmWeight, maxCapacity float64
	rolloutCap, aggregatesDueAt                    float64
	rolloutRelease                                 ReleaseID // the newest running release under a cap; 0: none
	discoveryOnDemand, watching                    bool
	watchFailures                                  float64 // of list calls in a row
	refreshInterval, watchDueAt                    float64
}

func (inst *Instance) watchEndpoints() {
	inst.port.WatchEndpoints()
	inst.watching = true // until a failure is told
}

// refreshAggregates sums over the fleet what choosing a place needs.
func (inst *Instance) refreshAggregates() {
	inst.aggregatesDueAt = inst.now + evaluationInterval
	inst.candidates[0], inst.candidates[1] = inst.candidates[0][:0], inst.candidates[1][:0]
	inst.capacity, inst.totalConcurrencyLimit, inst.warmWeight, inst.maxCapacity, inst.rolloutCap, inst.rolloutRelease = [2]float64{}, 0, 0, 0, 0, 0
	inst.inferReleasedReleases()
	for i := range inst.id {
		if inst.state[i] != EndpointRunning {
			continue
		}
		arm, w := 0, inst.weight[i]*inst.warmUpProgress(i)
		if limit, limited := inst.releases.Cap(inst.release[i]); limited && limit <= 0 {
			continue // nothing may go there
		} else if limited {
			arm, inst.rolloutCap = 1, max(inst.rolloutCap, limit)
			if inst.release[i] != release.Unknown {
				inst.rolloutRelease = max(inst.rolloutRelease, inst.release[i])
			}
		}
		inst.candidates[arm] = append(inst.candidates[arm], i)
		inst.capacity[arm] += w
		inst.totalConcurrencyLimit += inst.concurrencyLimit[i]
		inst.maxCapacity = max(inst.maxCapacity, inst.capacityOf(i))
		if inst.warmUpProgress(i) >= 1 {
			inst.warmWeight += inst.weight[i]
		}
	}
}

// allocateIndex is a place in the arrays: a new one, or where there are many that of an appliance long gone.
func (inst *Instance) allocateIndex() int {
	for i := range inst.id {
		if len(inst.id) >= minBackendsForReuse && inst.state[i] == EndpointRemoved && inst.openAttempts[i] == 0 && inst.now > inst.removedAt[i]+reuseAfter {
			delete(inst.indexOf, inst.id[i])
			delete(inst.indexOfHash, gossip.BackendHash(inst.id[i]))
			for arm := range inst.evidence {
				for p, e := range inst.evidence[arm] {
					inst.evidence[arm][p] = slices.DeleteFunc(e, func(o outcome) bool { return o.backend == i })
				}
			}
			return i
		}
	}
	inst.release = append(inst.release, 0)
	for _, x := range []*[]int{&inst.zone, &inst.hardwareClass, &inst.cell, &inst.openAttempts} {
		*x = append(*x, 0)
	}
	for _, x := range []*[]float64{
		&inst.weight, &inst.startedAt, &inst.successes, &inst.failures, &inst.recordUpdatedAt, &inst.latencyInflation, &inst.slowStartBudget, &inst.slowStartBudgetAt, &inst.concurrencyLimit,
		&inst.upSince, &inst.reportedLoad, &inst.reportedAt, &inst.consecutiveFailures, &inst.ejectedUntil, &inst.removedAt,
	} {
		*x = append(*x, 0)
	}
	inst.id, inst.state, inst.recentLatencies = append(inst.id, ""), append(inst.state, EndpointRemoved), append(inst.recentLatencies, nil)
	return len(inst.id) - 1
}
