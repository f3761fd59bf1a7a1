package sources

// This file owns which part of a large fleet one instance works with: a window on a ring, the same for every process that computes it.

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"onyxgate/policy"
)

// SubsetOptions say which part of the fleet an instance works with.
type SubsetOptions struct {
	Instance    int // its number, from 0
	Instances   int // in the fleet
	Size        int // backends in the subset; 0: all
	MinPerGroup int // of each release and zone that is there, however small Size is
}

// Subset returns the ids of an instance's part of the fleet. Backends are points on a ring by the hash of their id; instances begin
// at even distances and take what follows. So each backend has as many instances as any other but for one, a backend that
// comes or goes moves each window by one place at most, and one instance more moves them by a part of the distance between
// two. Whatever drains stays in, so that no drain is missed. Nothing is left out where Size is 0 or the fleet is no larger.
func Subset(o SubsetOptions, fleet []Entry) map[string]bool {
	if o.Size <= 0 || o.Size >= len(fleet) || o.Instances <= 0 {
		return entryIDs(fleet)
	}
	chosen := make(map[string]bool, o.Size)
	ring := make([]ringPoint, 0, len(fleet))
	byGroup := map[subsetGroup][]ringPoint{}
	for _, e := range fleet {
		if e.State != policy.EndpointRunning {
			chosen[e.ID] = true
			continue
		}
		point := ringPoint{xxhash.Sum64String(e.ID), e.ID}
		ring = append(ring, point)
		group := subsetGroup{e.Release, e.Zone}
		byGroup[group] = append(byGroup[group], point)
	}
	o.chooseWindow(chosen, ring, o.Size)
	for _, group := range byGroup { // in any order: each adds only its own backends
		if countChosen(chosen, group) < o.MinPerGroup {
			o.chooseWindow(chosen, group, o.MinPerGroup)
		}
	}
	return chosen
}

// subsetGroup is what a subset must have some of, however small it is.
type subsetGroup struct {
	release policy.ReleaseID
	zone    int
}

// ringPoint is the place of a backend on the ring.
type ringPoint struct {
	hash uint64
	id   string
}

// chooseWindow adds n backends of a ring, from the instance's own place on.
func (o SubsetOptions) chooseWindow(chosen map[string]bool, ring []ringPoint, n int) {
	slices.SortFunc(ring, func(a, b ringPoint) int { return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.id, b.id)) })
	first := o.Instance % o.Instances * len(ring) / o.Instances
	for k := range min(n, len(ring)) {
		chosen[ring[(first+k)%len(ring)].id] = true
	}
}

func countChosen(chosen map[string]bool, points []ringPoint) (n int) {
	for _, p := range points {
		if chosen[p.id] {
			n++
		}
	}
	return n
}

func entryIDs(entries []Entry) map[string]bool {
	ids := make(map[string]bool, len(entries))
	for _, e := range entries {
		ids[e.ID] = true
	}
	return ids
}

// SubsetFilter turns changes of the fleet into changes of the part that one instance works with. It is used by one goroutine
// at a time.
type SubsetFilter struct {
	options SubsetOptions
	chosen  map[string]bool // whom the instance works with
}

// NewSubsetFilter returns a filter of which nothing was chosen yet.
func NewSubsetFilter(o SubsetOptions) *SubsetFilter {
	return &SubsetFilter{options: o, chosen: map[string]bool{}}
}

// Apply chooses anew from the fleet after some changes, and returns the changes of the subset, in the order of ids.
func (f *SubsetFilter) Apply(fleet View, changes []Entry) (subsetChanges []Entry) {
	all := make([]Entry, 0, fleet.Len())
	for _, e := range fleet.All() {
		all = append(all, e)
	}
	chosen := Subset(f.options, all)
	for _, e := range changes {
		if chosen[e.ID] || f.chosen[e.ID] {
			subsetChanges = append(subsetChanges, e)
		}
	}
	changed := entryIDs(changes)
	for _, e := range all {
		entered := chosen[e.ID] && !f.chosen[e.ID]
		if entered && !changed[e.ID] {
			subsetChanges = append(subsetChanges, e)
		}
		if !chosen[e.ID] && f.chosen[e.ID] { // it runs on, for others
			e.State = policy.EndpointRemoved
			subsetChanges = append(subsetChanges, e)
		}
	}
	f.chosen = chosen
	slices.SortStableFunc(subsetChanges, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
	return subsetChanges
}
