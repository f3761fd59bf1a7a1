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
	// The protocol allows closing a connection that has carried no request for 2 s. Keeping it much longer would waste a
	// descriptor on each client that never sends again.
	idleTimeout = 2500 * time.Millisecond
	// readTimeout limits reading a request head, from its first byte, on a connection that was served before. It is also
	// the upper limit for reading a body.
	readTimeout = 5 * time.Second
	// The protocol requires that a bad client gets an error or a close within 3 s of connecting. Slow clients send their
	// requests in pieces and may use all of that time. A connection on which a request was answered counts as good, and
	// readTimeout applies.
	newConnHeadTimeout    = 2500 * time.Millisecond // head of the first request, since the client connected
	newConnRequestTimeout = 2800 * time.Millisecond // whole first request, since the client connected
	// minReadTime is left for reading a request even if its client's time, or one of the limits above, is over: a request
	// that arrived in time may have waited unread, and is lost if its connection is closed.
	minReadTime = 50 * time.Millisecond
)

const healthPath = "/up"

// connContextKey is the context key of a request's connection.
type connContextKey struct{}

// Server returns an http.Server for the front. The caller must serve it on a Listener with the same Sockets, and close
// it.
func (f *Front) Server() *http.Server {
	return &http.Server{
		Handler:           f,
		ReadHeaderTimeout: readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeadBytes,
		// net/http's default handler would answer OPTIONS * with 200. The protocol's clients never send it.
		DisableGeneralOptionsHandler: true,
		ErrorLog:                     log.New(serverLog{}, "", 0),
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connContextKey{}, conn)
		},
		ConnState: f.onConnState,
	}
}

// onConnState records in the socket budget whether a connection carries a request.
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
	backToBack := f.sockets.HeadRead(conn)
	// The client's timeout runs from the arrival of the request's first byte, and a head may arrive in pieces.
	age := f.sockets.RequestAge(conn)
	if r.ContentLength == 0 {
		f.sockets.RequestRead(conn)
	}
	arrived := arrival{at: f.core.Now() - toMilliseconds(age), backToBack: backToBack}
	f.pace(r.Context(), backToBack)
	if path == healthPath && (r.Method == http.MethodGet || r.Method == http.MethodHead) {
		defer conn.takeMemory().release()
		conn.beforeAnswer()
		f.writeHealth(w)
		return
	}
	f.serveRequest(w, r, path, arrived)
}

// writeHealth responds with 200 if the front accepts new requests, and with 503 otherwise.
func (f *Front) writeHealth(w http.ResponseWriter) {
	if !f.ready.Load() || f.shuttingDown.Load() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
	}
}

// connOf returns the request's connection, or nil if the listener does not track its connections.
func connOf(r *http.Request) *trackedConn {
	conn, _ := r.Context().Value(connContextKey{}).(*trackedConn)
	return conn
}

// serverLog logs the messages of the http.Server at debug level: most are about clients that disconnect.
type serverLog struct{}

func (serverLog) Write(line []byte) (int, error) {
	logrus.Debug(strings.TrimSpace(string(line)))
	return len(line), nil
}
