package httpwire

import (
	"container/list"
	"net"
	"sync"
	"syscall"
	"time"
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
	// balancedClientShare is the share at which each client connection can have one to a backend.
	balancedClientShare = 0.5
	// maxClientShare is the largest share of the budget for clients. Without sockets for backends, no open request could
	// make progress.
	maxClientShare = 0.8
)

// Sockets is the budget of open connections that clients and backends share. It counts them and frees some when the
// budget runs short: it closes idle connections, and has requests rejected that do not arrive completely. It never closes
// a connection whose request is being handled or has begun to arrive. A new connection counts as idle until its first byte
// is read.
//
// Clients that are silent or stop in the middle of a request must not block others: a client whose connection waits in
// the listener's backlog may already have sent a request.
//
// Its methods are safe for concurrent use.
type Sockets struct {
	limit  int     // immutable
	memory *Memory // set before any connection is opened
	// closeIdleBackend closes one idle connection to a backend and reports whether there was one. NewUpstream sets it
	// before any connection is opened. It is called without mu held, because closing a tracked connection locks mu.
	closeIdleBackend func() bool
	sinceLastData    func(fd int) (since time.Duration, known bool) // the function of that name; tests replace it

	// mu guards the fields below and the fields of trackedConn that are marked so. Only two callbacks run with mu held,
	// both on a client's socket and without blocking: reading request bytes and checking for unread data.
	mu               sync.Mutex
	used             int        // open connections
	clients          int        // open client connections
	newConns         *list.List // of *trackedConn: clients that have not sent a byte yet, oldest entry first
	idleConns        *list.List // of *trackedConn: clients between two requests, oldest entry first
	receivingConns   *list.List // of *trackedConn: clients whose request has begun to arrive, oldest entry first
	shortageLoggedAt time.Time
	backendsShortAt  time.Time     // when a connection to a backend last found no socket
	acceptBlockedAt  time.Time     // since when accepting has been blocked; zero: it is not
	acceptBlocked    time.Duration // total time for which accepting was blocked, up to acceptBlockedAt
	backlogSince     time.Time     // no connection has been in the backlog for longer; zero: none has had to wait

	incompleteRejected int64 // requests rejected because they were incomplete and their sockets were needed
	unsentRejected     int64 // new connections closed, with a rejection, before a byte of a request had arrived
}

// NewSockets returns a budget for a process that may open limit descriptors; 0 means no limit.
func NewSockets(limit int) *Sockets {
	if limit <= 0 {
		limit = unlimitedSockets
	}
	return &Sockets{
		limit:            max(limit-reservedSockets, minSockets),
		memory:           NewMemory(0),
		closeIdleBackend: func() bool { return false },
		sinceLastData:    sinceLastData,
		newConns:         list.New(),
		idleConns:        list.New(),
		receivingConns:   list.New(),
	}
}

// LimitMemory sets the budget of memory for what clients send, which also limits their connections. It must be called before
// any connection is opened.
func (s *Sockets) LimitMemory(memory *Memory) { s.memory = memory }

// SocketUsage describes how the budget is used at one moment.
type SocketUsage struct {
	Open             int           // all connections
	Clients          int           // connections of clients
	IdleClients      int           // client connections that carry no request
	ReceivingClients int           // client connections on which a request has begun to arrive and is not complete
	AcceptBlocked    time.Duration // total time for which new connections had to wait in the backlog for a socket
	// IncompleteRejected is the number of requests that were rejected before they were complete, to make room for others.
	IncompleteRejected int64
	// UnsentRejected is the number of new connections that were answered with a rejection and closed, to make room for others,
	// before a byte of a request had arrived.
	UnsentRejected int64
}

// Usage returns the current use of the budget.
func (s *Sockets) Usage() SocketUsage {
	s.mu.Lock()
	defer s.mu.Unlock()
	usage := SocketUsage{
		Open: s.used, Clients: s.clients,
		IdleClients: s.idleConns.Len() + s.newConns.Len(), ReceivingClients: s.receivingConns.Len(),
		AcceptBlocked: s.acceptBlocked, IncompleteRejected: s.incompleteRejected,
		UnsentRejected: s.unsentRejected,
	}
	if !s.acceptBlockedAt.IsZero() {
		usage.AcceptBlocked += time.Since(s.acceptBlockedAt)
	}
	return usage
}

// ClientLimit returns the maximum number of client connections, which both sockets and memory limit.
func (s *Sockets) ClientLimit() int {
	return min(int(maxClientShare*float64(s.limit)), s.memory.maxClients)
}

// Full reports whether the budget is used up, in which case a client connection should close after its request.
func (s *Sockets) Full() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.used >= s.limit
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
	if c.closed || c.element != nil {
		return
	}
	switch {
	case !c.betweenRequests || len(c.early) > 0:
		// A part of the next request has already been read, by the server's check whether the client has disconnected or
		// together with the head of the request before.
		c.addTo(s.receivingConns)
	case isNew:
		c.addTo(s.newConns)
	default:
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
	if c.inList != s.receivingConns {
		c.removeFromList()
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
	c := &trackedConn{Conn: conn, sockets: s, isClient: isClient, betweenRequests: true, foundNothing: true, acceptedAt: time.Now()}
	if socket, ok := conn.(syscall.Conn); ok && isClient {
		// Without a raw connection, Read falls back to the Read method of conn.
		c.rawConn, _ = socket.SyscallConn()
	}
	if isClient {
		c.rejection = make(chan struct{})
	}
	c.connectedAt = c.acceptedAt
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used++
	if isClient {
		s.clients++
	}
	return c
}
