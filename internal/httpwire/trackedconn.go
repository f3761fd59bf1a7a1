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
	foundNothing    bool          // after the previous request, the client had not yet sent anything more
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

// onRequestStart records that the first byte of a client's request was read, which had been waiting for the given time.
// sockets.mu must be held.
func (c *trackedConn) onRequestStart(waited time.Duration) {
	c.betweenRequests, c.headIncomplete, c.requestStart = false, true, time.Now().Add(-waited)
	c.maxBacklogWait = 0
	c.head = headScanner{}
	c.backToBack++
	if c.foundNothing {
		c.backToBack = 0
	}
	c.foundNothing = false
	if c.element != nil && c.inList != c.sockets.receivingConns {
		c.removeFromList()
		c.addTo(c.sockets.receivingConns)
	}
}

// onRead records that the bytes b of a client's request were read, which had been waiting for the given time. It returns how
// many of them Read returns now: never bytes beyond the end of a head, which are kept in c.early. The next head is then
// counted from its first byte, whatever it arrived with. sockets.mu must be held.
func (c *trackedConn) onRead(b []byte, waited time.Duration) (n int) {
	if len(b) == 0 {
		return 0
	}
	if c.betweenRequests {
		c.onRequestStart(waited)
	}
	if !c.headIncomplete || c.head.complete {
		c.bodyLeft = max(c.bodyLeft-int64(len(b)), 0)
		return len(b)
	}
	n = c.head.scan(b)
	if n < len(b) {
		c.early, c.earlySince = append([]byte(nil), b[n:]...), time.Now()
	}
	c.tooManyFields = c.head.fields() > maxHeadFields
	return n
}

// takeEarly moves bytes that were read too early to b, as if they had just been read. sockets.mu must be held.
func (c *trackedConn) takeEarly(b []byte) (n int) {
	n = copy(b, c.early)
	c.early = c.early[n:]
	if len(c.early) == 0 {
		c.early = nil
	}
	return n
}

// wanted returns the part of b that may be filled: no bytes beyond the end of a body, because the next head begins there.
// sockets.mu must be held.
func (c *trackedConn) wanted(b []byte) []byte {
	if c.bodyLeft > 0 && int64(len(b)) > c.bodyLeft {
		return b[:c.bodyLeft]
	}
	return b
}

// Read ends the idle state of a client connection when a request begins to arrive. From then on the connection
// must not be closed to make room: the request could be complete before the close arrives, and would be lost. Therefore
// bytes are read from a client's socket under the same lock under which the connection is found idle and evicted.
//
// Read returns the bytes of a large head only once memory is reserved for it.
func (c *trackedConn) Read(b []byte) (n int, err error) {
	if !c.isClient {
		return c.Conn.Read(b)
	}
	if c.rawConn == nil {
		n, err = c.readPlain(b)
	} else {
		n, err = c.readRaw(b)
	}
	if err == nil {
		err = c.admitHead()
	}
	if err != nil {
		c.answerIncompleteHead(err)
		return 0, err
	}
	return n, nil
}

// readRaw reads from a client's socket.
func (c *trackedConn) readRaw(b []byte) (n int, err error) {
	var read int
	waitErr := c.rawConn.Read(func(fd uintptr) (done bool) {
		read, n, err = c.readSocket(int(fd), b)
		return !errors.Is(err, syscall.EAGAIN) // on EAGAIN, wait until the socket is readable
	})
	switch {
	case waitErr != nil:
		return 0, waitErr
	case err != nil:
		return 0, err
	case read == 0 && len(b) > 0:
		return 0, io.EOF
	}
	return n, nil
}

// readPlain reads from a client connection that is not a socket.
func (c *trackedConn) readPlain(b []byte) (int, error) {
	c.sockets.mu.Lock()
	b = c.wanted(b)
	read := c.takeEarly(b)
	c.sockets.mu.Unlock()
	var err error
	wasEarly := read > 0
	if !wasEarly {
		read, err = c.Conn.Read(b)
	}
	c.sockets.mu.Lock()
	defer c.sockets.mu.Unlock()
	c.foundNothing = c.foundNothing || !wasEarly
	return c.onRead(b[:read], c.maxBacklogWait), err
}

// readSocket reads the bytes available on a client's socket without blocking, and returns their number and how many of them
// Read returns now. It fails if the connection was evicted or its request rejected.
func (c *trackedConn) readSocket(fd int, b []byte) (read, n int, err error) {
	c.sockets.mu.Lock()
	defer c.sockets.mu.Unlock()
	if c.evicted {
		return 0, 0, net.ErrClosed
	}
	if c.rejected {
		return 0, 0, os.ErrDeadlineExceeded
	}
	b = c.wanted(b)
	if read = c.takeEarly(b); read > 0 {
		return read, c.onRead(b[:read], time.Since(c.earlySince)), nil
	}
	for {
		read, err = syscall.Read(fd, b)
		if !errors.Is(err, syscall.EINTR) {
			break
		}
	}
	if errors.Is(err, syscall.EAGAIN) {
		c.maxBacklogWait = 0 // what arrives from now on has not been in the backlog
		c.foundNothing = c.bodyLeft == 0
	}
	if err != nil || read <= 0 {
		return read, 0, err
	}
	waited := time.Duration(0)
	if c.betweenRequests {
		waited = c.unreadWait(fd)
	}
	return read, c.onRead(b[:read], waited), nil
}

// errTooManyFields ends the reading of a head with more than maxHeadFields.
var errTooManyFields = errors.New("too many header fields")

// admitHead reserves memory for the head of the current request once it is large. It waits until the read deadline at most.
func (c *trackedConn) admitHead() error {
	c.sockets.mu.Lock()
	if c.tooManyFields {
		c.sockets.mu.Unlock()
		return errTooManyFields
	}
	if !c.headIncomplete || c.head.isSmall() || c.held != nil {
		c.sockets.mu.Unlock()
		return nil
	}
	bytes, until := int64(maxHeadCost), c.readDeadline
	if c.head.complete {
		bytes = c.head.cost()
	}
	c.held = c.sockets.memory.newReservation()
	held := c.held
	c.sockets.mu.Unlock()
	if until.IsZero() {
		until = time.Now().Add(readTimeout)
	}
	return c.awaitMemory(held, bytes, until)
}

// awaitMemory reserves memory for a part of the request that is arriving, and waits for it until the given time at most. While
// others wait, the memory is taken back if the request stays incomplete.
func (c *trackedConn) awaitMemory(held *reservation, bytes int64, until time.Time) error {
	held.setEvictable(c.rejectIncomplete)
	c.setAwaitsMemory(true)
	defer c.setAwaitsMemory(false)
	return held.grow(bytes, false, until, c.rejection)
}

func (c *trackedConn) setAwaitsMemory(awaits bool) {
	c.sockets.mu.Lock()
	defer c.sockets.mu.Unlock()
	c.awaitsMemory = awaits
}

// takeMemory returns the reservation of the request that has arrived, and leaves the connection without one. The caller must
// release it. It is nil if the connection is nil or has none.
func (c *trackedConn) takeMemory() *reservation {
	if c == nil {
		return nil
	}
	c.sockets.mu.Lock()
	defer c.sockets.mu.Unlock()
	held := c.held
	c.held = nil
	return held
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
