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

// maxUnreadBehind is the number of unread bytes behind a request from which on its client counts as gone. The protocol
// allows none, because clients send one request at a time. With so many, the receive window may be exhausted, and then the
// kernel does not learn of a close. Windows are 64 KiB or more.
const maxUnreadBehind = 16 << 10

// presenceInterval is how long a client that was there when its request was read counts as still there. The protocol allows
// attempts to begin up to 0.1 s after a close; most requests have only one attempt, right after they were read.
const presenceInterval = 20 * time.Millisecond

// peekBuffers holds buffers for counting unread bytes.
var peekBuffers = sync.Pool{New: func() any { return new([maxUnreadBehind]byte) }}

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
	err := c.rawConn.Control(func(fd uintptr) {
		closed = closedByPeer(int(fd)) || unreadBytes(int(fd)) >= maxUnreadBehind
	})
	return closed || errors.Is(err, net.ErrClosed)
}

// unreadBytes returns the number of bytes that wait to be read on a socket, up to maxUnreadBehind.
func unreadBytes(fd int) int {
	buffer := peekBuffers.Get().(*[maxUnreadBehind]byte)
	defer peekBuffers.Put(buffer)
	n, _, err := syscall.Recvfrom(fd, buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	if err != nil {
		return 0
	}
	return n
}
