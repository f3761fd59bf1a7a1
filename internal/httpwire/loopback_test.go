package httpwire

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"
)

// fakeBackend listens on loopback and sends each accepted connection to the test.
type fakeBackend struct {
	net.Listener
	conns chan *peerConn
}

// peerConn is a connection with a buffered reader, used as a backend or as a client.
type peerConn struct {
	net.Conn
	in *bufio.Reader
}

func newFakeBackend(t *testing.T) *fakeBackend {
	t.Helper()
	listener := listenTCP(t)
	backend := &fakeBackend{listener, make(chan *peerConn, 16)}
	go func() { // ends when the listener is closed
		defer close(backend.conns)
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			backend.conns <- &peerConn{conn, bufio.NewReader(conn)}
		}
	}()
	return backend
}

func (b *fakeBackend) address() string { return b.Addr().String() }

// readRequest reads one request and returns its id and its Req-Deadline header.
func (p *peerConn) readRequest() (id, deadline string, err error) {
	request, err := http.ReadRequest(p.in)
	if err != nil {
		return "", "", err
	}
	drain(request.Body)
	return request.Header.Get("Req-Id"), request.Header.Get("Req-Deadline"), nil
}

// respond writes one response with status 200 and the given body.
func (p *peerConn) respond(body string) {
	send(p, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
}

// loopback is an instance on loopback sockets whose backend s has the given address.
type loopback struct {
	*testInstance
	t        *testing.T
	listener net.Listener
}

// listenTCP listens on a free loopback port until the test ends.
func listenTCP(t *testing.T) net.Listener {
	t.Helper()
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	return listener
}

// connectTCP opens a connection that is closed when the test ends.
func connectTCP(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := dialTCP(t.Context(), address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

// connectedPair returns both ends of a TCP connection that is closed when the test ends.
func connectedPair(t *testing.T) (client, accepted net.Conn) {
	t.Helper()
	listener := listenTCP(t)
	client = connectTCP(t, listener.Addr().String())
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { accepted.Close() })
	return client, accepted
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	return new(net.Dialer).DialContext(ctx, "tcp", address)
}

func newLoopback(t *testing.T, address string, dial Dial, cancelAllowed bool) *loopback {
	t.Helper()
	return newLoopbackOn(t, NewSockets(0), address, dial, cancelAllowed)
}

// newLoopbackOn is like newLoopback with the given socket budget.
func newLoopbackOn(t *testing.T, sockets *Sockets, address string, dial Dial, cancelAllowed bool) *loopback {
	t.Helper()
	instance := newTestInstance(network{}, sockets)
	instance.upstream.conns.dial, instance.upstream.conns.connectTimeout = dial, time.Minute
	instance.front.cancelAllowed = cancelAllowed
	instance.applyChange(t, 2, `{"id":"s","addr":"`+address+`","state":"Ready","weight":1,"version_no":1}`)
	listener := listenTCP(t)
	server := instance.front.Server()
	go func() { _ = server.Serve(Listener{listener, instance.front.sockets}) }() // returns ErrServerClosed after Close
	t.Cleanup(func() {
		server.Close()
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		instance.upstream.Sweep(ctx)
	})
	return &loopback{instance, t, listener}
}

// applyChange applies a change with one entry, as if it came from the watch.
func (instance *testInstance) applyChange(t *testing.T, version int, entry string) {
	t.Helper()
	if err := instance.discovery.Apply([]byte(listJSON(version, false, entry)), FromWatch, func() {}); err != nil {
		t.Errorf("applying version %d with %s: %v", version, entry, err)
	}
}

// dialFront opens a client connection to the front that is closed when the test ends.
func (l *loopback) dialFront() *peerConn {
	l.t.Helper()
	conn := connectTCP(l.t, l.listener.Addr().String())
	return &peerConn{conn, bufio.NewReader(conn)}
}

// requestWithID returns validRequest with another id.
func requestWithID(id string) string { return strings.Replace(validRequest, "r1", id, 1) }

// readResponse reads one response and returns its status and body.
func (p *peerConn) readResponse(t *testing.T) (status int, body string) {
	t.Helper()
	answer, body, err := readAnswer(p.in)
	if err != nil {
		t.Errorf("reading a response: %v", err)
	}
	return answer.StatusCode, body
}

// waitUntil yields the processor until the condition is true.
func waitUntil(condition func() bool) {
	for !condition() {
		runtime.Gosched()
	}
}
