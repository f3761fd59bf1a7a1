// Package exposure limits what a release that rolls out may get of one instance's requests.
//
// It owns how many attempts may still go to a release under a cap (Allowance) and which releases may serve a key that a release has
// answered (Affinity). It must never know a backend, a request or a clock: it knows releases by number alone, and the state of a release is
// package release's. Its types are for one goroutine.
package exposure

import (
	"github.com/cespare/xxhash/v2"

	"onyxgate/policy/release"
)

// Key identifies a key by its hash; 0 stands for no key. Two keys of the same hash keep each other from earlier releases,
// which costs a little and breaks nothing.
type Key uint64

// KeyOf is the Key of a request's key; an empty one gives 0.
func KeyOf(key string) Key {
	if key == "" {
		return 0
	}
	return Key(xxhash.Sum64String(key) | 1)
}

// maxKeys is how many keys of a release are remembered, at about 20 bytes each. Beyond it every key counts as one of them:
// forgetting one could send it to an earlier release.
const maxKeys = 1 << 18

// Affinity knows which releases have answered a key, or may be about to. Such a key goes to no earlier release until that
// release is rolled back.
type Affinity struct {
	answered    map[release.ID]*keySet
	pending     map[release.ID]map[Key]int // open attempts
	baseRelease release.ID                 // every key counts as answered by this release: its own keys were forgotten; 0: none
	maxKeys     int                        // of one release
	version     uint64                     // counted, so that a floor need not be found again while nothing has changed
}

// keySet is the keys that one release has answered.
type keySet struct {
	keys map[Key]struct{}
	all  bool // there were too many: every key counts as answered
}

func (s *keySet) has(key Key) bool {
	_, ok := s.keys[key]
	return ok || s.all
}

// NewAffinity is an affinity that has seen no key.
func NewAffinity() *Affinity {
	return &Affinity{answered: map[release.ID]*keySet{}, pending: map[release.ID]map[Key]int{}, maxKeys: maxKeys}
}

// OldestAllowed is the earliest release that may serve a key; 0: any.
func (a *Affinity) OldestAllowed(key Key) (release release.ID) {
	if key == 0 {
		return 0
	}
	release = a.baseRelease
	for r, set := range a.answered {
		if r > release && set.has(key) {
			release = r
		}
	}
	for r, keys := range a.pending {
		if r > release && keys[key] > 0 {
			release = r
		}
	}
	return release
}

// Version counts what may have moved a floor: as long as it is the same, so is every floor.
func (a *Affinity) Version() uint64 { return a.version }

// AttemptStarted notes an open attempt at a release: its answer may bind the key before it is seen here.
func (a *Affinity) AttemptStarted(key Key, release release.ID) {
	if key == 0 {
		return
	}
	if a.pending[release] == nil {
		a.pending[release] = map[Key]int{}
	}
	a.pending[release][key]++
	a.version++
}

// AttemptEnded notes the end of an attempt that AttemptStarted has noted.
func (a *Affinity) AttemptEnded(key Key, release release.ID) {
	keys := a.pending[release]
	switch n := keys[key]; {
	case n > 1:
		keys[key] = n - 1
	case n == 1:
		delete(keys, key)
	}
	a.version++
}

// RecordAnswer notes that a release has answered a key.
func (a *Affinity) RecordAnswer(key Key, release release.ID) {
	if key == 0 {
		return
	}
	a.version++
	set := a.answered[release]
	if set == nil {
		set = &keySet{keys: map[Key]struct{}{}}
		a.answered[release] = set
	}
	if !set.all {
		set.keys[key] = struct{}{}
	}
	if len(set.keys) > a.maxKeys {
		set.keys, set.all = nil, true
	}
}

// ForgetRelease frees the keys that a release has bound: it is rolled back.
func (a *Affinity) ForgetRelease(release release.ID) {
	delete(a.answered, release)
	delete(a.pending, release)
	a.version++
}

// ForgetBefore forgets the keys of all releases before one, since none of these is to return. Should a backend of an even earlier
// release return all the same, it gets no key at all.
func (a *Affinity) ForgetBefore(release release.ID) {
	for r := range a.answered {
		if r < release {
			a.baseRelease = max(a.baseRelease, r)
			delete(a.answered, r)
		}
	}
	for r, keys := range a.pending {
		if r < release && len(keys) == 0 {
			delete(a.pending, r)
		}
	}
	a.version++
}

// Len is how many keys are remembered, for all releases together.
func (a *Affinity) Len() (n int) {
	for _, set := range a.answered {
		n += len(set.keys)
	}
	return n
}

// PendingKeys is how many keys have open attempts.
func (a *Affinity) PendingKeys() (n int) {
	for _, keys := range a.pending {
		n += len(keys)
	}
	return n
}
