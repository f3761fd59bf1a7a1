// Package admission decides which requests an instance accepts under overload.
//
// It provides per-tenant token buckets (Quotas), an adaptive admission probability (Throttle) and an estimate of the
// arrival rate (ArrivalRate). It does not answer requests and knows nothing about backends: the caller defines what
// counts as an overload signal and what happens to a request that is not admitted. All times are in milliseconds.
package admission

import (
	"math"
	"math/rand/v2"
)

// quotaBurstTime (ms) is the bucket size, as a time: a tenant may send the quota of this time in one burst.
const quotaBurstTime = 2000

// Quotas holds one token bucket per tenant. Requests are spread evenly over the fleet, so each instance enforces an
// equal share of the quota.
type Quotas struct {
	buckets []bucket
}

type bucket struct {
	rate      float64 // requests per ms at this instance
	tokens    float64
	updatedAt float64 // ms
}

// NewQuotas returns the buckets for the given quotas, in requests per ms for the whole fleet of the given number of
// instances.
func NewQuotas(quotas []float64, instances int) *Quotas {
	q := &Quotas{buckets: make([]bucket, len(quotas))}
	for tenant, quota := range quotas {
		q.buckets[tenant].rate = quota / float64(instances)
	}
	return q
}

// OverQuota reports whether a request of the tenant exceeds the quota, and charges the request to the quota if not. A
// tenant without a quota never exceeds it.
func (q *Quotas) OverQuota(tenant int, now float64) bool {
	if tenant >= len(q.buckets) {
		return false
	}
	b := &q.buckets[tenant]
	b.tokens = min(b.tokens+b.rate*(now-b.updatedAt), b.rate*quotaBurstTime) - 1
	b.updatedAt = now
	if b.tokens < 0 {
		b.tokens++ // a rejected request does not use up quota
		return true
	}
	return false
}

const (
	// FullAdmissionThreshold is the admission probability at and above which every request is admitted, because
	// occasional late answers are not overload.
	FullAdmissionThreshold = 0.75
	// recoveryTime (ms) is the time constant with which the probability returns to 1 between signals, so that it
	// recovers even if no answers arrive at all.
	recoveryTime = 20000
	// decrease is the fraction by which an overload signal of confidence 1 lowers the probability; increase is added
	// for each answer in time.
	decrease, increase = 0.4, 0.1
	// minValue keeps the exponent finite for a request with no value.
	minValue = 1e-9
)

// Throttle is an adaptive admission probability. Each overload signal lowers it; answers in time and the passing of
// time raise it. It complements concurrency limits, which have no effect when a large fleet spreads the load so thin
// that each instance has only a few attempts open per backend.
type Throttle struct {
	probability float64
	updatedAt   float64 // ms
}

// NewThrottle returns a Throttle that admits every request.
func NewThrottle() Throttle { return Throttle{probability: 1} }

// OnSignal updates the probability. overload is the confidence that the fleet is overloaded: 0 for an answer in time,
// 1 for a late one.
func (t *Throttle) OnSignal(overload, now float64) {
	probability := t.Probability(now) * (1 - decrease*overload)
	if overload == 0 {
		probability += increase
	}
	t.probability, t.updatedAt = min(probability, 1), now
}

// Probability returns the fraction of requests of mean value to admit, before scaling by FullAdmissionThreshold.
func (t *Throttle) Probability(now float64) float64 {
	return 1 - (1-t.probability)*math.Exp(-(now-t.updatedAt)/recoveryTime)
}

// Admits randomly decides whether a request is admitted; a higher value gives a higher probability. It draws exactly
// one random number.
func (t *Throttle) Admits(value, meanValue, now float64, rng *rand.Rand) bool {
	return rng.Float64() < math.Pow(t.Probability(now)/FullAdmissionThreshold, meanValue/max(value, minValue))
}

const (
	// arrivalWindow (ms) is the time constant of the average of arrivals.
	arrivalWindow = 3000
	// minObservedShare bounds the correction for a short observation, which would otherwise be unbounded at the
	// start.
	minObservedShare = 0.05
)

// ArrivalRate estimates the arrival rate of requests with an exponentially decaying count. The zero value has seen no
// requests.
type ArrivalRate struct {
	count     float64 // decayed
	updatedAt float64 // ms
	firstAt   float64 // ms, when the first request arrived; 0 if none has
}

// Add counts one request.
func (r *ArrivalRate) Add(now float64) {
	r.count = r.count*math.Exp(-(now-r.updatedAt)/arrivalWindow) + 1
	r.updatedAt = now
	if r.firstAt == 0 {
		r.firstAt = now
	}
}

// PerWindow returns the number of requests per averaging window (3 s), corrected for a short observation.
func (r *ArrivalRate) PerWindow(now float64) float64 {
	return r.count * math.Exp(-(now-r.updatedAt)/arrivalWindow) / max(1-math.Exp(-(now-r.firstAt)/arrivalWindow), minObservedShare)
}
