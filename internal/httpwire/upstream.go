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
	"strconv"
	"strings"
	"sync"
	"time"

	"onyxgate/internal/core"
	"onyxgate/policy"
)

const (
	bodyMost  = 64 << 10
	wireMost  = 256 << 10 // one answer with its head and framing, however it comes
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

// conn is one connection; its reader is bounded anew for each answer.
type conn struct {
	net.Conn
	bound *io.LimitedReader
	in    *bufio.Reader
	since time.Time
}

func newConn(c net.Conn) *conn {
	bound := &io.LimitedReader{R: c, N: wireMost}
	return &conn{Conn: c, bound: bound, in: bufio.NewReader(bound)}
}

// get takes an idle connection that still stands, the last used first, or opens one.
func (u *Upstream) get(ctx context.Context, address string) (*conn, error) {
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
		if time.Since(c.since) < u.idle && quiet(c.Conn) {
			return c, nil
		}
		c.Close()
	}
	if !u.sockets.room(false) {
		u.mu.Lock()
		u.Unsent++
		u.mu.Unlock()
		return nil, errors.New("no socket left")
	}
	ctx, cancel := context.WithTimeout(ctx, u.up)
	defer cancel()
	c, err := u.dial(ctx, address)
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
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-tick.C:
		}
		u.mu.Lock()
		var old []*conn
		for address, list := range u.kept {
			n := 0
			for n < len(list) && (ctx.Err() != nil || time.Since(list[n].since) >= u.idle) {
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

var errUnsent = errors.New("its last byte was never written")

// exchange writes one call and reads its answer whole. An error that is errUnsent proves that the call never ran.
func (u *Upstream) exchange(ctx context.Context, address string, call func() []byte) (*http.Response, []byte, error) {
	c, err := u.get(ctx, address)
	if err != nil {
		return nil, nil, fmt.Errorf("%w: %w", errUnsent, err)
	}
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	resp, body, err := c.exchange(call())
	if !stop() || err != nil || resp.Close || c.in.Buffered() > 0 {
		c.Close()
	} else {
		u.put(address, c)
	}
	return resp, body, err
}

func (c *conn) exchange(call []byte) (*http.Response, []byte, error) {
	if n, err := c.Write(call); n < len(call) {
		return nil, nil, fmt.Errorf("%w: %w", errUnsent, err)
	}
	c.bound.N = wireMost
	for {
		resp, err := http.ReadResponse(c.in, nil)
		if err != nil {
			return nil, nil, err
		}
		if resp.StatusCode < 200 && resp.StatusCode != http.StatusSwitchingProtocols {
			continue // an interim answer; the real one follows
		}
		body, err := io.ReadAll(io.LimitReader(resp.Body, bodyMost+1))
		if err == nil && len(body) > bodyMost {
			err = errors.New("an answer too long")
		}
		return resp, body, err
	}
}

// answer is what goes back to the client.
type answer struct {
	kind string
	body []byte
}

// Submit carries out one submission of a txn and tells its end.
func (u *Upstream) Submit(s *core.Submission, appliance string, head, body []byte) {
	address := u.address(appliance)
	if address == "" {
		s.End(policy.Unconnected, nil, -1, -1)
		return
	}
	resp, got, err := u.exchange(s.Ctx, address, func() []byte {
		left := max(int64(s.Until-u.core.Now()), 1)
		return slicesOf(head, "Req-Deadline: "+strconv.FormatInt(left, 10)+"m\r\n\r\n", body)
	})
	waiting, busy := -1.0, -1.0
	if resp != nil && u.onAnswers {
		waiting, busy = load(resp.Header.Get("Srv-Load"))
	}
	s.End(result(s.Ctx, resp, err), answer{contentType(resp), got}, waiting, busy)
}

func slicesOf(head []byte, line string, body []byte) []byte {
	out := make([]byte, 0, len(head)+len(line)+len(body))
	return append(append(append(out, head...), line...), body...)
}

func contentType(resp *http.Response) string {
	if resp == nil {
		return ""
	}
	return resp.Header.Get("Content-Type")
}

// result is the protocol's table of outcomes.
func result(ctx context.Context, resp *http.Response, err error) policy.Result {
	switch {
	case errors.Is(err, errUnsent) && errors.Is(ctx.Err(), context.Canceled):
		return policy.Revoked
	case errors.Is(err, errUnsent):
		return policy.Unconnected
	case err != nil && errors.Is(ctx.Err(), context.Canceled):
		return policy.Revoked
	case err != nil && ctx.Err() != nil:
		return policy.TimedOut
	case err != nil:
		return policy.Broken
	case resp.StatusCode == http.StatusOK:
		return policy.Settled
	case (resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout) &&
		resp.Header.Get("Srv-Declined") == "1":
		return policy.Rejected
	}
	return policy.Errored
}

// Probe asks an appliance how it is, on a connection like any other.
func (u *Upstream) Probe(appliance string) {
	from := u.core.Now()
	path := "/alive"
	if u.onProbes {
		path = "/metrics/load"
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeWait)
	defer cancel()
	resp, body, err := u.exchange(ctx, u.address(appliance), func() []byte {
		return []byte("GET " + path + " HTTP/1.1\r\nHost: " + appliance + "\r\n\r\n")
	})
	ok := err == nil && resp.StatusCode == http.StatusOK
	waiting, busy := -1.0, -1.0
	if ok && u.onProbes {
		waiting, busy = load(string(body))
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
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.RequestURI, r.Host)
	if length > 0 || r.Method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", length)
	}
	r.Header.WriteSubset(&b, connectionOnly) // to memory: it cannot fail
	return b.Bytes()
}

var connectionOnly = map[string]bool{"Connection": true, "Content-Length": true, "Expect": true, "Keep-Alive": true,
	"Proxy-Authenticate": true, "Proxy-Authorization": true, "Proxy-Connection": true, "Req-Deadline": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true}
