// Package exposure keeps the rule on exposure for one instance: how much of the requests taken may go to a release under a
// cap (Allowance), and which releases may still serve a key that a release has answered (Affinity). It knows releases by
// number alone; where a release stands is package release's.
package exposure

import (
	"github.com/cespare/xxhash/v2"

	"onyxgate/policy/release"
)

// Key identifies a key by its hash; 0 stands for no key. Two keys of the same hash keep each other from earlier releases,
// which costs a little and breaks nothing.
type Key uint64

// KeyOf is a request's key.
func KeyOf(key string) Key {
	if key == "" {
		return 0
	}
	return Key(xxhash.Sum64String(key) | 1)
}

// keysMost is how many keys of a release are remembered, at about 20 bytes each. Beyond it every key counts as one of them:
// forgetting one could send it to an earlier release.
const keysMost = 1 << 18

// Affinity knows by which releases a key was answered, or may be about to be. Such a key goes to no earlier release until
// that release goes back.
type Affinity struct {
	answered map[release.ID]*keySet
	pending  map[release.ID]map[Key]int // attempts that are out
	settled  release.ID                 // every key counts as answered by this release: its own keys were let go
	most     int
	changes  uint64 // counted, so that a floor need not be found again while nothing has changed
}

// keySet is the keys that one release has answered.
type keySet struct {
	keys map[Key]struct{}
	all  bool // there were too many to tell
}

func (s *keySet) has(key Key) bool {
	_, ok := s.keys[key]
	return ok || s.all
}

// NewAffinity makes an empty one.
func NewAffinity() *Affinity {
	return &Affinity{answered: map[release.ID]*keySet{}, pending: map[release.ID]map[Key]int{}, most: keysMost}
}

// Floor is the earliest release that may serve a key; 0: any.
func (f *Affinity) Floor(key Key) (release release.ID) {
	if key == 0 {
		return 0
	}
	release = f.settled
	for r, set := range f.answered {
		if r > release && set.has(key) {
			release = r
		}
	}
	for r, keys := range f.pending {
		if r > release && keys[key] > 0 {
			release = r
		}
	}
	return release
}

// Changes counts what may have moved a floor.
func (f *Affinity) Changes() uint64 { return f.changes }

// AttemptStarted notes an attempt at a release: its answer may bind the key before it is seen.
func (f *Affinity) AttemptStarted(key Key, release release.ID) {
	if key == 0 {
		return
	}
	if f.pending[release] == nil {
		f.pending[release] = map[Key]int{}
	}
	f.pending[release][key]++
	f.changes++
}

// AttemptEnded notes the end of an attempt that Sent has noted.
func (f *Affinity) AttemptEnded(key Key, release release.ID) {
	keys := f.pending[release]
	switch n := keys[key]; {
	case n > 1:
		keys[key] = n - 1
	case n == 1:
		delete(keys, key)
	}
	f.changes++
}

// Bind notes that a release has answered a key.
func (f *Affinity) Bind(key Key, release release.ID) {
	if key == 0 {
		return
	}
	f.changes++
	set := f.answered[release]
	if set == nil {
		set = &keySet{keys: map[Key]struct{}{}}
		f.answered[release] = set
	}
	if !set.all {
		set.keys[key] = struct{}{}
	}
	if len(set.keys) > f.most {
		set.keys, set.all = nil, true
	}
}

// ReleaseKeys ends what a release binds: it goes back.
func (f *Affinity) ReleaseKeys(release release.ID) {
	delete(f.answered, release)
	delete(f.pending, release)
	f.changes++
}

// ForgetBefore lets the keys of all releases before one go, for none of these is to return. Should a backend of an even earlier
// one do so all the same, it gets no key at all.
func (f *Affinity) ForgetBefore(release release.ID) {
	for r := range f.answered {
		if r < release {
			f.settled = max(f.settled, r)
			delete(f.answered, r)
		}
	}
	for r, keys := range f.pending {
		if r < release && len(keys) == 0 {
			delete(f.pending, r)
		}
	}
	f.changes++
}

// Len is how many keys are remembered, for all releases together.
func (f *Affinity) Len() (n int) {
	for _, set := range f.answered {
		n += len(set.keys)
	}
	return n
}

// Pending is how many keys have attempts out.
func (f *Affinity) Pending() (n int) {
	for _, keys := range f.pending {
		n += len(keys)
	}
	return n
}
