package sources

// reconcileSpares updates the backends that depend on whether others run. It is called after every change. Spares are
// added when no primary backend runs and removed when one does. A last running backend that was kept without being
// named is removed once another one runs.
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
