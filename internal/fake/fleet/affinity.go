package fleet

// Checks of key affinity and closed releases from outside. Once a release has answered a key through an instance, the
// key must not reach an earlier release through that instance, unless the release that answered is rolled back. No
// attempt may reach a release once its instance was notified that the release's cap is 0.

import (
	"fmt"
	"time"
)

// answerTransitTime is the time from writing a successful response until its key counts as answered, since the
// response may be in transit.
const answerTransitTime = 150 * time.Millisecond

// closedGrace is how long attempts at a release may still arrive after their instance was notified of a cap of 0.
const closedGrace = DrainGrace + 150*time.Millisecond

// AffinityAudit is the result of the key affinity checks.
type AffinityAudit struct {
	BoundAttempts int      // attempts with a key that a later release than the first had answered, once per such release
	Violations    []string // one line per attempt and release that had answered its key, if the attempt reached an earlier one
}

// ClosedReleaseAudit is the result of the checks on closed releases.
type ClosedReleaseAudit struct {
	Notified   int      // first notifications to an instance that a release is closed
	Violations []string // one line for each attempt that arrived later than closedGrace
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

// affinityChecker checks key affinity. It is guarded by the fleet's mu.
type affinityChecker struct {
	answers    map[instanceKey][]firstAnswer // first answer of each release
	rolledBack map[int]bool                  // rolled-back releases, whose answers no longer bind a key
	audit      AffinityAudit
}

// checkAttempt checks an attempt that has reached a backend of the given release.
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
				fmt.Sprintf("request %s, key %s, instance n%d: release %d, answered by release %d %d ms earlier",
					reached.requestID, reached.key, reached.instance, release, answer.release, since.Milliseconds()))
		}
	}
}

// recordAnswer records that a successful response of a release was written.
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

// rollBack discards a release's answers, so that they no longer bind their keys.
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

// StageNotified records that a release's exposure cap has been written to an instance. Only the first cap of 0 has an
// effect.
func (f *Fleet) StageNotified(instance, release int, limit float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := instanceRelease{instance, release}
	if _, known := f.closedAt[k]; limit == 0 && !known {
		f.closedAt[k] = time.Now()
		f.closedAudit.Notified++
	}
}

// ForgetInstance resets the checks of an instance whose process has ended, since the next process starts without
// state. Responses to attempts of the ended process no longer count.
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

// checkClosed checks an attempt that has reached a backend of the given release. The caller holds f.mu.
func (f *Fleet) checkClosed(reached attempt, release int) {
	closedAt, closed := f.closedAt[instanceRelease{reached.instance, release}]
	if since := time.Since(closedAt); closed && since > closedGrace {
		f.closedAudit.Violations = append(f.closedAudit.Violations,
			fmt.Sprintf("request %s, instance n%d: release %d, notified as closed %d ms earlier",
				reached.requestID, reached.instance, release, since.Milliseconds()))
	}
}
