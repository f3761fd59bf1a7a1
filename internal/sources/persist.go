package sources

import (
	"cmp"
	"slices"
)

// MergerState is the part of a Merger that is saved across restarts. Without it, SRV could bring back drained
// backends before discovery has reported.
type MergerState struct {
	Retired map[string]float64 `json:"ended"` // by address, Unix ms
	SRV     []SavedObservation `json:"srv"`   // ordered by address
}

// SavedObservation is the last SRV report about an address and the times (Unix ms) of the first and last answers that
// named it.
type SavedObservation struct {
	Observation
	FirstSeen float64 `json:"first_ms"`
	LastSeen  float64 `json:"last_ms"`
}

// Snapshot returns the state to save.
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

// Restore loads the saved state into a new Merger and returns the resulting changes of the fleet. Observations that
// are too old are skipped. The others count as first named now: SavedObservation.FirstSeen is not restored.
func (m *Merger) Restore(now float64, state MergerState) (changes []Entry) {
	for address, at := range state.Retired {
		// A time in the future means that the clock was set back. If it were kept, the address would stay retired for that
		// much longer.
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
