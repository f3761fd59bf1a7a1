package exposure

import "onyxgate/policy/release"

// Allowance limits the attempts at each release under a cap. It is a token bucket: each accepted request adds the cap
// to the balance, which never exceeds the number of free attempts, and each attempt subtracts one. In any span of
// time, at most the free attempts plus the cap's share of the requests accepted in that span are sent.
type Allowance struct {
	freeAttempts    float64                  // attempts in any span of time beyond the cap's share
	buckets         int                      // buckets per release, each with its own balance
	startEmptyUntil float64                  // ms; a balance that is created before this time starts at zero
	balances        map[release.ID][]float64 // attempts that may still be sent, by release and bucket
}

// NewAllowance returns an Allowance with the given number of free attempts for each bucket: one bucket per class, or
// one for all classes.
func NewAllowance(freeAttempts float64, buckets int) *Allowance {
	return &Allowance{freeAttempts: freeAttempts, buckets: max(buckets, 1), balances: map[release.ID][]float64{}}
}

// StartEmptyUntil makes balances that are created before the given time (ms) start without the free attempts, because
// the previous process may already have used them in the window over which attempts are counted.
func (a *Allowance) StartEmptyUntil(until float64) { a.startEmptyUntil = until }

// balance returns the balances of a release, by bucket. They are created on first use, holding the free attempts.
func (a *Allowance) balance(release release.ID, now float64) []float64 {
	balance := a.balances[release]
	if balance == nil {
		balance = make([]float64, a.buckets)
		if now >= a.startEmptyUntil {
			for bucket := range balance {
				balance[bucket] = a.freeAttempts
			}
		}
		a.balances[release] = balance
	}
	return balance
}

// Allows reports whether one more attempt may go to a release under a cap, by the balance of the bucket.
func (a *Allowance) Allows(release release.ID, bucket int, now float64) bool {
	return a.balance(release, now)[bucket] >= 1
}

// Use subtracts one attempt at a release from the balance of the bucket.
func (a *Allowance) Use(release release.ID, bucket int, now float64) {
	a.balance(release, now)[bucket]--
}

// Caps reports the cap of a release, and whether it has one.
type Caps interface {
	Cap(release release.ID) (limit float64, limited bool)
}

// OnRequest credits one accepted request to every release that has a balance and is under a cap.
func (a *Allowance) OnRequest(bucket int, caps Caps) {
	for release, balance := range a.balances { // the balances are independent, so map order does not matter
		if share, limited := caps.Cap(release); limited {
			balance[bucket] = min(balance[bucket]+share, a.freeAttempts)
		}
	}
}

// ForgetBefore drops the balances of all releases before the given one.
func (a *Allowance) ForgetBefore(before release.ID) {
	for release := range a.balances {
		if release < before {
			delete(a.balances, release)
		}
	}
}

// Len returns the number of releases that have a balance.
func (a *Allowance) Len() int { return len(a.balances) }
