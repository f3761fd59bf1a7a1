package httpwire

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"
)

// How the bytes of clients are read: what belongs to which request, when a request began to arrive, and what has to wait for
// memory.

// onRequestStart records that the first byte of a client's request was read, which had been waiting for the given time.
// sockets.mu must be held.
func (c *trackedConn) onRequestStart(waited time.Duration) {
	c.betweenRequests, c.headIncomplete, c.requestStart = false, true, time.Now().Add(-waited)
	c.maxBacklogWait = 0
	c.head = headScanner{}
	c.backToBack++
	if c.foundNothing {
		c.backToBack, c.sentAhead = 0, 0
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

// errEvicted is the error of reading from an evicted connection, which is about to be closed. It is a failed read in the form
// that makes net/http end the connection without an answer: it would answer 400 to a request that it has not seen.
var errEvicted = &net.OpError{Op: "read", Net: "tcp", Err: net.ErrClosed}

// readSocket reads the bytes available on a client's socket without blocking, and returns their number and how many of them
// Read returns now. It fails if the connection was evicted or its request rejected.
func (c *trackedConn) readSocket(fd int, b []byte) (read, n int, err error) {
	c.sockets.mu.Lock()
	defer c.sockets.mu.Unlock()
	if c.evicted {
		return 0, 0, errEvicted
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
	}
	if err != nil || read <= 0 {
		return read, 0, err
	}
	waited := time.Duration(0)
	if c.betweenRequests {
		waited = c.unreadWait(fd)
	}
	n = c.onRead(b[:read], waited)
	c.sentAhead += read
	return read, n, nil
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
