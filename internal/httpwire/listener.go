package httpwire

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// acceptRetry is the pause before Accept checks again for room.
const acceptRetry = time.Millisecond

// Listener accepts client connections while the socket budget has room. Otherwise new connections stay in the backlog
// until idle connections are closed, which takes at most idleGrace if there are any, or an incomplete request is rejected.
// The wait in the backlog is part of the time that the clients allow for their requests.
type Listener struct {
	net.Listener
	Sockets *Sockets
}

// Accept returns the next connection, which counts against the budget until it is closed. It blocks while the budget or
// the process has no free socket, and returns all other errors of the underlying listener.
func (l Listener) Accept() (net.Conn, error) {
	for {
		if !l.Sockets.makeRoom(true) {
			l.Sockets.blockAccept()
			time.Sleep(acceptRetry)
			continue
		}
		l.Sockets.unblockAccept()
		from := time.Now()
		conn, err := l.Listener.Accept()
		if err == nil {
			return l.Sockets.trackAccepted(conn, time.Since(from)), nil
		}
		// If the process has no free descriptor, the connection waits in the backlog until there is one.
		noDescriptor := errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
		if !noDescriptor {
			return nil, err
		}
		l.Sockets.blockAccept()
		time.Sleep(acceptRetry)
	}
}
