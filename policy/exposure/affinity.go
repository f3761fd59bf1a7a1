// Package exposure limits how much of one instance's traffic a release gets while it is rolled out.
//
// Allowance counts how many more attempts may go to a release under a cap. Affinity tracks which releases may serve a
// key that some release has already answered. The package must not depend on backends, requests or a clock: it
// identifies releases by number only, and package release tracks their state. Its types are not safe for concurrent
// use.
package exposure

import (
	"github.com/cespare/xxhash/v2"

	"onyxgate/policy/release"
)

// Key is the hash of a key; 0 means no key. Keys with equal hashes restrict each other to later releases, which costs
// some flexibility but breaks no rule.
type Key uint64

// KeyOf returns the Key of a request's key, or 0 if the key is empty.
func KeyOf(key string) Key {
	if key == "" {
		return 0
	}
	return Key(xxhash.Sum64String(key) | 1)
}

// maxKeys is the maximum number of keys remembered for one release, at about 20 bytes each. Beyond it, every key
// counts as answered by the release, because forgetting a key could send it to an earlier release.
const maxKeys = 1 << 18

// Affinity tracks which releases have answered a key or may be about to. Such a key must not be sent to an earlier
// release until the release that answered it is rolled back.
type Affinity struct {
	answered    map[release.ID]*keySet
	pending     map[release.ID]map[Key]int // open attempts by release and key
	baseRelease release.ID                 // counts as having answered every key, as its keys were forgotten; 0: none
	maxKeys     int                        // limit for each release
	version     uint64                     // incremented when the result of OldestAllowed may change
}

// keySet is the set of keys that one release has answered.
type keySet struct {
	keys map[Key]struct{}
	all  bool // the set exceeded its limit: every key counts as answered
}

func (s *keySet) has(key Key) bool {
	_, ok := s.keys[key]
	return ok || s.all
}

// NewAffinity returns an Affinity without any keys.
func NewAffinity() *Affinity {
	return &Affinity{answered: map[release.ID]*keySet{}, pending: map[release.ID]map[Key]int{}, maxKeys: maxKeys}
}

// OldestAllowed returns the oldest release that may serve a key, or 0 if any release may.
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

// Version returns a number that changes whenever the result of OldestAllowed may have changed for any key, so that
// callers can cache the result.
func (a *Affinity) Version() uint64 { return a.version }

// AttemptStarted registers an open attempt at a release, because the release may answer the key before the answer
// arrives here.
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

// AttemptEnded removes an attempt that was registered with AttemptStarted.
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

// RecordAnswer records that a release has answered a key.
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

// ForgetRelease drops the keys of a release that is being rolled back, so that earlier releases may serve them again.
func (a *Affinity) ForgetRelease(release release.ID) {
	delete(a.answered, release)
	delete(a.pending, release)
	a.version++
}

// ForgetBefore drops the keys of all releases before the given one, as none of them is expected to return. The latest
// of those releases then counts as having answered every key, so a backend of an even older release that does return
// gets no requests with a key. Open attempts still count.
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

// Len returns the number of remembered keys, over all releases.
func (a *Affinity) Len() (n int) {
	for _, set := range a.answered {
		n += len(set.keys)
	}
	return n
}

// PendingKeys returns the number of keys with open attempts. A key counts once for each release.
func (a *Affinity) PendingKeys() (n int) {
	for _, keys := range a.pending {
		n += len(keys)
	}
	return n
}
