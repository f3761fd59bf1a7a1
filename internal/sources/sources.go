// Package sources decides what the fleet is where several sources report on it: discovery, which knows the states, releases
// and start times of backends, and SRV records of DNS, which know addresses, priorities and weights. It does no I/O, reads
// no clock and starts no goroutine, and a source that fails never takes a backend away.
//
// # The merge rule
//
// What identifies a backend: its address. Discovery also gives it an id; a backend that only SRV names gets an id made from
// its address. Two names for one address are one backend. Where discovery lists an address, what SRV reports of that address
// is about the backend that discovery lists.
//
// What orders: within one source, the order of the calls; each report replaces the one before. Between the sources there is no
// order by time but one of authority: discovery decides states, releases and starts, SRV none of them. So a drain and an SRV
// answer lead to the same fleet in either order, with one exception: the last running backend is kept, see below.
//
// Which moves are allowed: see the table `rules`, of which the first rule that applies decides. A backend that discovery
// drained or removed comes back at its address only when discovery lists that address as running, or once SRV has not named
// the address for a minute. What a snapshot or an answer leaves out is removed only if the source is believed
// (acceptsOmissions): an empty one never is, one that shrank by more than half only the third time in a row. SRV must leave a
// backend out of two whole answers.
//
// What is assumed while nothing is known: a source that fails, falls silent or says that the service does not exist keeps its
// last view and is marked doubtful. A backend that only SRV names runs an unknown release, counts as started when it was
// first named, and is forgotten an hour after the last answer that named it. The last running backend is never taken away
// because its name is missing.
package sources

import (
	"iter"

	"github.com/benbjohnson/immutable"

	"onyxgate/policy"
)

// Source is one of those that report on the fleet.
type Source int

// The sources, in the order in which per-source values are stored.
const (
	Discovery Source = iota
	SRV
	numSources
)

// Observation is what SRV reports of one address.
type Observation struct {
	Address  string `json:"address"`
	Priority int    `json:"priority"` // lower goes first; higher ones are spares (RFC 2782)
	Weight   int    `json:"weight"`
}

// Entry is a backend as the core sees it, and where it listens.
type Entry struct {
	policy.Endpoint
	Address string
	Rule    string // the name of the rule that decided: one of Rules
}

// View is the fleet as readers see it: it never changes, and may be read by any goroutine.
type View struct {
	entries *immutable.Map[string, Entry]
	Running int // how many backends are in the state running
}

// Get returns the backend with this id.
func (v View) Get(id string) (Entry, bool) { return v.entries.Get(id) }

// Len returns how many backends there are, in any state.
func (v View) Len() int { return v.entries.Len() }

// All yields all backends by id, in no particular order.
func (v View) All() iter.Seq2[string, Entry] { return iterate(v.entries) }

// allOf yields what a map holds, in the map's own order, which depends on its keys alone.
func iterate[V any](m *immutable.Map[string, V]) iter.Seq2[string, V] {
	return func(yield func(string, V) bool) {
		for i := m.Iterator(); !i.Done(); {
			if key, value, _ := i.Next(); !yield(key, value) {
				return
			}
		}
	}
}

// StateName returns the name of an endpoint's state in what operators read.
func StateName(state policy.EndpointState) string {
	return [...]string{"running", "draining", "gone"}[state]
}
