package httpwire

import (
	"container/list"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"onyxgate/internal/invariant"
)

// trackedConn is a connection that counts against the budget until it is closed. For a client connection it also tracks
// the requests on it: whether the connection may be closed to make room, and when the current request began to arrive.
type trackedConn struct {
	net.Conn
	sockets     *Sockets
	isClient    bool
	rawConn     syscall.RawConn // of a client connection; nil if it is not a socket
	acceptedAt  time.Time
	connectedAt time.Time // of a client connection: earlier than acceptedAt if it waited in the backlog

	presentUntil atomic.Int64 // ns since acceptedAt until which the client counts as there

	rejection chan struct{} // of a client connection: closed when its incomplete request is rejected

	// servedBefore is set once a request has been answered on the connection, firstHeadRead once the head of the first
	// request has been read. Only the goroutine that serves the connection accesses them.
	servedBefore  bool
	firstHeadRead bool

	// The fields below are guarded by sockets.mu.

	closed          bool
	evicted         bool          // found idle and about to be closed; no more bytes are read
	rejected        bool          // its incomplete request is rejected to make room; no more bytes are read
	tooManyFields   bool          // the head of the current request has more than maxHeadFields; no more bytes are read
	headIncomplete  bool          // the head of the current request has begun to arrive and is not complete
	betweenRequests bool          // no byte of the next request has been read
	head            headScanner   // of the current request
	writing         bool          // a long response is being written
	bodyLeft        int64         // bytes of the current request's body that have not been read
	early           []byte        // bytes read from the socket together with the end of a head, and not yet returned by Read
	earlySince      time.Time     // when they were read
	awaitsMemory    bool          // bytes at the socket are not read before memory is reserved for them
	held            *reservation  // memory of the request that is arriving; nil: none
	readDeadline    time.Time     // zero: none
	foundNothing    bool          // the client had sent nothing more when the previous answer was about to be written
	sentAhead       int           // bytes that the client has sent since it last waited for an answer, as far as they were read
	backToBack      int           // number of requests up to the current one that followed the one before without a pause
	requestStart    time.Time     // when the first byte of the request arrived; zero: not observed
	maxBacklogWait  time.Duration // upper limit of the time that bytes of the first request have spent in the backlog
	inList          *list.List    // the list of Sockets that holds the connection; nil: none
	element         *list.Element // the connection's entry in inList; nil: not listed
	listedAt        time.Time
}

// addTo appends the connection to one of the lists of Sockets. It must not be in another one. sockets.mu must be held.
func (c *trackedConn) addTo(to *list.List) {
	c.inList, c.listedAt = to, time.Now()
	c.element = to.PushBack(c)
}

// removeFromList removes the connection from its list, if it is in one. sockets.mu must be held.
func (c *trackedConn) removeFromList() {
	if c.element != nil {
		c.inList.Remove(c.element)
		c.inList, c.element = nil, nil
	}
}

// SetReadDeadline allows less time for the head of the first request on a client connection than the server sets: the
// protocol requires that connections of bad clients are closed soon. A client that has been served counts as good. Once
// the connection's request is rejected, reads fail whatever the deadline.
func (c *trackedConn) SetReadDeadline(t time.Time) error {
	if !c.isClient {
		return c.Conn.SetReadDeadline(t)
	}
	isFirstHead := !c.servedBefore && !c.firstHeadRead
	if latest := c.firstRequestDeadline(newConnHeadTimeout); isFirstHead && t.After(latest) {
		t = latest
	}
	c.sockets.mu.Lock()
	defer c.sockets.mu.Unlock()
	if c.rejected {
		t = expiredDeadline
	}
	c.readDeadline = t
	return c.Conn.SetReadDeadline(t)
}

// setWriting records whether a long response is being written. The connection may be nil.
func (c *trackedConn) setWriting(writing bool) {
	if c == nil {
		return
	}
	c.sockets.mu.Lock()
	defer c.sockets.mu.Unlock()
	c.writing = writing
}

// abortWrite interrupts the writing of a long response whose client does not read it. It reports whether the memory of the
// response will be released soon. It does nothing once the response is written: it must not cut off the next one.
func (c *trackedConn) abortWrite() (released bool) {
	if c == nil {
		return false
	}
	c.sockets.mu.Lock()
	defer c.sockets.mu.Unlock()
	if c.writing {
		_ = c.SetWriteDeadline(expiredDeadline) // fails only on a closed connection, and then the write fails too
	}
	return true
}

// firstRequestDeadline returns the time that is limit after the client connected, but leaves minReadTime in any case.
func (c *trackedConn) firstRequestDeadline(limit time.Duration) time.Time {
	latest, earliest := c.connectedAt.Add(limit), c.acceptedAt.Add(minReadTime)
	if latest.Before(earliest) {
		return earliest
	}
	return latest
}

// Close closes the connection and returns its socket to the budget. Further calls do not change the budget.
func (c *trackedConn) Close() error {
	err := c.Conn.Close()
	c.takeMemory().release()
	s := c.sockets
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.closed {
		return err
	}
	c.closed = true
	s.used--
	if c.isClient {
		s.clients--
		c.removeFromList()
	}
	invariant.Check(s.used >= 0 && s.clients >= 0, "a connection is closed once", s.used)
	return err
}
