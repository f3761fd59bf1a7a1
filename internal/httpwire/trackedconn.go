package httpwire

import (
	"container/list"
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"onyxgate/internal/invariant"
)

// trackedConn is a connection that counts against the budget until it is closed. The fields of a client's connection follow its
// requests: they tell whether it may be closed to make room, and how long its request has been coming.
type trackedConn struct {
	net.Conn
	sockets  *Sockets
	isClient bool
	rawConn  syscall.RawConn // a client's socket; nil: it has none
	openedAt time.Time

	// servedBefore tells that a request has been answered on it before, firstHeadRead that the head of the first one has come.
	// Only the goroutine that serves the connection writes and reads them.
	servedBefore  bool
	firstHeadRead bool

	// What follows is guarded by sockets.mu.

	closed          bool
	evicted         bool      // given up without a byte of the next request, and nothing is read of it any more
	betweenRequests bool      // no byte of the next request has come
	requestStart    time.Time // when its first byte came; zero: unseen
	idleList        *list.List
	element         *list.Element // its place there; nil: it stands in none
	listedAt        time.Time
}

// addTo appends the connection to one of the lists of those that carry no request. sockets.mu is held.
func (c *trackedConn) addTo(idle *list.List) {
	c.idleList, c.listedAt = idle, time.Now()
	c.element = idle.PushBack(c)
}

// removeFromList takes the connection off its list, if it stands in one. sockets.mu is held.
func (c *trackedConn) removeFromList() {
	if c.element != nil {
		c.idleList.Remove(c.element)
		c.element = nil
	}
}

// onRead notes that n bytes have come of a client's request. sockets.mu is held.
func (c *trackedConn) onRead(n int) {
	if n <= 0 {
		return
	}
	if c.betweenRequests {
		c.betweenRequests, c.requestStart = false, time.Now()
	}
	if c.idleList == c.sockets.idleConns {
		c.removeFromList()
	}
}

// Read ends the time in which the connection may be closed as idle: what has begun to come may be whole by the time that a close
// arrives, and a request would be lost. Bytes leave a client's socket under the lock under which it is seen to be idle and given
// up, so that one of the two comes first.
func (c *trackedConn) Read(b []byte) (n int, err error) {
	if !c.isClient {
		return c.Conn.Read(b)
	}
	if c.rawConn == nil {
		return c.readPlain(b)
	}
	waitErr := c.rawConn.Read(func(fd uintptr) (done bool) {
		n, err = c.readSocket(int(fd), b)
		return !errors.Is(err, syscall.EAGAIN) // else wait until the socket is readable
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

// readPlain reads from a client's connection that is no socket.
func (c *trackedConn) readPlain(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.sockets.mu.Lock()
	defer c.sockets.mu.Unlock()
	c.onRead(n)
	return n, err
}

// readSocket takes what a client's socket has, without waiting, unless the connection was given up.
func (c *trackedConn) readSocket(fd int, b []byte) (n int, err error) {
	c.sockets.mu.Lock()
	defer c.sockets.mu.Unlock()
	if c.evicted {
		return 0, net.ErrClosed
	}
	for {
		n, err = syscall.Read(fd, b)
		if !errors.Is(err, syscall.EINTR) {
			break
		}
	}
	c.onRead(n)
	return n, err
}

// SetReadDeadline gives the head of a client's first request less time than the server allows any other: a bad client is owed a
// close soon, and one that has been served is none.
func (c *trackedConn) SetReadDeadline(t time.Time) error {
	isFirstHead := c.isClient && !c.servedBefore && !c.firstHeadRead
	if latest := c.openedAt.Add(newConnHeadTimeout); isFirstHead && t.After(latest) {
		t = latest
	}
	return c.Conn.SetReadDeadline(t)
}

// Close closes the connection and gives its place in the budget back, once.
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

// hasNoUnreadData tells that nothing waits to be read on a connection, its end included. It does not block. Of a connection that
// is no socket it can't know, and says so too.
func hasNoUnreadData(conn net.Conn) bool {
	if tracked, ok := conn.(*trackedConn); ok {
		conn = tracked.Conn
	}
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	isEmpty := false
	// Control and not Read: a server's reader may be waiting on this connection, and Read would wait behind it.
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		isEmpty = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && isEmpty
}
