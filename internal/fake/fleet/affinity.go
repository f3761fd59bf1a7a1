package fleet

// This file owns the rule on affinity as it is seen from outside: a key that a release has answered through an instance goes
// to no earlier release through it, unless that release is rolled back; and nothing goes to a release of which an instance was
// told that its cap is 0.

import (
	"fmt"
	"time"
)

// answerTransitTime is how long after a good answer was written its key counts as answered: until then it may still be on its way.
const answerTransitTime = 150 * time.Millisecond

// closedGrace is how long after an instance was told of a cap of 0 attempts at the release may still arrive.
const closedGrace = DrainGrace + 150*time.Millisecond

// AffinityAudit counts what was seen of the rule on keys.
type AffinityAudit struct {
	BoundAttempts      int      // attempts with a key that a later release than the first had answered before
	Violations []string // a line for each attempt that reached an earlier release than that
}

// ClosedReleaseAudit counts what was seen of closed releases.
type ClosedReleaseAudit struct {
	Notified   int      // closings of which an instance was told
	Violations []string // a line for each attempt that came later than closedFor
}

type instanceKey struct {
	instance int
	key      string
}

type instanceRelease struct{ instance, release int }

type firstAnswer struct {
	release int
	at      time.Time
}

// affinityChecker is under the fleet's lock.
type affinityChecker struct {
	answers    map[instanceKey][]firstAnswer // the first answer of each release
	rolledBack map[int]bool                 // releases that are rolled back: their answers bind no key from there on
	audit       AffinityAudit
}

// checkAttempt judges an attempt that has reached a backend of a release.
func (a *affinityChecker) checkAttempt(reached attempt, release int) {
	for _, answer := range a.answers[instanceKey{reached.instance, reached.key}] {
		since := time.Since(answer.at)
		if since < answerTransitTime {
			continue
		}
		if answer.release > 1 {
			a.audit.BoundAttempts++
		}
		if release < answer.release {
			a.audit.Violations = append(a.audit.Violations,
				fmt.Sprintf("request %s, key %s, instance n%d: release %d, answered by release %d %d ms before",
					reached.requestID, reached.key, reached.instance, release, answer.release, since.Milliseconds()))
		}
	}
}

// recordAnswer notes that a release's good answer to an attempt has been written.
func (a *affinityChecker) recordAnswer(answered attempt, release int) {
	if a.rolledBack[release] {
		return
	}
	k := instanceKey{answered.instance, answered.key}
	for _, answer := range a.answers[k] {
		if answer.release == release {
			return
		}
	}
	a.answers[k] = append(a.answers[k], firstAnswer{release, time.Now()})
}

// rollBack frees the keys of a release.
func (a *affinityChecker) rollBack(release int) {
	a.rolledBack[release] = true
	for k, answers := range a.answers {
		kept := answers[:0]
		for _, answer := range answers {
			if answer.release != release {
				kept = append(kept, answer)
			}
		}
		a.answers[k] = kept
	}
}

// StageNotified notes that a release's exposure cap has been written to an instance.
func (f *Fleet) StageNotified(instance, release int, limit float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := instanceRelease{instance, release}
	if _, known := f.closedAt[k]; limit == 0 && !known {
		f.closedAt[k] = time.Now()
		f.closedAudit.Notified++
	}
}

// ForgetInstance begins an instance's records anew: its process has ended, and the next one starts from nothing. Answers to
// what the ended process had sent count for nobody from here on.
func (f *Fleet) ForgetInstance(instance int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.incarnations[instance]++
	for k := range f.affinity.answers {
		if k.instance == instance {
			delete(f.affinity.answers, k)
		}
	}
	for k := range f.closedAt {
		if k.instance == instance {
			delete(f.closedAt, k)
		}
	}
}

// checkClosed judges an attempt that has reached a backend of a release. Under the lock.
func (f *Fleet) checkClosed(reached attempt, release int) {
	closedAt, closed := f.closedAt[instanceRelease{reached.instance, release}]
	if since := time.Since(closedAt); closed && since > closedGrace {
		f.closedAudit.Violations = append(f.closedAudit.Violations,
			fmt.Sprintf("request %s, instance n%d: release %d, told closed %d ms before",
				reached.requestID, reached.instance, release, since.Milliseconds()))
	}
}
