package policy

import (
	"math"
	"slices"

	"onyxgate/policy/gossip"
	"onyxgate/policy/release"
)

// scheduleWatchRetry: a failure does not say which call it was, so the subscription is asked for again, later each
// time and scattered, yet well before the agent would be taken to know what it was not told.
func (a *Instance) scheduleWatchRetry() {
	part := min(firstWatchRetry*math.Pow(2, a.watchFailures), maxWatchRetry) * (1 + a.rng.Float64())
	a.watching, a.watchDueAt, a.watchFailures = false, a.now+a.refreshInterval*part, a.watchFailures+1
	a.schedule(a.watchDueAt, nil)
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

func (a *Instance) watchEndpoints() {
	a.port.WatchEndpoints()
	a.watching = true // until a failure is told
}

// refreshAggregates sums over the fleet what choosing a place needs.
func (a *Instance) refreshAggregates() {
	a.aggregatesDueAt = a.now + evaluationInterval
	a.candidates[0], a.candidates[1] = a.candidates[0][:0], a.candidates[1][:0]
	a.capacity, a.totalConcurrencyLimit, a.warmWeight, a.maxCapacity, a.rolloutCap, a.rolloutRelease = [2]float64{}, 0, 0, 0, 0, 0
	a.inferReleasedReleases()
	for i := range a.id {
		if a.state[i] != EndpointRunning {
			continue
		}
		arm, w := 0, a.weight[i]*a.warmUpProgress(i)
		if limit, limited := a.releases.Cap(a.release[i]); limited && limit <= 0 {
			continue // nothing may go there
		} else if limited {
			arm, a.rolloutCap = 1, max(a.rolloutCap, limit)
			if a.release[i] != release.Unknown {
				a.rolloutRelease = max(a.rolloutRelease, a.release[i])
			}
		}
		a.candidates[arm] = append(a.candidates[arm], i)
		a.capacity[arm] += w
		a.totalConcurrencyLimit += a.concurrencyLimit[i]
		a.maxCapacity = max(a.maxCapacity, a.capacityOf(i))
		if a.warmUpProgress(i) >= 1 {
			a.warmWeight += a.weight[i]
		}
	}
}

// allocateIndex is a place in the arrays: a new one, or where there are many that of an appliance long gone.
func (a *Instance) allocateIndex() int {
	for i := range a.id {
		if len(a.id) >= minBackendsForReuse && a.state[i] == EndpointRemoved && a.openAttempts[i] == 0 && a.now > a.removedAt[i]+reuseAfter {
			delete(a.indexOf, a.id[i])
			delete(a.indexOfHash, gossip.BackendHash(a.id[i]))
			for arm := range a.evidence {
				for p, e := range a.evidence[arm] {
					a.evidence[arm][p] = slices.DeleteFunc(e, func(o outcome) bool { return o.backend == i })
				}
			}
			return i
		}
	}
	a.release = append(a.release, 0)
	for _, x := range []*[]int{&a.zone, &a.hardwareClass, &a.cell, &a.openAttempts} {
		*x = append(*x, 0)
	}
	for _, x := range []*[]float64{
		&a.weight, &a.startedAt, &a.successes, &a.failures, &a.recordUpdatedAt, &a.latencyInflation, &a.slowStartBudget, &a.slowStartBudgetAt, &a.concurrencyLimit,
		&a.upSince, &a.reportedLoad, &a.reportedAt, &a.consecutiveFailures, &a.ejectedUntil, &a.removedAt,
	} {
		*x = append(*x, 0)
	}
	a.id, a.state, a.recentLatencies = append(a.id, ""), append(a.state, EndpointRemoved), append(a.recentLatencies, nil)
	return len(a.id) - 1
}
