package httpwire

// Backend connections are pooled per address. The pool must never hand out a connection on which a byte of an earlier
// call may still arrive, nor one to a backend that has left its address.

import (
	"context"
	"errors"
	"slices"
	"sync"
	"syscall"
	"time"

	"onyxgate/internal/core"
)

const (
	// A backend may send a second copy of a response some milliseconds after the first. On a connection that is already
	// in use again, that copy would be taken for the response to the next call. Therefore no connection is reused
	// before this delay, and a connection on which data arrived in the meantime is closed. Only a probe's connection is
	// reused at once: a copy of its load report can be distinguished from the response to a request.
	minReuseDelay = 50 * time.Millisecond
	sweepInterval = time.Second
)

var errNoSocket = errors.New("no socket left")

// connPools holds the connection pools of all backends.
type connPools struct {
	dial           Dial
	sockets        *Sockets
	connectTimeout time.Duration
	idleTimeout    time.Duration // connections idle for longer are closed
	reuseDelay     time.Duration // minimum time between the end of a call and reuse

	mu        sync.Mutex
	byAddress map[string]*pool
	opened    int // connections opened so far
	noSocket  int // calls for which the socket budget had no room
}

// pool holds the connections to one address. It exists while a connection to the address is idle, in use or being
// dialed, and only as long as the same backend runs there: closeAddress removes it from connPools, after which none of
// its connections is reused.
type pool struct {
	address string
	idle    []*conn // most recently used last
	inUse   int     // connections in use or being dialed
}

// dialCanceler cancels the dial of a connection.
type dialCanceler context.CancelFunc

// Cancel aborts the dial.
func (d dialCanceler) Cancel() { d() }

// get returns a connection to an address: the most recently used idle one that is reusable, or a new one. The caller
// must return it with put or discard. The attempt, which is nil for a probe, can be canceled during the dial. The error
// is errNoSocket, context.Canceled or the error of the dial.
func (ps *connPools) get(attempt *core.Attempt, address string) (*conn, error) {
	p, c := ps.takeIdle(address)
	if c != nil {
		return c, nil
	}
	c, err := ps.open(attempt, address)
	if err != nil {
		ps.mu.Lock()
		ps.release(p)
		ps.mu.Unlock()
		return nil, err
	}
	c.pool = p
	return c, nil
}

// takeIdle counts one more use of an address's pool and removes a reusable idle connection from it. The connection is
// nil if there is none.
func (ps *connPools) takeIdle(address string) (*pool, *conn) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	p := ps.byAddress[address]
	if p == nil {
		p = &pool{address: address}
		ps.byAddress[address] = p
	}
	p.inUse++
	for i := len(p.idle) - 1; i >= 0; i-- {
		c := p.idle[i]
		idleFor := time.Since(c.idleSince)
		if idleFor < ps.reuseDelay && len(c.probeBody) == 0 {
			continue
		}
		p.idle = slices.Delete(p.idle, i, i+1)
		// Anything that arrived while the connection was idle, including its end of file, belongs to no call.
		if idleFor < ps.idleTimeout && hasNoUnreadData(c.Conn) {
			return p, c
		}
		c.Close()
	}
	return p, nil
}

// open dials a new connection. The dial is not bound to the client's context: an attempt may still be wanted after its
// client has gone, and only cancellation of the attempt ends the dial.
func (ps *connPools) open(attempt *core.Attempt, address string) (*conn, error) {
	if !ps.sockets.makeRoom(false) {
		ps.mu.Lock()
		ps.noSocket++
		ps.mu.Unlock()
		return nil, errNoSocket
	}
	ctx, cancel := context.WithTimeout(context.Background(), ps.connectTimeout)
	defer cancel()
	if attempt != nil {
		if canceled, timedOut := attempt.SetCanceler(dialCanceler(cancel)); canceled || timedOut {
			return nil, context.Canceled
		}
	}
	c, err := ps.dial(ctx, address)
	if outOfSockets(err) {
		return nil, errNoSocket
	}
	if err != nil {
		return nil, err
	}
	ps.mu.Lock()
	ps.opened++
	ps.mu.Unlock()
	return newConn(ps.sockets.track(c, false)), nil
}

// outOfSockets reports whether a dial failed because this process is out of file descriptors or local ports.
func outOfSockets(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.EADDRNOTAVAIL)
}

// put returns a connection to its pool, or closes it if its backend has left the address.
func (ps *connPools) put(c *conn) {
	c.idleSince = time.Now()
	ps.mu.Lock()
	alive := ps.current(c.pool)
	if alive {
		c.pool.idle = append(c.pool.idle, c)
	}
	ps.release(c.pool)
	ps.mu.Unlock()
	if !alive {
		c.Close()
	}
}

// discard closes a connection that must not be reused.
func (ps *connPools) discard(c *conn) {
	c.Close()
	ps.mu.Lock()
	ps.release(c.pool)
	ps.mu.Unlock()
}

// alive reports whether the backend for which a connection was opened still runs at its address.
func (ps *connPools) alive(c *conn) bool {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	return ps.current(c.pool)
}

// current reports whether a pool is still the one of its address. ps.mu must be held.
func (ps *connPools) current(p *pool) bool { return ps.byAddress[p.address] == p }

// release ends one use of a pool and deletes the pool if it is empty. ps.mu must be held.
func (ps *connPools) release(p *pool) {
	p.inUse--
	if p.inUse == 0 && len(p.idle) == 0 && ps.current(p) {
		delete(ps.byAddress, p.address)
	}
}

// closeLongestIdle closes the connection that has been idle longest and reports whether there was one.
func (ps *connPools) closeLongestIdle() bool {
	c := ps.popLongestIdle()
	if c == nil {
		return false
	}
	c.Close()
	return true
}

// popLongestIdle removes the connection that has been idle longest from its pool, or returns nil if none is idle.
func (ps *connPools) popLongestIdle() *conn {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	var oldest *pool
	for _, p := range ps.byAddress {
		if len(p.idle) > 0 && (oldest == nil || p.idle[0].idleSince.Before(oldest.idle[0].idleSince)) {
			oldest = p
		}
	}
	if oldest == nil {
		return nil
	}
	c := oldest.idle[0]
	oldest.idle = oldest.idle[1:]
	oldest.inUse++ // balances release, which deletes the pool if this was its last connection
	ps.release(oldest)
	return c
}

// closeAddress removes the pool of an address. Connections in use or being dialed are closed when they are returned.
func (ps *connPools) closeAddress(address string) {
	ps.mu.Lock()
	p := ps.byAddress[address]
	delete(ps.byAddress, address)
	ps.mu.Unlock()
	if p == nil {
		return
	}
	for _, c := range p.idle { // the pool is no longer reachable
		c.Close()
	}
}

// sweep closes connections that have been idle for too long until ctx is done, then closes all idle ones.
func (ps *connPools) sweep(ctx context.Context) {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			ps.closeIdle(0)
			return
		case <-tick.C:
			ps.closeIdle(ps.idleTimeout)
		}
	}
}

// closeIdle closes the connections that have been idle for at least the given duration.
func (ps *connPools) closeIdle(atLeast time.Duration) {
	ps.mu.Lock()
	var expired []*conn
	for _, p := range ps.byAddress {
		n := 0
		for n < len(p.idle) && time.Since(p.idle[n].idleSince) >= atLeast {
			n++
		}
		expired = append(expired, p.idle[:n]...)
		p.idle = p.idle[n:]
		p.inUse++ // balances release, which deletes the pool if it is now empty
		ps.release(p)
	}
	ps.mu.Unlock()
	for _, c := range expired {
		c.Close()
	}
}

// counts returns the number of connections opened so far, of idle ones, and of calls for which the socket budget had no
// room. It does not count calls whose dial failed because the process was out of sockets.
func (ps *connPools) counts() (opened, idle, noSocket int) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	for _, p := range ps.byAddress {
		idle += len(p.idle)
	}
	return ps.opened, idle, ps.noSocket
}
