package httpwire

import (
	"errors"
	"net"
	"sync"
	"syscall"

	"onyxgate/internal/failpoint"
)

// Whether the client of a request has closed its connection. net/http detects a close only while nothing waits to be read in
// front of it: a client that has sent more than its request, and then left, would seem to be there until everything is read.

// maxUnreadBehind is the number of unread bytes behind a request from which on its client counts as gone. The protocol
// allows none, because clients send one request at a time. With so many, the receive window may be exhausted, and then the
// kernel does not learn of a close. Windows are 64 KiB or more.
const maxUnreadBehind = 16 << 10

// peekBuffers holds buffers for counting unread bytes.
var peekBuffers = sync.Pool{New: func() any { return new([maxUnreadBehind]byte) }}

// clientLeft reports whether the client of a request that has been read completely has closed its connection, or can't be
// known to be there. It does not block. For a nil connection it returns false. A client that has closed only its sending
// side counts as gone, too.
func (c *trackedConn) clientLeft() bool {
	if c == nil {
		return false
	}
	switch peek(c) {
	case unreadEnd:
		return true
	case unreadData:
		return c.closedBehindData()
	}
	return false
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
