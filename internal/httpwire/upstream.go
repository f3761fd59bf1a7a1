package httpwire

// This file owns the connections to appliances and every byte written to them: submissions, probes, and what their
// answers mean by the protocol's table. It must never resend anything on its own, pick an appliance or give up sooner
// than it is told: one call is one submission, and one result comes of it.

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"onyxgate/internal/core"
	"onyxgate/policy"
)

const (
	bodyMost  = 64 << 10
	headLines = 64                   // in an answer's head, none longer than the reader's buffer
	fresh     = 2 * time.Millisecond // a connection used since is taken without a look at whether it still stands
	probeWait = 500 * time.Millisecond
)

// Dial opens one connection.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// Upstream calls appliances.
type Upstream struct {
	core      *core.Core
	dial      Dial
	address   func(appliance string) string
	sockets   *Sockets
	up, idle  time.Duration
	onAnswers bool // load reports come with answers
	onProbes  bool
	mu        sync.Mutex
	kept      map[string][]*conn // idle, by address, the last used at the end
	dialled   int
	Unsent    int // submissions for which no socket was left
}

// NewUpstream makes one; connections may take up (ms) to come up, and are idle half of what the appliances allow:
// one closed at the very moment of its use would look like the appliance's failure.
func NewUpstream(c *core.Core, dial Dial, address func(string) string, sockets *Sockets, up, idle float64,
	onAnswers, onProbes bool) *Upstream {
	u := &Upstream{core: c, dial: dial, address: address, sockets: sockets, onAnswers: onAnswers, onProbes: onProbes,
		up: time.Duration(up * 1e6), idle: time.Duration(idle * 1e6 / 2), kept: map[string][]*conn{}}
	sockets.shed = u.shed
	return u
}

// conn is one connection to an appliance or the platform.
type conn struct {
	net.Conn
	in    *bufio.Reader
	since time.Time
}

func newConn(c net.Conn) *conn { return &conn{Conn: c, in: bufio.NewReader(c)} }

// Halt interrupts the call under way.
func (c *conn) Halt() { c.SetDeadline(time.Unix(1, 0)) }

// dialling is a connection that is not up yet.
type dialling context.CancelFunc

func (d dialling) Halt() { d() }

// get takes an idle connection that still stands, the last used first, or opens one.
func (u *Upstream) get(s *core.Submission, address string) (*conn, error) {
	for {
		u.mu.Lock()
		list := u.kept[address]
		if len(list) == 0 {
			u.mu.Unlock()
			break
		}
		c := list[len(list)-1]
		u.kept[address] = list[:len(list)-1]
		u.mu.Unlock()
		if rest := time.Since(c.since); rest < fresh || rest < u.idle && quiet(c.Conn) {
			return c, nil
		}
		c.Close()
	}
	if !u.sockets.room(false) {
		u.mu.Lock()
		u.Unsent++
		u.mu.Unlock()
		return nil, errNoSocket
	}
	ctx, cancel := context.WithTimeout(context.Background(), u.up)
	defer cancel()
	if s != nil {
		if called, late := s.Begin(dialling(cancel)); called || late {
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
	u.dialled++
	u.mu.Unlock()
	return newConn(u.sockets.hold(c, false)), nil
}

// put keeps a connection for the next call.
func (u *Upstream) put(address string, c *conn) {
	c.since = time.Now()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.kept[address] = append(u.kept[address], c)
}

// shed closes the connection that has been idle longest.
func (u *Upstream) shed() bool {
	u.mu.Lock()
	oldest := ""
	for address, list := range u.kept {
		if len(list) > 0 && (oldest == "" || list[0].since.Before(u.kept[oldest][0].since)) {
			oldest = address
		}
	}
	list := u.kept[oldest]
	if len(list) == 0 {
		u.mu.Unlock()
		return false
	}
	u.kept[oldest] = list[1:]
	u.mu.Unlock()
	list[0].Close()
	return true
}

// Forget closes the idle connections to an address where something else runs now, or nothing.
func (u *Upstream) Forget(address string) {
	u.mu.Lock()
	list := u.kept[address]
	delete(u.kept, address)
	u.mu.Unlock()
	for _, c := range list {
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
		for address, list := range u.kept {
			n := 0
			for n < len(list) && (last || time.Since(list[n].since) >= u.idle) {
				n++
			}
			old = append(old, list[:n]...)
			if u.kept[address] = list[n:]; n == len(list) {
				delete(u.kept, address)
			}
		}
		u.mu.Unlock()
		for _, c := range old {
			c.Close()
		}
	}
}

// Connections counts those opened so far, those idle now and the submissions that found no socket.
func (u *Upstream) Connections() (opened, idle, unsent int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, list := range u.kept {
		idle += len(list)
	}
	return u.dialled, idle, u.Unsent
}

var errNoSocket = errors.New("no socket left")

var errUnsent = errors.New("its last byte was never written")

// reply is what an answer's head says that matters here, and its body.
type reply struct {
	status   int
	load     string
	declined bool
	kind     string
	body     []byte
	closes   bool
}

// exchange writes one call and reads its answer whole. An error that is errUnsent proves that the call never ran.
func (c *conn) exchange(call []byte) (reply, error) {
	if n, err := c.Write(call); n < len(call) {
		return reply{}, fmt.Errorf("%w: %w", errUnsent, err)
	}
	for {
		r, err := c.read()
		if err != nil || r.status >= 200 || r.status == http.StatusSwitchingProtocols {
			return r, err
		} // else an interim answer; the real one follows
	}
}

var errMalformed = errors.New("an answer that can't be read")

// read takes an answer apart by hand: the library's reader, with its table of headers, took a tenth of a txn's cost.
func (c *conn) read() (r reply, err error) {
	line, err := c.line()
	if err != nil {
		return r, err
	}
	if len(line) < 12 || string(line[:7]) != "HTTP/1." || line[8] != ' ' || len(line) > 12 && line[12] != ' ' {
		return r, errMalformed
	}
	if r.status, err = strconv.Atoi(string(line[9:12])); err != nil || r.status < 100 {
		return r, errMalformed
	}
	r.closes = line[7] == '0'
	length, chunked := int64(-1), false
	for n := 0; ; n++ {
		if line, err = c.line(); err != nil {
			return r, err
		}
		if len(line) == 0 {
			break
		}
		name, value, ok := bytes.Cut(line, []byte{':'})
		if !ok || n >= headLines {
			return r, errMalformed
		}
		value = bytes.TrimSpace(value)
		switch {
		case bytes.EqualFold(name, []byte("Content-Length")):
			l, err := strconv.ParseInt(string(value), 10, 64)
			if err != nil || l < 0 || length >= 0 && l != length {
				return r, errMalformed
			}
			length = l
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			if chunked = bytes.EqualFold(value, []byte("chunked")); !chunked {
				return r, errMalformed
			}
		case bytes.EqualFold(name, []byte("Connection")):
			r.closes = r.closes || bytes.EqualFold(value, []byte("close"))
		case bytes.EqualFold(name, []byte("Content-Type")):
			r.kind = string(value)
		case bytes.EqualFold(name, []byte("Srv-Load")):
			r.load = string(value)
		case bytes.EqualFold(name, []byte("Srv-Declined")):
			r.declined = string(value) == "1"
		}
	}
	switch {
	case r.status < 200 || r.status == http.StatusNoContent || r.status == http.StatusNotModified:
	case chunked:
		r.body, err = io.ReadAll(io.LimitReader(httputil.NewChunkedReader(c.in), bodyMost+1))
		if err == nil && len(r.body) <= bodyMost {
			line, err = c.line() // the end of the trailers, which are none here
			r.closes = r.closes || len(line) > 0
		}
	case length > bodyMost:
		return r, errTooLong
	case length >= 0:
		r.body = make([]byte, length)
		_, err = io.ReadFull(c.in, r.body)
	default:
		r.closes = true
		r.body, err = io.ReadAll(io.LimitReader(c.in, bodyMost+1))
	}
	if err == nil && len(r.body) > bodyMost {
		err = errTooLong
	}
	return r, err
}

var errTooLong = errors.New("an answer too long")

func (c *conn) line() ([]byte, error) {
	line, err := c.in.ReadSlice('\n')
	if err != nil {
		return nil, err
	}
	return bytes.TrimRight(line, "\r\n"), nil
}

// answer is what goes back to the client.
type answer struct {
	kind string
	body []byte
}

// Submit carries out one submission of a txn and tells its end.
func (u *Upstream) Submit(s *core.Submission, head, body []byte) {
	result, r := u.submit(s, head, body)
	waiting, busy := -1.0, -1.0
	if u.onAnswers && r.load != "" {
		waiting, busy = load(r.load)
	}
	s.End(result, answer{r.kind, r.body}, waiting, busy)
}

// submit follows the protocol's table of outcomes.
func (u *Upstream) submit(s *core.Submission, head, body []byte) (policy.Result, reply) {
	address := u.address(s.Appliance)
	if address == "" {
		return policy.Unconnected, reply{}
	}
	c, err := u.get(s, address)
	if err != nil {
		called, _ := s.Begin(nil)
		switch {
		case called:
			return policy.Revoked, reply{}
		case errors.Is(err, errNoSocket): // the agent's own want must not pass for the appliance's
			return policy.Moot, reply{}
		}
		return policy.Unconnected, reply{}
	}
	if called, late := s.Begin(c); called || late { // not written yet: it must not go out now
		u.put(address, c)
		if called {
			return policy.Revoked, reply{}
		}
		return policy.Unconnected, reply{}
	}
	call := make([]byte, 0, len(head)+len(body)+40)
	call = append(append(call, head...), "Req-Deadline: "...)
	call = strconv.AppendInt(call, max(int64(s.Until-u.core.Now()), 1), 10)
	r, err := c.exchange(append(append(call, "m\r\n\r\n"...), body...))
	called, late := s.Begin(nil)
	if called || late || err != nil || r.closes || c.in.Buffered() > 0 {
		c.Close()
	} else {
		u.put(address, c)
	}
	switch {
	case err != nil && called:
		return policy.Revoked, r
	case errors.Is(err, errUnsent):
		return policy.Unconnected, r
	case err != nil && late:
		return policy.TimedOut, r
	case err != nil:
		return policy.Broken, r
	case r.status == http.StatusOK:
		return policy.Settled, r
	case (r.status == http.StatusServiceUnavailable || r.status == http.StatusGatewayTimeout) && r.declined:
		return policy.Rejected, r
	}
	return policy.Errored, r
}

// Probe asks an appliance how it is, on a connection like any other.
func (u *Upstream) Probe(appliance string) {
	from, path := u.core.Now(), "/alive"
	if u.onProbes {
		path = "/metrics/load"
	}
	address, ok := u.address(appliance), false
	waiting, busy := -1.0, -1.0
	if c, err := u.get(nil, address); err == nil {
		c.SetDeadline(time.Now().Add(probeWait))
		r, err := c.exchange([]byte("GET " + path + " HTTP/1.1\r\nHost: " + address + "\r\n\r\n"))
		if err != nil || r.closes || c.in.Buffered() > 0 {
			c.Close()
		} else {
			c.SetDeadline(time.Time{})
			u.put(address, c)
		}
		if ok = err == nil && r.status == http.StatusOK; ok && u.onProbes {
			waiting, busy = load(string(r.body))
		}
	}
	u.core.Probed(appliance, ok, u.core.Now()-from, waiting, busy)
}

// load reads what a load report may tell; -1 stands for a figure that is not there.
func load(report string) (waiting, busy float64) {
	waiting, busy = -1, -1
	inflight := -1.0
	for part := range strings.SplitSeq(report, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || v < 0 || v > 1e9 {
			continue
		}
		switch name {
		case "queue":
			waiting = v
		case "inflight":
			inflight = v
		case "util":
			busy = v
		}
	}
	if waiting < 0 {
		waiting = inflight
	}
	return waiting, busy
}

// head is a call's first part as it came, less what each submission tells anew and what belongs to a connection.
func head(r *http.Request, length int) []byte {
	b := make([]byte, 0, 512)
	b = append(append(append(append(b, r.Method...), ' '), r.RequestURI...), " HTTP/1.1\r\nHost: "...)
	b = append(append(b, r.Host...), "\r\n"...)
	if length > 0 || r.Method != http.MethodGet {
		b = append(strconv.AppendInt(append(b, "Content-Length: "...), int64(length), 10), "\r\n"...)
	}
	for name, values := range r.Header {
		if connectionOnly[name] {
			continue
		}
		for _, v := range values {
			b = append(append(append(append(b, name...), ": "...), v...), "\r\n"...)
		}
	}
	return b
}

var connectionOnly = map[string]bool{"Connection": true, "Content-Length": true, "Expect": true, "Keep-Alive": true,
	"Proxy-Authenticate": true, "Proxy-Authorization": true, "Proxy-Connection": true, "Req-Deadline": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true}
