package httpwire

// This file owns the budget of sockets that clients and appliances share: who holds how many, and which idle
// connections go first when it runs short. It must never close a connection that carries a request, nor let those that
// say nothing keep others waiting: what waits in the backlog may already be a request taken.

import (
	"container/list"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"onyxgate/internal/invariant"
)

// reservedSockets is held back for what is no client or appliance: standard streams, the runtime's poller, the listener,
// discovery, the platform.
const reservedSockets = 16

// Sockets counts connections against the budget. From clientPart on, clients' connections that carry nothing make room
// for new ones; clientMost are the most, for without appliances' part no request that is held would get on.
type Sockets struct {
	mu               sync.Mutex
	limit            int
	used             int
	clients          int
	newConns         *list.List  // clients' connections on which no request has ever come, the longest so first
	idleConns        *list.List  // those between requests
	closeIdleBackend func() bool // closes one idle connection to an appliance
	shortageLoggedAt time.Time
}

const (
	// Clients hold a third for their requests and no more: those that asked once and stay would fill it, and no other would get
	// a connection. So the longest idle make room before.
	clientShare    = 0.25
	maxClientShare = 0.8
	// A connection used less than this ago may be about to be used again. No longer: clients use theirs in turn, and
	// with hundreds idle none of them would ever be old.
	idleGrace = 20 * time.Millisecond
	// A slow client's head takes its time, and its request is lost to it where the connection is closed: less than this says
	// nothing of a client. Beyond it a silent one may be one of hundreds that never speak.
	newConnGrace = time.Second
)

// NewSockets makes a budget; 0 means no limit.
func NewSockets(limit int) *Sockets {
	if limit <= 0 {
		limit = 1 << 20
	}
	return &Sockets{
		limit: max(limit-reservedSockets, 4), newConns: list.New(), idleConns: list.New(),
		closeIdleBackend: func() bool { return false },
	}
}

// Used counts what is open, clients' part of it, and those of them that carry no request.
func (s *Sockets) Used() (all, clients, idle int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.used, s.clients, s.idleConns.Len() + s.newConns.Len()
}

// ClientLimit is how many of them there can be.
func (s *Sockets) ClientLimit() int { return int(maxClientShare * float64(s.limit)) }

// Full tells that nothing is left, so that a client's connection had better end with its request.
func (s *Sockets) Full() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.used >= s.limit
}

// makeRoom makes room for one more and tells whether there is: what has said nothing for long goes first, then what is idle,
// first on the side that has more than its part, and last what came a moment ago and may be about to say something.
func (s *Sockets) makeRoom(client bool) bool {
	for tries := 0; ; tries++ {
		s.mu.Lock()
		crowded, full := float64(s.clients) >= clientShare*float64(s.limit), s.used >= s.limit
		none := full || client && s.clients >= s.ClientLimit()
		warn := full && tries > 0 && time.Since(s.shortageLoggedAt) > 5*time.Second
		if warn {
			s.shortageLoggedAt = time.Now()
			logrus.WithFields(logrus.Fields{"open": s.used, "clients": s.clients, "limit": s.limit}).
				Warn("sockets run short, and none is idle")
		}
		s.mu.Unlock()
		if !none && !(client && crowded) || tries > 0 {
			return !none
		}
		if s.closeIdleClient(s.newConns, newConnGrace) || crowded && s.closeIdleClient(s.idleConns, idleGrace) || !none {
			continue
		}
		_ = full && s.closeIdleBackend() || s.closeIdleClient(s.idleConns, idleGrace) || s.closeIdleClient(s.newConns, idleGrace)
	}
}

// closeIdleClient closes the connection longest in a list, for so long at the least, unless something has come on it unread.
func (s *Sockets) closeIdleClient(from *list.List, least time.Duration) bool {
	for range 8 {
		s.mu.Lock()
		first := from.Front()
		if first == nil {
			s.mu.Unlock()
			return false
		}
		c := first.Value.(*trackedConn)
		if time.Since(c.listedAt) < least {
			s.mu.Unlock()
			return false
		}
		s.unlist(c)
		c.closedIdle = nothingUnread(c) // under the lock: nothing is read of it from here on
		s.mu.Unlock()
		if c.closedIdle {
			c.Close()
			return true
		}
	}
	return false
}

// ConnIdle and Busy follow a client connection between requests; silent: none has come on it yet.
func (s *Sockets) ConnIdle(conn net.Conn, silent bool) {
	if c, ok := conn.(*trackedConn); ok {
		s.mu.Lock()
		defer s.mu.Unlock()
		c.servedBefore = !silent
		// A server that looks whether its client has gone may have read on already: then it rests no more.
		if c.betweenRequests && c.element == nil && !c.closed {
			if c.list = s.idleConns; silent {
				c.list = s.newConns
			}
			c.element, c.listedAt = c.list.PushBack(c), time.Now()
		}
	}
}

// RequestRead tells that a request has been read to its end: what comes from here on belongs to the next one.
func (s *Sockets) RequestRead(c *trackedConn) {
	if c == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c.betweenRequests, c.requestStart = true, time.Time{}
}

func (s *Sockets) ConnActive(conn net.Conn) {
	if c, ok := conn.(*trackedConn); ok {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.unlist(c)
	}
}

func (s *Sockets) unlist(c *trackedConn) {
	if c.element != nil {
		c.list.Remove(c.element)
		c.element = nil
	}
}

// CloseIdleClients closes clients' connections that carry nothing.
func (s *Sockets) CloseIdleClients() {
	for s.closeIdleClient(s.idleConns, idleGrace) || s.closeIdleClient(s.newConns, idleGrace) {
	}
}

// track counts a connection until it is closed.
func (s *Sockets) track(conn net.Conn, client bool) net.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used++
	if client {
		s.clients++
	}
	c := &trackedConn{Conn: conn, sockets: s, isClient: client, betweenRequests: true, openedAt: time.Now()}
	if socket, ok := conn.(syscall.Conn); ok && client {
		c.rawConn, _ = socket.SyscallConn()
	}
	return c
}

type trackedConn struct {
	net.Conn
	sockets         *Sockets
	rawConn         syscall.RawConn // of a client's socket
	isClient        bool
	closed          bool
	closedIdle      bool      // nothing had come of the next request, and nothing is read any more
	betweenRequests bool      // nothing has come of the next request
	requestStart    time.Time // when it began to come; zero: unseen
	servedBefore    bool      // a request has come on it before
	firstHeadRead   bool      // the first one's head has come
	openedAt        time.Time
	list            *list.List // silent or idle
	element         *list.Element
	listedAt        time.Time
}

// Read ends a rest: what has begun to come may be whole by the time that a close arrives, and a request lost. Bytes leave
// a client's socket under the lock under which it is seen to be quiet and given up: one of the two comes first.
func (c *trackedConn) Read(b []byte) (n int, err error) {
	if !c.isClient {
		return c.Conn.Read(b)
	}
	s := c.sockets
	if c.rawConn == nil {
		n, err = c.Conn.Read(b)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.bytesRead(c, n)
		return n, err
	}
	failed := c.rawConn.Read(func(fd uintptr) bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		if c.closedIdle {
			n, err = 0, net.ErrClosed
			return true
		}
		for {
			if n, err = syscall.Read(int(fd), b); err != syscall.EINTR {
				break
			}
		}
		s.bytesRead(c, n)
		return err != syscall.EAGAIN
	})
	switch {
	case failed != nil:
		return 0, failed
	case err != nil:
		return 0, err
	case n == 0 && len(b) > 0:
		return 0, io.EOF
	}
	return n, nil
}

// bytesRead notes that n bytes have come; under the lock.
func (s *Sockets) bytesRead(c *trackedConn, n int) {
	if n <= 0 {
		return
	}
	if c.betweenRequests {
		c.betweenRequests, c.requestStart = false, time.Now()
	}
	if c.list == s.idleConns {
		s.unlist(c)
	}
}

// RequestAge is how long the request that is being read has been coming, as far as it was seen.
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

// SetReadDeadline gives the head of a connection's first request less time than the server allows any other: a bad client is
// owed a close soon, and one that has been served is none.
func (c *trackedConn) SetReadDeadline(t time.Time) error {
	if most := c.openedAt.Add(newConnHeadTimeout); c.isClient && !c.servedBefore && !c.firstHeadRead && t.After(most) {
		t = most
	}
	return c.Conn.SetReadDeadline(t)
}

func (c *trackedConn) Close() error {
	err := c.Conn.Close()
	s := c.sockets
	s.mu.Lock()
	defer s.mu.Unlock()
	if !c.closed {
		c.closed = true
		s.used--
		if c.isClient {
			s.clients--
			s.unlist(c)
		}
		invariant.Check(s.used >= 0 && s.clients >= 0, "a connection is closed once", s.used)
	}
	return err
}

// nothingUnread tells that nothing has come on a connection, its end included.
func nothingUnread(c net.Conn) bool {
	if k, ok := c.(*trackedConn); ok {
		c = k.Conn
	}
	raw, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	still := false
	// Control and not Read: a server's reader may be waiting on this connection, and Read would wait behind it.
	err = control.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		still = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && still
}

// Listener accepts whatever comes as long as there is room; what waits in the backlog waits on others' silence for
// restMost at the most.
type Listener struct {
	net.Listener
	Sockets *Sockets
}

func (l Listener) Accept() (net.Conn, error) {
	for ; ; time.Sleep(time.Millisecond) {
		if !l.Sockets.makeRoom(true) {
			continue
		}
		c, err := l.Listener.Accept()
		if err == nil {
			return l.Sockets.track(c, true), nil
		}
		// With no descriptor left the connection waits in the backlog until one is.
		if !errors.Is(err, syscall.EMFILE) && !errors.Is(err, syscall.ENFILE) {
			return nil, err
		}
	}
}
