package policy

import (
	"errors"
	"fmt"
	"math"

	"onyxgate/policy/admission"
	"onyxgate/policy/endpoints"
	"onyxgate/policy/exposure"
	"onyxgate/policy/release"
	"onyxgate/policy/slowstart"
	"onyxgate/policy/verdict"
)

// Config is the configuration of an instance, which does not change after the start. Times are in ms, and the values of
// all classes are in one arbitrary unit. New does not validate the configuration; call Validate first.
type Config struct {
	Seed      uint64 // seed of the instance's random number generator
	Index     int    // of the instance in the fleet, from 0
	Instances int    // in the fleet; less than 1 counts as 1

	Classes            []RequestClass
	MaxAttempts        int     // per request
	ConcurrentAttempts bool    // a request may have two attempts open at the same time
	CancelAllowed      bool    // an open attempt may be canceled
	MaxOpenRequests    int     // limit set by the instance's connections or memory; 0: unlimited
	MaxRetryAfter      float64 // ms, the longest Retry-After that clients accept

	PeerMessages  bool // instances may send messages to each other
	ProbesAllowed bool
	ProbePrice    float64 // cost of one probe, as a share of the value of one request

	Zone             int  // zone in which the instance runs
	CrossZoneCharged bool // attempts at backends in other zones have a cost

	Discovery DiscoveryConfig
	SlowStart SlowStartConfig
	Exposure  ExposureConfig
	Rollout   RolloutConfig
	Tenants   TenantConfig
}

// DiscoveryConfig configures how the instance gets the endpoint list.
type DiscoveryConfig struct {
	SubscriptionRequired bool    // changes are only sent to subscribers
	RefreshInterval      float64 // ms; an instance is expected to know changes older than this even without a subscription
}

// SlowStartConfig describes how much load a backend can take after its start.
type SlowStartConfig = slowstart.Config

// ExposureConfig limits the share of the traffic that may go to a release while it is rolled out.
type ExposureConfig struct {
	FreeAttempts  float64   // allowed in any window in addition to the share
	Caps          []float64 // share of the received requests, by stage
	Window        float64   // ms over which attempts are counted
	GuardedStages int       // in stages below this one the release gets only safe requests
	PerClass      bool      // count each class separately
	KeyAffinity   bool      // a key that a release has served is not sent to an earlier release
}

// RolloutConfig configures how a release is promoted or rolled back.
type RolloutConfig struct {
	Stages        []float64 // share of the places that run the release, by stage
	Control       RolloutControl
	RollbackVotes int     // number of votes that roll a release back; less than 1 counts as 1
	VoteLifetime  float64 // ms
}

// TenantConfig limits the requests that each tenant may send at full value.
type TenantConfig struct {
	Quotas         []float64 // requests per ms, over all instances
	OverQuotaValue float64   // value of a request over quota, as a share of the value of its class
}

// Errors returned by Config.Validate.
var (
	ErrNoClasses          = errors.New("no request classes configured")
	ErrInvalidClassTimes  = errors.New("latency objective and timeout must be greater than 0")
	ErrInvalidMaxAttempts = errors.New("at least one attempt per request is required")
)

// Validate checks the classes' times and MaxAttempts and returns an error for the first invalid setting. The error
// matches one of the errors above (errors.Is).
func (c Config) Validate() error {
	if len(c.Classes) == 0 {
		return ErrNoClasses
	}
	for i, class := range c.Classes {
		if class.LatencyObjective <= 0 || class.Timeout <= 0 {
			return fmt.Errorf("class %d: latency objective %v ms, timeout %v ms: %w", i, class.LatencyObjective, class.Timeout, ErrInvalidClassTimes)
		}
	}
	if c.MaxAttempts < 1 {
		return fmt.Errorf("max attempts %d: %w", c.MaxAttempts, ErrInvalidMaxAttempts)
	}
	return nil
}

// New returns an instance that acts through port. Its decisions depend only on the configuration and the events.
func New(port Port, c Config) *Instance {
	inst := &Instance{
		port:      port,
		rng:       NewRand(c.Seed),
		index:     c.Index,
		instances: max(c.Instances, 1),
		// Independent of the seed, so that a restarted process selects the same keys for a rollout.
		salt: uint64(c.Index+1) << 32,

		maxOpenRequests:  math.Inf(1),
		maxRetryAfter:    c.MaxRetryAfter,
		peerMessages:     c.PeerMessages,
		probing:          probing{allowed: c.ProbesAllowed, price: c.ProbePrice},
		zone:             c.Zone,
		crossZoneCharged: c.CrossZoneCharged,

		endpoints: endpoints.NewTable(),
		discovery: discovery{subscriptionRequired: c.Discovery.SubscriptionRequired, refreshInterval: c.Discovery.RefreshInterval},
		requests:  map[string]*request{},

		admission:         admission.NewThrottle(),
		unprobedAdmission: admission.NewThrottle(),
		popularKeys:       map[exposure.Key]float64{},
		affinity:          exposure.NewAffinity(),

		queueRetryAt: math.Inf(1),
		timers:       timers{armedAt: math.Inf(1)},
	}
	inst.evaluateAt = math.Inf(1)
	if c.MaxOpenRequests > 0 {
		inst.maxOpenRequests = float64(c.MaxOpenRequests)
	}
	inst.configureClasses(c)
	inst.configureSlowStart(c.SlowStart)
	inst.configureExposure(c.Exposure)
	inst.configureRollout(c.Rollout)
	inst.configureTenants(c.Tenants)
	return inst
}

func (inst *Instance) configureSlowStart(c SlowStartConfig) { inst.slowStart = c }

func (inst *Instance) configureClasses(c Config) {
	inst.classes, inst.maxAttempts = c.Classes, c.MaxAttempts
	inst.concurrentAttempts, inst.cancelAllowed = c.ConcurrentAttempts, c.CancelAllowed
	n := len(c.Classes)
	inst.latencies = make([]classLatency, n)
	for class := range inst.latencies {
		inst.latencies[class].tail = math.Inf(1)
	}
	inst.configureEvaluator()
}

func (inst *Instance) configureExposure(c ExposureConfig) {
	inst.exposureConfig = c
	firstCap := 0.0
	if len(c.Caps) > 0 {
		firstCap = c.Caps[0]
	}
	inst.releases = release.NewRegistry(firstCap)
	inst.allowance = exposure.NewAllowance(c.FreeAttempts, len(inst.classes))
}

func (inst *Instance) configureRollout(c RolloutConfig) {
	inst.rolloutConfig = c
	inst.configureEvaluator()
}

// configureEvaluator creates a new evaluator from the current classes and rollout settings.
func (inst *Instance) configureEvaluator() {
	c := inst.rolloutConfig
	inst.evaluator = verdict.New(verdict.Settings{
		Classes:       len(inst.classes),
		Stages:        c.Stages,
		Control:       c.Control,
		RollbackVotes: max(c.RollbackVotes, 1),
		VoteLifetime:  c.VoteLifetime,
	})
}

func (inst *Instance) configureTenants(c TenantConfig) {
	inst.quotas, inst.overQuotaValue = admission.NewQuotas(c.Quotas, inst.instances), c.OverQuotaValue
}
