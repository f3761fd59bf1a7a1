package httpwire

import (
	"container/list"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// reservedSockets are descriptors withheld from clients and backends: the standard streams, the runtime's poller,
	// the listener, discovery and the platform need them.
	reservedSockets = 16
	// minSockets is the smallest budget, however low the descriptor limit is.
	minSockets = 4
	// unlimitedSockets is the number of descriptors assumed for a process without a limit.
	unlimitedSockets = 1 << 20

	// clientShare is the share of the budget at which clients begin to lose an idle connection for each new one. Clients
	// need about a third of the budget for their requests. Clients that send one request and stay connected would fill
	// that third and lock out all others, so eviction starts below it.
	clientShare = 0.25
	// maxClientShare is the largest share of the budget for clients. Without sockets for backends, no open request could
	// make progress.
	maxClientShare = 0.8

	// idleGrace is how long a client connection is protected from eviction after its last request or, if it is new, after
	// it was accepted: the client may be about to use it. It is short because clients rotate through their connections:
	// with hundreds of them idle, each would be used again before a longer grace period expires.
	idleGrace = 20 * time.Millisecond
	// newConnGrace is how long a connection without a request yet is protected from eviction, unless nothing else can be
	// closed. A shorter silence is normal, because a slow client takes time to send a request head, and its request is
	// lost if the connection is closed. After that time, the connection may be one of hundreds that never carry a request.
	newConnGrace = time.Second

	// shortageLogInterval is the minimum time between two warnings that the budget is exhausted.
	shortageLogInterval = 5 * time.Second
)

// Sockets is the budget of open connections that clients and backends share. It counts them and closes idle ones when
// the budget runs short. It never closes a connection whose request is being handled, nor one that was served before and
// on which the next request has begun to arrive. A new connection counts as idle until its first request head is
// complete.
//
// Silent clients must not block others: a client whose connection waits in the listener's backlog may already have sent
// a request.
//
// Its methods are safe for concurrent use.
type Sockets struct {
	limit int // immutable
	// closeIdleBackend closes one idle connection to a backend and reports whether there was one. NewUpstream sets it
	// before any connection is opened. It is called without mu held, because closing a tracked connection locks mu.
	closeIdleBackend func() bool

	// mu guards the fields below and the fields of trackedConn that are marked so. Only two callbacks run with mu held,
	// both on a client's socket and without blocking: reading request bytes and checking for unread data.
	mu               sync.Mutex
	used             int        // open connections
	clients          int        // open client connections
	newConns         *list.List // of *trackedConn: clients without a complete request head so far, oldest entry first
	idleConns        *list.List // of *trackedConn: clients between two requests, oldest entry first
	receivingConns   *list.List // of *trackedConn: clients whose request, apart from a first head, has begun to arrive
	shortageLoggedAt time.Time
	acceptBlockedAt  time.Time     // since when accepting has been blocked; zero: it is not
	acceptBlocked    time.Duration // total time for which accepting was blocked, up to acceptBlockedAt
}

// NewSockets returns a budget for a process that may open limit descriptors; 0 means no limit.
func NewSockets(limit int) *Sockets {
	if limit <= 0 {
		limit = unlimitedSockets
	}
	return &Sockets{
		limit:            max(limit-reservedSockets, minSockets),
		closeIdleBackend: func() bool { return false },
		newConns:         list.New(),
		idleConns:        list.New(),
		receivingConns:   list.New(),
	}
}

// SocketUsage describes how the budget is used at one moment.
type SocketUsage struct {
	Open             int           // all connections
	Clients          int           // connections of clients
	IdleClients      int           // client connections that carry no request
	ReceivingClients int           // client connections whose request is not complete, apart from the head of a first request
	AcceptBlocked    time.Duration // total time for which new connections had to wait in the backlog for a socket
}

// Usage returns the current use of the budget.
func (s *Sockets) Usage() SocketUsage {
	s.mu.Lock()
	defer s.mu.Unlock()
	usage := SocketUsage{
		Open: s.used, Clients: s.clients,
		IdleClients: s.idleConns.Len() + s.newConns.Len(), ReceivingClients: s.receivingConns.Len(),
		AcceptBlocked: s.acceptBlocked,
	}
	if !s.acceptBlockedAt.IsZero() {
		usage.AcceptBlocked += time.Since(s.acceptBlockedAt)
	}
	return usage
}

// blockAccept records that a new connection has to wait in the backlog.
func (s *Sockets) blockAccept() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.acceptBlockedAt.IsZero() {
		s.acceptBlockedAt = time.Now()
	}
}

// unblockAccept records that new connections can be accepted again.
func (s *Sockets) unblockAccept() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.acceptBlockedAt.IsZero() {
		return
	}
	s.acceptBlocked += time.Since(s.acceptBlockedAt)
	s.acceptBlockedAt = time.Time{}
}

// ClientLimit returns the maximum number of client connections.
func (s *Sockets) ClientLimit() int { return int(maxClientShare * float64(s.limit)) }

// Full reports whether the budget is used up, in which case a client connection should close after its request.
func (s *Sockets) Full() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.used >= s.limit
}

// occupancy describes how full the budget is when one more connection is requested.
type occupancy struct {
	full             bool // no connection can be added
	clientsOverShare bool // clients hold at least clientShare of the budget
	hasRoom          bool // there is room for the requested connection
}

func (s *Sockets) occupancy(isClient bool) occupancy {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := occupancy{
		full:             s.used >= s.limit,
		clientsOverShare: float64(s.clients) >= clientShare*float64(s.limit),
	}
	clientsFull := isClient && s.clients >= s.ClientLimit()
	o.hasRoom = !o.full && !clientsFull
	return o
}

// makeRoom prepares for one more connection, of a client or to a backend, and reports whether there is room for it. It
// closes at most one idle connection: if there is no room, or if the connection is a client's and clients hold at least
// clientShare. It reserves nothing: track counts the connection once it is established.
func (s *Sockets) makeRoom(isClient bool) bool {
	before := s.occupancy(isClient)
	shouldFree := !before.hasRoom || isClient && before.clientsOverShare
	if !shouldFree {
		return true
	}
	s.closeOneIdle(before)
	after := s.occupancy(isClient)
	if after.full {
		s.logShortage()
	}
	return after.hasRoom
}

// closeOneIdle closes at most one idle connection, trying the ones that are least likely to be needed first:
//
//  1. a client connection without a request that was accepted at least newConnGrace ago
//  2. a client connection between requests, if clients hold at least clientShare
//
// If there is no room for the requested connection, it goes on with:
//
//  3. a backend connection, if the budget is full
//  4. a client connection between requests
//  5. a client connection that was accepted at least idleGrace ago: its client may be about to send a request
func (s *Sockets) closeOneIdle(o occupancy) {
	if s.closeIdleClient(s.newConns, newConnGrace) {
		return
	}
	if o.clientsOverShare && s.closeIdleClient(s.idleConns, idleGrace) {
		return
	}
	if o.hasRoom {
		return
	}
	if o.full && s.closeIdleBackend() {
		return
	}
	if s.closeIdleClient(s.idleConns, idleGrace) {
		return
	}
	s.closeIdleClient(s.newConns, idleGrace)
}

// logShortage warns that the budget is exhausted, at most once per shortageLogInterval.
func (s *Sockets) logShortage() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.shortageLoggedAt) <= shortageLogInterval {
		return
	}
	s.shortageLoggedAt = time.Now()
	logrus.WithFields(logrus.Fields{"open": s.used, "clients": s.clients, "limit": s.limit}).Warn("no socket left, and none is idle")
}

// maxBusySkipped limits how many connections closeIdleClient skips because they turn out not to be idle.
const maxBusySkipped = 8

// closeIdleClient closes the first connection of a list, which is its oldest entry, if it has been listed for at least
// the grace period, and reports whether it closed one. A connection with unread data may carry a request: it is removed
// from the list and the next one is tried.
func (s *Sockets) closeIdleClient(from *list.List, grace time.Duration) (closed bool) {
	for range maxBusySkipped {
		conn, isIdle := s.popIdleClient(from, grace)
		if conn == nil {
			return false
		}
		if isIdle {
			conn.Close()
			return true
		}
	}
	return false
}

// popIdleClient removes and returns the first connection of a list, or returns nil if the list is empty or its first
// entry has not been listed for the grace period. If the connection has no unread data, isIdle is true and the
// connection is marked as evicted, so that nothing is read from it any more.
func (s *Sockets) popIdleClient(from *list.List, grace time.Duration) (conn *trackedConn, isIdle bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := from.Front()
	if first == nil {
		return nil, false
	}
	conn = first.Value.(*trackedConn)
	if time.Since(conn.listedAt) < grace {
		return nil, false
	}
	conn.removeFromList()
	// Read holds the same lock, so it either reads the bytes before this check or sees the mark after it.
	conn.evicted = hasNoUnreadData(conn.Conn)
	return conn, conn.evicted
}

// CloseIdleClients closes client connections that carry no request, except those active less than idleGrace ago. It may
// miss some if maxBusySkipped connections in a row turn out not to be idle.
func (s *Sockets) CloseIdleClients() {
	for s.closeIdleClient(s.idleConns, idleGrace) || s.closeIdleClient(s.newConns, idleGrace) {
	}
}

// ConnIdle records that a client connection carries no request: it is new and has not received one yet (isNew), or its
// last request was answered. It must be called by the goroutine that serves the connection, or by the accepting
// goroutine before that one starts.
func (s *Sockets) ConnIdle(conn net.Conn, isNew bool) {
	c, ok := conn.(*trackedConn)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c.servedBefore = !isNew
	// The server's check whether the client has disconnected may already have read the first byte of the next request.
	// Then the connection is not idle.
	canBeIdle := c.betweenRequests && c.element == nil && !c.closed
	if !canBeIdle {
		return
	}
	if isNew {
		c.addTo(s.newConns)
	} else {
		c.addTo(s.idleConns)
	}
}

// ConnActive records that a client connection is not idle: it carries a request or is closed.
func (s *Sockets) ConnActive(conn net.Conn) {
	c, ok := conn.(*trackedConn)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.inList == s.receivingConns {
		return
	}
	c.removeFromList()
	if isReceiving := !c.betweenRequests && !c.closed; isReceiving {
		c.addTo(s.receivingConns)
	}
}

// RequestRead records that a request has been read completely: further bytes belong to the next one. The connection may
// be nil.
func (s *Sockets) RequestRead(c *trackedConn) {
	if c == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c.betweenRequests, c.requestStart = true, time.Time{}
	if c.inList == s.receivingConns {
		c.removeFromList()
	}
}

// RequestAge returns the time since the first byte of the current request arrived, or 0 if that was not observed or the
// connection is nil.
func (s *Sockets) RequestAge(c *trackedConn) time.Duration {
	if c == nil {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.requestStart.IsZero() {
		return 0
	}
	return time.Since(c.requestStart)
}

// track counts a connection against the budget until it is closed.
func (s *Sockets) track(conn net.Conn, isClient bool) *trackedConn {
	c := &trackedConn{Conn: conn, sockets: s, isClient: isClient, betweenRequests: true, openedAt: time.Now()}
	if socket, ok := conn.(syscall.Conn); ok && isClient {
		// Without a raw connection, Read falls back to the Read method of conn.
		c.rawConn, _ = socket.SyscallConn()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used++
	if isClient {
		s.clients++
	}
	return c
}
