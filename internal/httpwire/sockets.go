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
	// reservedSockets are held back for what is no client or backend: standard streams, the runtime's poller, the listener,
	// discovery, the platform.
	reservedSockets = 16
	// minSockets is the least budget, however low the limit.
	minSockets = 4
	// unlimitedSockets stands for no limit.
	unlimitedSockets = 1 << 20

	// clientShare of the budget is what clients' connections may fill before idle ones make room for new ones. They need a third
	// for their requests and no more: those that asked once and stay would fill it, and no other client would get a connection.
	// So the longest idle ones make room before that.
	clientShare = 0.25
	// maxClientShare of the budget is the most for clients: without the backends' share no open request would get on.
	maxClientShare = 0.8

	// idleGrace protects a connection from being closed that carried a request, or came up, less than this ago: it may be about
	// to be used. It is no longer, for clients use theirs in turn, and with hundreds of them idle none would ever be old.
	idleGrace = 20 * time.Millisecond
	// newConnGrace protects a connection on which no request has come yet. A slow client's head takes its time, and its request
	// is lost to it where the connection is closed: less than this says nothing of a client. Beyond it a silent one may be one of
	// hundreds that never speak.
	newConnGrace = time.Second

	// shortageLogInterval is the least time between two warnings that the budget is exhausted.
	shortageLogInterval = 5 * time.Second
)

// Sockets is the budget of open connections that clients and backends share: it counts them and, when it runs short, closes idle
// ones. It never closes a connection that carries a request, and it doesn't let clients that say nothing keep others waiting: what
// waits in the listener's backlog may already be a request sent.
//
// All methods may be called from any goroutine.
type Sockets struct {
	limit int // never changed
	// closeIdleBackend closes one idle connection to a backend and tells whether there was one. NewUpstream sets it before any
	// connection is made. It is called without mu held, for it closes a tracked connection.
	closeIdleBackend func() bool

	// mu guards what follows, and the fields of trackedConn that say so. Under it run the two looks at a client's socket: the read
	// that takes a request's bytes and the check that nothing is unread. Neither blocks. No other callback runs under it.
	mu               sync.Mutex
	used             int        // open connections
	clients          int        // of them clients'
	newConns         *list.List // *trackedConn of clients on which no request has come yet, the longest so first
	idleConns        *list.List // *trackedConn of clients between two requests, the longest so first
	shortageLoggedAt time.Time
}

// NewSockets makes a budget for a process that may open limit descriptors; 0 means no limit.
func NewSockets(limit int) *Sockets {
	if limit <= 0 {
		limit = unlimitedSockets
	}
	return &Sockets{
		limit:            max(limit-reservedSockets, minSockets),
		closeIdleBackend: func() bool { return false },
		newConns:         list.New(),
		idleConns:        list.New(),
	}
}

// Used counts the open connections, those of clients among them, and those of clients that carry no request.
func (s *Sockets) Used() (all, clients, idle int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.used, s.clients, s.idleConns.Len() + s.newConns.Len()
}

// ClientLimit is how many connections clients can have at most.
func (s *Sockets) ClientLimit() int { return int(maxClientShare * float64(s.limit)) }

// Full tells that the budget is used up, so that a client's connection had better end with its request.
func (s *Sockets) Full() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.used >= s.limit
}

// occupancy is how full the budget is for one more connection.
type occupancy struct {
	full             bool // nothing is left for anyone
	clientsOverShare bool // clients have more than clientShare
	hasRoom          bool // for the connection asked for
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

// makeRoom closes at most one idle connection where room for one more, a client's or a backend's, is short, and tells whether there
// is room now. It reserves nothing: track counts the connection once it is up.
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

// closeOneIdle closes the idle connection that is missed least: first one that has said nothing for long; then an idle one, of
// the side that has more than its share first; and last one that came a moment ago and may be about to say something.
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

// logShortage warns that the budget is used up by connections in use, at most every shortageLogInterval.
func (s *Sockets) logShortage() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.shortageLoggedAt) <= shortageLogInterval {
		return
	}
	s.shortageLoggedAt = time.Now()
	logrus.WithFields(logrus.Fields{"open": s.used, "clients": s.clients, "limit": s.limit}).Warn("no socket left, and none is idle")
}

// maxBusySkipped is how many connections closeIdleClient passes over that turn out not to be idle.
const maxBusySkipped = 8

// closeIdleClient closes the first connection of a list, the one that stands there longest, if it has stood there for grace at the
// least, and tells whether it closed one. A connection with unread bytes is taken off the list instead and the next one tried: it
// carries a request.
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

// popIdleClient takes the first connection off a list, nil where there is none or it has not stood there for grace. Where
// nothing is unread on it, it is marked so that no byte is read of it from here on: isIdle.
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
	// The look and the mark are under the lock under which Read takes bytes: one of the two comes first.
	conn.evicted = hasNoUnreadData(conn.Conn)
	return conn, conn.evicted
}

// CloseIdleClients closes all connections of clients that carry no request, except those used less than idleGrace ago.
func (s *Sockets) CloseIdleClients() {
	for s.closeIdleClient(s.idleConns, idleGrace) || s.closeIdleClient(s.newConns, idleGrace) {
	}
}

// ConnIdle tells that a client's connection carries no request: none has come on it yet (isNew), or its last one was answered. The
// connection's serving goroutine calls it, or the one that accepted it, before that runs.
func (s *Sockets) ConnIdle(conn net.Conn, isNew bool) {
	c, ok := conn.(*trackedConn)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c.servedBefore = !isNew
	// A server that looks whether its client has gone may have read the next request's first byte already: then the connection
	// is not idle.
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

// ConnActive tells that a client's connection carries a request, or is closed.
func (s *Sockets) ConnActive(conn net.Conn) {
	if c, ok := conn.(*trackedConn); ok {
		s.mu.Lock()
		defer s.mu.Unlock()
		c.removeFromList()
	}
}

// RequestRead tells that a request has been read to its end: what comes from here on belongs to the next one. A nil connection
// is no error.
func (s *Sockets) RequestRead(c *trackedConn) {
	if c == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c.betweenRequests, c.requestStart = true, time.Time{}
}

// RequestAge is how long ago the first byte of the request that is being read came; 0 where that was not seen or the connection
// is nil.
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

// track counts a connection until it is closed.
func (s *Sockets) track(conn net.Conn, isClient bool) *trackedConn {
	c := &trackedConn{Conn: conn, sockets: s, isClient: isClient, betweenRequests: true, openedAt: time.Now()}
	if socket, ok := conn.(syscall.Conn); ok && isClient {
		// Without a descriptor Read falls back to the connection's own.
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
