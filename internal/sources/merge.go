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
	// missesMost good whole answers in a row without an appliance, and it is named no more: one may have been cut short by
	// a server that was just filling.
	missesMost = 2
	// shrinkMost: a source that names less than this part of what it named is not believed before it has said so confirms
	// times in a row.
	shrinkMost = 0.5
	confirms   = 3
	// endedHold (ms): how long an address that drained or went stays closed to SRV after SRV has ceased to name it; then
	// whoever is named there is a new appliance.
	endedHold = 60_000.0
	// staleMost (ms): an appliance that only SRV tells of goes this long after the last answer that named it (RFC 8767 allows
	// one to three days for names; a fleet turns over faster).
	staleMost = 3_600_000.0
	// ratings by weight are kept within these, since weights are written by hand.
	ratingLeast, ratingMost = 0.1, 4.0
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

// discovered is one source's word for an appliance, with when.
type discovered struct {
	Entry
	at float64
}

type resolved struct {
	Observation
	first, last float64 // when it was named
	misses      int
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

// Merge holds the sources' views and the fleet that follows from them.
type Merge struct {
	fleet  View
	list   *immutable.Map[string, discovered] // discovery's, by id; none that is gone
	at     *immutable.Map[string, string]     // id that discovery lists at an address
	ended  *immutable.Map[string, float64]    // addresses at which an appliance drained or went by discovery's word, and when
	srv    *immutable.Map[string, resolved]   // by address
	best   int                                // lowest priority that is named
	mean   float64                            // weight at that priority
	shrunk [2]int                             // in a row, by source
	kept   string                             // address of the last one that ran, which no source names any more
	firm   int                                // how many run that are no spares
	stood  bool                               // some did, when spares were last looked at
	Doubt  [2]string                          // why a source is doubted, empty: it is not
}

// The sources.
const (
	Discovery = iota
	SRV
)

// New is a merge to which nothing was told.
func New() *Merge {
	return &Merge{fleet: View{entries: immutable.NewMap[string, Entry](nil)}, list: immutable.NewMap[string, discovered](nil),
		at: immutable.NewMap[string, string](nil), ended: immutable.NewMap[string, float64](nil),
		srv: immutable.NewMap[string, resolved](nil)}
}

// Fleet is what the module was told last.
func (m *Merge) Fleet() View { return m.fleet }

// srvID names an appliance of which only SRV tells. Identity is by address: the same address under two names is one
// appliance, and one that discovery lists there too is discovery's.
func srvID(address string) string { return "srv:" + address }

// List takes discovery's word: a whole list, or changes. It returns what the module is to be told.
func (m *Merge) List(now float64, entries []Entry, whole bool) (changes []Entry) {
	if whole {
		names := make(map[string]bool, len(entries))
		for _, e := range entries {
			names[e.ID] = true
		}
		if m.accepted(Discovery, len(entries), m.list.Len()) {
			for i := m.list.Iterator(); !i.Done(); {
				id, t, _ := i.Next()
				if !names[id] {
					t.State = policy.EndpointRemoved
					changes = m.word(now, changes, t.Entry)
				}
			}
		}
	} else {
		m.Doubt[Discovery] = ""
	}
	for _, e := range entries {
		changes = m.word(now, changes, e)
	}
	return m.settle(now, changes)
}

// settle goes on until nothing changes: spares come in once nobody else runs and go out once somebody does, and the last
// one that was kept goes once it is not the last.
func (m *Merge) settle(now float64, changes []Entry) []Entry {
	if stands := m.firm > 0; stands != m.stood {
		m.stood = stands
		for i := m.srv.Iterator(); !i.Done(); {
			if address, c, _ := i.Next(); c.Priority > m.best {
				changes = m.decide(now, changes, srvID(address), address)
			}
		}
	}
	if m.kept != "" && m.fleet.Running > 1 {
		address := m.kept
		m.kept = ""
		changes = m.decide(now, changes, srvID(address), address)
	}
	return changes
}

// accepted tells whether a source that names n where it named `was` may be taken at its word for what it leaves out.
func (m *Merge) accepted(source, n, was int) bool {
	if float64(n) >= shrinkMost*float64(was) && (n > 0 || was == 0) {
		m.shrunk[source], m.Doubt[source] = 0, ""
		return true
	}
	m.shrunk[source]++
	m.Doubt[source] = fmt.Sprintf("names %d of %d", n, was)
	// An answer that names nobody is never believed: nobody runs a fleet of none, and a source that lost its own sources
	// answers so.
	return n > 0 && m.shrunk[source] >= confirms
}

// word takes discovery's word for one appliance.
func (m *Merge) word(now float64, changes []Entry, e Entry) []Entry {
	was, known := m.list.Get(e.ID)
	if e.Address == "" {
		e.Address = was.Address
	}
	if known && was.Address != e.Address { // whoever is at the old address now is somebody else
		changes = m.leave(now, changes, was, false)
	}
	if other, ok := m.at.Get(e.Address); ok && other != e.ID && e.State != policy.EndpointRemoved { // the address went over to this one
		if o, ok := m.list.Get(other); ok {
			m.list = m.list.Delete(other)
			changes = m.leave(now, changes, o, false)
			changes = m.decide(now, changes, other, o.Address)
		}
	}
	switch e.State {
	case policy.EndpointRemoved:
		m.list = m.list.Delete(e.ID)
		if e.Address != "" {
			changes = m.leave(now, changes, discovered{Entry: e}, true)
		}
	case policy.EndpointDraining:
		m.list, m.at = m.list.Set(e.ID, discovered{e, now}), m.at.Set(e.Address, e.ID)
		m.ended = m.ended.Set(e.Address, now)
	default:
		m.list, m.at = m.list.Set(e.ID, discovered{e, now}), m.at.Set(e.Address, e.ID)
		m.ended = m.ended.Delete(e.Address)
	}
	changes = m.decide(now, changes, e.ID, e.Address)
	return m.decide(now, changes, srvID(e.Address), e.Address)
}

// leave frees an address; ended: by a word that outlives discovery.
func (m *Merge) leave(now float64, changes []Entry, t discovered, ended bool) []Entry {
	id, taken := m.at.Get(t.Address)
	if taken && id == t.ID {
		m.at = m.at.Delete(t.Address)
	}
	if ended && (!taken || id == t.ID) { // else somebody else is there already
		m.ended = m.ended.Set(t.Address, now)
	}
	return m.decide(now, changes, srvID(t.Address), t.Address)
}

// Answer takes a good and whole answer of SRV.
func (m *Merge) Answer(now float64, claims []Observation) (changes []Entry) {
	names := make(map[string]Observation, len(claims))
	m.best, m.mean = 1<<16, 0
	for _, c := range claims {
		if other, twice := names[c.Address]; !twice || c.Priority < other.Priority {
			names[c.Address] = c
		}
		m.best = min(m.best, c.Priority)
	}
	n := 0
	for _, c := range names {
		if c.Priority == m.best {
			m.mean += float64(c.Weight)
			n++
		}
	}
	m.mean /= float64(max(n, 1))
	believed := m.accepted(SRV, len(names), m.srv.Len())
	for i := m.srv.Iterator(); !i.Done(); {
		address, c, _ := i.Next()
		if _, ok := names[address]; ok {
			continue
		}
		if believed {
			c.misses++
		}
		if c.misses < missesMost {
			m.srv = m.srv.Set(address, c)
			continue
		}
		m.srv = m.srv.Delete(address)
		if at, ok := m.ended.Get(address); ok && now-at > endedHold {
			m.ended = m.ended.Delete(address)
		}
		changes = m.decide(now, changes, srvID(address), address)
	}
	for _, c := range claims { // in the order of the answer
		if names[c.Address] != c {
			continue
		}
		was, ok := m.srv.Get(c.Address)
		if !ok {
			was.first = now
		}
		m.srv = m.srv.Set(c.Address, resolved{Observation: c, first: was.first, last: now})
		changes = m.decide(now, changes, srvID(c.Address), c.Address)
	}
	return m.settle(now, changes)
}

// Fail notes that a source failed, fell silent or says that the service does not exist: its view stays as it was.
func (m *Merge) Fail(source int, why string) { m.Doubt[source] = why }

// Age drops what only SRV told of, too long ago, and opens addresses that ended long ago and are named no more.
func (m *Merge) Age(now float64) (changes []Entry) {
	for i := m.srv.Iterator(); !i.Done(); {
		address, c, _ := i.Next()
		if now-c.last > staleMost {
			m.srv = m.srv.Delete(address)
			changes = m.decide(now, changes, srvID(address), address)
		}
	}
	for i := m.ended.Iterator(); !i.Done(); {
		address, at, _ := i.Next()
		_, listed := m.at.Get(address)
		if _, named := m.srv.Get(address); !named && !listed && now-at > endedHold {
			m.ended = m.ended.Delete(address)
		}
	}
	return m.settle(now, changes)
}

// rules decide what an appliance is, the first that applies. Discovery has authority for states, builds and starts; SRV for
// none of them.
var rules = []struct {
	name string
	when func(m *Merge, id, address string) bool
	then func(m *Merge, id, address string) Entry
}{
	{"draining", // binds at once, whatever SRV says, and stays when discovery falls silent
		func(m *Merge, id, _ string) bool {
			t, ok := m.list.Get(id)
			return ok && t.State == policy.EndpointDraining
		},
		func(m *Merge, id, _ string) Entry { t, _ := m.list.Get(id); return t.Entry }},
	{"listed",
		func(m *Merge, id, _ string) bool { _, ok := m.list.Get(id); return ok },
		func(m *Merge, id, _ string) Entry { t, _ := m.list.Get(id); return t.Entry }},
	{"same", // discovery lists somebody at this address: SRV's word is of that one
		func(m *Merge, id, address string) bool {
			_, listed := m.at.Get(address)
			return listed && id == srvID(address)
		}, gone},
	{"ended", // it drained or went by discovery's word, and SRV still names it
		func(m *Merge, id, address string) bool {
			_, ok := m.ended.Get(address)
			return ok && id == srvID(address)
		}, gone},
	{"spare", // RFC 2782: a higher number is for when none of the lower stands; discovery's stand
		func(m *Merge, id, address string) bool {
			c, ok := m.srv.Get(address)
			return ok && id == srvID(address) && c.Priority > m.best && m.firm > 0
		}, gone},
	{reserve,
		func(m *Merge, id, address string) bool {
			c, ok := m.srv.Get(address)
			return ok && id == srvID(address) && c.Priority > m.best
		}, added},
	{"named",
		func(m *Merge, id, address string) bool {
			_, ok := m.srv.Get(address)
			return ok && id == srvID(address)
		}, added},
	{"unnamed", func(*Merge, string, string) bool { return true }, gone},
}

const reserve = "reserve"

// Rules are their names, in order.
func Rules() (names []string) {
	for _, r := range rules {
		names = append(names, r.name)
	}
	return names
}

// added is what SRV can tell of an appliance, with the careful answer to what it can't.
func added(m *Merge, id, address string) Entry {
	c, _ := m.srv.Get(address)
	rating := 1.0
	if m.mean > 0 {
		rating = min(max(float64(c.Weight)/m.mean, ratingLeast), ratingMost)
	}
	return Entry{Endpoint: policy.Endpoint{ID: id, Release: policy.UnknownRelease, State: policy.EndpointRunning, Weight: rating, StartedAt: c.first},
		Address: address}
}

func gone(_ *Merge, id, address string) Entry {
	return Entry{Endpoint: policy.Endpoint{ID: id, State: policy.EndpointRemoved}, Address: address}
}

// decide goes through the rules for one appliance and notes what the module has to be told.
func (m *Merge) decide(now float64, changes []Entry, id, address string) []Entry {
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
	if e.State == policy.EndpointRemoved && e.Rule == "unnamed" && running && m.fleet.Running == 1 && id == srvID(address) {
		m.kept = address // the last one is not taken away by a name that is missing, but once another runs
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
		m.firm -= firm(was)
	}
	if e.State == policy.EndpointRunning {
		m.fleet.Running++
		m.firm += firm(e)
	}
	return append(changes, e)
}

func firm(e Entry) int {
	if e.Rule == reserve {
		return 0
	}
	return 1
}

// Memory is what a merge should know again after a restart: without it SRV could bring back, before discovery has spoken,
// what had drained.
type Memory struct {
	Ended map[string]float64 `json:"ended"` // address: Unix ms
	SRV   []Remembered       `json:"srv"`
}

// Remembered is what SRV last told of an address.
type Remembered struct {
	Observation
	First float64 `json:"first_ms"`
	Last  float64 `json:"last_ms"`
}

// Remember is the merge's memory, in the order of addresses.
func (m *Merge) Remember() Memory {
	out := Memory{Ended: map[string]float64{}}
	for i := m.ended.Iterator(); !i.Done(); {
		address, at, _ := i.Next()
		out.Ended[address] = at
	}
	for i := m.srv.Iterator(); !i.Done(); {
		_, c, _ := i.Next()
		out.SRV = append(out.SRV, Remembered{c.Observation, c.first, c.last})
	}
	slices.SortFunc(out.SRV, func(a, b Remembered) int { return cmp.Compare(a.Address, b.Address) })
	return out
}

// Recall gives a new merge the memory of an earlier one. What was last named too long ago is left out.
func (m *Merge) Recall(now float64, from Memory) (changes []Entry) {
	for address, at := range from.Ended {
		if at <= now { // else the clock was set back, and it would stay closed for as long
			m.ended = m.ended.Set(address, at)
		} else {
			m.ended = m.ended.Set(address, now)
		}
	}
	var still []Observation
	for _, c := range from.SRV {
		if now-c.Last <= staleMost {
			still = append(still, c.Observation)
		}
	}
	changes = m.Answer(now, still)
	for _, c := range from.SRV {
		if n, ok := m.srv.Get(c.Address); ok {
			n.last = min(c.Last, now)
			m.srv = m.srv.Set(c.Address, n)
		}
	}
	m.Doubt[SRV] = "remembered"
	return changes
}

// Word is what one source says of an appliance.
type Word struct {
	Source string  `json:"source"`
	Says   string  `json:"says"`
	At     float64 `json:"at_ms"`
}

// Explain is what each source says of an appliance that the fleet has, or had.
func (m *Merge) Explain(id, address string) (words []Word) {
	states := [...]string{"running", "draining", "gone"}
	if t, ok := m.list.Get(id); ok {
		words = append(words, Word{"discovery", fmt.Sprintf("%s, build %d", states[t.State], t.Release), t.at})
	}
	if at, ok := m.ended.Get(address); ok {
		words = append(words, Word{"discovery", "drained or gone at this address", at})
	}
	if c, ok := m.srv.Get(address); ok {
		words = append(words, Word{"srv", fmt.Sprintf("named, priority %d, weight %d, missed %d times", c.Priority, c.Weight,
			c.misses), c.last})
	}
	return words
}

// Forgive lets SRV undo what discovery ended. It is what must never be, and stands here for rehearsals to see that it would
// be found.
func (m *Merge) Forgive(claims []Observation) {
	for _, c := range claims {
		m.ended = m.ended.Delete(c.Address)
		if id, ok := m.at.Get(c.Address); ok {
			if t, ok := m.list.Get(id); ok && t.State == policy.EndpointDraining {
				m.list, m.at = m.list.Delete(id), m.at.Delete(c.Address)
			}
		}
	}
}
