package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// attempt is one request as it arrived at a backend.
type attempt struct {
	backend     string
	id, key     string
	first, last time.Time // arrival of its first and last byte
}

// reply is what a backend does with an attempt.
type reply struct {
	status int // 0: the connection is reset
	body   string
	work   time.Duration
	// copyAfter is the time after which a second copy of the answer follows, if nothing else has arrived by then; 0: none.
	copyAfter time.Duration
}

// backend is one stand-in of a server. Its callbacks must not change while it runs.
type backend struct {
	world   *world
	id      string
	onReply func(b *backend, a attempt) reply
	// onProbe returns the answer to a probe; nil: 404.
	onProbe func(b *backend) reply

	listener net.Listener
	mu       sync.Mutex
	ended    bool
	conns    map[net.Conn]bool
}

// stop ends the backend: its connections are reset and new ones refused, as of a process that ends.
func (b *backend) stop() {
	b.listener.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended = true
	for c := range b.conns {
		c.Close()
	}
}

func (b *backend) serve() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	b.listener, b.conns = l, map[net.Conn]bool{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go b.handle(c.(*net.TCPConn))
		}
	}()
	return nil
}

func (b *backend) address() string { return b.listener.Addr().String() }

func (b *backend) handle(c *net.TCPConn) {
	defer c.Close()
	b.mu.Lock()
	ended := b.ended
	b.conns[c] = true
	b.mu.Unlock()
	if ended {
		return
	}
	defer func() {
		b.mu.Lock()
		delete(b.conns, c)
		b.mu.Unlock()
	}()
	in := bufio.NewReaderSize(c, 4096)
	for {
		if _, err := in.Peek(1); err != nil {
			return
		}
		first := time.Now()
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		answer := reply{status: http.StatusNotFound, body: "no such page"}
		isProbe := r.URL.Path == "/alive" || r.URL.Path == "/metrics/load"
		id := r.Header.Get("Req-Id")
		switch {
		case isProbe && b.onProbe != nil:
			answer = b.onProbe(b)
		case id != "":
			a := attempt{b.id, id, r.Header.Get("Idempotency-Key"), first, time.Now()}
			answer = b.onReply(b, a)
			b.world.note("%s: got %s %s, answers %d after %v", b.id, id, r.URL.Path, answer.status, answer.work)
		}
		time.Sleep(answer.work)
		if answer.status == 0 {
			_ = c.SetLinger(0)
			return
		}
		text := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s",
			answer.status, http.StatusText(answer.status), len(answer.body), answer.body)
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
		if answer.copyAfter > 0 && !arrivesWithin(c, in, answer.copyAfter) {
			if _, err := io.WriteString(c, text); err != nil {
				return
			}
		}
	}
}

// arrivesWithin reports whether a byte arrives within the given time.
func arrivesWithin(c net.Conn, in *bufio.Reader, wait time.Duration) bool {
	_ = c.SetReadDeadline(time.Now().Add(wait))
	_, err := in.Peek(1)
	_ = c.SetReadDeadline(time.Time{})
	return err == nil
}

// attempts collects the attempts of all backends.
type attempts struct {
	mu  sync.Mutex
	all []attempt
}

func (a *attempts) add(one attempt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.all = append(a.all, one)
}

func (a *attempts) list() []attempt {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]attempt{}, a.all...)
}

// bodyFor returns the body that a backend makes for a request.
func bodyFor(id string) string { return "made for " + id + "\n" }

// between returns a random duration.
func between(from, to time.Duration) time.Duration { return from + rand.N(to-from+1) }

// delayProxy is the way to one address: it passes on every byte later by the same time, in both directions.
func delayProxy(target string, delay time.Duration) (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				to, err := net.Dial("tcp", target)
				if err != nil {
					c.Close()
					return
				}
				go passOn(c, to, delay)
				go passOn(to, c, delay)
			}()
		}
	}()
	return l, nil
}

// passOn copies from one connection to the other and then closes both.
func passOn(from, to net.Conn, delay time.Duration) {
	type piece struct {
		bytes []byte
		due   time.Time
	}
	pieces := make(chan piece, 1024)
	go func() {
		defer close(pieces)
		for {
			buffer := make([]byte, 16<<10)
			n, err := from.Read(buffer)
			if n > 0 {
				pieces <- piece{buffer[:n], time.Now().Add(delay)}
			}
			if err != nil {
				return
			}
		}
	}()
	for p := range pieces {
		time.Sleep(time.Until(p.due))
		if _, err := to.Write(p.bytes); err != nil {
			break
		}
	}
	time.Sleep(delay)
	to.Close()
	from.Close()
	for range pieces {
	}
}
