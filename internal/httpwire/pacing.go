package httpwire

import (
	"context"
	"time"
)

// Clients send one request at a time on a connection and wait for its answer. One that sends without waiting could keep the
// processor busy alone: its requests are read and answered one after the other without ever waiting for the network, and the
// scheduler would look for the events of other connections only every 10 ms. So a pause comes before each request that was
// there already when the one before had been read.

const (
	// firstPause is long enough for the scheduler to look for the events of other connections.
	firstPause = time.Millisecond
	maxPause   = 128 * time.Millisecond
	// pauseDoubling is the number of requests in a row after which the pause doubles. Some hundreds of requests that a client
	// sends at once are still answered within their time.
	pauseDoubling = 256
)

// beforeAnswer notes whether the client has waited for the answer to the current request, which is about to be written: it has
// if it has sent nothing behind the request until now. A moment earlier says nothing, because a client that sends much does so
// in steps. The connection may be nil.
func (c *trackedConn) beforeAnswer() {
	if c == nil {
		return
	}
	c.sockets.mu.Lock()
	defer c.sockets.mu.Unlock()
	if c.betweenRequests && !c.foundNothing && len(c.early) == 0 {
		c.foundNothing = peek(c) == unreadNone
	}
}

// pauseBefore returns the pause before a request that is the given number in a row to come without waiting for the answer to
// the one before; 0 means that its client has waited.
func pauseBefore(backToBack int) time.Duration {
	if backToBack == 0 {
		return 0
	}
	pause := firstPause
	for range backToBack / pauseDoubling {
		pause *= 2
		if pause >= maxPause {
			return maxPause
		}
	}
	return pause
}

// pace pauses before a request that is the given number in a row to come without waiting for an answer. The client's time
// runs meanwhile.
func (f *Front) pace(ctx context.Context, backToBack int) {
	pause := pauseBefore(backToBack)
	if pause == 0 {
		return
	}
	f.paused.Add(1)
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
