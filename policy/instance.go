package policy

import (
	"math/rand/v2"

	"onyxgate/policy/admission"
	"onyxgate/policy/endpoints"
	"onyxgate/policy/exposure"
	"onyxgate/policy/gossip"
	"onyxgate/policy/health"
	"onyxgate/policy/release"
	"onyxgate/policy/slowstart"
)

// manyInstances is the size of a fleet from which an instance's own open attempts say too little of a backend's load: each instance sees
// a small part of it. Such instances probe backends before they place a request.
const manyInstances = 10

// Instance decides for one instance of the front tier. Its host calls an On method for each event, in the order of the events and from one
// goroutine; each takes the time in ms, which never goes back, and returns when every action that follows has gone to the Port. MaySend and
// ReleaseStatus only ask.
type Instance struct {
	port Port
	now  float64 // ms, time of the present event
	rng  *rand.Rand

	// The fleet and this instance's place in it.
	index, instances int
	salt             uint64 // of the positions of keys in a rollout
	zone             int
	peerMessages     bool

	// Requests, and what the configuration allows for them.
	classes            []RequestClass
	maxAttempts        int
	concurrentAttempts bool
	cancelAllowed      bool
	maxOpenRequests    float64
	maxRetryAfter      float64 // ms
	crossZoneCharged   bool
	requests           map[string]*request
	pending            []*request // a rule has yet to look at these
	retryQueue         []*request // no backend could take these, oldest first
	queueRetryAt       float64    // ms, when the queue is tried again
	cancellationBudget float64    // attempts that may still be canceled for taking too long

	timers    timers
	started   bool    // an event has come
	resumedAt float64 // ms, when the instance last ran again after a stall

	// Admission.
	admission         admission.Throttle // of all requests
	unprobedAdmission admission.Throttle // of those that are placed without an answered probe
	arrivals          admission.ArrivalRate
	quotas            *admission.Quotas
	overQuotaValue    float64
	meanValue         float64
	meanWork          float64
	requestCount      float64 // halved whenever the counts of popular keys are

	// Backends.
	endpoints    *endpoints.Table
	discovery    discovery
	fleet        fleetAggregates
	fleetHealth  health.Record // of all backends together
	slowStart    slowstart.Config
	throughput   slowstart.Throughput // of warm backends
	latencies    []classLatency       // by class
	meanLatency  float64              // ms, of all classes
	openAttempts int                  // at all backends
	probing      probing

	// Releases and exposure.
	exposureConfig ExposureConfig
	releases       *release.Registry
	allowance      *exposure.Allowance
	affinity       *exposure.Affinity
	skipped        SkippedBackends
	popularKeys    map[string]float64 // recent requests by key

	// The rollout of the newest release.
	rolloutConfig RolloutConfig
	rollout
	summaries   gossip.Queue
	broadcastAt float64 // ms
}
