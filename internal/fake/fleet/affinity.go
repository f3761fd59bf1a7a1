package fleet

// This file owns the rule on exposure as it is seen from outside: a key that a release has answered through an agent goes to no
// earlier release through it, unless that release goes back; and nothing goes to a release whose cap an agent was told is 0.

import (
	"fmt"
	"time"
)

// answerSeen is how long after a good answer was written its key counts as answered.
const answerSeen = 150 * time.Millisecond

// Affinity counts what was seen of the rule.
type Affinity struct {
	Asked      int      // attempts with a key that a later release than the first had answered before
	Violations []string // those that reached an earlier release than that
}

type instanceKey struct {
	instance int
	key      string
}

type answeredBy struct {
	release int
	at      time.Time
}

// affinity is under the world's lock.
type affinity struct {
	answers    map[instanceKey][]answeredBy // the first answer of each release
	rolledBack map[int]bool                 // releases that go back: they bind nothing from there on
	seen       Affinity
}

// checkAttempt notes one that has reached a backend.
func (a *affinity) checkAttempt(agent int, key, id string, release int) {
	for _, answer := range a.answers[instanceKey{agent, key}] {
		if time.Since(answer.at) < answerSeen {
			continue
		}
		if answer.release > 1 {
			a.seen.Asked++
		}
		if release < answer.release {
			a.seen.Violations = append(a.seen.Violations, fmt.Sprintf("request %s, key %s, agent n%d: release %d, answered by release %d %d ms before",
				id, key, agent, release, answer.release, time.Since(answer.at).Milliseconds()))
		}
	}
}

// recordAnswer notes that a good answer has been written.
func (a *affinity) recordAnswer(agent int, key string, release int) {
	if a.rolledBack[release] {
		return
	}
	k := instanceKey{agent, key}
	for _, answer := range a.answers[k] {
		if answer.release == release {
			return
		}
	}
	a.answers[k] = append(a.answers[k], answeredBy{release, time.Now()})
}

// closedFor is how long after an agent was told of a cap of 0 attempts at its release may still arrive.
const closedFor = Grace + 150*time.Millisecond

type instanceRelease struct{ instance, release int }

// Closed counts attempts at releases that an agent was told are closed.
type Closed struct {
	Notified   int // closings told
	Violations []string
}

// StageNotified notes a state of a release that has been written to an agent.
func (w *Fleet) StageNotified(agent, release int, limit float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	k := instanceRelease{agent, release}
	if _, told := w.closedAt[k]; limit == 0 && !told {
		w.closedAt[k] = time.Now()
		w.closedSeen.Notified++
	}
}

// ForgetInstance begins an agent's records anew: its process has ended, and the next one starts from nothing. Answers to what the one
// before had sent are nobody's from here on.
func (w *Fleet) ForgetInstance(agent int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.incarnation[agent]++
	for k := range w.affinity.answers {
		if k.instance == agent {
			delete(w.affinity.answers, k)
		}
	}
	for k := range w.closedAt {
		if k.instance == agent {
			delete(w.closedAt, k)
		}
	}
}

// ClosedReleases is what was seen of closed releases so far.
func (w *Fleet) ClosedReleases() Closed {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.closedSeen
}

// checkClosed notes an attempt at a release; under the lock.
func (w *Fleet) checkClosed(agent, release int, id string) {
	if at, told := w.closedAt[instanceRelease{agent, release}]; told && time.Since(at) > closedFor {
		w.closedSeen.Violations = append(w.closedSeen.Violations, fmt.Sprintf("request %s, agent n%d: release %d, told closed %d ms before", id,
			agent, release, time.Since(at).Milliseconds()))
	}
}

// rolledBackRelease frees the keys of a release.
func (a *affinity) rolledBackRelease(release int) {
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
