// Package httpwire speaks the users' HTTP/1.1 protocol around the core: clients, appliances, discovery, platform. It
// reports events and carries out actions and must never choose: no retry, pick, health or time-out of its own beyond
// what the protocol fixes.
package httpwire

// This file owns the clients' side: the server, a request's life from its first byte to its one answer, and leaving. It
// must never answer a request twice, leave one without an answer, or let bad input reach the module or an appliance.

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"onyxgate/internal/core"
	"onyxgate/policy"
)

const (
	maxHeadBytes = 16 << 10
	// A bad client is owed an error or a close 3 s after it connected, and some of that may have been spent in the backlog.
	// Slow clients send theirs in pieces: they have all of it, and once one has been served, a request's body has the client's
	// own time up to bodyWait.
	newConnHeadTimeout    = 2500 * time.Millisecond // from connecting
	newConnRequestTimeout = 2800 * time.Millisecond // head and body, from connecting
	readTimeout           = 5 * time.Second         // and a later head, from its first byte
	// A connection without a request may be closed after 2 s; each that says nothing for good would hold a descriptor.
	idleTimeout   = 2500 * time.Millisecond
	maxTokenBytes = 256
	// What fits into a socket's buffer is written at once.
	socketBufferBytes = 4 << 10
	writeTimeout      = 10 * time.Second
	// New connections come for up to 0.4 s after the signal; the kill comes no sooner than the longest time of a request, at most
	// 3 s, and 0.7 s after it.
	acceptWindow         = 700 * time.Millisecond
	maxShutdownRequestMs = 3000.0
	// Before the kill: connections end with their request, and whatever is still held has its answer.
	closeBeforeKill  = 1500 * time.Millisecond
	answerBeforeKill = 300 * time.Millisecond
	exitBeforeKill   = 150 * time.Millisecond // without a request, before the listener is closed
)

// Front serves clients.
type Front struct {
	core            *core.Core
	upstream        *Upstream
	sockets         *Sockets
	classes         map[string]int
	semantics       []policy.Semantics
	cancelAllowed   bool  // an attempt may be called off
	maxOpenRequests int   // requests at once; 0: no limit
	maxBodyBytes    int64 // bytes of bodies at once
	bodyBytes       atomic.Int64
	ready           atomic.Bool
	killAfter       time.Duration // after the signal to leave, at the soonest
	shuttingDown    atomic.Bool
	closingConns    atomic.Bool
	activeRequests  atomic.Int64
	startedAt       time.Time
	lastActivity    atomic.Int64 // when a request last began or ended, as a span since born: the wall clock may be stepped
	Refused         atomic.Int64 // bad input, by whatever status
}

// NewFront makes one for the products by name; bodies held at once may add up to room bytes.
func NewFront(c *core.Core, up *Upstream, sockets *Sockets, names []string, products []policy.RequestClass, revokes bool,
	open int, room int64,
) *Front {
	f := &Front{
		startedAt: time.Now(), core: c, upstream: up, sockets: sockets, classes: map[string]int{}, cancelAllowed: revokes, maxOpenRequests: open,
		maxBodyBytes: room,
	}
	longest := 0.0
	for i, name := range names {
		longest = max(longest, products[i].Timeout)
		f.classes[name] = i
		f.semantics = append(f.semantics, products[i].Semantics)
	}
	f.killAfter = time.Duration(min(longest, maxShutdownRequestMs)*1e6) + acceptWindow
	return f
}

type connContextKey struct{} // of a request's connection in its context

// SetReady opens /up: list and news are held and the module runs.
func (f *Front) SetReady() { f.ready.Store(true) }

// Server is the net/http server that drives the front.
func (f *Front) Server() *http.Server {
	return &http.Server{
		Handler: f, ReadHeaderTimeout: readTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeadBytes,
		DisableGeneralOptionsHandler: true, // it would answer 200 to what no client of ours sends
		ErrorLog:                     log.New(serverLog{}, "", 0),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connContextKey{}, c)
		}, ConnState: func(c net.Conn, state http.ConnState) {
			switch state {
			case http.StateNew, http.StateIdle:
				f.sockets.ConnIdle(c, state == http.StateNew)
			default:
				f.sockets.ConnActive(c)
			}
		},
	}
}

func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f.closingConns.Load() || f.sockets.Full() {
		w.Header().Set("Connection", "close")
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	conn, _ := r.Context().Value(connContextKey{}).(net.Conn)
	if c, ok := conn.(*trackedConn); ok {
		c.firstHeadRead = true
	}
	// The client's time runs from when it sent, and a head may come in pieces.
	coming := f.sockets.RequestAge(conn)
	if r.ContentLength == 0 {
		f.sockets.RequestRead(conn)
	}
	if path == "/up" && (r.Method == http.MethodGet || r.Method == http.MethodHead) {
		if !f.ready.Load() || f.shuttingDown.Load() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
		}
		return
	}
	f.request(w, r, path, f.core.Now()-float64(coming)/1e6)
}

// serverLog are the server's own, mostly of clients that break off.
type serverLog struct{}

func (serverLog) Write(line []byte) (int, error) {
	logrus.Debug(strings.TrimSpace(string(line)))
	return len(line), nil
}

// request is the life of one request, which began to come at came, to its one answer.
func (f *Front) request(w http.ResponseWriter, r *http.Request, path string, came float64) {
	f.activeRequests.Add(1)
	f.lastActivity.Store(int64(time.Since(f.startedAt)))
	defer func() {
		f.lastActivity.Store(int64(time.Since(f.startedAt)))
		f.activeRequests.Add(-1)
	}()

	// What does not have the form of a request goes no further, and nothing behind it is read.
	parts := strings.Split(path, "/")
	product, known := -1, false
	if parts[0] == "" && len(parts) > 1 { // else it is no path
		product, known = f.classes[parts[1]]
	}
	id, whole := singleValue(r.Header, "Req-Id")
	wait, timed := singleValue(r.Header, "Req-Deadline")
	mark, marked := singleValue(r.Header, "Idempotency-Key")
	left, ok := parseTimeLeft(wait)
	method := http.MethodPost
	if known && f.semantics[product] == policy.Safe {
		method = http.MethodGet
	}
	switch {
	case len(r.TransferEncoding) > 0:
		// Clients of ours state lengths. Beside a length a coding may hide another request, and the server drops the length.
		f.writeBadInput(w, http.StatusLengthRequired, "no coding is taken")
		return
	case r.ProtoMajor != 1 || r.ProtoMinor != 1: // of HTTP/1.0 the server drops the coding unseen
		f.writeBadInput(w, http.StatusHTTPVersionNotSupported, "HTTP/1.1 only")
		return
	case !known:
		f.writeBadInput(w, http.StatusNotFound, "unknown product")
		return
	case r.Method != method:
		w.Header().Set("Allow", method)
		f.writeBadInput(w, http.StatusMethodNotAllowed, "wrong method")
		return
	case !whole || !isToken(id):
		f.writeBadInput(w, http.StatusBadRequest, "no id, or a malformed one")
		return
	case !timed || !ok:
		f.writeBadInput(w, http.StatusBadRequest, "no deadline, or a malformed one")
		return
	case f.semantics[product] == policy.Idempotent && !(marked && isToken(mark)):
		f.writeBadInput(w, http.StatusBadRequest, "no mark against repeats")
		return
	case method == http.MethodGet && r.ContentLength != 0:
		f.writeBadInput(w, http.StatusBadRequest, "a body where none belongs")
		return
	case method == http.MethodPost && r.Header.Get("Content-Length") == "":
		f.writeBadInput(w, http.StatusLengthRequired, "no length")
		return
	case r.ContentLength > bodyMost:
		f.writeBadInput(w, http.StatusRequestEntityTooLarge, "body too long")
		return
	}
	key := ""
	if len(parts) > 2 {
		key = parts[len(parts)-1]
	}

	// The body is read whole before anything is decided; the client's time runs meanwhile.
	body := make([]byte, r.ContentLength)
	if len(body) > 0 {
		limits := http.NewResponseController(w)
		wait := min(time.Duration((came+left-f.core.Now())*1e6), readTimeout)
		c, _ := r.Context().Value(connContextKey{}).(*trackedConn)
		if c != nil && !c.servedBefore {
			wait = min(wait, newConnRequestTimeout-time.Since(c.openedAt))
		}
		limits.SetReadDeadline(time.Now().Add(wait))
		if _, err := io.ReadFull(r.Body, body); err != nil { // it never came whole, so nothing was taken
			f.writeBadInput(w, http.StatusBadRequest, "body cut off")
			return
		}
		limits.SetReadDeadline(time.Time{})
		f.sockets.RequestRead(c)
	}
	defer f.bodyBytes.Add(-int64(len(body)))
	full := ""
	if f.bodyBytes.Add(int64(len(body))) > f.maxBodyBytes || f.maxOpenRequests > 0 && f.activeRequests.Load() > int64(f.maxOpenRequests) {
		logrus.Warn("no room for a request's body")
		full = "room"
	}

	first := head(r, len(body))
	submit := func(s *core.Attempt) { f.upstream.SendAttempt(s, first, body) }
	t := f.core.Accept(core.Arrival{
		ID: id, Key: key, IdempotencyKey: mark, Class: product, Retry: r.Header.Get("Req-Retry") == "1",
		ArrivedAt: came, TimeLeft: left, RejectReason: full, StartAttempt: submit,
	})
	if t == nil {
		f.writeBadInput(w, http.StatusBadRequest, "this id is held already")
		return
	}
	traceAccepted(t, parts[1], key, r.Header.Get("Req-Retry") == "1", left)
	answered, under := false, (*core.Attempt)(nil)
	defer func() { // whatever fails, the request ends here, with an answer where none was given
		if failed := recover(); failed != nil {
			logrus.WithField("panic", failed).Error("a request's handler failed")
			if under != nil {
				under.Finish(policy.StatusReset, nil, policy.LoadReport{})
			}
			if !answered {
				t.Fail()
				t.ResponseWritten(writeFailed(w, t))
			}
		}
		t.Close()
	}()
	defer context.AfterFunc(r.Context(), t.ClientGone)() // the client has gone
	for {
		a := t.NextAction()
		if a.Kind != core.ActionSendAttempt {
			traceAnswer(t, a)
		}
		switch a.Kind {
		case core.ActionSendAttempt:
			if f.cancelAllowed {
				under = a.Attempt
				submit(a.Attempt) // here: what the module wants meanwhile interrupts it
				under = nil
			} else {
				go submit(a.Attempt)
			}
		case core.ActionServe:
			answered = true
			t.ResponseWritten(writeServed(w, t, a.Answer.(answer)))
			return
		case core.ActionReject:
			answered = true
			t.ResponseWritten(writeRejected(w, t, a.RetryAfter))
			return
		case core.ActionFail:
			answered = true
			t.ResponseWritten(writeFailed(w, t))
			return
		case core.ActionAbandon:
			return
		}
	}
}

// writeServed, decline and void write the one answer. Where a part follows the request they write it to its last byte and tell
// whether that went: what the server holds back until the handler has returned is not answered yet.
func writeServed(w http.ResponseWriter, t *core.Request, a answer) bool {
	if a.kind == "" {
		a.kind = "application/octet-stream"
	}
	if len(a.body) > socketBufferBytes { // a client that stops reading must not keep the handler for ever
		http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	}
	w.Header().Set("Content-Type", a.kind)
	w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	_, err := w.Write(a.body)
	return err == nil && flush(w, t)
}

func writeRejected(w http.ResponseWriter, t *core.Request, wait float64) bool {
	if wait > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(wait/1000, 'f', 3, 64))
	}
	return writeStatus(w, t, http.StatusServiceUnavailable, "declined: trying again is harmless")
}

func writeFailed(w http.ResponseWriter, t *core.Request) bool {
	return writeStatus(w, t, http.StatusBadGateway, "voided")
}

func writeStatus(w http.ResponseWriter, t *core.Request, status int, why string) bool {
	if !t.Intercepted() {
		http.Error(w, why, status)
		return true
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(len(why)))
	w.WriteHeader(status)
	_, err := io.WriteString(w, why)
	return err == nil && flush(w, t)
}

// flush sends what the server still holds.
func flush(w http.ResponseWriter, t *core.Request) bool {
	return !t.Intercepted() || http.NewResponseController(w).Flush() == nil
}

// writeBadInput ends a connection with an error: nothing more is read on it, neither a body that may never come nor what
// stands behind it.
func (f *Front) writeBadInput(w http.ResponseWriter, status int, why string) {
	f.Refused.Add(1)
	w.Header().Set("Connection", "close")
	http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0))
	http.Error(w, why, status)
}

// singleValue is a header's value where it stands just once: of two, an appliance might read the other.
func singleValue(h http.Header, name string) (string, bool) {
	values := h[name]
	if len(values) != 1 {
		return "", false
	}
	return values[0], true
}

// isToken tells that a header's value is one word of sane length.
func isToken(s string) bool {
	return s != "" && len(s) <= maxTokenBytes && !strings.ContainsFunc(s, func(c rune) bool { return c <= ' ' || c > '~' })
}

// parseTimeLeft reads a number with its unit, in milliseconds: digits and at most one point, none of what else a float may be.
func parseTimeLeft(s string) (float64, bool) {
	number, unit := strings.TrimRight(s, "mu"), 1.0
	switch strings.TrimPrefix(s, number) {
	case "m":
	case "u":
		unit = 1000
	default:
		return 0, false
	}
	v, err := strconv.ParseFloat(number, 64)
	odd := strings.ContainsFunc(number, func(c rune) bool { return c != '.' && (c < '0' || c > '9') })
	return v / unit, err == nil && !odd && v > 0 && v/unit <= 24*3600*1000
}

// Shutdown serves what is there and what still comes, and returns once nothing does: connections arrive for a while
// after the signal, and clients use those that they hold for as long as these stay open. They do so until the kill is
// near: the next agent may be away just then, and clients that were sent off would find nobody.
func (f *Front) Shutdown(ctx context.Context, listener net.Listener) {
	from := time.Now()
	f.shuttingDown.Store(true)
	f.core.Shutdown(f.core.Now() + float64(f.killAfter-answerBeforeKill)/1e6)
	for tick := time.NewTicker(20 * time.Millisecond); ctx.Err() == nil; <-tick.C {
		since := time.Since(from)
		if since < acceptWindow {
			continue
		}
		if since >= f.killAfter-closeBeforeKill {
			f.closingConns.Store(true)
			f.sockets.CloseIdleClients()
		}
		_, clients, _ := f.sockets.Used()
		quiet := f.closingConns.Load() && time.Since(f.startedAt)-time.Duration(f.lastActivity.Load()) > exitBeforeKill
		if f.activeRequests.Load() == 0 && (clients == 0 || quiet) {
			break
		}
	}
	// No new connection from here on. One that is still there has begun to send: it is waited for till the kill is near, for
	// closing it could cross the request's last byte.
	f.closingConns.Store(true)
	listener.Close()
	for tick := time.NewTicker(20 * time.Millisecond); ctx.Err() == nil && time.Since(from) < f.killAfter-exitBeforeKill; <-tick.C {
		f.sockets.CloseIdleClients()
		if _, clients, _ := f.sockets.Used(); clients == 0 {
			break
		}
	}
}
