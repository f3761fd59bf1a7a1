package policy

// This file owns what an instance is given once, at its start: the deployment's settings in the terms of the decisions.

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

// Config is all that an instance is given at its start. Times are in ms, prices and values in any one unit. Validate says
// what can't be used; New takes it as it is.
type Config struct {
	Seed      uint64 // of the instance's random numbers
	Index     int    // of the instance in the fleet, from 0
	Instances int    // in the fleet; less than 1 counts as 1

	Classes            []RequestClass
	MaxAttempts        int     // for one request
	ConcurrentAttempts bool    // a request may have two attempts open at the same time
	CancelAllowed      bool    // an open attempt may be canceled
	MaxOpenRequests    int     // that the instance can hold, by its connections or its memory; 0: any number
	MaxRetryAfter      float64 // ms, the longest wait that clients accept

	PeerMessages  bool // instances may send each other messages
	ProbesAllowed bool
	ProbePrice    float64 // of one probe, as a part of one request's value

	Zone             int  // that the instance runs in
	CrossZoneCharged bool // attempts at backends in other zones cost something

	Discovery DiscoveryConfig
	SlowStart SlowStartConfig
	Exposure  ExposureConfig
	Rollout   RolloutConfig
	Tenants   TenantConfig
}

// DiscoveryConfig says how endpoints become known.
type DiscoveryConfig struct {
	SubscriptionRequired bool    // changes come only to instances that have asked for them
	RefreshInterval      float64 // ms: an instance without a subscription counts as knowing what was listed this long ago
}

// SlowStartConfig says what a backend can take after its start.
type SlowStartConfig = slowstart.Config

// ExposureConfig limits how much of the traffic may go to a release that is rolling out.
type ExposureConfig struct {
	FreeAttempts  float64   // in any window, beside the share
	Caps          []float64 // share of the requests taken, for each stage
	Window        float64   // ms over which attempts are counted
	GuardedStages int       // below this stage only safe requests may go there
	PerClass      bool      // each class counts for itself
	KeyAffinity   bool      // a key that a release has served goes to no earlier one
}

// RolloutConfig says what promotes a release or rolls it back.
type RolloutConfig struct {
	Stages        []float64 // share of the places that get the release, for each stage
	Control       RolloutControl
	RollbackVotes int     // that roll a release back; less than 1 counts as 1
	VoteLifetime  float64 // ms
}

// TenantConfig limits what each tenant may use at full value.
type TenantConfig struct {
	Quotas         []float64 // requests per ms, by all instances together
	OverQuotaValue float64   // value of a request over its quota, as a part of its class's
}

// Errors of Config.Validate.
var (
	ErrNoClasses          = errors.New("no request class")
	ErrInvalidClassTimes  = errors.New("a class needs a latency objective and a timeout above 0")
	ErrInvalidMaxAttempts = errors.New("a request needs at least one attempt")
)

// Validate says what can't be used, as errors that errors.Is finds.
func (c Config) Validate() error {
	if len(c.Classes) == 0 {
		return ErrNoClasses
	}
	for i, class := range c.Classes {
		if class.LatencyObjective <= 0 || class.Timeout <= 0 {
			return fmt.Errorf("class %d, %v ms and %v ms: %w", i, class.LatencyObjective, class.Timeout, ErrInvalidClassTimes)
		}
	}
	if c.MaxAttempts < 1 {
		return fmt.Errorf("%d attempts: %w", c.MaxAttempts, ErrInvalidMaxAttempts)
	}
	return nil
}

// New makes an instance that acts through a port. Its decisions follow from the configuration and the events alone.
func New(port Port, c Config) *Instance {
	inst := &Instance{
		port:      port,
		rng:       NewRand(c.Seed),
		index:     c.Index,
		instances: max(c.Instances, 1),
		// Not by the seed: a process that starts anew draws the same keys for a release that rolls out.
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
		popularKeys:       map[string]float64{},
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

// configureEvaluator starts the evaluation of releases anew, with the classes and the rollout's settings as they are now.
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
