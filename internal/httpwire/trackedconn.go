package httpwire

import (
	"container/list"
	"errors"
	"io"
	"net"
	"os"
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

	// servedBefore is set once a request has been answered on the connection, firstHeadRead once the head of the first
	// request has been read. Only the goroutine that serves the connection accesses them.
	servedBefore  bool
	firstHeadRead bool

	// The fields below are guarded by sockets.mu.

	closed          bool
	evicted         bool          // found idle and about to be closed; no more bytes are read
	rejected        bool          // its incomplete request is rejected to make room; no more bytes are read
	headIncomplete  bool          // the head of the current request has begun to arrive and is not complete
	betweenRequests bool          // no byte of the next request has been read
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

// onRead records that n bytes of a client's request were read, which had been waiting for the given time. sockets.mu must
// be held.
func (c *trackedConn) onRead(n int, waited time.Duration) {
	if n <= 0 {
		return
	}
	if c.betweenRequests {
		c.betweenRequests, c.headIncomplete, c.requestStart = false, true, time.Now().Add(-waited)
		c.maxBacklogWait = 0
	}
	if c.element != nil && c.inList != c.sockets.receivingConns {
		c.removeFromList()
		c.addTo(c.sockets.receivingConns)
	}
}

// Read ends the idle state of a client connection when a request begins to arrive. From then on the connection
// must not be closed to make room: the request could be complete before the close arrives, and would be lost. Therefore
// bytes are read from a client's socket under the same lock under which the connection is found idle and evicted.
func (c *trackedConn) Read(b []byte) (n int, err error) {
	if !c.isClient {
		return c.Conn.Read(b)
	}
	if c.rawConn == nil {
		n, err = c.readPlain(b)
	} else {
		n, err = c.readRaw(b)
	}
	if err != nil {
		c.answerIncompleteHead(err)
	}
	return n, err
}

// readRaw reads from a client's socket.
func (c *trackedConn) readRaw(b []byte) (n int, err error) {
	waitErr := c.rawConn.Read(func(fd uintptr) (done bool) {
		n, err = c.readSocket(int(fd), b)
		return !errors.Is(err, syscall.EAGAIN) // on EAGAIN, wait until the socket is readable
	})
	switch {
	case waitErr != nil:
		return 0, waitErr
	case err != nil:
		return 0, err
	case n == 0 && len(b) > 0:
		return 0, io.EOF
	}
	return n, nil
}

// readPlain reads from a client connection that is not a socket.
func (c *trackedConn) readPlain(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.sockets.mu.Lock()
	defer c.sockets.mu.Unlock()
	c.onRead(n, c.maxBacklogWait)
	return n, err
}

// readSocket reads the bytes available on a client's socket without blocking. It fails if the connection was evicted or
// its request rejected.
func (c *trackedConn) readSocket(fd int, b []byte) (n int, err error) {
	c.sockets.mu.Lock()
	defer c.sockets.mu.Unlock()
	if c.evicted {
		return 0, net.ErrClosed
	}
	if c.rejected {
		return 0, os.ErrDeadlineExceeded
	}
	for {
		n, err = syscall.Read(fd, b)
		if !errors.Is(err, syscall.EINTR) {
			break
		}
	}
	if errors.Is(err, syscall.EAGAIN) {
		c.maxBacklogWait = 0 // what arrives from now on has not been in the backlog
	}
	if startsRequest := n > 0 && c.betweenRequests; startsRequest {
		c.onRead(n, c.unreadWait(fd))
		return n, err
	}
	c.onRead(n, 0)
	return n, err
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
	return c.Conn.SetReadDeadline(t)
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
