package httpwire

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"
)

// appliance is a peer on loopback: every connection that comes up, and what is read on it, is handed to the test.
type appliance struct {
	net.Listener
	conns chan *peer
}

type peer struct {
	net.Conn
	in *bufio.Reader
}

func newAppliance(t *testing.T) *appliance {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := &appliance{l, make(chan *peer, 16)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				close(a.conns)
				return
			}
			a.conns <- &peer{c, bufio.NewReader(c)}
		}
	}()
	t.Cleanup(func() { l.Close() })
	return a
}

func (a *appliance) at() string { return a.Addr().String() }

// call reads one call and returns its id and what it says of its time, or the error that came instead.
func (p *peer) call() (id, deadline string, err error) {
	r, err := http.ReadRequest(p.in)
	if err != nil {
		return "", "", err
	}
	io.Copy(io.Discard, r.Body)
	return r.Header.Get("Req-Id"), r.Header.Get("Req-Deadline"), nil
}

func (p *peer) say(body string) {
	fmt.Fprintf(p, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// loop is an agent on loopback with the appliance s at an address, and a client's connection to it.
type loop struct {
	*agent
	t      *testing.T
	front_ net.Listener
}

func tcp(ctx context.Context, address string) (net.Conn, error) {
	return new(net.Dialer).DialContext(ctx, "tcp", address)
}

func newLoop(t *testing.T, address string, dial Dial, revokes bool) *loop {
	a := newAgent(network{}, NewSockets(0))
	a.up.dial, a.up.up = dial, time.Minute
	a.front.revokes = revokes
	a.lists(t, 2, `{"id":"s","addr":"`+address+`","state":"Ready","weight":1,"version_no":1}`)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := a.front.Server()
	go server.Serve(Listener{l, a.front.sockets})
	t.Cleanup(func() {
		server.Close()
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		a.up.Sweep(ctx)
	})
	return &loop{a, t, l}
}

func (a *agent) lists(t *testing.T, version int, entry string) {
	if err := a.disc.Apply([]byte(told(version, false, entry)), FromWatch, func() {}); err != nil {
		t.Error(err)
	}
}

func (l *loop) client() *peer {
	c, err := net.Dial("tcp", l.front_.Addr().String())
	if err != nil {
		l.t.Fatal(err)
	}
	l.t.Cleanup(func() { c.Close() })
	return &peer{c, bufio.NewReader(c)}
}

func get(id string) string { return strings.Replace(good, "r1", id, 1) }

func (p *peer) answer(t *testing.T) (int, string) {
	r, err := http.ReadResponse(p.in, nil)
	if err != nil {
		t.Error(err)
		return 0, ""
	}
	b, err := io.ReadAll(r.Body)
	if err != nil {
		t.Error(err)
	}
	return r.StatusCode, string(b)
}

// until waits for what another goroutine is about to bring about.
func until(holds func() bool) {
	for !holds() {
		runtime.Gosched()
	}
}
