package policy

import (
	"math"

	"onyxgate/policy/slowstart"
)

// discovery is where the endpoint list comes from and how far it can be relied on.
type discovery struct {
	subscriptionRequired bool    // changes come only after a subscription
	refreshInterval      float64 // ms
	subscribed           bool    // subscribed, as far as is known
	watchDueAt           float64 // ms, when to subscribe
	consecutiveFailures  float64 // in a row
	listReceived         bool    // a list other than the cached one that the process started with has come
	clockStepped         bool    // the wall clock was, since the start
}

const (
	// firstWatchRetry and maxWatchRetry are pauses after one failure and after many, as parts of the refresh interval: well before
	// the instance would count as knowing what it was not sent.
	firstWatchRetry, maxWatchRetry = 0.02, 0.3
)

func (inst *Instance) watchDue() bool {
	return inst.discovery.subscriptionRequired && !inst.discovery.subscribed && inst.now >= inst.discovery.watchDueAt
}

func (inst *Instance) watchEndpoints() {
	inst.port.WatchEndpoints()
	inst.discovery.subscribed = true // until a failure comes
}

// scheduleWatchRetry: a failure does not say which call it was, so the subscription is made again, after a longer pause each time, and
// scattered over the instances.
func (inst *Instance) scheduleWatchRetry() {
	d := &inst.discovery
	share := min(firstWatchRetry*math.Pow(2, d.consecutiveFailures), maxWatchRetry) * (1 + inst.rng.Float64())
	d.subscribed, d.watchDueAt, d.consecutiveFailures = false, inst.now+d.refreshInterval*share, d.consecutiveFailures+1
	inst.schedule(d.watchDueAt, nil)
}

// applyEndpoint takes one backend as listed.
func (inst *Instance) applyEndpoint(listed Endpoint) {
	index, known := inst.endpoints.Find(listed.ID)
	if !known {
		index = inst.addEndpoint(listed.ID)
	}
	backend := inst.endpoints.At(index)
	if backend.IsNewProcess(listed) {
		start := slowstart.Start{ListedStart: listed.StartedAt, FirstList: !inst.discovery.listReceived, ClockStepped: inst.discovery.clockStepped}
		backend.ResetForNewProcess(start.UpSince(inst.now), inst.now)
		inst.evaluator.ResetBackend(index)
		if inst.instances >= manyInstances && listed.StartedAt > 0 {
			// With an empty budget each of many instances would wait long for its first request; with a full one all would send at once.
			backend.SlowStart = slowstart.NewBudget(inst.rng.Float64(), inst.now)
		}
	}
	if listed.State != EndpointRemoved {
		inst.onReleaseListed(listed.Release)
	}
	backend.Update(listed, inst.now)
}

// addEndpoint makes an entry for a new backend. Evidence on the backend whose entry it takes is dropped, since it goes by that index.
func (inst *Instance) addEndpoint(id string) int {
	index, reused := inst.endpoints.Add(id, inst.now)
	if reused {
		inst.evaluator.ForgetBackend(index)
	}
	return index
}
