// Package sources decides what the fleet is where several sources tell of it: discovery, which knows states, builds and
// starts, and SRV records, which know addresses and weights. It must never do I/O, read a clock or start a goroutine, nor
// let a source that fails take an appliance away.
package sources

// This file owns the merge: what each source told, and which of its words holds.

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/benbjohnson/immutable"

	"onyxgate/policy"
)

const (
	// maxMissedAnswers good whole answers in a row without an appliance, and it is named no more: one may have been cut short by
	// a server that was just filling.
	maxMissedAnswers = 2
	// minKeptShare: a source that names less than this part of what it named is not believed before it has said so confirms
	// times in a row.
	minKeptShare        = 0.5
	shrinkConfirmations = 3
	// retiredHoldMs (ms): how long an address that drained or went stays closed to SRV after SRV has ceased to name it; then
	// whoever is named there is a new appliance.
	retiredHoldMs = 60_000.0
	// maxResolvedAgeMs (ms): an appliance that only SRV tells of goes this long after the last answer that named it (RFC 8767 allows
	// one to three days for names; a fleet turns over faster).
	maxResolvedAgeMs = 3_600_000.0
	// ratings by weight are kept within these, since weights are written by hand.
	minWeight, maxWeight = 0.1, 4.0
)

// Observation is what SRV tells of one address.
type Observation struct {
	Address  string `json:"address"`
	Priority int    `json:"priority"`
	Weight   int    `json:"weight"`
}

// Entry is an appliance as the module is told of it, and where it listens.
type Entry struct {
	policy.Endpoint
	Address string
	Rule    string // that decided
}

// discoveredEndpoint is one source's word for an appliance, with when.
type discoveredEndpoint struct {
	Entry
	toldAt float64
}

type resolvedEndpoint struct {
	Observation
	firstSeen, lastSeen float64 // when it was named
	missedAnswers       int
}

// View is what readers see: it never changes.
type View struct {
	entries *immutable.Map[string, Entry]
	Running int
}

// Get is one appliance.
func (v View) Get(id string) (Entry, bool) { return v.entries.Get(id) }

// Len is how many there are.
func (v View) Len() int { return v.entries.Len() }

// Each calls f with all of them, in no order.
func (v View) Each(f func(id string, e Entry)) {
	for i := v.entries.Iterator(); !i.Done(); {
		id, e, _ := i.Next()
		f(id, e)
	}
}

// Merger holds the sources' views and the fleet that follows from them.
type Merger struct {
	fleet         View
	discovered    *immutable.Map[string, discoveredEndpoint] // discovery's, by id; none that is gone
	listedAt      *immutable.Map[string, string]             // id that discovery lists at an address
	retired       *immutable.Map[string, float64]            // addresses at which an appliance drained or went by discovery's word, and when
	resolved      *immutable.Map[string, resolvedEndpoint]   // by address
	bestPriority  int                                        // lowest priority that is named
	meanWeight    float64                                    // weight at that priority
	shrunkenInRow [2]int                                     // in a row, by source
	lastKept      string                                     // address of the last one that ran, which no source names any more
	primaries     int                                        // how many run that are no spares
	hadPrimaries  bool                                       // some did, when spares were last looked at
	Doubt         [2]string                                  // why a source is doubted, empty: it is not
}

// The sources.
const (
	Discovery = iota
	SRV
)

// New is a merge to which nothing was told.
func New() *Merger {
	return &Merger{
		fleet: View{entries: immutable.NewMap[string, Entry](nil)}, discovered: immutable.NewMap[string, discoveredEndpoint](nil),
		listedAt: immutable.NewMap[string, string](nil), retired: immutable.NewMap[string, float64](nil),
		resolved: immutable.NewMap[string, resolvedEndpoint](nil),
	}
}

// Fleet is what the module was told last.
func (m *Merger) Fleet() View { return m.fleet }

// resolvedID names an appliance of which only SRV tells. Identity is by address: the same address under two names is one
// appliance, and one that discovery lists there too is discovery's.
func resolvedID(address string) string { return "srv:" + address }

// UpdateDiscovered takes discovery's word: a whole list, or changes. It returns what the module is to be told.
func (m *Merger) UpdateDiscovered(now float64, entries []Entry, whole bool) (changes []Entry) {
	if whole {
		names := make(map[string]bool, len(entries))
		for _, e := range entries {
			names[e.ID] = true
		}
		if m.acceptsOmissions(Discovery, len(entries), m.discovered.Len()) {
			for i := m.discovered.Iterator(); !i.Done(); {
				id, t, _ := i.Next()
				if !names[id] {
					t.State = policy.EndpointRemoved
					changes = m.applyDiscovered(now, changes, t.Entry)
				}
			}
		}
	} else {
		m.Doubt[Discovery] = ""
	}
	for _, e := range entries {
		changes = m.applyDiscovered(now, changes, e)
	}
	return m.reconcileSpares(now, changes)
}

// reconcileSpares goes on until nothing changes: spares come in once nobody else runs and go out once somebody does, and the last
// one that was kept goes once it is not the last.
func (m *Merger) reconcileSpares(now float64, changes []Entry) []Entry {
	if stands := m.primaries > 0; stands != m.hadPrimaries {
		m.hadPrimaries = stands
		for i := m.resolved.Iterator(); !i.Done(); {
			if address, c, _ := i.Next(); c.Priority > m.bestPriority {
				changes = m.decide(now, changes, resolvedID(address), address)
			}
		}
	}
	if m.lastKept != "" && m.fleet.Running > 1 {
		address := m.lastKept
		m.lastKept = ""
		changes = m.decide(now, changes, resolvedID(address), address)
	}
	return changes
}

// acceptsOmissions tells whether a source that names n where it named `was` may be taken at its word for what it leaves out.
func (m *Merger) acceptsOmissions(source, n, was int) bool {
	if float64(n) >= minKeptShare*float64(was) && (n > 0 || was == 0) {
		m.shrunkenInRow[source], m.Doubt[source] = 0, ""
		return true
	}
	m.shrunkenInRow[source]++
	m.Doubt[source] = fmt.Sprintf("names %d of %d", n, was)
	// An answer that names nobody is never believed: nobody runs a fleet of none, and a source that lost its own sources
	// answers so.
	return n > 0 && m.shrunkenInRow[source] >= shrinkConfirmations
}

// applyDiscovered takes discovery's word for one appliance.
func (m *Merger) applyDiscovered(now float64, changes []Entry, e Entry) []Entry {
	was, known := m.discovered.Get(e.ID)
	if e.Address == "" {
		e.Address = was.Address
	}
	if known && was.Address != e.Address { // whoever is at the old address now is somebody else
		changes = m.releaseAddress(now, changes, was, false)
	}
	if other, ok := m.listedAt.Get(e.Address); ok && other != e.ID && e.State != policy.EndpointRemoved { // the address went over to this one
		if o, ok := m.discovered.Get(other); ok {
			m.discovered = m.discovered.Delete(other)
			changes = m.releaseAddress(now, changes, o, false)
			changes = m.decide(now, changes, other, o.Address)
		}
	}
	switch e.State {
	case policy.EndpointRemoved:
		m.discovered = m.discovered.Delete(e.ID)
		if e.Address != "" {
			changes = m.releaseAddress(now, changes, discoveredEndpoint{Entry: e}, true)
		}
	case policy.EndpointDraining:
		m.discovered, m.listedAt = m.discovered.Set(e.ID, discoveredEndpoint{e, now}), m.listedAt.Set(e.Address, e.ID)
		m.retired = m.retired.Set(e.Address, now)
	default:
		m.discovered, m.listedAt = m.discovered.Set(e.ID, discoveredEndpoint{e, now}), m.listedAt.Set(e.Address, e.ID)
		m.retired = m.retired.Delete(e.Address)
	}
	changes = m.decide(now, changes, e.ID, e.Address)
	return m.decide(now, changes, resolvedID(e.Address), e.Address)
}

// releaseAddress frees an address; ended: by a word that outlives discovery.
func (m *Merger) releaseAddress(now float64, changes []Entry, t discoveredEndpoint, ended bool) []Entry {
	id, taken := m.listedAt.Get(t.Address)
	if taken && id == t.ID {
		m.listedAt = m.listedAt.Delete(t.Address)
	}
	if ended && (!taken || id == t.ID) { // else somebody else is there already
		m.retired = m.retired.Set(t.Address, now)
	}
	return m.decide(now, changes, resolvedID(t.Address), t.Address)
}

// UpdateResolved takes a good and whole answer of SRV.
func (m *Merger) UpdateResolved(now float64, claims []Observation) (changes []Entry) {
	names := make(map[string]Observation, len(claims))
	m.bestPriority, m.meanWeight = 1<<16, 0
	for _, c := range claims {
		if other, twice := names[c.Address]; !twice || c.Priority < other.Priority {
			names[c.Address] = c
		}
		m.bestPriority = min(m.bestPriority, c.Priority)
	}
	n := 0
	for _, c := range names {
		if c.Priority == m.bestPriority {
			m.meanWeight += float64(c.Weight)
			n++
		}
	}
	m.meanWeight /= float64(max(n, 1))
	believed := m.acceptsOmissions(SRV, len(names), m.resolved.Len())
	for i := m.resolved.Iterator(); !i.Done(); {
		address, c, _ := i.Next()
		if _, ok := names[address]; ok {
			continue
		}
		if believed {
			c.missedAnswers++
		}
		if c.missedAnswers < maxMissedAnswers {
			m.resolved = m.resolved.Set(address, c)
			continue
		}
		m.resolved = m.resolved.Delete(address)
		if at, ok := m.retired.Get(address); ok && now-at > retiredHoldMs {
			m.retired = m.retired.Delete(address)
		}
		changes = m.decide(now, changes, resolvedID(address), address)
	}
	for _, c := range claims { // in the order of the answer
		if names[c.Address] != c {
			continue
		}
		was, ok := m.resolved.Get(c.Address)
		if !ok {
			was.firstSeen = now
		}
		m.resolved = m.resolved.Set(c.Address, resolvedEndpoint{Observation: c, firstSeen: was.firstSeen, lastSeen: now})
		changes = m.decide(now, changes, resolvedID(c.Address), c.Address)
	}
	return m.reconcileSpares(now, changes)
}

// MarkDoubtful notes that a source failed, fell silent or says that the service does not exist: its view stays as it was.
func (m *Merger) MarkDoubtful(source int, why string) { m.Doubt[source] = why }

// Expire drops what only SRV told of, too long ago, and opens addresses that ended long ago and are named no more.
func (m *Merger) Expire(now float64) (changes []Entry) {
	for i := m.resolved.Iterator(); !i.Done(); {
		address, c, _ := i.Next()
		if now-c.lastSeen > maxResolvedAgeMs {
			m.resolved = m.resolved.Delete(address)
			changes = m.decide(now, changes, resolvedID(address), address)
		}
	}
	for i := m.retired.Iterator(); !i.Done(); {
		address, at, _ := i.Next()
		_, listed := m.listedAt.Get(address)
		if _, named := m.resolved.Get(address); !named && !listed && now-at > retiredHoldMs {
			m.retired = m.retired.Delete(address)
		}
	}
	return m.reconcileSpares(now, changes)
}

// rules decide what an appliance is, the first that applies. Discovery has authority for states, builds and starts; SRV for
// none of them.
var rules = []struct {
	name string
	when func(m *Merger, id, address string) bool
	then func(m *Merger, id, address string) Entry
}{
	{
		"draining", // binds at once, whatever SRV says, and stays when discovery falls silent
		func(m *Merger, id, _ string) bool {
			t, ok := m.discovered.Get(id)
			return ok && t.State == policy.EndpointDraining
		},
		func(m *Merger, id, _ string) Entry { t, _ := m.discovered.Get(id); return t.Entry },
	},
	{
		"listed",
		func(m *Merger, id, _ string) bool { _, ok := m.discovered.Get(id); return ok },
		func(m *Merger, id, _ string) Entry { t, _ := m.discovered.Get(id); return t.Entry },
	},
	{"same", // discovery lists somebody at this address: SRV's word is of that one
		func(m *Merger, id, address string) bool {
			_, listed := m.listedAt.Get(address)
			return listed && id == resolvedID(address)
		}, removedEntry},
	{"ended", // it drained or went by discovery's word, and SRV still names it
		func(m *Merger, id, address string) bool {
			_, ok := m.retired.Get(address)
			return ok && id == resolvedID(address)
		}, removedEntry},
	{"spare", // RFC 2782: a higher number is for when none of the lower stands; discovery's stand
		func(m *Merger, id, address string) bool {
			c, ok := m.resolved.Get(address)
			return ok && id == resolvedID(address) && c.Priority > m.bestPriority && m.primaries > 0
		}, removedEntry},
	{
		ruleReserve,
		func(m *Merger, id, address string) bool {
			c, ok := m.resolved.Get(address)
			return ok && id == resolvedID(address) && c.Priority > m.bestPriority
		}, resolvedEntry,
	},
	{
		"named",
		func(m *Merger, id, address string) bool {
			_, ok := m.resolved.Get(address)
			return ok && id == resolvedID(address)
		}, resolvedEntry,
	},
	{"unnamed", func(*Merger, string, string) bool { return true }, removedEntry},
}

const ruleReserve = "reserve"

// Rules are their names, in order.
func Rules() (names []string) {
	for _, r := range rules {
		names = append(names, r.name)
	}
	return names
}

// resolvedEntry is what SRV can tell of an appliance, with the careful answer to what it can't.
func resolvedEntry(m *Merger, id, address string) Entry {
	c, _ := m.resolved.Get(address)
	rating := 1.0
	if m.meanWeight > 0 {
		rating = min(max(float64(c.Weight)/m.meanWeight, minWeight), maxWeight)
	}
	return Entry{
		Endpoint: policy.Endpoint{ID: id, Release: policy.UnknownRelease, State: policy.EndpointRunning, Weight: rating, StartedAt: c.firstSeen},
		Address:  address,
	}
}

func removedEntry(_ *Merger, id, address string) Entry {
	return Entry{Endpoint: policy.Endpoint{ID: id, State: policy.EndpointRemoved}, Address: address}
}

// decide goes through the rules for one appliance and notes what the module has to be told.
func (m *Merger) decide(now float64, changes []Entry, id, address string) []Entry {
	var e Entry
	for _, r := range rules {
		if r.when(m, id, address) {
			e = r.then(m, id, address)
			e.Rule = r.name
			break
		}
	}
	was, in := m.fleet.entries.Get(id)
	running := in && was.State == policy.EndpointRunning
	if e.State == policy.EndpointRemoved && e.Rule == "unnamed" && running && m.fleet.Running == 1 && id == resolvedID(address) {
		m.lastKept = address // the last one is not taken away by a name that is missing, but once another runs
		return changes
	}
	if e.State == policy.EndpointRemoved {
		if !in {
			return changes
		}
		m.fleet.entries = m.fleet.entries.Delete(id)
	} else {
		if in && was == e {
			return changes
		}
		m.fleet.entries = m.fleet.entries.Set(id, e)
	}
	if running {
		m.fleet.Running--
		m.primaries -= isPrimary(was)
	}
	if e.State == policy.EndpointRunning {
		m.fleet.Running++
		m.primaries += isPrimary(e)
	}
	return append(changes, e)
}

func isPrimary(e Entry) int {
	if e.Rule == ruleReserve {
		return 0
	}
	return 1
}

// Memory is what a merge should know again after a restart: without it SRV could bring back, before discovery has spoken,
// what had drained.
type Memory struct {
	Ended map[string]float64 `json:"ended"` // address: Unix ms
	SRV   []SavedObservation `json:"srv"`
}

// SavedObservation is what SRV last told of an address.
type SavedObservation struct {
	Observation
	FirstSeen float64 `json:"first_ms"`
	LastSeen  float64 `json:"last_ms"`
}

// Snapshot is the merge's memory, in the order of addresses.
func (m *Merger) Snapshot() Memory {
	out := Memory{Ended: map[string]float64{}}
	for i := m.retired.Iterator(); !i.Done(); {
		address, at, _ := i.Next()
		out.Ended[address] = at
	}
	for i := m.resolved.Iterator(); !i.Done(); {
		_, c, _ := i.Next()
		out.SRV = append(out.SRV, SavedObservation{c.Observation, c.firstSeen, c.lastSeen})
	}
	slices.SortFunc(out.SRV, func(a, b SavedObservation) int { return cmp.Compare(a.Address, b.Address) })
	return out
}

// Restore gives a new merge the memory of an earlier one. What was last named too long ago is left out.
func (m *Merger) Restore(now float64, from Memory) (changes []Entry) {
	for address, at := range from.Ended {
		if at <= now { // else the clock was set back, and it would stay closed for as long
			m.retired = m.retired.Set(address, at)
		} else {
			m.retired = m.retired.Set(address, now)
		}
	}
	var still []Observation
	for _, c := range from.SRV {
		if now-c.LastSeen <= maxResolvedAgeMs {
			still = append(still, c.Observation)
		}
	}
	changes = m.UpdateResolved(now, still)
	for _, c := range from.SRV {
		if n, ok := m.resolved.Get(c.Address); ok {
			n.lastSeen = min(c.LastSeen, now)
			m.resolved = m.resolved.Set(c.Address, n)
		}
	}
	m.Doubt[SRV] = "remembered"
	return changes
}

// Statement is what one source says of an appliance.
type Statement struct {
	Source string  `json:"source"`
	Says   string  `json:"says"`
	At     float64 `json:"at_ms"`
}

// Explain is what each source says of an appliance that the fleet has, or had.
func (m *Merger) Explain(id, address string) (words []Statement) {
	states := [...]string{"running", "draining", "gone"}
	if t, ok := m.discovered.Get(id); ok {
		words = append(words, Statement{"discovery", fmt.Sprintf("%s, build %d", states[t.State], t.Release), t.toldAt})
	}
	if at, ok := m.retired.Get(address); ok {
		words = append(words, Statement{"discovery", "drained or gone at this address", at})
	}
	if c, ok := m.resolved.Get(address); ok {
		words = append(words, Statement{"srv", fmt.Sprintf("named, priority %d, weight %d, missed %d times", c.Priority, c.Weight,
			c.missedAnswers), c.lastSeen})
	}
	return words
}

// ReopenRetired lets SRV undo what discovery ended. It is what must never be, and stands here for rehearsals to see that it would
// be found.
func (m *Merger) ReopenRetired(claims []Observation) {
	for _, c := range claims {
		m.retired = m.retired.Delete(c.Address)
		if id, ok := m.listedAt.Get(c.Address); ok {
			if t, ok := m.discovered.Get(id); ok && t.State == policy.EndpointDraining {
				m.discovered, m.listedAt = m.discovered.Delete(id), m.listedAt.Delete(c.Address)
			}
		}
	}
}
