package sources

// This file owns the rules that decide what a backend is, and the one place where the fleet changes.

import "onyxgate/policy"

// Weights by SRV are kept within these, relative to the mean, since they are written by hand.
const minWeight, maxWeight = 0.1, 4.0

// candidate is a backend to decide about. One that discovery lists and one that SRV names are two candidates even at one
// address: the rules see to it that no more than one of them runs.
type candidate struct{ id, address string }

// resolvedAt is the backend that SRV names at an address.
func resolvedCandidate(address string) candidate { return candidate{"srv:" + address, address} }

// isResolved reports whether the candidate is the one that SRV names.
func (c candidate) isResolved() bool { return c == resolvedCandidate(c.address) }

// rule says what a backend is, where it applies.
type rule struct {
	name    string
	applies func(m *Merger, c candidate) bool
	entry   func(m *Merger, c candidate) Entry
}

// The names of the rules; they appear in the state file, in metrics and in what operators read.
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

// rules are in the order of their authority: the first that applies decides. Discovery has authority for states, releases and
// starts, SRV for none of them.
var rules = [...]rule{
	// A drain binds at once, whatever SRV says, and holds when discovery falls silent.
	{ruleDraining, (*Merger).isDraining, (*Merger).discoveredEntry},
	{ruleListed, (*Merger).isListed, (*Merger).discoveredEntry},
	// Discovery lists a backend at this address: SRV names that one.
	{ruleSame, (*Merger).isAddressListed, (*Merger).removedEntry},
	// Discovery drained or removed the backend at this address, and SRV still names it.
	{ruleEnded, (*Merger).isRetired, (*Merger).removedEntry},
	// RFC 2782: a higher priority number is for when none of the lower runs; those that discovery lists count too.
	{ruleSpare, (*Merger).isIdleSpare, (*Merger).removedEntry},
	{ruleReserve, (*Merger).isSpare, (*Merger).resolvedEntry},
	{ruleNamed, (*Merger).isNamed, (*Merger).resolvedEntry},
	{ruleUnnamed, func(*Merger, candidate) bool { return true }, (*Merger).removedEntry},
}

// NumRules is how many rules there are.
const NumRules = len(rules)

// Rules returns the names of the rules, in order.
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

// discoveredEntry is a backend as discovery lists it.
func (m *Merger) discoveredEntry(c candidate) Entry {
	endpoint, _ := m.discovered.Get(c.id)
	return endpoint.Entry
}

// resolvedEntry is what SRV knows of a backend, with the careful assumption for what it can't know: an unknown release, and
// started when it was first named.
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

// decide goes through the rules for one backend, changes the fleet and appends the change that the core has to take.
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

// firstRule is the entry of the first rule that applies.
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

// keepsLast reports whether a backend stays though it is named no more: the last that runs is not taken away by a name that is
// missing, but once another runs (reconcileSpares).
func (m *Merger) keepsLastRunning(c candidate, decided, previous Entry, present bool) bool {
	isLastRunning := present && previous.State == policy.EndpointRunning && m.fleet.Running == 1
	return isLastRunning && decided.Rule == ruleUnnamed && c.isResolved()
}

// countRunning adds one backend to what is counted of those that run, or takes it away (-1).
func (m *Merger) countRunning(e Entry, by int) {
	if e.State != policy.EndpointRunning {
		return
	}
	m.fleet.Running += by
	if e.Rule != ruleReserve {
		m.primaries += by
	}
}
