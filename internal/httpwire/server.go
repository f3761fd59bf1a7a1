package httpwire

import (
	"context"
	"log"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	maxHeadBytes = 16 << 10
	// A connection without a request may be closed after 2 s; each one kept longer that never speaks again would hold a
	// descriptor.
	idleTimeout = 2500 * time.Millisecond
	// readTimeout is the time for the head of a request on a connection that has been served before, from its first byte, and the
	// most that a body may take.
	readTimeout = 5 * time.Second
	// The protocol owes a bad client an error or a close 3 s after it connected, and some of that may have been spent in the
	// backlog. Slow clients send their requests in pieces and get all of that time. Once a connection has been served it counts
	// as good, and readTimeout holds.
	newConnHeadTimeout    = 2500 * time.Millisecond // head of the first request, from connecting
	newConnRequestTimeout = 2800 * time.Millisecond // head and body of the first request, from connecting
)

const healthPath = "/up"

// connContextKey is the key of a request's connection in its context.
type connContextKey struct{}

// Server returns the net/http server that drives the front. The caller serves it on a Listener of the same Sockets and closes it.
func (f *Front) Server() *http.Server {
	return &http.Server{
		Handler:           f,
		ReadHeaderTimeout: readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeadBytes,
		// The general handler would answer 200 to OPTIONS *, which no client of the protocol sends.
		DisableGeneralOptionsHandler: true,
		ErrorLog:                     log.New(serverLog{}, "", 0),
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connContextKey{}, conn)
		},
		ConnState: f.onConnState,
	}
}

// onConnState tells the budget of sockets which connections carry no request.
func (f *Front) onConnState(conn net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew, http.StateIdle:
		f.sockets.ConnIdle(conn, state == http.StateNew)
	default:
		f.sockets.ConnActive(conn)
	}
}

// ServeHTTP handles one request whose head has been read.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f.closingConns.Load() || f.sockets.Full() {
		w.Header().Set("Connection", "close")
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	conn := connOf(r)
	if conn != nil {
		conn.firstHeadRead = true
	}
	// The client's time runs from when it sent, and a head may come in pieces.
	age := f.sockets.RequestAge(conn)
	if r.ContentLength == 0 {
		f.sockets.RequestRead(conn)
	}
	if path == healthPath && (r.Method == http.MethodGet || r.Method == http.MethodHead) {
		f.writeHealth(w)
		return
	}
	f.serveRequest(w, r, path, f.core.Now()-toMilliseconds(age))
}

// writeHealth answers 200 while new requests are wanted here, else 503.
func (f *Front) writeHealth(w http.ResponseWriter) {
	if !f.ready.Load() || f.shuttingDown.Load() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
	}
}

// connOf returns the request's connection, or nil where it came over a listener that does not track its connections.
func connOf(r *http.Request) *trackedConn {
	conn, _ := r.Context().Value(connContextKey{}).(*trackedConn)
	return conn
}

// serverLog takes the net/http server's own messages. Most are of clients that break off, hence the level.
type serverLog struct{}

func (serverLog) Write(line []byte) (int, error) {
	logrus.Debug(strings.TrimSpace(string(line)))
	return len(line), nil
}
