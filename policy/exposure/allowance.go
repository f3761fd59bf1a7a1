package exposure

import "onyxgate/policy/release"

// Allowance limits the attempts at each release under a cap. In any stretch of time at most the free attempts and the cap's
// share of the requests taken in it can leave: each request taken adds the cap to a balance that never exceeds the free
// ones, and each attempt takes one off.
type Allowance struct {
	free     float64
	lanes    int
	from     float64                  // before this time a balance opens at nothing
	balances map[release.ID][]float64 // by release, then by lane
}

// NewAllowance makes one for a number of lanes, which count each for itself.
func NewAllowance(free float64, lanes int) *Allowance {
	return &Allowance{free: free, lanes: max(lanes, 1), balances: map[release.ID][]float64{}}
}

// HoldUntil keeps the free attempts back until a time (ms): the process before this one may have used them inside the same window.
func (w *Allowance) HoldUntil(until float64) { w.from = until }

// balance is a release's; it is opened on first use.
func (w *Allowance) balance(release release.ID, now float64) []float64 {
	b := w.balances[release]
	if b == nil {
		b = make([]float64, w.lanes)
		if now >= w.from {
			for lane := range b {
				b[lane] = w.free
			}
		}
		w.balances[release] = b
	}
	return b
}

// Allows tells whether one more attempt may go to a release.
func (w *Allowance) Allows(release release.ID, lane int, now float64) bool {
	return w.balance(release, now)[lane] >= 1
}

// Use counts one attempt.
func (w *Allowance) Use(release release.ID, lane int, now float64) { w.balance(release, now)[lane]-- }

// Caps says what a release's cap is, and whether it has one.
type Caps interface {
	Cap(release release.ID) (limit float64, limited bool)
}

// OnRequest counts one request that was taken.
func (w *Allowance) OnRequest(lane int, caps Caps) {
	for release, b := range w.balances { // each by itself, so that the order does not matter
		if share, limited := caps.Cap(release); limited {
			b[lane] = min(b[lane]+share, w.free)
		}
	}
}

// Forget drops the balances of releases before one.
func (w *Allowance) Forget(before release.ID) {
	for release := range w.balances {
		if release < before {
			delete(w.balances, release)
		}
	}
}

// Len is how many balances are open.
func (w *Allowance) Len() int { return len(w.balances) }
