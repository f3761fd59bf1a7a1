package fleet

// This file owns the clients: they keep connections, state deadlines, retry, and log what they got, which is the only
// oracle that a rehearsal has.

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"onyxgate/internal/record"
)

// Response is what one try of a client came to.
type Response struct {
	ID, Class  string
	Instance   int
	Sent, Done time.Time
	Outcome    string // settled, declined, voided, refused (the agent took it for no txn), broken, silent, nobody
	Body       record.Digest
	Retry      int
}

// Clients send txns to agents at a rate.
type Clients struct {
	fleet         *Fleet
	addresses     []string
	mu            sync.Mutex
	log           []Response
	idle          [][]net.Conn
	inFlight      []int // txns under way, by agent
	unreachableAt []time.Time
	lastID        uint64
	prefix        string
	Keys          int // distinct keys of requests
}

// NewClients makes clients of agents at these addresses.
func NewClients(w *Fleet, address []string, seed uint64) *Clients {
	return &Clients{
		fleet: w, addresses: address, idle: make([][]net.Conn, len(address)), inFlight: make([]int, len(address)),
		unreachableAt: make([]time.Time, len(address)), prefix: fmt.Sprintf("%04x", seed&0xffff), Keys: 1000,
	}
}

// Log is what all of them got so far.
func (c *Clients) Log() []Response {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Response(nil), c.log...)
}

// InFlight is how many txns an agent has under way.
func (c *Clients) InFlight(agent int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inFlight[agent]
}

// Run sends `rate` txns a second until ctx ends, and waits for what is under way.
func (c *Clients) Run(ctx context.Context, rate func() float64, seed uint64) {
	chance := rand.New(rand.NewPCG(seed, 2))
	var all sync.WaitGroup
	for ctx.Err() == nil {
		time.Sleep(time.Duration(chance.ExpFloat64() / rate() * 1e9))
		share, p := chance.Float64(), Classes[0]
		for _, q := range Classes {
			if p = q; share < q.Share {
				break
			}
			share -= q.Share
		}
		agent, key, mark := chance.IntN(len(c.addresses)), chance.IntN(c.Keys), fmt.Sprintf("%016x", chance.Uint64())
		all.Go(func() { c.send(p, agent, key, mark) })
	}
	all.Wait()
}

// send tries up to three times: what was declined or never reached anybody may be sent again, and what may have run where
// the product allows it.
func (c *Clients) send(p Class, agent, key int, mark string) {
	for retry := range 3 {
		c.mu.Lock()
		for range c.addresses { // the front hands new connections to agents that stand
			if time.Since(c.unreachableAt[agent]) > 300*time.Millisecond {
				break
			}
			agent = (agent + 1) % len(c.addresses)
		}
		c.lastID++
		g := Response{ID: fmt.Sprintf("%s%08x", c.prefix, c.lastID), Class: p.Name, Instance: agent, Sent: time.Now(), Retry: retry}
		c.inFlight[agent]++
		c.mu.Unlock()
		c.fleet.RequestSent(agent)
		c.attempt(p, &g, key, mark)
		g.Done = time.Now()
		c.mu.Lock()
		c.inFlight[agent]--
		c.log = append(c.log, g)
		if g.Outcome == "nobody" {
			c.unreachableAt[agent] = time.Now()
		}
		c.mu.Unlock()
		safe := g.Outcome == "declined" || g.Outcome == "nobody" || p.Semantics != "once"
		if g.Outcome == "settled" || !safe {
			return
		}
		time.Sleep(time.Duration(50*(retry+1)) * time.Millisecond)
	}
}

func (c *Clients) attempt(p Class, g *Response, key int, mark string) {
	conn := c.connect(g.Instance)
	if conn == nil {
		g.Outcome = "nobody"
		return
	}
	text := fmt.Sprintf("Host: api\r\nReq-Id: %s\r\nReq-Deadline: %dm\r\n", g.ID, p.Timeout.Milliseconds())
	if g.Retry > 0 {
		text += "Req-Retry: 1\r\n"
	}
	path := fmt.Sprintf("/%s/%d", p.Name, key)
	if p.Semantics == "repeatable" {
		text = "GET " + path + " HTTP/1.1\r\n" + text + "\r\n"
	} else {
		if p.Semantics == "by_key" {
			text += "Idempotency-Key: " + mark + "\r\n"
		}
		text = "POST " + path + " HTTP/1.1\r\n" + text + "Content-Length: 5\r\n\r\nscore"
	}
	conn.SetDeadline(time.Now().Add(p.Timeout + 2*time.Second))
	whole := func() bool {
		if _, err := io.WriteString(conn, text); err != nil {
			return false
		}
		r, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			return false
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return false
		}
		switch {
		case r.StatusCode == http.StatusOK:
			g.Outcome, g.Body = "settled", record.DigestOf(body)
		case r.StatusCode == http.StatusServiceUnavailable || r.StatusCode == http.StatusTooManyRequests:
			g.Outcome = "declined"
		case r.StatusCode >= 500:
			g.Outcome = "voided"
		default:
			g.Outcome = "refused"
		}
		return !r.Close
	}()
	switch {
	case whole:
		c.mu.Lock()
		c.idle[g.Instance] = append(c.idle[g.Instance], conn)
		c.mu.Unlock()
		return
	case g.Outcome == "" && time.Since(g.Sent) > p.Timeout+time.Second:
		g.Outcome = "silent"
	case g.Outcome == "":
		g.Outcome = "broken"
	}
	conn.Close()
}

// connect takes an idle connection that the agent has not closed, or opens one.
func (c *Clients) connect(agent int) net.Conn {
	for {
		c.mu.Lock()
		list := c.idle[agent]
		if len(list) == 0 {
			c.mu.Unlock()
			break
		}
		conn := list[len(list)-1]
		c.idle[agent] = list[:len(list)-1]
		c.mu.Unlock()
		conn.SetReadDeadline(time.Now().Add(50 * time.Microsecond))
		if _, err := conn.Read(make([]byte, 1)); err != nil {
			if e, ok := err.(net.Error); ok && e.Timeout() {
				return conn
			}
		}
		conn.Close()
	}
	conn, err := net.DialTimeout("tcp", c.addresses[agent], time.Second)
	if err != nil {
		return nil
	}
	return conn
}

// Close ends their connections.
func (c *Clients) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, list := range c.idle {
		for _, conn := range list {
			conn.Close()
		}
	}
}
