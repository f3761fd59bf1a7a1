package httpwire

import (
	"container/list"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"onyxgate/internal/failpoint"
)

// Memory that is held for peers beyond the fixed cost of their connections: large heads, bodies and responses. It is
// reserved before it is allocated. While none is left, a request waits unread, so that its bytes stay in the kernel; what is
// held for incomplete requests and for clients that do not read their responses is taken back.

const (
	// connectionBytes is the resident memory counted for each client connection: its goroutines, the server's buffers, and a
	// request whose head and body stay below the free sizes.
	connectionBytes = 28 << 10
	// clientMemoryShare is the part of the process's memory limit that client connections may use.
	clientMemoryShare = 0.4
	// requestMemoryShare is the part of the process's memory limit for large heads, bodies and responses.
	requestMemoryShare = 0.15
	// incomingShare is the part of that for heads and bodies of requests. The rest is left to responses: a request keeps its
	// memory until it has its response, so without it requests and the responses to them would wait for each other.
	incomingShare = 0.6

	// freeBodyBytes is the size up to which the body of a request, or of a response, needs no reservation.
	freeBodyBytes = 4 << 10

	// evictionGrace is how long what is held for an incomplete request, or for a client that does not read, is kept while
	// others wait for memory. With a shorter grace period, clients that send a request in a few pieces would be rejected.
	evictionGrace = incompleteGrace
)

// Memory is the budget of memory held for peers. Its methods, and those of its reservations, are safe for concurrent use.
type Memory struct {
	limit      int64 // bytes
	incoming   int64 // part of limit up to which heads and bodies of requests are granted
	maxClients int   // client connections

	mu        sync.Mutex // guards the fields below and the fields of reservation that are marked so
	used      int64
	evicting  int64       // part of used that belongs to evicted reservations, which are about to be released
	urgent    *list.List  // of *memoryWaiter, the next one first; granted before those in waiting
	waiting   *list.List  // of *memoryWaiter, the next one first
	evictable *list.List  // of *reservation, oldest first
	timer     *time.Timer // runs evict; nil until it is needed first
	counts    MemoryUsage
}

// MemoryUsage describes how the budget is used at one moment. Sizes are in bytes, the other figures count since the start.
type MemoryUsage struct {
	Limit, Used, Peak int64
	Waited            int64 // reservations that had to wait
	Refused           int64 // reservations that were refused after they had waited
	Evicted           int64 // reservations taken back from incomplete requests and from clients that do not read
}

// memoryWaiter is a reservation that waits for memory.
type memoryWaiter struct {
	bytes   int64
	holder  *reservation
	urgent  bool
	granted chan struct{} // closed once the bytes are reserved
}

// NewMemory returns the budget of a process that may use processBytes of resident memory; 0 means no limit.
func NewMemory(processBytes int64) *Memory {
	m := &Memory{maxClients: math.MaxInt, urgent: list.New(), waiting: list.New(), evictable: list.New()}
	m.setLimit(math.MaxInt64)
	if processBytes > 0 {
		m.setLimit(int64(requestMemoryShare * float64(processBytes)))
		m.maxClients = int(clientMemoryShare * float64(processBytes) / connectionBytes)
	}
	return m
}

func (m *Memory) setLimit(bytes int64) {
	m.limit, m.incoming = bytes, int64(incomingShare*float64(bytes))
}

// Usage returns the current use of the budget.
func (m *Memory) Usage() MemoryUsage {
	m.mu.Lock()
	defer m.mu.Unlock()
	usage := m.counts
	usage.Limit, usage.Used = m.limit, m.used
	return usage
}

// reservation is the memory reserved for one request. The nil reservation reserves nothing and grants everything.
type reservation struct {
	memory   *Memory
	users    atomic.Int32
	involved atomic.Bool // it has had an effect on the budget; most requests are small and never do

	// The fields below are guarded by memory.mu.

	bytes     int64
	evict     func() bool   // takes the memory back, or reports that it is still needed; nil: it can't be taken back
	evicting  int64         // bytes that count in memory.evicting; 0: it is not being evicted
	element   *list.Element // its entry in memory.evictable; nil: not listed
	heldSince time.Time     // while it is listed
}

// newReservation returns an empty reservation with one user.
func (m *Memory) newReservation() *reservation {
	r := &reservation{memory: m}
	r.users.Store(1)
	return r
}

// grow reserves more bytes. If there are not enough, it waits for them until the given time, or until canceled is closed;
// an urgent reservation comes before others. The error is errNoRoom if they were not reserved.
func (r *reservation) grow(bytes int64, urgent bool, until time.Time, canceled <-chan struct{}) error {
	if r == nil || bytes <= 0 {
		return nil
	}
	r.involved.Store(true)
	waiter, element := r.memory.reserve(r, bytes, urgent)
	if waiter == nil {
		return nil
	}
	timeout := time.NewTimer(time.Until(until))
	defer timeout.Stop()
	select {
	case <-waiter.granted:
		return nil
	case <-canceled:
	case <-timeout.C:
	}
	return r.memory.stopWaiting(waiter, element)
}

// reserve reserves bytes at once, or returns an entry in the queue.
func (m *Memory) reserve(r *reservation, bytes int64, urgent bool) (*memoryWaiter, *list.Element) {
	m.mu.Lock()
	defer m.mu.Unlock()
	isFirst := m.urgent.Len() == 0 && (urgent || m.waiting.Len() == 0)
	if isFirst && m.lacks(bytes, urgent) <= 0 {
		m.grant(r, bytes)
		return nil, nil
	}
	m.counts.Waited++
	waiter := &memoryWaiter{bytes, r, urgent, make(chan struct{})}
	element := m.queue(urgent).PushBack(waiter)
	m.scheduleEviction()
	return waiter, element
}

// queue returns the queue of urgent reservations or that of the others. m.mu must be held.
func (m *Memory) queue(urgent bool) *list.List {
	if urgent {
		return m.urgent
	}
	return m.waiting
}

// next returns the entry in a queue that is granted next, or nil if none waits. m.mu must be held.
func (m *Memory) next() *list.Element {
	if first := m.urgent.Front(); first != nil {
		return first
	}
	return m.waiting.Front()
}

// stopWaiting removes a waiter from the queue. The error is nil if it was granted meanwhile.
func (m *Memory) stopWaiting(waiter *memoryWaiter, element *list.Element) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	select {
	case <-waiter.granted:
		return nil
	default:
	}
	m.queue(waiter.urgent).Remove(element)
	m.counts.Refused++
	m.grantWaiting()
	return errNoRoom
}

// lacks returns how many bytes are missing for a reservation; it fits if none are. m.mu must be held.
func (m *Memory) lacks(bytes int64, urgent bool) int64 {
	if failpoint.Defect("uncounted-memory") {
		return 0
	}
	if urgent {
		return bytes - (m.limit - m.used)
	}
	return bytes - (m.incoming - m.used)
}

// grant reserves bytes. m.mu must be held.
func (m *Memory) grant(r *reservation, bytes int64) {
	r.bytes += bytes
	m.used += bytes
	m.counts.Peak = max(m.counts.Peak, m.used)
	if r.evict != nil && r.element == nil && r.evicting == 0 {
		m.list(r)
	}
}

// list makes a reservation the newest one that can be evicted. m.mu must be held.
func (m *Memory) list(r *reservation) {
	r.heldSince = time.Now()
	r.element = m.evictable.PushBack(r)
}

// unlist makes a reservation one that is not evicted. m.mu must be held.
func (m *Memory) unlist(r *reservation) {
	if r.element != nil {
		m.evictable.Remove(r.element)
		r.element = nil
	}
}

// grantWaiting grants waiting reservations in their order, as far as there is memory. m.mu must be held.
func (m *Memory) grantWaiting() {
	for first := m.next(); first != nil; first = m.next() {
		waiter := first.Value.(*memoryWaiter)
		if m.lacks(waiter.bytes, waiter.urgent) > 0 {
			break
		}
		m.queue(waiter.urgent).Remove(first)
		m.grant(waiter.holder, waiter.bytes)
		close(waiter.granted)
	}
	m.scheduleEviction()
}

// setEvictable lets the memory be taken back by evict, which is called without locks held. It reports false if the memory
// is still needed, and is then called again later.
func (r *reservation) setEvictable(evict func() bool) {
	if r == nil {
		return
	}
	r.involved.Store(true)
	m := r.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	r.evict = evict
	if r.bytes > 0 && r.element == nil {
		m.list(r)
		m.scheduleEviction()
	}
}

// setNeeded ends setEvictable.
func (r *reservation) setNeeded() {
	if r == nil || !r.involved.Load() {
		return
	}
	m := r.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	r.evict = nil
	m.endEviction(r)
	m.unlist(r)
}

// shrinkTo returns what exceeds the given size to the budget.
func (r *reservation) shrinkTo(bytes int64) {
	if r == nil || !r.involved.Load() {
		return
	}
	m := r.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	m.giveBack(r, max(r.bytes-bytes, 0))
	m.grantWaiting()
}

// shrinkBy returns the given part to the budget.
func (r *reservation) shrinkBy(bytes int64) {
	if r == nil {
		return
	}
	m := r.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	m.giveBack(r, bytes)
	m.grantWaiting()
}

// giveBack returns a part of a reservation. m.mu must be held.
func (m *Memory) giveBack(r *reservation, bytes int64) {
	m.endEviction(r)
	r.bytes -= bytes
	m.used -= bytes
	if r.bytes == 0 {
		m.unlist(r)
	}
}

// endEviction no longer counts a reservation as about to be released. m.mu must be held.
func (m *Memory) endEviction(r *reservation) {
	m.evicting -= r.evicting
	r.evicting = 0
}

// retain adds a user. Each user must call release once.
func (r *reservation) retain() {
	if r != nil {
		r.users.Add(1)
	}
}

// release ends the use by one user. The last one returns the memory to the budget.
func (r *reservation) release() {
	if r == nil || r.users.Add(-1) > 0 || !r.involved.Load() {
		return
	}
	m := r.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	m.giveBack(r, r.bytes)
	r.evict = nil
	m.grantWaiting()
}

// missing returns the number of bytes that the next waiting reservation lacks, besides those that are about to be released.
// m.mu must be held.
func (m *Memory) missing() int64 {
	next := m.next()
	if next == nil {
		return 0
	}
	waiter := next.Value.(*memoryWaiter)
	return m.lacks(waiter.bytes, waiter.urgent) - m.evicting
}

// scheduleEviction runs evict when the oldest reservation that can be evicted has been held for the grace period, if others
// wait. m.mu must be held.
func (m *Memory) scheduleEviction() {
	oldest := m.evictable.Front()
	if oldest == nil || m.missing() <= 0 {
		if m.timer != nil {
			m.timer.Stop()
		}
		return
	}
	after := max(time.Until(oldest.Value.(*reservation).heldSince.Add(evictionGrace)), 0)
	if m.timer == nil {
		m.timer = time.AfterFunc(after, m.evict)
	} else {
		m.timer.Reset(after)
	}
}

// evict takes back the oldest reservations, as many as the next waiting one needs.
func (m *Memory) evict() {
	victims := m.chooseVictims()
	for _, victim := range victims {
		taken := victim.evict()
		m.mu.Lock()
		if taken {
			m.counts.Evicted++
		} else {
			m.keep(victim.reservation)
		}
		m.mu.Unlock()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.scheduleEviction()
}

// victim is a reservation to be evicted, with its evict function of that moment.
type victim struct {
	*reservation
	evict func() bool
}

// chooseVictims returns the oldest reservations that can be evicted, as many as the next waiting one needs, and removes
// them from the list.
func (m *Memory) chooseVictims() (victims []victim) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for oldest := m.evictable.Front(); oldest != nil && m.missing() > 0; oldest = m.evictable.Front() {
		r := oldest.Value.(*reservation)
		if time.Since(r.heldSince) < evictionGrace {
			break
		}
		m.unlist(r)
		r.evicting = r.bytes
		m.evicting += r.bytes
		victims = append(victims, victim{r, r.evict})
	}
	return victims
}

// keep lists a reservation again whose eviction was refused, unless it has been released or completed meanwhile. m.mu must
// be held.
func (m *Memory) keep(r *reservation) {
	m.endEviction(r)
	if r.evict != nil && r.bytes > 0 && r.element == nil {
		m.list(r)
	}
}
