package exposure

import "onyxgate/policy/release"

// Allowance limits the attempts at each release under a cap. In any span of time at most the free attempts and the cap's share of the
// requests taken in it can leave: each request taken adds the cap to a balance that never exceeds the free attempts, and each
// attempt takes one off.
type Allowance struct {
	freeAttempts    float64                  // attempts in any span of time, beside the share
	buckets         int                      // each of which counts for itself
	startEmptyUntil float64                  // ms; before this time a balance starts empty
	balances        map[release.ID][]float64 // attempts that may go, by release and then by lane
}

// NewAllowance is an allowance of free attempts for each of a number of lanes (one for each class, or one for all).
func NewAllowance(freeAttempts float64, buckets int) *Allowance {
	return &Allowance{freeAttempts: freeAttempts, buckets: max(buckets, 1), balances: map[release.ID][]float64{}}
}

// StartEmptyUntil keeps the free attempts back until a time (ms): the process before this one may have used them inside the same window.
func (a *Allowance) StartEmptyUntil(until float64) { a.startEmptyUntil = until }

// balance is the balance of a release, by lane. It starts with the free attempts on first use.
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

// Allows says whether one more attempt may go to a release.
func (a *Allowance) Allows(release release.ID, bucket int, now float64) bool {
	return a.balance(release, now)[bucket] >= 1
}

// Use counts one attempt at a release.
func (a *Allowance) Use(release release.ID, bucket int, now float64) {
	a.balance(release, now)[bucket]--
}

// Caps says what a release's cap is, and whether it has one.
type Caps interface {
	Cap(release release.ID) (limit float64, limited bool)
}

// OnRequest counts one request that was taken, for every release under a cap.
func (a *Allowance) OnRequest(bucket int, caps Caps) {
	for release, balance := range a.balances { // each by itself, so that the order does not matter
		if share, limited := caps.Cap(release); limited {
			balance[bucket] = min(balance[bucket]+share, a.freeAttempts)
		}
	}
}

// ForgetBefore drops the balances of releases before one.
func (a *Allowance) ForgetBefore(before release.ID) {
	for release := range a.balances {
		if release < before {
			delete(a.balances, release)
		}
	}
}

// Len is for how many releases there is a balance.
func (a *Allowance) Len() int { return len(a.balances) }
