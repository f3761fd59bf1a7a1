package sources

import (
	"github.com/benbjohnson/immutable"

	"onyxgate/policy"
)

const (
	// maxMissedAnswers is the number of consecutive complete SRV answers without an address after which the address
	// counts as no longer named. A single answer may be incomplete because the name server was still loading.
	maxMissedAnswers = 2
	// retiredHoldMs is the minimum time for which an address stays closed to SRV after the last report of discovery
	// that its backend drains or was removed. After that time the address opens as soon as SRV no longer names it. A
	// backend that SRV names there later is a new one.
	retiredHoldMs = 60_000.0
	// maxResolvedAgeMs is how long a backend that only SRV names is kept after the last answer that named it. RFC
	// 8767 allows serving stale names for one to three days, but a fleet changes faster.
	maxResolvedAgeMs = 3_600_000.0
	// noPriority is greater than any SRV priority.
	noPriority = 1 << 16
)

// discoveredEndpoint is the last report of discovery about a backend and its time (ms).
type discoveredEndpoint struct {
	Entry
	reportedAt float64
}

// resolvedEndpoint is the last SRV report about an address.
type resolvedEndpoint struct {
	Observation
	firstSeen, lastSeen float64 // ms, times of the first and last answers that named it
	missedAnswers       int     // consecutive complete answers without it
}

// Merger holds the views of the sources and the fleet derived from them. It must be used by one goroutine at a time.
// Its maps are immutable, so a copy of the struct is an independent state. Times are in ms of one clock.
type Merger struct {
	fleet        View
	discovered   *immutable.Map[string, discoveredEndpoint] // by id; without removed backends
	listedAt     *immutable.Map[string, string]             // by address: the id that discovery lists there
	retired      *immutable.Map[string, float64]            // by address: when discovery last reported the drain or removal
	resolved     *immutable.Map[string, resolvedEndpoint]   // by address
	bestPriority int                                        // lowest priority value that SRV names, which is preferred
	meanWeight   float64                                    // mean weight of the addresses with bestPriority

	consecutiveShrinks [numSources]int    // consecutive snapshots or answers that shrank too much
	Doubt              [numSources]string // reason why a source is doubted; empty if it is not

	keptAddress  string // address of the last running backend if kept although not named; else empty
	primaries    int    // running backends that are not spares
	hadPrimaries bool   // whether there were primaries when the spares were last updated
}

// New returns a Merger without any reports.
func New() *Merger {
	return &Merger{
		fleet:      View{entries: immutable.NewMap[string, Entry](nil)},
		discovered: immutable.NewMap[string, discoveredEndpoint](nil),
		listedAt:   immutable.NewMap[string, string](nil),
		retired:    immutable.NewMap[string, float64](nil),
		resolved:   immutable.NewMap[string, resolvedEndpoint](nil),
	}
}

// Fleet returns the current fleet, which results from all changes returned so far.
func (m *Merger) Fleet() View { return m.fleet }

// MarkDoubtful records that a source failed, stopped reporting, or reported that the service does not exist. The view
// of the source is kept.
func (m *Merger) MarkDoubtful(source Source, why string) { m.Doubt[source] = why }

// UpdateDiscovered applies a snapshot or a change from discovery and returns the resulting changes of the fleet.
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

// removeUnlisted removes the backends that a snapshot does not list, if its omissions are accepted.
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

// applyDiscovered applies the report of discovery about one backend.
func (m *Merger) applyDiscovered(now float64, changes []Entry, e Entry) []Entry {
	previous, known := m.discovered.Get(e.ID)
	if e.Address == "" {
		e.Address = previous.Address
	}
	if known && previous.Address != e.Address { // the old address no longer belongs to this backend
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

// recordListing records that discovery lists a backend at its address.
func (m *Merger) recordListing(now float64, e Entry) {
	m.discovered = m.discovered.Set(e.ID, discoveredEndpoint{e, now})
	m.listedAt = m.listedAt.Set(e.Address, e.ID)
}

// evictAddress removes the other backend that discovery had listed at an address that now belongs to the backend with
// the given id.
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

// retireAddress prevents SRV from adding the address of a removed backend, unless another backend is already listed
// there.
func (m *Merger) retireAddress(now float64, e Entry) {
	if id, taken := m.listedAt.Get(e.Address); !taken || id == e.ID {
		m.retired = m.retired.Set(e.Address, now)
	}
}

// releaseAddress removes the listing of a backend at its address and re-evaluates the backend that SRV names there.
func (m *Merger) releaseAddress(changes []Entry, e Entry) []Entry {
	if id, taken := m.listedAt.Get(e.Address); taken && id == e.ID {
		m.listedAt = m.listedAt.Delete(e.Address)
	}
	return m.applyRules(changes, resolvedCandidate(e.Address))
}

// UpdateResolved applies a valid and complete SRV answer and returns the resulting changes of the fleet.
func (m *Merger) UpdateResolved(now float64, observations []Observation) (changes []Entry) {
	named := m.indexObservations(observations)
	accepted := m.acceptsOmissions(SRV, len(named), m.resolved.Len())
	for address, endpoint := range iterate(m.resolved) {
		if _, ok := named[address]; !ok {
			changes = m.recordMissed(now, changes, endpoint, accepted)
		}
	}
	for _, o := range observations { // in the order of the answer, to make the order of the changes deterministic
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

// indexObservations returns the observations by address, keeping the best priority of each address. It also updates
// bestPriority and meanWeight.
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

// recordMissed records that an answer did not name an address. accepted reports whether the omission counts. After
// maxMissedAnswers the address is removed, and opened again if it was retired more than retiredHoldMs ago.
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

// Expire removes addresses that SRV has not named for maxResolvedAgeMs, and with them the backends that only SRV names.
// It also opens the addresses that were retired more than retiredHoldMs ago, that discovery does not list and that SRV
// no longer names. It must be called every few seconds.
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

// ReopenRetired lets SRV undo drains and removals by discovery. It must never be called in production: it is a seeded
// defect with which an end-to-end test shows that it would detect such a fault.
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
