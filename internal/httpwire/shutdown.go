package httpwire

import (
	"context"
	"net"
	"time"
)

const (
	// acceptWindow: new connections come for up to 0.4 s after the signal.
	acceptWindow = 700 * time.Millisecond
	// maxKillDelayMs: the kill comes no sooner than the longest timeout of a request, at most this (ms), and acceptWindow after
	// the signal.
	maxKillDelayMs = 3000.0
	// closeBeforeKill is how long before the kill connections begin to end with their request.
	closeBeforeKill = 1500 * time.Millisecond
	// answerBeforeKill is how long before the kill whatever is still open has its answer.
	answerBeforeKill = 300 * time.Millisecond
	// exitBeforeKill is how long before the kill the front gives up what is still connected.
	exitBeforeKill = 150 * time.Millisecond
	// quietBeforeClose is how long no request must have come before the listener is closed while clients are connected.
	quietBeforeClose = 150 * time.Millisecond
	// shutdownPoll is how often the shutdown looks whether it is done.
	shutdownPoll = 20 * time.Millisecond
)

// Shutdown serves what is open and what still comes, and returns once nothing does, shortly before the kill at the latest, or when
// ctx ends. Connections arrive for a while after the signal, and clients use those that they hold for as long as these stay open.
// They do so until the kill is near: the next instance may be away just then, and clients that were sent off would find nobody.
// The listener is closed in between; the server is the caller's to close.
func (f *Front) Shutdown(ctx context.Context, listener net.Listener) {
	signaledAt := time.Now()
	f.shuttingDown.Store(true)
	f.core.Shutdown(f.core.Now() + toMilliseconds(f.killDelay-answerBeforeKill))
	poll(ctx, func() bool { return f.drained(time.Since(signaledAt)) })
	// No new connection from here on. One that is still there has begun to send: it is waited for until the kill is near, for
	// closing it could cross the request's last byte.
	f.closingConns.Store(true)
	listener.Close()
	poll(ctx, func() bool {
		if time.Since(signaledAt) >= f.killDelay-exitBeforeKill {
			return true
		}
		f.sockets.CloseIdleClients()
		return f.clientConns() == 0
	})
}

// drained tells, at a time since the signal, that no request is open and none is to be expected any more. From closeBeforeKill on
// it closes the connections that carry none.
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

// clientConns is how many connections clients have open.
func (f *Front) clientConns() int {
	_, clients, _ := f.sockets.Used()
	return clients
}

// poll returns once done holds or ctx has ended, and asks at once and then every shutdownPoll.
func poll(ctx context.Context, done func() bool) {
	ticker := time.NewTicker(shutdownPoll)
	defer ticker.Stop()
	for ctx.Err() == nil && !done() {
		<-ticker.C
	}
}
