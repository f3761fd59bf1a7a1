package httpwire

// This file owns the budget of sockets that clients and appliances share: who holds how many, and which idle
// connections go first when it runs short. It must never close a connection that carries a txn, nor stop accepting
// while a descriptor is left: what waits in the backlog may already be a txn taken.

import (
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
	mu       sync.Mutex
	limit    int
	used     int
	clients  int
	idle     map[net.Conn]int // clients between two txns, by when they became so
	turn     int
	shed     func() bool // closes one idle connection to an appliance
	shortAt  time.Time
	Shortage int
}

const (
	clientPart = 0.7
	acceptMost = 20 * time.Millisecond // that a connection waits for another to end; it may hold a txn
)

// NewSockets makes a budget; 0 means no limit.
func NewSockets(limit int) *Sockets {
	if limit <= 0 {
		limit = 1 << 20
	}
	return &Sockets{limit: max(limit-reserve, 4), idle: map[net.Conn]int{}, shed: func() bool { return false }}
}

// Used counts what is open, and clients' part of it.
func (s *Sockets) Used() (all, clients int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.used, s.clients
}

func (s *Sockets) crowded() bool { return float64(s.clients) >= clientPart*float64(s.limit) }

// Short tells that clients' part is used up, so that their connections had better end with their txns.
func (s *Sockets) Short() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crowded() || s.used >= s.limit
}

// room makes room for one more: idle connections go first, clients' where these are many. It tells whether there is.
func (s *Sockets) room(client bool) bool {
	for tries := 0; ; tries++ {
		s.mu.Lock()
		crowded, full := s.crowded(), s.used >= s.limit
		short := full || client && crowded
		if short && time.Since(s.shortAt) > time.Second {
			s.shortAt = time.Now()
			s.Shortage++
			logrus.WithFields(logrus.Fields{"open": s.used, "clients": s.clients, "limit": s.limit}).Warn("sockets run short")
		}
		s.mu.Unlock()
		if !short || tries > 1 {
			return !short
		}
		if crowded {
			s.shedClient()
		} else if !s.shed() {
			s.shedClient()
		}
	}
}

// shedClient closes the client connection that has been idle longest, unless something has come on it unread.
func (s *Sockets) shedClient() {
	s.mu.Lock()
	var oldest net.Conn
	for c, turn := range s.idle {
		if oldest == nil || turn < s.idle[oldest] {
			oldest = c
		}
	}
	delete(s.idle, oldest)
	s.mu.Unlock()
	if oldest != nil && quiet(oldest) {
		oldest.Close()
	}
}

// Idle and Busy follow a client connection between txns.
func (s *Sockets) Idle(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turn++
	s.idle[c] = s.turn
}

func (s *Sockets) Busy(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.idle, c)
}

// CloseIdle closes clients' connections that carry nothing.
func (s *Sockets) CloseIdle() {
	s.mu.Lock()
	n := len(s.idle)
	s.mu.Unlock()
	for range n {
		s.shedClient()
	}
}

// hold counts a connection until it is closed.
func (s *Sockets) hold(c net.Conn, client bool) net.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used++
	if client {
		s.clients++
	}
	return &counted{Conn: c, sockets: s, client: client}
}

type counted struct {
	net.Conn
	sockets *Sockets
	client  bool
	once    sync.Once
}

func (c *counted) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() {
		c.sockets.mu.Lock()
		defer c.sockets.mu.Unlock()
		c.sockets.used--
		if c.client {
			c.sockets.clients--
			delete(c.sockets.idle, c)
		}
		must.Hold(c.sockets.used >= 0 && c.sockets.clients >= 0, "a connection is closed once", c.sockets.used)
	})
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
	for from := time.Now(); !l.Sockets.room(true) && time.Since(from) < acceptMost; {
		time.Sleep(time.Millisecond)
	}
	for {
		c, err := l.Listener.Accept()
		if err == nil {
			return l.Sockets.hold(c, true), nil
		}
		if !errors.Is(err, syscall.EMFILE) && !errors.Is(err, syscall.ENFILE) {
			return nil, err
		}
		// No descriptor is left: the connection waits in the backlog until one is.
		if !l.Sockets.shed() {
			l.Sockets.shedClient()
		}
		time.Sleep(time.Millisecond)
	}
}
