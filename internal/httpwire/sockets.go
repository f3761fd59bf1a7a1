package httpwire

// This file owns the budget of sockets that clients and appliances share: who holds how many, and which idle
// connections go first when it runs short. It must never close a connection that carries a txn, nor stop accepting
// while a descriptor is left: what waits in the backlog may already be a txn taken.

import (
	"container/list"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"onyxgate/internal/must"
)

// reserve is held back for what is no client or appliance: standard streams, the runtime's poller, the listener,
// discovery, the platform.
const reserve = 16

// Sockets counts connections against the budget. Clients may fill clientPart of it and appliances the rest; each may
// use what the other leaves.
type Sockets struct {
	mu      sync.Mutex
	limit   int
	used    int
	clients int
	idle    *list.List  // clients' connections that carry no txn, the longest so first
	shed    func() bool // closes one idle connection to an appliance
	shortAt time.Time
}

const (
	clientPart = 0.75
	acceptMost = 50 * time.Millisecond // that one more connection waits for another to go: it may hold a txn
	// A connection used less than this ago may be about to be used again. No longer: clients use theirs in turn, and
	// with hundreds idle none of them would ever be old.
	restMost = 20 * time.Millisecond
)

// NewSockets makes a budget; 0 means no limit.
func NewSockets(limit int) *Sockets {
	if limit <= 0 {
		limit = 1 << 20
	}
	return &Sockets{limit: max(limit-reserve, 4), idle: list.New(), shed: func() bool { return false }}
}

// Used counts what is open, clients' part of it, and those of them that carry no txn.
func (s *Sockets) Used() (all, clients, idle int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.used, s.clients, s.idle.Len()
}

// Clients is how many of them there can be.
func (s *Sockets) Clients() int { return int(clientPart * float64(s.limit)) }

// Full tells that nothing is left, so that a client's connection had better end with its txn.
func (s *Sockets) Full() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.used >= s.limit
}

// room makes room for one more: idle connections go first, clients' where these are many. It tells whether there is.
func (s *Sockets) room(client bool) bool {
	for tries := 0; ; tries++ {
		s.mu.Lock()
		crowded, full := float64(s.clients) >= clientPart*float64(s.limit), s.used >= s.limit
		short := full || client && crowded
		warn := full && tries > 0 && time.Since(s.shortAt) > 5*time.Second
		if warn {
			s.shortAt = time.Now()
			logrus.WithFields(logrus.Fields{"open": s.used, "clients": s.clients, "limit": s.limit}).
				Warn("sockets run short, and none is idle")
		}
		s.mu.Unlock()
		if !short || tries > 0 {
			return !short
		}
		if !(crowded && s.shedClient()) && full && !s.shed() {
			s.shedClient()
		}
	}
}

// shedClient closes the client connection that has been idle longest, unless something has come on it unread.
func (s *Sockets) shedClient() bool {
	for range 8 {
		s.mu.Lock()
		first := s.idle.Front()
		if first == nil {
			s.mu.Unlock()
			return false
		}
		c := first.Value.(*counted)
		if time.Since(c.since) < restMost {
			s.mu.Unlock()
			return false
		}
		s.busy(c)
		s.mu.Unlock()
		if quiet(c) {
			c.Close()
			return true
		}
	}
	return false
}

// Idle and Busy follow a client connection between txns.
func (s *Sockets) Idle(conn net.Conn) {
	if c, ok := conn.(*counted); ok {
		s.mu.Lock()
		defer s.mu.Unlock()
		if c.place == nil && !c.closed {
			c.place, c.since = s.idle.PushBack(c), time.Now()
		}
	}
}

func (s *Sockets) Busy(conn net.Conn) {
	if c, ok := conn.(*counted); ok {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.busy(c)
	}
}

func (s *Sockets) busy(c *counted) {
	if c.place != nil {
		s.idle.Remove(c.place)
		c.place = nil
	}
}

// CloseIdle closes clients' connections that carry nothing.
func (s *Sockets) CloseIdle() {
	for s.shedClient() {
	}
}

// hold counts a connection until it is closed.
func (s *Sockets) hold(conn net.Conn, client bool) net.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used++
	if client {
		s.clients++
	}
	return &counted{Conn: conn, sockets: s, client: client}
}

type counted struct {
	net.Conn
	sockets *Sockets
	client  bool
	closed  bool
	place   *list.Element // among the idle
	since   time.Time
}

func (c *counted) Close() error {
	err := c.Conn.Close()
	s := c.sockets
	s.mu.Lock()
	defer s.mu.Unlock()
	if !c.closed {
		c.closed = true
		s.used--
		if c.client {
			s.clients--
			s.busy(c)
		}
		must.Hold(s.used >= 0 && s.clients >= 0, "a connection is closed once", s.used)
	}
	return err
}

// quiet tells that nothing has come on a connection, its end included.
func quiet(c net.Conn) bool {
	if k, ok := c.(*counted); ok {
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

// Listener accepts whatever comes, within the budget where idle connections can make room and beyond it where not.
type Listener struct {
	net.Listener
	Sockets *Sockets
}

func (l Listener) Accept() (net.Conn, error) {
	for from := time.Now(); ; time.Sleep(time.Millisecond) {
		if !l.Sockets.room(true) && time.Since(from) < acceptMost {
			continue // appliances' part is kept for them: without it no txn that is held would get on
		}
		c, err := l.Listener.Accept()
		if err == nil {
			return l.Sockets.hold(c, true), nil
		}
		// With no descriptor left the connection waits in the backlog until one is.
		if !errors.Is(err, syscall.EMFILE) && !errors.Is(err, syscall.ENFILE) {
			return nil, err
		}
	}
}
