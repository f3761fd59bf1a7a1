// Package endpoints holds what an instance knows of each backend.
//
// It owns the listing (which backends there are, in which state, of which release), when a listed backend is a new process, and what
// was learned of that process. It must never choose a backend, send anything or ask a clock: times are the caller's, in ms. A Table is for
// one goroutine.
package endpoints

import (
	"onyxgate/policy/balance"
	"onyxgate/policy/concurrency"
	"onyxgate/policy/gossip"
	"onyxgate/policy/health"
	"onyxgate/policy/release"
	"onyxgate/policy/slowstart"
)

// State is the state of a backend in the endpoint list.
type State uint8

// States of a backend. Only a running one gets requests; a draining one finishes those that it has.
const (
	Running State = iota
	Draining
	Removed
)

// Endpoint is one backend as the endpoint list shows it.
type Endpoint struct {
	ID            string
	Release       release.ID
	State         State
	Weight        float64 // capacity against that of other backends
	StartedAt     float64 // ms, start of its process; 0: long ago
	Zone          int
	HardwareClass int
	Cell          int
}

const (
	// minWeight is the least weight that counts: weights are divided by.
	minWeight = 0.01
	// neverStarted is the start of an entry that has no process yet; no listed start is equal to it.
	neverStarted = -1
	// minBackendsForReuse is the number of entries from which those of backends that have gone are used again. Below it they cost little.
	minBackendsForReuse = 64
	// reuseAfter (ms) is how long an entry stays after its backend was removed: no request that knows its index is left by then.
	reuseAfter = 60000
)

// Backend is what is known of one backend. Its entry keeps its index as long as any request may know it.
type Backend struct {
	ID        string
	Release   release.ID
	State     State
	Weight    float64 // at least minWeight
	StartedAt float64 // ms, as listed
	UpSince   float64 // ms, since when it has been up at the latest; 0: long ago
	Zone      int
	Cell      int
	removedAt float64 // ms, when it was last listed or removed

	OpenAttempts int // own ones

	// What was learned of the process that runs there now.
	Limit            concurrency.Limit
	Ejection         concurrency.Ejection
	Health           health.Record
	Load             balance.Load
	SlowStart        slowstart.Budget
	LatencyInflation float64 // mean of latency over the class's usual one
}

// IsNewProcess says whether an endpoint is another process than the one that was known: an id that is used again, or a restart.
func (b *Backend) IsNewProcess(listed Endpoint) bool {
	return b.StartedAt != listed.StartedAt || b.Release != listed.Release
}

// ResetForNewProcess forgets what was learned of the former process. upSince is since when the new one has been up.
func (b *Backend) ResetForNewProcess(upSince, now float64) {
	b.Health, b.LatencyInflation, b.SlowStart = health.Record{}, 1, slowstart.NewBudget(0, now)
	b.Ejection, b.Load, b.Limit = concurrency.Ejection{}, balance.Load{}, concurrency.InitialLimit
	b.UpSince = upSince
}

// Update takes what the list shows.
func (b *Backend) Update(listed Endpoint, now float64) {
	b.Release, b.Zone, b.Cell = listed.Release, listed.Zone, listed.Cell
	b.State, b.Weight, b.StartedAt, b.removedAt = listed.State, max(listed.Weight, minWeight), listed.StartedAt, now
}

// Table is all backends, each under a small index.
type Table struct {
	backends []Backend
	byID     map[string]int
	byHash   map[uint32]int // by the name in outcome summaries
}

// NewTable is a table without backends.
func NewTable() *Table {
	return &Table{byID: map[string]int{}, byHash: map[uint32]int{}}
}

// Len is the number of entries, those of removed backends included.
func (t *Table) Len() int { return len(t.backends) }

// At is the entry at an index. It is valid until the next Add.
func (t *Table) At(index int) *Backend { return &t.backends[index] }

// Find is the index of the backend with an id.
func (t *Table) Find(id string) (index int, found bool) {
	index, found = t.byID[id]
	return index, found
}

// FindHash is the index of the backend with a name in outcome summaries.
func (t *Table) FindHash(hash uint32) (index int, found bool) {
	index, found = t.byHash[hash]
	return index, found
}

// IndexSizes is how many ids and how many hashes can be found.
func (t *Table) IndexSizes() (ids, hashes int) { return len(t.byID), len(t.byHash) }

// RemoveAll removes every backend, since a snapshot names those that are there.
func (t *Table) RemoveAll(now float64) {
	for index := range t.backends {
		if backend := &t.backends[index]; backend.State != Removed {
			backend.State, backend.removedAt = Removed, now
		}
	}
}

// Add makes an entry for an id that is not found. Where there are many entries it takes that of a backend long gone and says so: the
// caller must forget what it knows under that index.
func (t *Table) Add(id string, now float64) (index int, reused bool) {
	index, reused = t.findReusable(now)
	if reused {
		delete(t.byID, t.backends[index].ID)
		delete(t.byHash, gossip.BackendHash(t.backends[index].ID))
	} else {
		index = len(t.backends)
		t.backends = append(t.backends, Backend{State: Removed})
	}
	backend := &t.backends[index]
	backend.ID, backend.OpenAttempts, backend.Health, backend.StartedAt, backend.Release = id, 0, health.Record{}, neverStarted, 0
	t.byID[id], t.byHash[gossip.BackendHash(id)] = index, index
	return index, reused
}

func (t *Table) findReusable(now float64) (index int, found bool) {
	if len(t.backends) < minBackendsForReuse {
		return 0, false
	}
	for index := range t.backends {
		backend := &t.backends[index]
		unused := backend.State == Removed && backend.OpenAttempts == 0
		if unused && now > backend.removedAt+reuseAfter {
			return index, true
		}
	}
	return 0, false
}
