package httpwire

import (
	"context"
	"net"
	"time"
)

const (
	// acceptWindow is the minimum time for which new connections are accepted after the shutdown signal. They arrive
	// for up to 0.4 s after it.
	acceptWindow = 700 * time.Millisecond
	// maxTimeoutTermMs limits the second term of the kill delay (ms): the process is not killed before acceptWindow plus
	// the longest request timeout have passed since the signal.
	maxTimeoutTermMs = 3000.0
	// closeBeforeKill is how long before the kill connections begin to be closed after their request.
	closeBeforeKill = 1500 * time.Millisecond
	// answerBeforeKill is how long before the kill every open request must have been answered.
	answerBeforeKill = 300 * time.Millisecond
	// exitBeforeKill is how long before the kill the remaining connections are abandoned.
	exitBeforeKill = 150 * time.Millisecond
	// quietBeforeClose is the minimum time since a request last began or ended before the listener is closed while
	// clients are connected.
	quietBeforeClose = 150 * time.Millisecond
	// shutdownPoll is the interval between two checks whether the shutdown is complete.
	shutdownPoll = 20 * time.Millisecond
)

// Shutdown serves open and new requests and returns when there are none left, shortly before the kill at the latest, or
// when ctx is done. Connections keep arriving for a while after the signal, and clients keep using those that they
// hold. These stay open until the kill is near: the next instance may be unavailable at that moment, and clients whose
// connections were closed would have nowhere to go. Shutdown closes the listener; the caller must close the server.
func (f *Front) Shutdown(ctx context.Context, listener net.Listener) {
	signaledAt := time.Now()
	f.shuttingDown.Store(true)
	f.core.Shutdown(f.core.Now() + toMilliseconds(f.killDelay-answerBeforeKill))
	poll(ctx, func() bool { return f.drained(time.Since(signaledAt)) })
	// No new connections from here on. A connection that remains has begun to send a request. It may stay until shortly
	// before the kill, because a close could cross the last byte of the request.
	f.closingConns.Store(true)
	listener.Close()
	poll(ctx, func() bool { return f.disconnected(time.Since(signaledAt)) })
}

// disconnected closes connections that carry no request, and reports whether no client is connected any more or the
// remaining ones have to be abandoned, at the given time since the signal. From answerBeforeKill before the kill on, it
// rejects the requests that are still incomplete.
func (f *Front) disconnected(sinceSignal time.Duration) bool {
	if sinceSignal >= f.killDelay-exitBeforeKill {
		return true
	}
	f.sockets.CloseIdleClients()
	if sinceSignal >= f.killDelay-answerBeforeKill {
		f.sockets.RejectAllIncomplete()
	}
	return f.clientConns() == 0
}

// drained reports whether no request is open and no more are expected, at the given time since the signal. When less than
// closeBeforeKill is left, it also closes the connections that carry no request.
func (f *Front) drained(sinceSignal time.Duration) bool {
	if sinceSignal < acceptWindow {
		return false
	}
	if sinceSignal >= f.killDelay-closeBeforeKill {
		f.closingConns.Store(true)
		f.sockets.CloseIdleClients()
	}
	clients := f.clientConns()
	isQuiet := f.closingConns.Load() && f.sinceActivity() > quietBeforeClose
	return f.openRequests.Load() == 0 && (clients == 0 || isQuiet)
}

// clientConns returns the number of open client connections.
func (f *Front) clientConns() int {
	return f.sockets.Usage().Clients
}

// poll calls done at once and then every shutdownPoll, and returns when done reports true or ctx is done.
func poll(ctx context.Context, done func() bool) {
	ticker := time.NewTicker(shutdownPoll)
	defer ticker.Stop()
	for ctx.Err() == nil && !done() {
		<-ticker.C
	}
}
