package tier

// This file owns the rule on keys as it is seen from outside: a key that a release has answered through an agent goes to no
// earlier release through it, unless that release goes back.

import (
	"fmt"
	"time"
)

// answerSeen is how long after a good answer was written its key counts as answered.
const answerSeen = 150 * time.Millisecond

// Affinity counts what was seen of the rule.
type Affinity struct {
	Asked  int      // attempts with a key that a later release than the first had answered before
	Broken []string // those that reached an earlier release than that
}

type agentKey struct {
	agent int
	key   string
}

type answeredBy struct {
	release int
	at      time.Time
}

// affinity is under the world's lock.
type affinity struct {
	answers map[agentKey][]answeredBy // the first answer of each release
	back    map[int]bool              // releases that go back: they bind nothing from there on
	seen    Affinity
}

// attempt notes one that has reached a backend.
func (a *affinity) attempt(agent int, key, id string, release int) {
	for _, answer := range a.answers[agentKey{agent, key}] {
		if time.Since(answer.at) < answerSeen {
			continue
		}
		if answer.release > 1 {
			a.seen.Asked++
		}
		if release < answer.release {
			a.seen.Broken = append(a.seen.Broken, fmt.Sprintf("request %s, key %s, agent n%d: release %d, answered by release %d %d ms before",
				id, key, agent, release, answer.release, time.Since(answer.at).Milliseconds()))
		}
	}
}

// answered notes that a good answer has been written.
func (a *affinity) answered(agent int, key string, release int) {
	if a.back[release] {
		return
	}
	k := agentKey{agent, key}
	for _, answer := range a.answers[k] {
		if answer.release == release {
			return
		}
	}
	a.answers[k] = append(a.answers[k], answeredBy{release, time.Now()})
}

// goesBack frees the keys of a release.
func (a *affinity) goesBack(release int) {
	a.back[release] = true
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
