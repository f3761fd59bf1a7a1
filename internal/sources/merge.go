package sources

// This file owns the sources' views: the last report of each, and what a new report changes.

import (
	"github.com/benbjohnson/immutable"

	"onyxgate/policy"
)

const (
	// maxMissedAnswers: an address that so many whole answers of SRV in a row left out is named no more. One answer alone may
	// have been cut short by a name server that was just filling.
	maxMissedAnswers = 2
	// retiredHoldMs is how long an address whose backend drained or was removed stays closed to SRV after SRV has ceased to
	// name it; a backend that is named there later is a new one.
	retiredHoldMs = 60_000.0
	// maxResolvedAgeMs: a backend that only SRV names is removed this long after the last answer that named it (RFC 8767 allows
	// one to three days for names; a fleet turns over faster).
	maxResolvedAgeMs = 3_600_000.0
	// noPriority is above every priority that an SRV record can have.
	noPriority = 1 << 16
)

// discoveredEndpoint is what discovery last reported of a backend, and when (ms).
type discoveredEndpoint struct {
	Entry
	reportedAt float64
}

// resolvedEndpoint is what SRV last reported of an address.
type resolvedEndpoint struct {
	Observation
	firstSeen, lastSeen float64 // ms, by the answers that named it
	missedAnswers       int     // whole answers in a row without it
}

// Merger holds the sources' views and the fleet that follows from them. It is used by one goroutine at a time; a copy of the
// struct is a state of its own, since the maps in it never change. Times are in ms of one clock.
type Merger struct {
	fleet        View
	discovered   *immutable.Map[string, discoveredEndpoint] // by id; none that was removed
	listedAt     *immutable.Map[string, string]             // by address: the id that discovery lists there
	retired      *immutable.Map[string, float64]            // by address: when discovery drained or removed a backend there
	resolved     *immutable.Map[string, resolvedEndpoint]   // by address
	bestPriority int                                        // the lowest that SRV names
	meanWeight   float64                                    // of the addresses with that priority

	consecutiveShrinks [numSources]int    // snapshots or answers in a row that shrank by too much
	Doubt              [numSources]string // why a source is doubted; empty: it is not

	keptAddress  string // address of the last running backend, kept though no source names it any more; empty: none
	primaries    int    // how many run that are no spares
	hadPrimaries bool   // some did when the spares were last decided
}

// New returns a merger without any report.
func New() *Merger {
	return &Merger{
		fleet:      View{entries: immutable.NewMap[string, Entry](nil)},
		discovered: immutable.NewMap[string, discoveredEndpoint](nil),
		listedAt:   immutable.NewMap[string, string](nil),
		retired:    immutable.NewMap[string, float64](nil),
		resolved:   immutable.NewMap[string, resolvedEndpoint](nil),
	}
}

// Fleet returns the fleet as the changes returned so far make it.
func (m *Merger) Fleet() View { return m.fleet }

// MarkDoubtful notes that a source failed, fell silent or says that the service does not exist: its view stays as it was.
func (m *Merger) MarkDoubtful(source Source, why string) { m.Doubt[source] = why }

// UpdateDiscovered takes a report of discovery, a snapshot of all or changes, and returns the changes for the core.
func (m *Merger) UpdateDiscovered(now float64, entries []Entry, snapshot bool) (changes []Entry) {
	if snapshot {
		changes = m.removeUnlisted(now, entries)
	} else {
		m.Doubt[Discovery] = ""
	}
	for _, e := range entries {
		changes = m.applyDiscovered(now, changes, e)
	}
	return m.reconcileSpares(changes)
}

// removeUnlisted removes what a snapshot leaves out, if it is believed.
func (m *Merger) removeUnlisted(now float64, snapshot []Entry) (changes []Entry) {
	if !m.acceptsOmissions(Discovery, len(snapshot), m.discovered.Len()) {
		return nil
	}
	listed := make(map[string]bool, len(snapshot))
	for _, e := range snapshot {
		listed[e.ID] = true
	}
	for id, endpoint := range iterate(m.discovered) {
		if !listed[id] {
			endpoint.State = policy.EndpointRemoved
			changes = m.applyDiscovered(now, changes, endpoint.Entry)
		}
	}
	return changes
}

// applyDiscovered takes what discovery reports of one backend.
func (m *Merger) applyDiscovered(now float64, changes []Entry, e Entry) []Entry {
	previous, known := m.discovered.Get(e.ID)
	if e.Address == "" {
		e.Address = previous.Address
	}
	if known && previous.Address != e.Address { // what runs at the old address now is another backend
		changes = m.releaseAddress(changes, previous.Entry)
	}
	if e.State != policy.EndpointRemoved {
		changes = m.evictAddress(e.Address, e.ID, changes)
	}
	switch e.State {
	case policy.EndpointRemoved:
		m.discovered = m.discovered.Delete(e.ID)
		if e.Address != "" {
			m.retireAddress(now, e)
			changes = m.releaseAddress(changes, e)
		}
	case policy.EndpointDraining:
		m.recordListing(now, e)
		m.retired = m.retired.Set(e.Address, now)
	default:
		m.recordListing(now, e)
		m.retired = m.retired.Delete(e.Address)
	}
	changes = m.applyRules(changes, candidate{e.ID, e.Address})
	return m.applyRules(changes, resolvedCandidate(e.Address))
}

// list notes that discovery lists a backend at its address.
func (m *Merger) recordListing(now float64, e Entry) {
	m.discovered = m.discovered.Set(e.ID, discoveredEndpoint{e, now})
	m.listedAt = m.listedAt.Set(e.Address, e.ID)
}

// evictFrom removes the other backend that discovery listed at an address which now belongs to the one with this id.
func (m *Merger) evictAddress(address, id string, changes []Entry) []Entry {
	other, taken := m.listedAt.Get(address)
	if !taken || other == id {
		return changes
	}
	evicted, ok := m.discovered.Get(other)
	if !ok {
		return changes
	}
	m.discovered = m.discovered.Delete(other)
	changes = m.releaseAddress(changes, evicted.Entry)
	return m.applyRules(changes, candidate{other, evicted.Address})
}

// retire closes a removed backend's address to SRV, unless another backend is listed there already.
func (m *Merger) retireAddress(now float64, e Entry) {
	if id, taken := m.listedAt.Get(e.Address); !taken || id == e.ID {
		m.retired = m.retired.Set(e.Address, now)
	}
}

// releaseAddress takes a backend off the address that it had, and decides anew about the backend that SRV names there.
func (m *Merger) releaseAddress(changes []Entry, e Entry) []Entry {
	if id, taken := m.listedAt.Get(e.Address); taken && id == e.ID {
		m.listedAt = m.listedAt.Delete(e.Address)
	}
	return m.applyRules(changes, resolvedCandidate(e.Address))
}

// UpdateResolved takes a good and whole answer of SRV and returns the changes for the core.
func (m *Merger) UpdateResolved(now float64, observations []Observation) (changes []Entry) {
	named := m.indexObservations(observations)
	accepted := m.acceptsOmissions(SRV, len(named), m.resolved.Len())
	for address, endpoint := range iterate(m.resolved) {
		if _, ok := named[address]; !ok {
			changes = m.recordMissed(now, changes, endpoint, accepted)
		}
	}
	for _, o := range observations { // in the order of the answer, so that the changes have one
		if named[o.Address] != o {
			continue
		}
		previous, known := m.resolved.Get(o.Address)
		if !known {
			previous.firstSeen = now
		}
		m.resolved = m.resolved.Set(o.Address, resolvedEndpoint{Observation: o, firstSeen: previous.firstSeen, lastSeen: now})
		changes = m.applyRules(changes, resolvedCandidate(o.Address))
	}
	return m.reconcileSpares(changes)
}

// rank returns an answer by address, the best priority for each, and notes the lowest priority and its mean weight.
func (m *Merger) indexObservations(observations []Observation) map[string]Observation {
	named := make(map[string]Observation, len(observations))
	m.bestPriority, m.meanWeight = noPriority, 0
	for _, o := range observations {
		if other, duplicate := named[o.Address]; !duplicate || o.Priority < other.Priority {
			named[o.Address] = o
		}
		m.bestPriority = min(m.bestPriority, o.Priority)
	}
	best := 0
	for _, o := range named {
		if o.Priority == m.bestPriority {
			m.meanWeight += float64(o.Weight)
			best++
		}
	}
	m.meanWeight /= float64(max(best, 1))
	return named
}

// missResolved notes that an answer left an address out, and forgets the address once enough answers did.
func (m *Merger) recordMissed(now float64, changes []Entry, endpoint resolvedEndpoint, accepted bool) []Entry {
	if accepted {
		endpoint.missedAnswers++
	}
	address := endpoint.Address
	if endpoint.missedAnswers < maxMissedAnswers {
		m.resolved = m.resolved.Set(address, endpoint)
		return changes
	}
	m.resolved = m.resolved.Delete(address)
	if at, ok := m.retired.Get(address); ok && now-at > retiredHoldMs {
		m.retired = m.retired.Delete(address)
	}
	return m.applyRules(changes, resolvedCandidate(address))
}

// Expire forgets backends that only SRV named, too long ago, and opens addresses that were retired long ago and are named no more.
// To be called every few seconds.
func (m *Merger) Expire(now float64) (changes []Entry) {
	for address, endpoint := range iterate(m.resolved) {
		if now-endpoint.lastSeen > maxResolvedAgeMs {
			m.resolved = m.resolved.Delete(address)
			changes = m.applyRules(changes, resolvedCandidate(address))
		}
	}
	for address, at := range iterate(m.retired) {
		_, listed := m.listedAt.Get(address)
		_, named := m.resolved.Get(address)
		if !named && !listed && now-at > retiredHoldMs {
			m.retired = m.retired.Delete(address)
		}
	}
	return m.reconcileSpares(changes)
}

// ReopenRetired lets SRV undo what discovery ended. This must never happen: it is a seeded defect, by which an end-to-end test
// shows that it would find one like it.
func (m *Merger) ReopenRetired(observations []Observation) {
	for _, o := range observations {
		m.retired = m.retired.Delete(o.Address)
		id, ok := m.listedAt.Get(o.Address)
		if !ok {
			continue
		}
		if endpoint, ok := m.discovered.Get(id); ok && endpoint.State == policy.EndpointDraining {
			m.discovered, m.listedAt = m.discovered.Delete(id), m.listedAt.Delete(o.Address)
		}
	}
}
