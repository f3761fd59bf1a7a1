package httpwire

// This file owns the connections to appliances and every byte written to them: attempts, probes, and what their
// answers mean by the protocol's table. It must never resend anything on its own, pick an appliance or give up sooner
// than it is told: one call is one attempt, and one result comes of it.

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"onyxgate/internal/core"
	"onyxgate/policy"
)

const (
	maxBodyBytes        = 64 << 10
	maxHeaderLines      = 64 // in an answer's head, none longer than the reader's buffer
	maxInterimResponses = 8  // answers ahead of the real one
	// An appliance writes its answer in one go, 64 KiB at most. What has begun and does not end is spoilt, on a connection
	// that stays open for good: waiting on is waiting for nothing.
	responseReadTimeout = 200 * time.Millisecond
	// A second copy of an answer may come some milliseconds behind it. On a connection that has been used again by then it
	// would pass for the next call's answer, so none is before this; what has come meanwhile ends it. Only a probe's
	// connection is used at once, for a copy of its load report can be told from a request's answer.
	minReuseDelay = 50 * time.Millisecond
	probeTimeout  = 500 * time.Millisecond
	maxLoadFigure = 1e6 // a figure in a load report beyond this is noise
)

// Dial opens one connection.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// Upstream calls appliances.
type Upstream struct {
	core                        *core.Core
	dial                        Dial
	address                     func(appliance string) string
	sockets                     *Sockets
	connectTimeout, idleTimeout time.Duration
	reuseDelay                  time.Duration
	loadOnResponses             bool // load reports come with answers
	loadOnProbes                bool
	mu                          sync.Mutex
	pools                       map[string]*pool // by address
	opened                      int
	noSocket                    int // attempts for which no socket was left
}

// NewUpstream makes one; connections may take up (ms) to come up, and are idle half of what the appliances allow:
// one closed at the very moment of its use would look like the appliance's failure.
func NewUpstream(c *core.Core, dial Dial, address func(string) string, sockets *Sockets, up, idle float64,
	onAnswers, onProbes bool,
) *Upstream {
	u := &Upstream{
		core: c, dial: dial, address: address, sockets: sockets, loadOnResponses: onAnswers, loadOnProbes: onProbes,
		connectTimeout: time.Duration(up * 1e6), idleTimeout: time.Duration(idle * 1e6 / 2), reuseDelay: minReuseDelay, pools: map[string]*pool{},
	}
	sockets.closeIdleBackend = u.closeIdlest
	return u
}

// pool is what runs at an address, from one list's word on it to the next: what was connected or dialled before is of
// no use after. It lasts while a connection to it is idle, in use or coming up.
type pool struct {
	address string
	idle    []*conn // the last used at the end
	inUse   int     // in use or coming up
}

// conn is one connection to an appliance or the platform.
type conn struct {
	net.Conn
	in        *bufio.Reader
	pool      *pool  // of an appliance
	probeBody []byte // a probe's answer, where that was the last call
	idleSince time.Time
	mu        sync.Mutex
	canceled  bool
}

func newConn(c net.Conn) *conn { return &conn{Conn: c, in: bufio.NewReader(c)} }

// Cancel interrupts the call under way, for good.
func (c *conn) Cancel() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.canceled = true
	c.SetDeadline(time.Unix(1, 0))
}

// setReadTimeout gives reading so long, 0: any time; no later than Halt.
func (c *conn) setReadTimeout(rest time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.canceled {
		return
	}
	if rest > 0 {
		c.SetReadDeadline(time.Now().Add(rest))
	} else {
		c.SetReadDeadline(time.Time{})
	}
}

// dialing is a connection that is not up yet.
type dialing context.CancelFunc

func (d dialing) Cancel() { d() }

// get takes an idle connection that has settled and still stands, the last used first, or opens one.
func (u *Upstream) get(s *core.Attempt, address string) (*conn, error) {
	u.mu.Lock()
	p := u.pools[address]
	if p == nil {
		p = &pool{address: address}
		u.pools[address] = p
	}
	p.inUse++
	for k := len(p.idle) - 1; k >= 0; k-- {
		c := p.idle[k]
		rested := time.Since(c.idleSince)
		if rested < u.reuseDelay && len(c.probeBody) == 0 {
			continue
		}
		p.idle = slices.Delete(p.idle, k, k+1)
		// Whatever has come meanwhile, the end included, belongs to no call of ours.
		if rested < u.idleTimeout && nothingUnread(c.Conn) {
			u.mu.Unlock()
			return c, nil
		}
		c.Close()
	}
	u.mu.Unlock()
	c, err := u.open(s, address)
	if err != nil {
		u.mu.Lock()
		u.release(p)
		u.mu.Unlock()
		return nil, err
	}
	c.pool = p
	return c, nil
}

func (u *Upstream) open(s *core.Attempt, address string) (*conn, error) {
	if !u.sockets.makeRoom(false) {
		u.mu.Lock()
		u.noSocket++
		u.mu.Unlock()
		return nil, errNoSocket
	}
	ctx, cancel := context.WithTimeout(context.Background(), u.connectTimeout)
	defer cancel()
	if s != nil {
		if called, late := s.SetCanceler(dialing(cancel)); called || late {
			return nil, context.Canceled
		}
	}
	c, err := u.dial(ctx, address)
	if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.EADDRNOTAVAIL) {
		err = errNoSocket
	}
	if err != nil {
		return nil, err
	}
	u.mu.Lock()
	u.opened++
	u.mu.Unlock()
	return newConn(u.sockets.track(c, false)), nil
}

// release ends one use of a place; under the lock.
func (u *Upstream) release(p *pool) {
	if p.inUse--; p.inUse == 0 && len(p.idle) == 0 && u.pools[p.address] == p {
		delete(u.pools, p.address)
	}
}

// alive tells that the list has said nothing new of where a connection leads.
func (u *Upstream) alive(c *conn) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.pools[c.pool.address] == c.pool
}

// put keeps a connection for the next call, unless something else runs there now.
func (u *Upstream) put(c *conn) {
	c.idleSince = time.Now()
	u.mu.Lock()
	stands := u.pools[c.pool.address] == c.pool
	if stands {
		c.pool.idle = append(c.pool.idle, c)
	}
	u.release(c.pool)
	u.mu.Unlock()
	if !stands {
		c.Close()
	}
}

// discard closes a connection that is of no further use.
func (u *Upstream) discard(c *conn) {
	c.Close()
	u.mu.Lock()
	u.release(c.pool)
	u.mu.Unlock()
}

// closeIdlest closes the connection that has been idle longest.
func (u *Upstream) closeIdlest() bool {
	u.mu.Lock()
	var oldest *pool
	for _, p := range u.pools {
		if len(p.idle) > 0 && (oldest == nil || p.idle[0].idleSince.Before(oldest.idle[0].idleSince)) {
			oldest = p
		}
	}
	if oldest == nil {
		u.mu.Unlock()
		return false
	}
	c := oldest.idle[0]
	oldest.idle = oldest.idle[1:]
	oldest.inUse++
	u.release(oldest)
	u.mu.Unlock()
	c.Close()
	return true
}

// CloseAddress ends what leads to an address where something else runs now, or nothing: idle connections at once, those in use
// or coming up with their call.
func (u *Upstream) CloseAddress(address string) {
	u.mu.Lock()
	p := u.pools[address]
	delete(u.pools, address)
	u.mu.Unlock()
	if p == nil {
		return
	}
	for _, c := range p.idle { // nobody else has the place any more
		c.Close()
	}
}

// Sweep closes what has been idle too long, until ctx ends; then all.
func (u *Upstream) Sweep(ctx context.Context) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for last := false; !last; {
		select {
		case <-ctx.Done():
			last = true
		case <-tick.C:
		}
		u.mu.Lock()
		var old []*conn
		for _, p := range u.pools {
			n := 0
			for n < len(p.idle) && (last || time.Since(p.idle[n].idleSince) >= u.idleTimeout) {
				n++
			}
			old = append(old, p.idle[:n]...)
			p.idle = p.idle[n:]
			p.inUse++
			u.release(p)
		}
		u.mu.Unlock()
		for _, c := range old {
			c.Close()
		}
	}
}

// Connections counts those opened so far, those idle now and the attempts that found no socket.
func (u *Upstream) Connections() (opened, idle, unsent int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, p := range u.pools {
		idle += len(p.idle)
	}
	return u.opened, idle, u.noSocket
}

var errNoSocket = errors.New("no socket left")

var errNotWritten = errors.New("its last byte was never written")

// response is what an answer's head says that matters here, and its body.
type response struct {
	status      int
	loadReport  string
	declined    bool
	contentType string
	body        []byte
	closes      bool
}

// roundTrip writes one call and reads its answer whole. An error that is errUnsent proves that the call never ran.
func (c *conn) roundTrip(call []byte) (response, error) {
	if n, err := c.Write(call); n < len(call) {
		return response{}, fmt.Errorf("%w: %w", errNotWritten, err)
	}
	for range maxInterimResponses {
		c.setReadTimeout(0)
		if _, err := c.in.Peek(1); err != nil {
			return response{}, err
		}
		c.setReadTimeout(responseReadTimeout)
		// What begins otherwise never ends as an answer.
		if start, err := c.in.Peek(len(httpVersion)); err != nil || string(start) != httpVersion {
			return response{}, cmp.Or(err, errMalformedResponse)
		}
		r, err := c.readResponse()
		if err == nil && (r.status < 200 || len(c.probeBody) > 0 && r.status == http.StatusOK && bytes.Equal(r.body, c.probeBody)) {
			continue // an interim answer, or the probe's once more; the real one follows
		}
		c.probeBody = nil
		return r, err
	}
	return response{}, errMalformedResponse
}

const httpVersion = "HTTP/1.1 "

var errMalformedResponse = errors.New("an answer that can't be read")

// readResponse takes an answer apart by hand: the library's reader, with its table of headers, took a tenth of a request's cost. It
// takes what the page says good answers are and nothing else: a spoilt one must never pass.
func (c *conn) readResponse() (r response, err error) {
	line, err := c.readLine()
	if err != nil {
		return r, err
	}
	if len(line) < 12 || string(line[:9]) != httpVersion || len(line) > 12 && line[12] != ' ' || !isText(line) {
		return r, errMalformedResponse
	}
	status, ok := parseDigits(line[9:12])
	if r.status = int(status); !ok || status < 100 || status > 599 || status == http.StatusSwitchingProtocols {
		return r, errMalformedResponse
	}
	length, chunked, loads := int64(-1), false, 0
	for n := 0; ; n++ {
		if line, err = c.readLine(); err != nil {
			return r, err
		}
		if len(line) == 0 {
			break
		}
		name, value, ok := bytes.Cut(line, []byte{':'})
		if !ok || n >= maxHeaderLines || !isHeaderName(name) || !isText(value) {
			return r, errMalformedResponse
		}
		value = bytes.Trim(value, " \t")
		switch {
		case bytes.EqualFold(name, []byte("Content-Length")):
			l, ok := parseDigits(value)
			if !ok || length >= 0 {
				return r, errMalformedResponse
			}
			length = l
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			if chunked || !bytes.EqualFold(value, []byte("chunked")) {
				return r, errMalformedResponse
			}
			chunked = true
		case bytes.EqualFold(name, []byte("Connection")):
			r.closes = r.closes || bytes.EqualFold(value, []byte("close"))
		case bytes.EqualFold(name, []byte("Content-Type")):
			r.contentType = string(value)
		case bytes.EqualFold(name, []byte("Srv-Load")):
			r.loadReport = string(value)
			if loads++; loads > 1 { // which of them is true?
				r.loadReport = ""
			}
		case bytes.EqualFold(name, []byte("Srv-Declined")):
			r.declined = string(value) == "1"
		}
	}
	switch {
	case r.status < 200 || r.status == http.StatusNoContent || r.status == http.StatusNotModified:
		if length > 0 || chunked {
			return r, errMalformedResponse
		}
	case chunked == (length >= 0): // both, or neither: where it ends can't be told
		return r, errMalformedResponse
	case chunked:
		r.body, err = io.ReadAll(io.LimitReader(httputil.NewChunkedReader(c.in), maxBodyBytes+1))
		if err == nil && len(r.body) <= maxBodyBytes {
			if line, err = c.readLine(); err == nil && len(line) > 0 { // trailers, of which there are none
				err = errMalformedResponse
			}
		}
	case length > maxBodyBytes:
		return r, errResponseTooLong
	default:
		r.body = make([]byte, length)
		_, err = io.ReadFull(c.in, r.body)
	}
	if err == nil && len(r.body) > maxBodyBytes {
		err = errResponseTooLong
	}
	return r, err
}

// parseDigits reads a plain number, short enough not to overflow.
func parseDigits(b []byte) (n int64, ok bool) {
	for _, d := range b {
		if d < '0' || d > '9' {
			return 0, false
		}
		n = n*10 + int64(d-'0')
	}
	return n, len(b) > 0 && len(b) <= 18
}

// isHeaderName tells that a name is one by HTTP's grammar.
func isHeaderName(b []byte) bool {
	for _, c := range b {
		letter := c|0x20 >= 'a' && c|0x20 <= 'z'
		if !letter && (c < '0' || c > '9') && strings.IndexByte("!#$%&'*+-.^_`|~", c) < 0 {
			return false
		}
	}
	return len(b) > 0
}

// isText tells that nothing but printable characters and tabs stands in a line.
func isText(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\t' || c >= 0x7f {
			return false
		}
	}
	return true
}

var errResponseTooLong = errors.New("an answer too long")

func (c *conn) readLine() ([]byte, error) {
	line, err := c.in.ReadSlice('\n')
	if err != nil {
		return nil, err
	}
	if len(line) < 2 || line[len(line)-2] != '\r' {
		return nil, errMalformedResponse
	}
	return line[:len(line)-2], nil
}

// answer is what goes back to the client.
type answer struct {
	contentType string
	body        []byte
}

// Bytes is what the client gets of it.
func (a answer) Bytes() []byte { return a.body }

// SendAttempt carries out one attempt of a request and tells its end.
func (u *Upstream) SendAttempt(s *core.Attempt, head, body []byte) {
	result, r, err := u.send(s, head, body)
	traceAttempt(s, result, err)
	var report policy.LoadReport
	if u.loadOnResponses && r.loadReport != "" {
		report = parseLoadReport(r.loadReport)
	}
	s.Finish(result, answer{r.contentType, r.body}, report)
}

var (
	errNoAddress          = errors.New("its backend is not listed")
	errBackendMoved       = errors.New("its backend left while the connection came up")
	errCanceledBeforeSent = errors.New("called off before it was sent")
)

// send follows the protocol's table of outcomes.
func (u *Upstream) send(s *core.Attempt, head, body []byte) (policy.AttemptStatus, response, error) {
	address := u.address(s.Backend)
	if address == "" {
		return policy.StatusConnectFailed, response{}, errNoAddress
	}
	c, err := u.get(s, address)
	if err != nil {
		called, _ := s.SetCanceler(nil)
		if called || errors.Is(err, errNoSocket) { // the agent's own want must not pass for the appliance's
			return policy.StatusNotSent, response{}, err
		}
		return policy.StatusConnectFailed, response{}, err
	}
	if !u.alive(c) { // what was to be called has left while this came up
		u.discard(c)
		return policy.StatusNotSent, response{}, errBackendMoved
	}
	if called, late := s.MarkSent(c); called || late { // it must not go out now
		u.put(c)
		if called {
			return policy.StatusNotSent, response{}, errCanceledBeforeSent
		}
		return policy.StatusConnectFailed, response{}, context.DeadlineExceeded
	}
	call := make([]byte, 0, len(head)+len(body)+40)
	call = append(append(call, head...), "Req-Deadline: "...)
	call = strconv.AppendInt(call, max(int64(s.Deadline-u.core.Now()), 1), 10)
	r, err := c.roundTrip(append(append(call, "m\r\n\r\n"...), body...))
	called, late := s.SetCanceler(nil)
	if c.setReadTimeout(0); called || late || err != nil || r.closes || c.in.Buffered() > 0 {
		u.discard(c)
	} else {
		u.put(c)
	}
	switch {
	case errors.Is(err, errNotWritten) && called:
		return policy.StatusNotSent, r, err
	case err != nil && called:
		return policy.StatusCanceled, r, err
	case errors.Is(err, errNotWritten):
		return policy.StatusConnectFailed, r, err
	case err != nil && late:
		return policy.StatusTimedOut, r, err
	case err != nil:
		return policy.StatusReset, r, err
	case r.status == http.StatusOK:
		return policy.StatusServed, r, err
	case (r.status == http.StatusServiceUnavailable || r.status == http.StatusGatewayTimeout) && r.declined:
		return policy.StatusRejected, r, err
	}
	return policy.StatusErrored, r, err
}

// Probe asks an appliance how it is, on a connection like any other.
func (u *Upstream) Probe(appliance string) {
	from, path := u.core.Now(), "/alive"
	if u.loadOnProbes {
		path = "/metrics/load"
	}
	address, ok := u.address(appliance), false
	var report policy.LoadReport
	if c, err := u.get(nil, address); err == nil {
		c.probeBody = nil // of two probes' answers either will do
		wait := time.AfterFunc(probeTimeout, c.Cancel)
		r, err := c.roundTrip([]byte("GET " + path + " HTTP/1.1\r\nHost: " + address + "\r\n\r\n"))
		if c.setReadTimeout(0); !wait.Stop() || err != nil || r.closes || c.in.Buffered() > 0 {
			u.discard(c)
		} else {
			if r.status == http.StatusOK {
				c.probeBody = r.body
			}
			u.put(c)
		}
		if ok = err == nil && r.status == http.StatusOK; ok && u.loadOnProbes {
			report = parseLoadReport(string(r.body))
		}
	}
	u.core.ReportProbe(policy.ProbeResult{Backend: appliance, OK: ok, Took: u.core.Now() - from, Load: report})
}

// parseLoadReport reads what a load report may tell, whole or not at all. The settings name the fields by the simulator's words, the
// protocol's example by its own: both are read.
func parseLoadReport(report string) policy.LoadReport {
	waiting, busy, inflight := -1.0, -1.0, -1.0 // -1: it is not there
	for part := range strings.SplitSeq(report, ",") {
		name, value, _ := strings.Cut(part, "=")
		odd := strings.ContainsFunc(value, func(c rune) bool { return c != '.' && (c < '0' || c > '9') })
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || odd || v > maxLoadFigure || !isHeaderName([]byte(name)) {
			return policy.LoadReport{}
		}
		switch name {
		case "q", "queue":
			waiting = v
		case "rif", "inflight":
			inflight = v
		case "busy", "util":
			busy = v
		}
	}
	if waiting < 0 {
		waiting = inflight
	}
	return policy.LoadReport{Present: waiting >= 0 || busy >= 0, Waiting: max(waiting, 0), Busy: max(busy, 0)}
}

// requestHead is a call's first part as it came, less what each attempt tells anew and what belongs to a connection.
func requestHead(r *http.Request, length int) []byte {
	b := make([]byte, 0, 512)
	b = append(append(append(append(b, r.Method...), ' '), r.RequestURI...), " HTTP/1.1\r\nHost: "...)
	b = append(append(b, r.Host...), "\r\n"...)
	if length > 0 || r.Method != http.MethodGet {
		b = append(strconv.AppendInt(append(b, "Content-Length: "...), int64(length), 10), "\r\n"...)
	}
	for name, values := range r.Header {
		if hopByHopHeaders[name] {
			continue
		}
		for _, v := range values {
			b = append(append(append(append(b, name...), ": "...), v...), "\r\n"...)
		}
	}
	return b
}

var hopByHopHeaders = map[string]bool{
	"Connection": true, "Content-Length": true, "Expect": true, "Keep-Alive": true,
	"Proxy-Authenticate": true, "Proxy-Authorization": true, "Proxy-Connection": true, "Req-Deadline": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}
