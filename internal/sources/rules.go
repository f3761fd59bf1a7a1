package sources

import "onyxgate/policy"

// SRV weights, relative to their mean, are clamped to this range because they are maintained by hand.
const minWeight, maxWeight = 0.1, 4.0

// candidate is a backend to which the rules are applied. A backend listed by discovery and one named by SRV are
// separate candidates even if they have the same address; the rules ensure that at most one of them runs.
type candidate struct{ id, address string }

// resolvedCandidate returns the candidate for the backend that SRV names at an address.
func resolvedCandidate(address string) candidate { return candidate{"srv:" + address, address} }

// isResolved reports whether the candidate is a backend named by SRV.
func (c candidate) isResolved() bool { return c == resolvedCandidate(c.address) }

// rule determines the entry of the candidates to which it applies.
type rule struct {
	name    string
	applies func(m *Merger, c candidate) bool
	entry   func(m *Merger, c candidate) Entry
}

// Names of the rules. They appear in the state file, in metrics and in the output for operators.
const (
	ruleDraining = "draining"
	ruleListed   = "listed"
	ruleSame     = "same"
	ruleEnded    = "ended"
	ruleSpare    = "spare"
	ruleReserve  = "reserve"
	ruleNamed    = "named"
	ruleUnnamed  = "unnamed"
)

// rules are ordered by precedence: the first one that applies decides. Discovery is authoritative for states,
// releases and start times; SRV is authoritative for none of them.
var rules = [...]rule{
	// A drain takes effect at once, regardless of SRV, and persists if discovery stops reporting.
	{ruleDraining, (*Merger).isDraining, (*Merger).discoveredEntry},
	{ruleListed, (*Merger).isListed, (*Merger).discoveredEntry},
	// Discovery lists a backend at this address, so SRV names the same backend.
	{ruleSame, (*Merger).isAddressListed, (*Merger).removedEntry},
	// Discovery drained or removed the backend at this address, which is still closed to SRV.
	{ruleEnded, (*Merger).isRetired, (*Merger).removedEntry},
	// RFC 2782 prefers lower priority numbers. Backends with a higher number than the best are spares: they are used, all
	// together, only if no other backend runs, whether named by SRV or listed by discovery.
	{ruleSpare, (*Merger).isIdleSpare, (*Merger).removedEntry},
	{ruleReserve, (*Merger).isSpare, (*Merger).resolvedEntry},
	{ruleNamed, (*Merger).isNamed, (*Merger).resolvedEntry},
	{ruleUnnamed, func(*Merger, candidate) bool { return true }, (*Merger).removedEntry},
}

// NumRules is the number of rules.
const NumRules = len(rules)

// Rules returns the names of the rules, in order of precedence.
func Rules() []string {
	names := make([]string, len(rules))
	for i, r := range rules {
		names[i] = r.name
	}
	return names
}

func (m *Merger) isDraining(c candidate) bool {
	endpoint, ok := m.discovered.Get(c.id)
	return ok && endpoint.State == policy.EndpointDraining
}

func (m *Merger) isListed(c candidate) bool {
	_, ok := m.discovered.Get(c.id)
	return ok
}

func (m *Merger) isAddressListed(c candidate) bool {
	_, listed := m.listedAt.Get(c.address)
	return listed && c.isResolved()
}

func (m *Merger) isRetired(c candidate) bool {
	_, retired := m.retired.Get(c.address)
	return retired && c.isResolved()
}

func (m *Merger) isIdleSpare(c candidate) bool { return m.primaries > 0 && m.isSpare(c) }

func (m *Merger) isSpare(c candidate) bool {
	endpoint, named := m.resolved.Get(c.address)
	return named && c.isResolved() && endpoint.Priority > m.bestPriority
}

func (m *Merger) isNamed(c candidate) bool {
	_, named := m.resolved.Get(c.address)
	return named && c.isResolved()
}

// discoveredEntry returns the backend as listed by discovery.
func (m *Merger) discoveredEntry(c candidate) Entry {
	endpoint, _ := m.discovered.Get(c.id)
	return endpoint.Entry
}

// resolvedEntry returns the backend as named by SRV, with conservative assumptions for what SRV does not report: an
// unknown release, which is limited like one in its first stage, and a start at the time when it was first named.
func (m *Merger) resolvedEntry(c candidate) Entry {
	endpoint, _ := m.resolved.Get(c.address)
	weight := 1.0
	if m.meanWeight > 0 {
		weight = min(max(float64(endpoint.Weight)/m.meanWeight, minWeight), maxWeight)
	}
	return Entry{
		Endpoint: policy.Endpoint{
			ID: c.id, Release: policy.UnknownRelease, State: policy.EndpointRunning, Weight: weight, StartedAt: endpoint.firstSeen,
		},
		Address: c.address,
	}
}

func (*Merger) removedEntry(c candidate) Entry {
	return Entry{Endpoint: policy.Endpoint{ID: c.id, State: policy.EndpointRemoved}, Address: c.address}
}

// applyRules evaluates the rules for one candidate, updates the fleet, and appends the change, if any.
func (m *Merger) applyRules(changes []Entry, c candidate) []Entry {
	decided := m.evaluateRules(c)
	previous, present := m.fleet.Get(c.id)
	if m.keepsLastRunning(c, decided, previous, present) {
		m.keptAddress = c.address
		return changes
	}
	removed := decided.State == policy.EndpointRemoved
	unchanged := removed && !present || present && previous == decided
	if unchanged {
		return changes
	}
	if removed {
		m.fleet.entries = m.fleet.entries.Delete(c.id)
	} else {
		m.fleet.entries = m.fleet.entries.Set(c.id, decided)
	}
	if present {
		m.countRunning(previous, -1)
	}
	m.countRunning(decided, 1)
	return append(changes, decided)
}

// evaluateRules returns the entry of the first rule that applies.
func (m *Merger) evaluateRules(c candidate) (e Entry) {
	for _, r := range rules {
		if r.applies(m, c) {
			e = r.entry(m, c)
			e.Rule = r.name
			break
		}
	}
	return e
}

// keepsLastRunning reports whether a backend is kept although SRV no longer names it: a missing name alone does not
// remove the last running backend. It is removed once another backend runs (reconcileSpares).
func (m *Merger) keepsLastRunning(c candidate, decided, previous Entry, present bool) bool {
	isLastRunning := present && previous.State == policy.EndpointRunning && m.fleet.Running == 1
	return isLastRunning && decided.Rule == ruleUnnamed && c.isResolved()
}

// countRunning changes the counts of running backends by 1 or -1 if the entry is running.
func (m *Merger) countRunning(e Entry, by int) {
	if e.State != policy.EndpointRunning {
		return
	}
	m.fleet.Running += by
	if e.Rule != ruleReserve {
		m.primaries += by
	}
}
