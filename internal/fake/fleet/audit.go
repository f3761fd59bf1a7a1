package fleet

// Checks of the rules from outside. They use only what clients sent and what reached the backends, and when, never an
// instance's own counts.

import "time"

const (
	// Tolerance of the protocol above an exposure cap: two attempts and 4% of the requests.
	exposureSlackAttempts = 2
	exposureSlackShare    = 0.04
)

// Violations counts violations of the rules; lost requests are counted by the clients. The JSON keys are read by
// scripts.
type Violations struct {
	DuplicateEffects int `json:"Twice"`    // repeated executions of requests that may run only once
	AfterDrain       int `json:"Drains"`   // attempts that reached a draining backend after the grace time
	ColdOverloaded   int `json:"Fallen"`   // warming backends that failed because of overload
	Exposure         int `json:"Exposure"` // windows with more attempts at a canary release than its cap allows
}

// RequestSent records that a request was sent to an instance.
func (f *Fleet) RequestSent(instance int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requestTimes[instance] = append(f.requestTimes[instance], time.Now())
}

// attemptArrived checks and counts an attempt that has reached a backend, and fills in the incarnation of its instance's
// process and whether the backend was draining.
func (f *Fleet) attemptArrived(b *Backend, a *attempt) {
	if f.onAttempt != nil {
		f.onAttempt(a.requestID, a.arrivedAt)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if notifiedAt := b.notifiedAt[a.instance]; !notifiedAt.IsZero() {
		late := now.Sub(notifiedAt)
		f.LatestAfterDrain = max(f.LatestAfterDrain, late)
		if late > DrainGrace+drainSlack {
			f.violations.AfterDrain++
		}
	}
	f.recordReached(a.instance, now.Unix(), b.ID)
	if b.Release == f.stage.Release && f.stage.Mode == ModeCanary {
		f.canaryAttemptTimes[a.instance] = append(f.canaryAttemptTimes[a.instance], now)
	}
	f.attempts[b.Release]++
	f.affinity.checkAttempt(*a, b.Release)
	f.checkClosed(*a, b.Release)
	a.draining, a.incarnation = b.state != stateReady, f.incarnations[a.instance]
}

// recordReached records in which second an attempt reached a backend. The caller holds f.mu.
func (f *Fleet) recordReached(instance int, second int64, id string) {
	reached := f.reachedInSecond[instance]
	if reached[second] == nil {
		reached[second] = map[string]bool{}
	}
	reached[second][id] = true
}

// beginExecution records that a request runs, and reports whether it is a repetition without effect.
func (f *Fleet) beginExecution(a attempt) (repeated bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch a.class.Semantics {
	case SemanticsNonIdempotent:
		if f.executions[a.requestID]++; f.executions[a.requestID] > 1 {
			f.violations.DuplicateEffects++
		}
	case SemanticsIdempotent:
		if ranAt, ran := f.keyExecutedAt[a.idempotencyKey]; ran {
			if time.Since(ranAt) < a.class.DedupWindow {
				return true
			}
			f.violations.DuplicateEffects++
		}
		f.keyExecutedAt[a.idempotencyKey] = time.Now()
	}
	return false
}

// answerWritten records that a successful response to an attempt was written. A response to a process that has ended
// does not count.
func (f *Fleet) answerWritten(b *Backend, a attempt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if a.incarnation == f.incarnations[a.instance] {
		f.affinity.recordAnswer(a, b.Release)
	}
}

func (f *Fleet) countColdOverloaded() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.violations.ColdOverloaded++
}

// Audit returns all violations and must be called only once. It adds the violations of the exposure cap, which can
// only be checked at the end of a run: in any window, an instance may send the canary release at most the free
// attempts plus the cap's share of the requests sent to the instance, plus the tolerance.
func (f *Fleet) Audit() Violations {
	f.mu.Lock()
	defer f.mu.Unlock()
	for instance, attempts := range f.canaryAttemptTimes {
		f.violations.Exposure += f.countOverexposed(attempts, f.requestTimes[instance])
	}
	return f.violations
}

// countOverexposed counts the windows, one ending at each attempt, that contain more attempts at the canary release
// than the requests allow. The caller holds f.mu.
func (f *Fleet) countOverexposed(attempts, requests []time.Time) (windows int) {
	firstAttempt, firstRequest := 0, 0 // indexes of the first ones in the window
	for last, end := range attempts {
		begin := end.Add(-ExposureWindow)
		for attempts[firstAttempt].Before(begin) {
			firstAttempt++
		}
		for firstRequest < len(requests) && requests[firstRequest].Before(begin) {
			firstRequest++
		}
		n := float64(countUntil(requests[firstRequest:], end))
		allowed := FreeAttempts + exposureSlackAttempts + (f.highestCap(begin, end)+exposureSlackShare)*n
		if float64(last-firstAttempt+1) > allowed {
			windows++
		}
	}
	return windows
}

// countUntil counts the times that are not after end. The times are in ascending order.
func countUntil(times []time.Time, end time.Time) (n int) {
	for _, at := range times {
		if at.After(end) {
			break
		}
		n++
	}
	return n
}

// highestCap returns the highest cap in force during a window, since a lower cap applies only once the window has
// passed. The caller holds f.mu.
func (f *Fleet) highestCap(begin, end time.Time) (highest float64) {
	for k, stage := range f.Stages {
		lastStage := k+1 == len(f.Stages)
		inForce := stage.At.Before(end) && (lastStage || f.Stages[k+1].At.After(begin))
		if inForce {
			highest = max(highest, stage.Cap)
		}
	}
	return highest
}

// CountBackendsReached returns how many of the given backends were reached by an instance's attempts between two
// times, both extended to whole Unix seconds.
func (f *Fleet) CountBackendsReached(instance int, ids []string, from, to time.Time) (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range ids {
		for second := from.Unix(); second <= to.Unix(); second++ {
			if f.reachedInSecond[instance][second][id] {
				n++
				break
			}
		}
	}
	return n
}

// MinBackendsReached returns the smallest number of backends that an instance's attempts reached in any whole Unix
// second between two times. If there is no such second it returns the number of backends ever started.
func (f *Fleet) MinBackendsReached(instance int, from, to time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	least := len(f.backends)
	for second := from.Unix() + 1; second < to.Unix(); second++ {
		least = min(least, len(f.reachedInSecond[instance][second]))
	}
	return least
}
