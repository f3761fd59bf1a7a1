// Package endpoints holds the state that an instance keeps for each backend: its listing (state, release, weight,
// location), whether a listed backend is a new process, and what has been measured of that process. It does not
// choose backends, send anything or read a clock; times are passed in by the caller, in milliseconds. A Table must be
// used by one goroutine only.
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

// The states of a backend. Only a running backend receives requests; a draining one finishes those it has.
const (
	Running State = iota
	Draining
	Removed
)

// Endpoint is one backend as listed in the endpoint list.
type Endpoint struct {
	ID            string
	Release       release.ID
	State         State
	Weight        float64 // capacity relative to other backends
	StartedAt     float64 // ms, when the process started; 0: long ago
	Zone          int
	HardwareClass int
	Cell          int
}

const (
	// minWeight is the lower bound on weights, because code divides by them.
	minWeight = 0.01
	// neverStarted is the start time of an entry that has no process yet. No listed start time equals it.
	neverStarted = -1
	// minBackendsForReuse is the table size from which entries of removed backends are reused. In a smaller table,
	// unused entries cost little.
	minBackendsForReuse = 64
	// reuseAfter (ms) is how long an entry is kept after its backend was removed. After that time no request still
	// refers to its index.
	reuseAfter = 60000
)

// Backend is the state kept for one backend. It keeps its index for as long as a request may refer to it.
type Backend struct {
	ID        string
	Release   release.ID
	State     State
	Weight    float64 // at least minWeight
	StartedAt float64 // ms, as listed
	UpSince   float64 // ms, latest possible time at which it came up; 0: long ago
	Zone      int
	Cell      int
	removedAt float64 // ms, when it was last listed or removed

	OpenAttempts int // open attempts of this instance

	// Measurements of the current process.
	Limit            concurrency.Limit
	Ejection         concurrency.Ejection
	Health           health.Record
	Load             balance.Load
	SlowStart        slowstart.Budget
	LatencyInflation float64 // mean ratio of latency to the usual latency of the class
}

// IsNewProcess reports whether the listed endpoint is a different process from the known one, because of a restart or
// because the id was reused.
func (b *Backend) IsNewProcess(listed Endpoint) bool {
	return b.StartedAt != listed.StartedAt || b.Release != listed.Release
}

// ResetForNewProcess discards the measurements of the previous process. upSince is the time since which the new
// process has been up.
func (b *Backend) ResetForNewProcess(upSince, now float64) {
	b.Health, b.LatencyInflation, b.SlowStart = health.Record{}, 1, slowstart.NewBudget(0, now)
	b.Ejection, b.Load, b.Limit = concurrency.Ejection{}, balance.Load{}, concurrency.InitialLimit
	b.UpSince = upSince
}

// Update applies a listing of the backend.
func (b *Backend) Update(listed Endpoint, now float64) {
	b.Release, b.Zone, b.Cell = listed.Release, listed.Zone, listed.Cell
	b.State, b.Weight, b.StartedAt, b.removedAt = listed.State, max(listed.Weight, minWeight), listed.StartedAt, now
}

// Table holds all backends, each under a small index.
type Table struct {
	backends []Backend
	byID     map[string]int
	byHash   map[uint32]int // by the hash that stands for the id in outcome summaries
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{byID: map[string]int{}, byHash: map[uint32]int{}}
}

// Len returns the number of entries, including those of removed backends.
func (t *Table) Len() int { return len(t.backends) }

// At returns the entry at index. The pointer is valid until the next call to Add.
func (t *Table) At(index int) *Backend { return &t.backends[index] }

// Find returns the index of the backend with the given id.
func (t *Table) Find(id string) (index int, found bool) {
	index, found = t.byID[id]
	return index, found
}

// FindHash returns the index of the backend whose id has the given hash in outcome summaries.
func (t *Table) FindHash(hash uint32) (index int, found bool) {
	index, found = t.byHash[hash]
	return index, found
}

// IndexSizes returns the number of ids and hashes in the lookup maps.
func (t *Table) IndexSizes() (ids, hashes int) { return len(t.byID), len(t.byHash) }

// RemoveAll marks every backend as removed. It is called before a snapshot is applied, because a snapshot lists all
// existing backends.
func (t *Table) RemoveAll(now float64) {
	for index := range t.backends {
		if backend := &t.backends[index]; backend.State != Removed {
			backend.State, backend.removedAt = Removed, now
		}
	}
}

// Add creates an entry for an id that is not in the table. In a large table it may reuse the entry of a backend that
// was removed long ago and report so; the caller must then discard its own state for that index.
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
