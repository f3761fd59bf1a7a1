// Package sources merges the reports of several sources into one fleet: discovery, which knows the states, releases
// and start times of backends, and DNS SRV records, which provide addresses, priorities and weights. The package does
// no I/O, reads no clock and starts no goroutines. A failing source removes no backend, except that a backend known
// only from SRV expires one hour after it was last named.
//
// # The merge rules
//
// Identity: a backend is identified by its address. Discovery also assigns it an id; a backend that only SRV names
// gets an id derived from its address. Two names for one address are one backend. If discovery lists an address, SRV
// reports about that address refer to the backend that discovery lists.
//
// Order: within a source, reports apply in the order of the calls, and each report replaces the previous one. Between
// the sources there is no order in time but an order of authority: discovery decides states, releases and start
// times, SRV none of them. A drain and an SRV answer therefore lead to the same fleet in either order, with one
// exception: the last running backend is kept, see below.
//
// Transitions: see the table `rules`, of which the first rule that applies decides. If discovery drains or removes a
// backend, its address is retired: SRV can add no backend there. The address opens again when discovery lists it as
// running, or when SRV does not name it and at least a minute has passed since the last report of the drain or removal.
// Backends missing from a snapshot or answer are removed only if its omissions are accepted (acceptsOmissions): those
// of an empty list never are, and those of a list that shrank by more than half only at the third time in a row. SRV
// counts as not naming an address only after two complete answers without it.
//
// Defaults: a source that fails, stops reporting or reports that the service does not exist keeps its last view and
// is marked doubtful. A backend that only SRV names runs an unknown release, counts as started when it was first
// named, and is removed one hour after the last answer that named it. While it is the last backend running, it is
// removed neither by that nor for a missing name.
package sources

import (
	"iter"

	"github.com/benbjohnson/immutable"

	"onyxgate/policy"
)

// Source identifies a source of reports about the fleet: Discovery or SRV.
type Source int

// The sources, in the order in which per-source values are stored.
const (
	Discovery Source = iota
	SRV
	numSources
)

// Observation is the SRV report about one address.
type Observation struct {
	Address  string `json:"address"`
	Priority int    `json:"priority"` // lower values are preferred; higher ones are spares (RFC 2782)
	Weight   int    `json:"weight"`
}

// Entry is a backend as passed to the core, with its address.
type Entry struct {
	policy.Endpoint
	Address string
	Rule    string // name of the rule that decided, one of Rules
}

// View is an immutable view of the fleet. It may be read by any goroutine.
type View struct {
	entries *immutable.Map[string, Entry]
	Running int // number of running backends
}

// Get returns the backend with the given id.
func (v View) Get(id string) (Entry, bool) { return v.entries.Get(id) }

// Len returns the number of backends in any state.
func (v View) Len() int { return v.entries.Len() }

// All yields all backends by id, in no particular order.
func (v View) All() iter.Seq2[string, Entry] { return iterate(v.entries) }

// iterate yields the entries of a map in the map's own order, which depends only on its keys.
func iterate[V any](m *immutable.Map[string, V]) iter.Seq2[string, V] {
	return func(yield func(string, V) bool) {
		for i := m.Iterator(); !i.Done(); {
			if key, value, _ := i.Next(); !yield(key, value) {
				return
			}
		}
	}
}

// StateName returns the name of a state as shown to operators.
func StateName(state policy.EndpointState) string {
	return [...]string{"running", "draining", "gone"}[state]
}
