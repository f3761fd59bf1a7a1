package httpwire

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"onyxgate/internal/failpoint"
)

// Whether the client of a request has closed its connection. net/http detects a close only while nothing waits to be read in
// front of it: a client that has sent more than its request, and then left, would seem to be there until everything is read.

// maxSentAhead is the number of bytes that a client may send without waiting for an answer before it counts as gone, if some of
// them are still unread. The protocol allows no more than one request. With more, the receive window may have been exhausted,
// and until the client's kernel has sent everything, which it does in steps, ours does not learn of a close. Windows are
// 64 KiB or more.
const maxSentAhead = 32 << 10

// presenceInterval is how long a client that was there when its request was read counts as still there. The protocol allows
// attempts to begin up to 0.1 s after a close; most requests have only one attempt, right after they were read.
const presenceInterval = 20 * time.Millisecond

// peekBuffers holds buffers for counting unread bytes.
var peekBuffers = sync.Pool{New: func() any { return new([maxSentAhead]byte) }}

// clientLeft reports whether the client of a request that has been read completely has closed its connection, or can't be
// known to be there. It does not block. For a nil connection it returns false. A client that has closed only its sending
// side counts as gone, too.
func (c *trackedConn) clientLeft() bool {
	if c == nil {
		return false
	}
	found := peek(c)
	if found == unreadEnd || found == unreadData && c.closedBehindData() {
		return true
	}
	c.presentUntil.Store(int64(time.Since(c.acceptedAt) + presenceInterval))
	return false
}

// leftBeforeAttempt is like clientLeft, for an attempt that is about to be sent. It does not look again if clientLeft has just
// found the client.
func (c *trackedConn) leftBeforeAttempt() bool {
	if c == nil || int64(time.Since(c.acceptedAt)) < c.presentUntil.Load() {
		return false
	}
	return c.clientLeft()
}

// closedBehindData reports whether the client has closed its connection although bytes wait to be read, or may have done so.
func (c *trackedConn) closedBehindData() (closed bool) {
	if c.rawConn == nil || failpoint.Defect("hidden-close") {
		return false
	}
	c.sockets.mu.Lock()
	sentAhead := c.sentAhead
	c.sockets.mu.Unlock()
	err := c.rawConn.Control(func(fd uintptr) {
		closed = closedByPeer(int(fd)) || sentAhead+unreadBytes(int(fd)) >= maxSentAhead
	})
	return closed || errors.Is(err, net.ErrClosed)
}

// unreadBytes returns the number of bytes that wait to be read on a socket, up to maxSentAhead.
func unreadBytes(fd int) int {
	buffer := peekBuffers.Get().(*[maxSentAhead]byte)
	defer peekBuffers.Put(buffer)
	n, _, err := syscall.Recvfrom(fd, buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	if err != nil {
		return 0
	}
	return n
}
