package sources

// This file owns which part of a large fleet one agent works with: a window on a ring, the same for whoever computes it.

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"onyxgate/policy"
)

// Subset is the part of the fleet for agent `me` of `agents`: `size` appliances, and at least `least` of each build and zone
// that is there. Appliances stand on a ring by the hash of their id; agents begin at even distances and take what follows.
// So each appliance has as many agents as any other but for one, an appliance that comes or goes moves each window by one
// place at most, and an agent more moves them by a part of the distance between two. Whatever drains stays in, so that no
// drain is missed. Nothing is left out where size is 0 or the fleet is no larger.
func Subset(me, agents, size, least int, fleet []Entry) map[string]bool {
	in := make(map[string]bool, size)
	if size <= 0 || size >= len(fleet) || agents <= 0 {
		for _, e := range fleet {
			in[e.ID] = true
		}
		return in
	}
	type group struct {
		release policy.ReleaseID
		zone    int
	}
	ring := make([]place, 0, len(fleet))
	groups := map[group][]place{}
	var order []group
	for _, e := range fleet {
		if e.State != policy.EndpointRunning {
			in[e.ID] = true
			continue
		}
		p := place{xxhash.Sum64String(e.ID), e.ID}
		ring = append(ring, p)
		g := group{e.Release, e.Zone}
		if groups[g] == nil {
			order = append(order, g)
		}
		groups[g] = append(groups[g], p)
	}
	window(in, ring, me, agents, size)
	slices.SortFunc(order, func(a, b group) int { return cmp.Or(cmp.Compare(a.release, b.release), cmp.Compare(a.zone, b.zone)) })
	for _, g := range order {
		n := 0
		for _, p := range groups[g] {
			if in[p.id] {
				n++
			}
		}
		if n < least {
			window(in, groups[g], me, agents, least)
		}
	}
	return in
}

type place struct {
	at uint64
	id string
}

// window takes n places of a ring from the agent's own on.
func window(in map[string]bool, ring []place, me, agents, n int) {
	slices.SortFunc(ring, func(a, b place) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.id, b.id)) })
	from := me % agents * len(ring) / agents
	for k := range min(n, len(ring)) {
		in[ring[(from+k)%len(ring)].id] = true
	}
}
