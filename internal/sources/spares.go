package sources

// This file owns the backends whose place depends on whether others run: SRV's spares, and the last one that was kept.

// reconcileSpares is called after every change: spares come in once no other backend runs and go out once one does,
// and the last backend, if it was kept without a name, goes once another runs.
func (m *Merger) reconcileSpares(changes []Entry) []Entry {
	if hasPrimaries := m.primaries > 0; hasPrimaries != m.hadPrimaries {
		m.hadPrimaries = hasPrimaries
		for address, endpoint := range iterate(m.resolved) {
			if endpoint.Priority > m.bestPriority {
				changes = m.applyRules(changes, resolvedCandidate(address))
			}
		}
	}
	if m.keptAddress != "" && m.fleet.Running > 1 {
		address := m.keptAddress
		m.keptAddress = ""
		changes = m.applyRules(changes, resolvedCandidate(address))
	}
	return changes
}
