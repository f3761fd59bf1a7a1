package fleet

// This file owns what is counted of the rules from outside: by what reached the backends and when, never by what an instance
// says of itself.

import "time"

const (
	// What the protocol lets pass over an exposure cap: two attempts and 4% of the requests.
	exposureSlackAttempts = 2
	exposureSlackShare    = 0.04
)

// Violations counts breaches of the rules; lost requests are the clients' to count. The JSON keys are read by scripts.
type Violations struct {
	DuplicateEffects int `json:"Twice"`    // runs of what may run only once
	AfterDrain       int `json:"Drains"`   // attempts at a draining backend, later than the grace time
	ColdOverloaded   int `json:"Fallen"`   // warming backends that failed of overload
	Exposure         int `json:"Exposure"` // windows with more attempts at a release on trial than its cap allows
}

// RequestSent notes that an instance was sent a request.
func (f *Fleet) RequestSent(instance int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requestTimes[instance] = append(f.requestTimes[instance], time.Now())
}

// attemptArrived counts an attempt that has reached a backend, and completes what is known of it.
func (f *Fleet) attemptArrived(b *Backend, a *attempt) {
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

// recordReached notes the second in which an attempt reached a backend. Under the lock.
func (f *Fleet) recordReached(instance int, second int64, id string) {
	reached := f.reachedInSecond[instance]
	if reached[second] == nil {
		reached[second] = map[string]bool{}
	}
	reached[second][id] = true
}

// beginExecution notes that a request runs, and tells whether it is a repetition that has no effect.
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

// answerWritten notes that a good answer to an attempt was written. An answer to a process that has ended is nobody's.
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

// Audit returns all violations. It counts those of the exposure cap, which can only be judged at the end, and may be called
// once: in any window an instance's attempts at the release on trial are at most the free ones and the cap's share of the
// requests that it was sent, with what the protocol lets pass.
func (f *Fleet) Audit() Violations {
	f.mu.Lock()
	defer f.mu.Unlock()
	for instance, attempts := range f.canaryAttemptTimes {
		f.violations.Exposure += f.countOverexposed(attempts, f.requestTimes[instance])
	}
	return f.violations
}

// countOverexposed counts the windows, one ending with each attempt, in which attempts at the release on trial were too many for
// the requests. Under the lock.
func (f *Fleet) countOverexposed(attempts, requests []time.Time) (windows int) {
	firstAttempt, firstRequest := 0, 0 // in the window
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

// countUntil counts the times, in ascending order, that are not after the end.
func countUntil(times []time.Time, end time.Time) (n int) {
	for _, at := range times {
		if at.After(end) {
			break
		}
		n++
	}
	return n
}

// highestCap is the highest of the caps in force in a window: a lower one binds once the window has passed. Under the lock.
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

// CountBackendsReached is how many of these backends an instance's attempts reached in a span.
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

// MinBackendsReached is the least number of backends that an instance's attempts reached in any whole second of a span.
func (f *Fleet) MinBackendsReached(instance int, from, to time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	least := len(f.backends)
	for second := from.Unix() + 1; second < to.Unix(); second++ {
		least = min(least, len(f.reachedInSecond[instance][second]))
	}
	return least
}
