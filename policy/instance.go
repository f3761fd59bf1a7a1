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

// manyInstances is the number of instances from which a fleet counts as large. In a large fleet each instance sends only
// a small part of the traffic, so its own open attempts are no estimate of a backend's load. Requests are therefore
// placed by load probes, if probes are allowed and worth their price.
const manyInstances = 10

// Instance makes the decisions of one instance of the front tier. Its host calls an On method for each event, in the
// order of the events and not from several goroutines at the same time. Each of these methods is given the time in ms,
// which must not decrease, and returns after it has passed all resulting actions to the Port. MaySend and ReleaseStatus
// are queries without effect on later decisions.
type Instance struct {
	port Port
	now  float64 // ms, time of the current event
	rng  *rand.Rand

	// The instance's position in the fleet.
	index, instances int
	salt             uint64 // of the positions of keys in a rollout
	zone             int
	peerMessages     bool

	// Requests and their limits.
	classes            []RequestClass
	maxAttempts        int
	concurrentAttempts bool
	cancelAllowed      bool
	maxOpenRequests    float64
	maxRetryAfter      float64 // ms
	crossZoneCharged   bool
	requests           map[string]*request
	pending            []*request // waiting to be handled by a rule
	retryQueue         []*request // no backend could accept these yet; oldest first
	queueRetryAt       float64    // ms, time of the next retry of the queue
	cancellationBudget float64    // number of attempts that may be canceled because they are presumed lost

	timers    timers
	started   bool    // the first event has been handled
	resumedAt float64 // ms, end of the last stall

	// Admission.
	admission         admission.Throttle // for all requests
	unprobedAdmission admission.Throttle // for requests placed without an answered probe
	arrivals          admission.ArrivalRate
	quotas            *admission.Quotas
	overQuotaValue    float64
	meanValue         float64
	meanWork          float64
	requestCount      float64 // halved together with the counts in popularKeys

	// Backends.
	endpoints    *endpoints.Table
	discovery    discovery
	fleet        fleetAggregates
	fleetHealth  health.Record // of all backends together
	slowStart    slowstart.Config
	throughput   slowstart.Throughput // of warm backends
	latencies    []classLatency       // by class
	meanLatency  float64              // ms, over all classes
	openAttempts int                  // at all backends
	probing      probing

	// Releases and exposure.
	exposureConfig ExposureConfig
	releases       *release.Registry
	allowance      *exposure.Allowance
	affinity       *exposure.Affinity
	skipped        SkippedBackends
	popularKeys    map[exposure.Key]float64 // number of recent requests by key

	// Rollout of the newest release.
	rolloutConfig RolloutConfig
	rollout
	summaries   gossip.Queue
	broadcastAt float64 // ms, earliest time of the next broadcast
}
