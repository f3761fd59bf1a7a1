package sources

import "fmt"

// Statement is what one source last reported about a backend.
type Statement struct {
	Source     string  `json:"source"` // "discovery" or "srv"
	Detail     string  `json:"says"`
	ReportedAt float64 `json:"at_ms"` // ms
}

// Explain returns the last report of each source about a backend that is or was in the fleet.
func (m *Merger) Explain(id, address string) (statements []Statement) {
	if endpoint, ok := m.discovered.Get(id); ok {
		says := fmt.Sprintf("%s, build %d", StateName(endpoint.State), endpoint.Release)
		statements = append(statements, Statement{"discovery", says, endpoint.reportedAt})
	}
	if at, ok := m.retired.Get(address); ok {
		statements = append(statements, Statement{"discovery", "drained or gone at this address", at})
	}
	if endpoint, ok := m.resolved.Get(address); ok {
		says := fmt.Sprintf("named, priority %d, weight %d, missed %d times", endpoint.Priority, endpoint.Weight, endpoint.missedAnswers)
		statements = append(statements, Statement{"srv", says, endpoint.lastSeen})
	}
	return statements
}
