package sources

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"onyxgate/policy"
)

// SubsetOptions select the part of the fleet that an instance uses.
type SubsetOptions struct {
	Instance    int // index of this instance, from 0
	Instances   int // number of instances in the fleet
	Size        int // backends in the subset; 0: all
	MinPerGroup int // minimum number of backends of each release in each zone, if there are as many, regardless of Size
}

// Subset returns the ids of the backends that an instance uses. All instances compute it in the same way: backends
// are placed on a ring by the hash of their id; the windows of the instances start at equal distances on it, and each
// contains the next Size backends. This way the number of windows per backend differs by at most one. A backend that is
// added or removed moves each window by at most one place, and an additional instance moves each window by at most
// the distance between two instances. Backends are added for MinPerGroup in the same way. Draining backends stay in the
// subset so that no drain is missed. The whole fleet is returned if Size is 0 or at least the size of the fleet.
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
	for _, group := range byGroup { // the order does not matter: each group adds only its own backends
		if countChosen(chosen, group) < o.MinPerGroup {
			o.chooseWindow(chosen, group, o.MinPerGroup)
		}
	}
	return chosen
}

// subsetGroup is a release in a zone. Every subset contains a minimum number of backends of each group.
type subsetGroup struct {
	release policy.ReleaseID
	zone    int
}

// ringPoint is the position of a backend on the ring.
type ringPoint struct {
	hash uint64
	id   string
}

// chooseWindow adds the n backends of the ring that follow the start position of the instance.
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

// SubsetFilter translates changes of the fleet into changes of an instance's subset. It must be used by one goroutine
// at a time.
type SubsetFilter struct {
	options SubsetOptions
	chosen  map[string]bool // the current subset
}

// NewSubsetFilter returns a filter with an empty subset.
func NewSubsetFilter(o SubsetOptions) *SubsetFilter {
	return &SubsetFilter{options: o, chosen: map[string]bool{}}
}

// Apply recomputes the subset after the given changes of the fleet, and returns the changes of the subset ordered by
// id.
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
		if !chosen[e.ID] && f.chosen[e.ID] { // still in the fleet, but no longer in this subset
			e.State = policy.EndpointRemoved
			subsetChanges = append(subsetChanges, e)
		}
	}
	f.chosen = chosen
	slices.SortStableFunc(subsetChanges, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
	return subsetChanges
}
