package httpwire

import (
	"net"
	"time"
)

// How long connections and requests have waited before they were accepted and read. The client's timeout runs
// meanwhile, whatever the reason for the wait is.

// minUnreadWait is the shortest wait that counts. The kernel measures in clock ticks of up to 10 ms, so shorter waits can't
// be distinguished from none.
const minUnreadWait = 10 * time.Millisecond

// blockAccept records that a new connection has to wait in the backlog.
func (s *Sockets) blockAccept() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.acceptBlockedAt.IsZero() {
		s.acceptBlockedAt = now
	}
	if s.backlogSince.IsZero() {
		s.backlogSince = now
	}
}

// unblockAccept records that new connections can be accepted again.
func (s *Sockets) unblockAccept() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.acceptBlockedAt.IsZero() {
		return
	}
	s.acceptBlocked += time.Since(s.acceptBlockedAt)
	s.acceptBlockedAt = time.Time{}
}

// trackAccepted is like track for a client connection that was accepted after waiting for one for the given time.
func (s *Sockets) trackAccepted(conn net.Conn, waited time.Duration) *trackedConn {
	c := s.track(conn, true)
	sinceData, known := c.sinceLastData()
	s.mu.Lock()
	defer s.mu.Unlock()
	if waited >= acceptRetry {
		s.backlogSince = time.Time{} // the backlog was empty
	}
	if !s.backlogSince.IsZero() {
		c.maxBacklogWait = time.Since(s.backlogSince)
	}
	if !known {
		sinceData = c.maxBacklogWait
	}
	if sinceData >= minUnreadWait {
		c.connectedAt = c.acceptedAt.Add(-sinceData)
	}
	return c
}

// sinceLastData is like the function of that name, for a connection that may not be a socket.
func (c *trackedConn) sinceLastData() (since time.Duration, known bool) {
	if c.rawConn == nil {
		return 0, false
	}
	err := c.rawConn.Control(func(fd uintptr) { since, known = c.sockets.sinceLastData(int(fd)) })
	return since, known && err == nil
}

// unreadWait returns for how long the bytes of a request that have just been read from a socket had been waiting there. If
// the kernel does not know, it returns the longest time that they can have spent in the backlog. sockets.mu must be held.
func (c *trackedConn) unreadWait(fd int) time.Duration {
	wait, known := c.sockets.sinceLastData(fd)
	if !known {
		wait = c.maxBacklogWait
	}
	if wait < minUnreadWait {
		return 0
	}
	return wait
}
