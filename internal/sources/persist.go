package sources

// This file owns what a merger knows again after a restart.

import (
	"cmp"
	"slices"
)

// MergerState is what a merger should know again after a restart: without it SRV could bring back, before discovery has spoken,
// what had drained.
type MergerState struct {
	Retired map[string]float64 `json:"ended"` // by address, Unix ms
	SRV     []SavedObservation `json:"srv"`   // in the order of addresses
}

// SavedObservation is what SRV last reported of an address, and between which answers (Unix ms).
type SavedObservation struct {
	Observation
	FirstSeen float64 `json:"first_ms"`
	LastSeen  float64 `json:"last_ms"`
}

// Snapshot returns the merger's memory.
func (m *Merger) Snapshot() MergerState {
	state := MergerState{Retired: map[string]float64{}}
	for address, at := range iterate(m.retired) {
		state.Retired[address] = at
	}
	for _, endpoint := range iterate(m.resolved) {
		state.SRV = append(state.SRV, SavedObservation{endpoint.Observation, endpoint.firstSeen, endpoint.lastSeen})
	}
	slices.SortFunc(state.SRV, func(a, b SavedObservation) int { return cmp.Compare(a.Address, b.Address) })
	return state
}

// Restore gives a new merger the memory of an earlier one and returns the changes for the core. What was last named too
// long ago is left out.
func (m *Merger) Restore(now float64, state MergerState) (changes []Entry) {
	for address, at := range state.Retired {
		// A later time means that the clock was set back: the address would stay closed for as long.
		m.retired = m.retired.Set(address, min(at, now))
	}
	var fresh []Observation
	for _, saved := range state.SRV {
		if now-saved.LastSeen <= maxResolvedAgeMs {
			fresh = append(fresh, saved.Observation)
		}
	}
	changes = m.UpdateResolved(now, fresh)
	for _, saved := range state.SRV {
		if endpoint, ok := m.resolved.Get(saved.Address); ok {
			endpoint.lastSeen = min(saved.LastSeen, now)
			m.resolved = m.resolved.Set(saved.Address, endpoint)
		}
	}
	m.Doubt[SRV] = "remembered"
	return changes
}
