package httpwire

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// acceptRetry is how long Accept waits before it looks again whether there is room.
const acceptRetry = time.Millisecond

// Listener accepts clients' connections as long as the budget has room. What waits in the backlog meanwhile waits for idle
// connections to be closed, idleGrace at the most where there are any.
type Listener struct {
	net.Listener
	Sockets *Sockets
}

// Accept returns the next connection, which counts against the budget until it is closed. It waits while the budget or the
// process has no room, and fails as the inner listener does otherwise.
func (l Listener) Accept() (net.Conn, error) {
	for {
		if !l.Sockets.makeRoom(true) {
			time.Sleep(acceptRetry)
			continue
		}
		conn, err := l.Listener.Accept()
		if err == nil {
			return l.Sockets.track(conn, true), nil
		}
		// With no descriptor left the connection waits in the backlog until one is free.
		noDescriptor := errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
		if !noDescriptor {
			return nil, err
		}
		time.Sleep(acceptRetry)
	}
}
