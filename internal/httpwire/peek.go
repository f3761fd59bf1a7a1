package httpwire

import (
	"errors"
	"net"
	"syscall"
)

// unread is what waits to be read on a connection.
type unread uint8

const (
	unreadUnknown unread = iota // the connection is not a socket
	unreadNone                  // nothing has arrived
	unreadData                  // at least one byte
	unreadEnd                   // everything was read, and either side has closed or reset the connection
)

// peek reports what waits to be read on a connection. It does not block and reads nothing.
func peek(conn net.Conn) unread {
	if tracked, ok := conn.(*trackedConn); ok {
		conn = tracked.Conn
	}
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return unreadUnknown
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return unreadEnd
	}
	found := unreadEnd
	// Control is used because Read would wait while a server's reader is blocked on this connection. It fails if the
	// connection is closed on this side.
	_ = raw.Control(func(fd uintptr) { found = peekSocket(int(fd)) })
	return found
}

func peekSocket(fd int) unread {
	var b [1]byte
	n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case errors.Is(err, syscall.EAGAIN):
		return unreadNone
	case err == nil && n > 0:
		return unreadData
	}
	return unreadEnd
}

// hasNoUnreadData reports whether nothing is waiting to be read on a connection, including its end of file. It does not
// block. For a connection that is not a socket it can't know and returns true.
func hasNoUnreadData(conn net.Conn) bool {
	found := peek(conn)
	return found == unreadNone || found == unreadUnknown
}
