package httpwire

import (
	"container/list"
	"net/http"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
)

// Which connections are closed when the socket budget runs short, and in which order.

const (
	// idleGrace is how long a client connection is protected from eviction after its last request or, if it is new, after
	// it was accepted: the client may be about to use it. It is short because clients rotate through their connections:
	// with hundreds of them idle, each would be used again before a longer grace period expires.
	idleGrace = 20 * time.Millisecond
	// newConnGrace is how long a connection without a request yet is protected from eviction, unless nothing else can be
	// closed. A shorter silence is normal, because a slow client takes time to send a request head, and its request is
	// rejected if the connection is closed. After that time, the connection may be one of hundreds that never carry a request.
	newConnGrace = time.Second

	// incompleteGrace is how long an incomplete request is protected from being rejected to make room. With a shorter
	// grace period, clients that send a request in a few pieces would be rejected. With a longer one, requests whose
	// connections wait in the backlog would run out of time: clients with little time left wait for about 250 ms.
	incompleteGrace = 150 * time.Millisecond

	// backendsShortTime is for how long backends count as short of sockets after a connection to one found none. Taking a socket
	// from them again soon would let the next attempts fail.
	backendsShortTime = 100 * time.Millisecond

	// maxBusySkipped limits how many connections closeIdleClient skips because they turn out not to be idle.
	maxBusySkipped = 8

	// shortageLogInterval is the minimum time between two warnings that the budget is exhausted.
	shortageLogInterval = 5 * time.Second
)

// occupancy describes how full the budget is when one more connection is requested.
type occupancy struct {
	full             bool // no connection can be added
	clientsOverShare bool // clients hold at least clientShare of the budget
	hasRoom          bool // there is room for the requested connection
	mayTakeIdle      bool // an idle connection to a backend may be closed for the requested connection
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
	// Each request needs a socket for its client and one for its backend. A client that takes one from the backends, while
	// these are short of them, would only have its request rejected after others.
	isBalanced := float64(s.clients) < balancedClientShare*float64(s.limit)
	o.mayTakeIdle = !isClient || isBalanced || time.Since(s.backendsShortAt) >= backendsShortTime
	return o
}

// makeRoom prepares for one more connection, of a client or to a backend, and reports whether there is room for it. It
// frees at most one socket: if there is no room, or if the connection is a client's and clients hold at least
// clientShare. It reserves nothing: track counts the connection once it is established.
func (s *Sockets) makeRoom(isClient bool) bool {
	before := s.occupancy(isClient)
	shouldFree := !before.hasRoom || isClient && before.clientsOverShare
	if !shouldFree {
		return true
	}
	s.freeOne(before)
	after := s.occupancy(isClient)
	if after.full {
		s.logShortage()
	}
	if !after.hasRoom && !isClient {
		s.noteBackendsShort()
	}
	return after.hasRoom
}

// noteBackendsShort records that a connection to a backend has found no socket.
func (s *Sockets) noteBackendsShort() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.backendsShortAt = time.Now()
}

// freeOne frees at most one socket, trying the connections that are least likely to be needed first:
//
//  1. a client connection without a request that was accepted at least newConnGrace ago
//  2. a client connection between requests, if clients hold at least clientShare
//
// If there is no room for the requested connection, it goes on with:
//
//  3. an idle connection to a backend, if the budget is full; not for a client's connection while backends are short of
//     sockets and clients hold at least balancedClientShare
//  4. a client connection between requests
//  5. a client connection without a request that was accepted at least idleGrace ago
//  6. a client connection whose request has been incomplete for at least incompleteGrace: the request is rejected, and
//     its connection closed soon afterwards
func (s *Sockets) freeOne(o occupancy) {
	if s.closeIdleClient(s.newConns, newConnGrace) {
		return
	}
	if o.clientsOverShare && s.closeIdleClient(s.idleConns, idleGrace) {
		return
	}
	if o.hasRoom {
		return
	}
	if o.full && o.mayTakeIdle && s.closeIdleBackend() {
		return
	}
	if s.closeIdleClient(s.idleConns, idleGrace) {
		return
	}
	if s.closeIdleClient(s.newConns, idleGrace) {
		return
	}
	s.rejectIncomplete(incompleteGrace)
}

// closeIdleClient closes the first connection of a list, which is its oldest entry, if it has been listed for at least
// the grace period, and reports whether it closed one. A connection with unread data may carry a request: it is removed
// from the list and the next one is tried. On a new connection, the request that may be on its way is rejected first.
func (s *Sockets) closeIdleClient(from *list.List, grace time.Duration) (closed bool) {
	for range maxBusySkipped {
		conn, isIdle := s.popIdleClient(from, grace)
		if conn == nil {
			return false
		}
		if !isIdle {
			continue
		}
		if from == s.newConns {
			conn.rejectUnsent()
		}
		conn.Close()
		return true
	}
	return false
}

// rejectUnsent answers 503 on an evicted connection that has not carried a request yet, because its first one may be on its
// way. A client sends a request again if it crosses the close of a connection that was used before, but not if it was the
// first one. Nothing else is written to an evicted connection. The call does not block: the answer is the first thing that is
// written, and fits into the socket's buffer.
func (c *trackedConn) rejectUnsent() {
	if c.rawConn == nil {
		return
	}
	answer := []byte(closingAnswer(http.StatusServiceUnavailable, rejectedText))
	// An error means that the client has closed the connection.
	_ = c.rawConn.Control(func(fd uintptr) { _, _ = syscall.Write(int(fd), answer) })
	c.sockets.mu.Lock()
	defer c.sockets.mu.Unlock()
	c.sockets.unsentRejected++
}

// popIdleClient removes and returns the first connection of a list, or returns nil if the list is empty or its first
// entry has not been listed for the grace period. If the connection has no unread data, isIdle is true and the
// connection is marked as evicted, so that nothing is read from it any more.
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
	// Read holds the same lock, so it either reads the bytes before this check or sees the mark after it.
	conn.evicted = !conn.hasUnread()
	return conn, conn.evicted
}

// CloseIdleClients closes client connections that carry no request, except those active less than idleGrace ago. It may
// miss some if maxBusySkipped connections in a row turn out not to be idle.
func (s *Sockets) CloseIdleClients() {
	for s.closeIdleClient(s.idleConns, idleGrace) || s.closeIdleClient(s.newConns, idleGrace) {
	}
}

// logShortage warns that the budget is exhausted, at most once per shortageLogInterval.
func (s *Sockets) logShortage() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.shortageLoggedAt) <= shortageLogInterval {
		return
	}
	s.shortageLoggedAt = time.Now()
	logrus.WithFields(logrus.Fields{"open": s.used, "clients": s.clients, "limit": s.limit}).Warn("no socket left, and none is idle")
}
