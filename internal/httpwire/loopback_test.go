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

// fakeBackend listens on loopback and hands each accepted connection to the test.
type fakeBackend struct {
	net.Listener
	conns chan *peerConn
}

// peerConn is one connection with its buffered reader, as a backend or as a client.
type peerConn struct {
	net.Conn
	in *bufio.Reader
}

func newFakeBackend(t *testing.T) *fakeBackend {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := &fakeBackend{l, make(chan *peerConn, 16)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				close(a.conns)
				return
			}
			a.conns <- &peerConn{c, bufio.NewReader(c)}
		}
	}()
	t.Cleanup(func() { l.Close() })
	return a
}

func (a *fakeBackend) address() string { return a.Addr().String() }

// readRequest reads one request and returns its id and its deadline header, or the error that came instead.
func (p *peerConn) readRequest() (id, deadline string, err error) {
	r, err := http.ReadRequest(p.in)
	if err != nil {
		return "", "", err
	}
	io.Copy(io.Discard, r.Body)
	return r.Header.Get("Req-Id"), r.Header.Get("Req-Deadline"), nil
}

// respond writes one answer 200 with the body.
func (p *peerConn) respond(body string) {
	fmt.Fprintf(p, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// loopback is an instance on loopback sockets with the backend s at an address.
type loopback struct {
	*testInstance
	t        *testing.T
	listener net.Listener
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	return new(net.Dialer).DialContext(ctx, "tcp", address)
}

func newLoopback(t *testing.T, address string, dial Dial, revokes bool) *loopback {
	a := newTestInstance(network{}, NewSockets(0))
	a.upstream.dial, a.upstream.connectTimeout = dial, time.Minute
	a.front.cancelAllowed = revokes
	a.applyChange(t, 2, `{"id":"s","addr":"`+address+`","state":"Ready","weight":1,"version_no":1}`)
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
		a.upstream.Sweep(ctx)
	})
	return &loopback{a, t, l}
}

// applyChange hands one changed entry to discovery, as its stream would.
func (a *testInstance) applyChange(t *testing.T, version int, entry string) {
	if err := a.discovery.Apply([]byte(listJSON(version, false, entry)), FromWatch, func() {}); err != nil {
		t.Error(err)
	}
}

// dialFront opens a client connection to the front; it is closed with the test.
func (l *loopback) dialFront() *peerConn {
	c, err := net.Dial("tcp", l.listener.Addr().String())
	if err != nil {
		l.t.Fatal(err)
	}
	l.t.Cleanup(func() { c.Close() })
	return &peerConn{c, bufio.NewReader(c)}
}

// requestWithID is validRequest with another id.
func requestWithID(id string) string { return strings.Replace(validRequest, "r1", id, 1) }

// readResponse reads one answer and returns its status and body.
func (p *peerConn) readResponse(t *testing.T) (int, string) {
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

// waitUntil yields until another goroutine has made the condition true.
func waitUntil(holds func() bool) {
	for !holds() {
		runtime.Gosched()
	}
}
