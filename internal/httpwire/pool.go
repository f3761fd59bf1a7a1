package httpwire

// This file keeps connections to backends for reuse, one pool for each address. It must never hand out a connection on which
// a byte may still come that belongs to an earlier call, nor one that leads to a backend which has left its address.

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
	// A second copy of a response may come some milliseconds after the first. On a connection that is in use again by then it
	// would pass for the next call's response. So no connection is reused sooner than this, and one on which something has
	// come meanwhile is closed. Only a probe's connection is reused at once: a copy of its load report can be told from a
	// request's response.
	minReuseDelay = 50 * time.Millisecond
	sweepInterval = time.Second
)

var errNoSocket = errors.New("no socket left")

// connPools holds the connections to all backends.
type connPools struct {
	dial           Dial
	sockets        *Sockets
	connectTimeout time.Duration
	idleTimeout    time.Duration // connections idle for longer are closed
	reuseDelay     time.Duration // no connection is reused sooner after its last call

	mu        sync.Mutex
	byAddress map[string]*pool
	opened    int // connections that came up
	noSocket  int // calls for which no socket was left
}

// pool holds the connections to one address. It lasts while a connection to the address is idle, in use or coming up, and no
// longer than the same backend runs there: closeAddress takes it out of connPools, and what was connected or dialed before is
// of no use after that.
type pool struct {
	address string
	idle    []*conn // the last used at the end
	inUse   int     // connections in use or coming up
}

// dialCanceler is a connection that is not up yet.
type dialCanceler context.CancelFunc

// Cancel gives up the connection.
func (d dialCanceler) Cancel() { d() }

// get returns a connection to an address: an idle one, the last used first, or else a new one. The caller returns it by put or
// discard. The attempt, nil for a probe, can be canceled while a new connection comes up. An error is errNoSocket,
// context.Canceled, or what the dial returned.
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

// takeIdle counts one more use of an address's pool and takes an idle connection out of it, nil where none can be reused.
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
		// Whatever has come meanwhile, the connection's end included, belongs to no call of ours.
		if idleFor < ps.idleTimeout && hasNoUnreadData(c.Conn) {
			return p, c
		}
		c.Close()
	}
	return p, nil
}

// open dials a new connection. It does not follow the client's context: an attempt may be wanted after its client has gone,
// and only its cancellation ends it.
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

// outOfSockets reports whether a dial failed for want of descriptors or ports of our own.
func outOfSockets(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.EADDRNOTAVAIL)
}

// put returns a connection for the next call, or closes it where its backend has left the address.
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

// discard closes a connection that is of no further use.
func (ps *connPools) discard(c *conn) {
	c.Close()
	ps.mu.Lock()
	ps.release(c.pool)
	ps.mu.Unlock()
}

// alive reports whether a connection still leads to the backend for which it was opened.
func (ps *connPools) alive(c *conn) bool {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	return ps.current(c.pool)
}

// current reports whether a pool is still its address's. The lock is held.
func (ps *connPools) current(p *pool) bool { return ps.byAddress[p.address] == p }

// release ends one use of a pool, and the pool where nothing is left in it. The lock is held.
func (ps *connPools) release(p *pool) {
	p.inUse--
	if p.inUse == 0 && len(p.idle) == 0 && ps.current(p) {
		delete(ps.byAddress, p.address)
	}
}

// closeLongestIdle closes the connection that has been idle longest, and reports whether there was one.
func (ps *connPools) closeLongestIdle() bool {
	c := ps.popLongestIdle()
	if c == nil {
		return false
	}
	c.Close()
	return true
}

// popLongestIdle takes the connection that has been idle longest out of its pool, nil where none is idle.
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
	oldest.inUse++ // so that release ends the pool where this was its last connection
	ps.release(oldest)
	return c
}

// closeAddress ends the pool of an address. Connections in use or coming up are closed when they are put back.
func (ps *connPools) closeAddress(address string) {
	ps.mu.Lock()
	p := ps.byAddress[address]
	delete(ps.byAddress, address)
	ps.mu.Unlock()
	if p == nil {
		return
	}
	for _, c := range p.idle { // nobody else reaches the pool any more
		c.Close()
	}
}

// sweep closes connections that have been idle for too long, until ctx ends; then it closes all idle ones.
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

// closeIdle closes the connections that have been idle for at least so long.
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
		p.inUse++ // so that release ends the pool where nothing is left in it
		ps.release(p)
	}
	ps.mu.Unlock()
	for _, c := range expired {
		c.Close()
	}
}

// counts returns the connections opened so far, those idle now, and the calls for which no socket was left.
func (ps *connPools) counts() (opened, idle, noSocket int) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	for _, p := range ps.byAddress {
		idle += len(p.idle)
	}
	return ps.opened, idle, ps.noSocket
}
