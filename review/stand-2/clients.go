package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// class is a class of requests as clients send it.
type class struct {
	name   string
	method string
	keyed  bool
	wait   time.Duration // how long a client says that it waits for an answer
	// leaves is the share of clients that close their connection after leaveFrom to leaveTo, if they have no answer by then.
	leaves             float64
	leaveFrom, leaveTo time.Duration
	share              float64
}

// answer is how a request ended for its client.
type answer struct {
	id, class, key string
	sent, ended    time.Time
	status         int // 0: none
	body           string
	err            string
	left           time.Time // when the client closed its connection without an answer; zero: it did not
}

// clients send requests to one instance, at a given mean rate: one at a time on each connection, and on a new connection
// if all are busy. Connections are used in turn, as if each belonged to a client of its own.
type clients struct {
	world   *world
	to      string // address of the instance
	name    string
	rate    float64 // per second
	classes []class

	mu      sync.Mutex
	idle    []*clientConn
	answers []answer
	number  int
	working sync.WaitGroup
}

type clientConn struct {
	net.Conn
	in   *bufio.Reader
	used bool
}

// send sends requests until the given time and waits for their ends.
func (c *clients) send(until time.Time) {
	next := time.Now()
	for time.Now().Before(until) {
		c.working.Add(1)
		go c.ask(c.pick())
		next = next.Add(time.Duration(rand.ExpFloat64() / c.rate * 1e9))
		time.Sleep(time.Until(next))
	}
	c.working.Wait()
}

func (c *clients) pick() class {
	x := rand.Float64()
	for _, one := range c.classes {
		if x -= one.share; x < 0 {
			return one
		}
	}
	return c.classes[0]
}

func (c *clients) nextID() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.number++
	return fmt.Sprintf("%s-%06d", c.name, c.number)
}

func (c *clients) conn(fresh bool) (*clientConn, error) {
	c.mu.Lock()
	if n := len(c.idle); n > 0 && !fresh {
		one := c.idle[0]
		c.idle = c.idle[1:]
		c.mu.Unlock()
		return one, nil
	}
	c.mu.Unlock()
	made, err := net.DialTimeout("tcp", c.to, 2*time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: made, in: bufio.NewReader(made)}, nil
}

func (c *clients) ask(of class) {
	defer c.working.Done()
	id := c.nextID()
	a := answer{id: id, class: of.name}
	head := fmt.Sprintf("%s /%s/%08x HTTP/1.1\r\nHost: api.internal\r\nReq-Id: %s\r\nReq-Deadline: %dm\r\n",
		of.method, of.name, rand.Uint32(), id, of.wait.Milliseconds())
	if of.keyed {
		a.key = fmt.Sprintf("%08x%08x", rand.Uint32(), rand.Uint32())
		head += "Idempotency-Key: " + a.key + "\r\n"
	}
	body := ""
	if of.method == http.MethodPost {
		body = "order " + id + "\n"
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	patience := of.wait
	if rand.Float64() < of.leaves {
		patience = between(of.leaveFrom, of.leaveTo)
	}
	c.exchange(&a, head+"\r\n"+body, patience)
	c.world.note("client: %s %s sent at %.1f, ended with %d %s", a.id, a.class, c.world.ms(a.sent), a.status, a.err)
	c.mu.Lock()
	c.answers = append(c.answers, a)
	c.mu.Unlock()
}

// exchange sends a request and reads its answer. If the instance closes a connection that was used before, without an
// answer, the request is sent once more on a new one.
func (c *clients) exchange(a *answer, text string, wait time.Duration) {
	for try := range 2 {
		conn, err := c.conn(try > 0)
		if err != nil {
			a.err = err.Error()
			a.ended = time.Now()
			return
		}
		deadline := time.Now().Add(wait)
		_ = conn.SetDeadline(deadline)
		_, err = io.WriteString(conn, text)
		a.sent = time.Now()
		if err == nil {
			err = conn.read(a)
		}
		a.ended = time.Now()
		if err == nil {
			c.mu.Lock()
			c.idle = append(c.idle, conn)
			c.mu.Unlock()
			return
		}
		conn.Close()
		if a.status == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
			a.left = time.Now()
		}
		crossed := conn.used && a.status == 0 && time.Now().Before(deadline)
		conn.used = true
		if a.status != 0 {
			return
		}
		a.err = err.Error()
		if !crossed || try > 0 {
			return
		}
		a.err = ""
	}
}

// read reads one answer. An error after the answer means that the connection can't be used again.
func (conn *clientConn) read(a *answer) error {
	response, err := http.ReadResponse(conn.in, nil)
	if err != nil {
		return err
	}
	body, err := io.ReadAll(response.Body)
	response.Body.Close()
	if err != nil {
		return err
	}
	a.status, a.body = response.StatusCode, string(body)
	conn.used = true
	if response.Close {
		return io.EOF
	}
	return nil
}

func (c *clients) list() []answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]answer{}, c.answers...)
}

// count returns how many requests ended with each status.
func count(answers []answer) map[int]int {
	n := map[int]int{}
	for _, a := range answers {
		n[a.status]++
	}
	return n
}
