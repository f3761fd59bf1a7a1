// Package admission decides which requests an instance takes on when there are too many.
//
// It owns the tenants' token buckets (Quotas), the adaptive admission probability (Throttle) and the arrival rate (ArrivalRate). It must
// never answer a request or know a backend: the caller says what a sign of overload is and what becomes of a request that isn't admitted.
// All times are in ms.
package admission

import (
	"math"
	"math/rand/v2"
)

// quotaBurstTime (ms) is over which a tenant may use its quota unevenly.
const quotaBurstTime = 2000

// Quotas is one token bucket for each tenant. An instance takes its part of the quota: requests spread evenly over the fleet.
type Quotas struct {
	buckets []bucket
}

type bucket struct {
	rate      float64 // requests per ms at this instance
	tokens    float64
	updatedAt float64 // ms
}

// NewQuotas takes the tenants' quotas in requests per ms for the whole fleet, and the number of its instances.
func NewQuotas(quotas []float64, instances int) *Quotas {
	q := &Quotas{buckets: make([]bucket, len(quotas))}
	for tenant, quota := range quotas {
		q.buckets[tenant].rate = quota / float64(instances)
	}
	return q
}

// OverQuota counts a tenant's request and says whether it is over the quota. A tenant without a quota is never over it.
func (q *Quotas) OverQuota(tenant int, now float64) bool {
	if tenant >= len(q.buckets) {
		return false
	}
	b := &q.buckets[tenant]
	b.tokens = min(b.tokens+b.rate*(now-b.updatedAt), b.rate*quotaBurstTime) - 1
	b.updatedAt = now
	if b.tokens < 0 {
		b.tokens++ // a request over the quota uses none of it
		return true
	}
	return false
}

const (
	// FullAdmissionThreshold is the admission probability from which every request is taken: a late answer now and then is no overload.
	FullAdmissionThreshold = 0.75
	// recoveryTime (ms) is in which an overload is forgotten when no answers come at all.
	recoveryTime = 20000
	// decrease is the part of the probability that a certain sign of overload takes off, increase what an answer in time adds.
	decrease, increase = 0.4, 0.1
	// minValue keeps the exponent finite for a request without value.
	minValue = 1e-9
)

// Throttle is an adaptive admission probability: down for each sign of overload, up for answers in time and as time passes. Limits on
// open attempts don't bind where each of many instances has few of them open; this does.
type Throttle struct {
	probability float64
	updatedAt   float64 // ms
}

// NewThrottle takes on every request.
func NewThrottle() Throttle { return Throttle{probability: 1} }

// OnSignal moves the probability. overload is how sure a sign of overload is: 0 for an answer in time, 1 for a late one.
func (t *Throttle) OnSignal(overload, now float64) {
	probability := t.Probability(now) * (1 - decrease*overload)
	if overload == 0 {
		probability += increase
	}
	t.probability, t.updatedAt = min(probability, 1), now
}

// Probability is what part of the requests of mean value is taken on.
func (t *Throttle) Probability(now float64) float64 {
	return 1 - (1-t.probability)*math.Exp(-(now-t.updatedAt)/recoveryTime)
}

// Admits draws whether a request goes on, with a higher probability for one of more value. It draws one random number.
func (t *Throttle) Admits(value, meanValue, now float64, rng *rand.Rand) bool {
	return rng.Float64() < math.Pow(t.Probability(now)/FullAdmissionThreshold, meanValue/max(value, minValue))
}

const (
	// arrivalWindow (ms) is over which arrivals are averaged.
	arrivalWindow = 3000
	// minObservedShare bounds the correction for a short observation: at its very start it would be without bound.
	minObservedShare = 0.05
)

// ArrivalRate is how many requests arrive, as an exponential average. The zero value has seen none.
type ArrivalRate struct {
	count     float64 // decayed
	updatedAt float64 // ms
	firstAt   float64 // ms; 0: nothing has arrived yet
}

// Add counts one request.
func (r *ArrivalRate) Add(now float64) {
	r.count = r.count*math.Exp(-(now-r.updatedAt)/arrivalWindow) + 1
	r.updatedAt = now
	if r.firstAt == 0 {
		r.firstAt = now
	}
}

// PerWindow is the number of requests in one averaging window (3 s), corrected for a short observation.
func (r *ArrivalRate) PerWindow(now float64) float64 {
	return r.count * math.Exp(-(now-r.updatedAt)/arrivalWindow) / max(1-math.Exp(-(now-r.firstAt)/arrivalWindow), minObservedShare)
}
