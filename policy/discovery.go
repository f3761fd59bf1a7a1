package policy

import (
	"math"

	"onyxgate/policy/slowstart"
)

// discovery is the state of the subscription to the endpoint list.
type discovery struct {
	subscriptionRequired bool    // changes are only sent to subscribers
	refreshInterval      float64 // ms
	subscribed           bool    // subscribed, as far as known
	watchDueAt           float64 // ms, when to subscribe
	consecutiveFailures  float64
	listReceived         bool // a list other than the one cached at startup has been received
	clockStepped         bool // the wall clock has been stepped since startup
}

const (
	// firstWatchRetry and maxWatchRetry are the first and the longest delay before a retry, as shares of the refresh
	// interval and without the jitter, which at most doubles them. Even the longest delay is well below the interval,
	// after which the instance is expected to know changes that it was not sent.
	firstWatchRetry, maxWatchRetry = 0.02, 0.3
)

func (inst *Instance) watchDue() bool {
	return inst.discovery.subscriptionRequired && !inst.discovery.subscribed && inst.now >= inst.discovery.watchDueAt
}

func (inst *Instance) watchEndpoints() {
	inst.port.WatchEndpoints()
	inst.discovery.subscribed = true // until a failure is reported
}

// scheduleWatchRetry schedules a new subscription after a failure, with exponential backoff and jitter. A failure does
// not identify the call that failed, so the subscription is always renewed.
func (inst *Instance) scheduleWatchRetry() {
	d := &inst.discovery
	share := min(firstWatchRetry*math.Pow(2, d.consecutiveFailures), maxWatchRetry) * (1 + inst.rng.Float64())
	d.subscribed, d.watchDueAt, d.consecutiveFailures = false, inst.now+d.refreshInterval*share, d.consecutiveFailures+1
	inst.schedule(d.watchDueAt, nil)
}

// applyEndpoint applies the listed state of one backend.
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
			// In a large fleet, an empty budget would delay the first request of every instance for long, and a full
			// one would let all instances send at once. A random budget avoids both.
			backend.SlowStart = slowstart.NewBudget(inst.rng.Float64(), inst.now)
		}
	}
	if listed.State != EndpointRemoved {
		inst.onReleaseListed(listed.Release)
	}
	backend.Update(listed, inst.now)
}

// addEndpoint adds a new backend and returns its index. If the index belonged to an earlier backend, the evidence on
// that backend is dropped, because evidence refers to backends by index.
func (inst *Instance) addEndpoint(id string) int {
	index, reused := inst.endpoints.Add(id, inst.now)
	if reused {
		inst.evaluator.ForgetBackend(index)
	}
	return index
}
