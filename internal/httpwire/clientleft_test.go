package httpwire

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// A request whose client closed its connection while it waited unread, as in the listener's backlog, must not be sent to a
// backend: the close is noticed before the request is handled, not at the same time.
func TestClientLeftBeforeRequestIsHandled(t *testing.T) {
	const clients = 50
	backend := newFakeBackend(t)
	instance := newTestInstance(network{}, NewSockets(0))
	instance.upstream.conns.dial = dialTCP
	instance.applyChange(t, 2, `{"id":"s","addr":"`+backend.address()+`","state":"Ready","weight":1,"version_no":1}`)
	go func() { // ends with the listener of the backend
		for conn := range backend.conns {
			conn.respond("x")
			conn.Close()
		}
	}()
	listener := listenTCP(t)
	for k := range clients { // the connections wait in the backlog until the server starts
		client := connectTCP(t, listener.Addr().String())
		send(client, requestWithID(fmt.Sprintf("r%d", k)))
		client.Close()
	}
	server := instance.front.Server()
	ended := make(chan bool)
	go func() { // ends when the server is closed
		defer close(ended)
		_ = server.Serve(Listener{listener, instance.front.sockets})
	}()
	handled := func() int64 {
		n := instance.core.Counts()
		return instance.front.ClientsLeft() + int64(n.Served+n.Rejected+n.Failed+n.ClientGone)
	}
	waitUntil(func() bool { return handled() == clients })
	waitUntil(func() bool { return instance.core.Counts().OpenAttempts == 0 })
	if n := instance.core.Counts(); n.Accepted != 0 || instance.front.ClientsLeft() != clients {
		t.Errorf("accepted = %d, attempts %v, clients left = %d; want 0, none, %d", n.Accepted, n.AttemptsByStatus, instance.front.ClientsLeft(), clients)
	}
	server.Close()
	<-ended
}

// A client that closes only its sending side counts as gone, but may still read: it must not get an empty response with
// status 200, which no backend has made.
func TestClientThatOnlyStopsSending(t *testing.T) {
	backend := newFakeBackend(t)
	l := newLoopback(t, backend.address(), dialTCP, true)
	client := l.dialFront()
	send(client, validRequest)
	conn := <-backend.conns
	defer conn.Close()
	if _, _, err := conn.readRequest(); err != nil {
		t.Fatal(err)
	}
	if err := client.Conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if answer, body, err := readAnswer(client.in); err == nil && answer.StatusCode != http.StatusBadGateway {
		t.Errorf("answer = %v %q, want status 502 or none", answer, body)
	}
	if n := l.core.Counts(); n.ClientGone != 1 {
		t.Errorf("counts = %+v, want one client gone", n)
	}
}

// Requests that a client sent at once, or the last of them, must not be sent to a backend after it has closed its connection:
// the unread requests behind one hide the close from net/http.
func TestClientLeftBehindUnreadRequests(t *testing.T) {
	const requests = 60
	backend := newFakeBackend(t)
	l := newLoopback(t, backend.address(), dialTCP, true)
	client := l.dialFront()
	var batch strings.Builder
	for i := range requests {
		batch.WriteString(requestWithID(fmt.Sprintf("r%d", i)))
	}
	send(client, batch.String())
	first := <-backend.conns
	if _, _, err := first.readRequest(); err != nil {
		t.Fatal(err)
	}
	client.Close()
	first.respond("x") // to a client that has gone
	first.Close()
	go func() { // ends with the listener of the backend
		for conn := range backend.conns {
			t.Error("an attempt began after the client had left")
			conn.Close()
		}
	}()
	waitUntil(func() bool { return l.front.sockets.Usage().Clients == 0 })
	if n := l.core.Counts(); n.Accepted != 1 {
		t.Errorf("requests accepted = %d, want the first one only", n.Accepted)
	}
}

// clientLeft knows of a close whatever lies unread in front of it, also if there is so much that the kernel has not yet received
// the close.
func TestClientLeftKnown(t *testing.T) {
	for _, c := range []struct {
		name   string
		unread int // bytes that the client has sent
		closed bool
		left   bool
	}{
		{"nothing unread", 0, false, false},
		{"closed", 0, true, true},
		{"one byte unread", 1, false, false},
		{"closed behind one byte", 1, true, true},
		{"closed behind some requests", maxSentAhead / 2, true, true},
		{"too much unread", maxSentAhead, false, true},
		{"closed behind more than the receive window", 4 << 20, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			client, accepted := connectedPair(t)
			conn := NewSockets(0).track(accepted, true)
			if c.unread > 0 {
				_ = client.SetWriteDeadline(time.Now().Add(100 * time.Millisecond)) // not all of it may fit
				send(client, strings.Repeat("x", c.unread))
				waitUntil(func() bool { return peek(conn) == unreadData })
			}
			if c.closed {
				client.Close()
			}
			if c.left {
				waitUntil(conn.clientLeft) // the close crosses the loopback
			} else if conn.clientLeft() {
				t.Error("clientLeft = true, want false")
			}
		})
	}
}

// A close behind more than the receive window holds stays known while the bytes in front of it are read: the client's kernel sends
// the rest, and the close, in steps, and few bytes may be unread in between.
func TestClientLeftKnownWhileReading(t *testing.T) {
	client, accepted := connectedPair(t)
	s := NewSockets(0)
	conn := s.track(accepted, true)
	s.ConnIdle(conn, true)
	_ = client.SetWriteDeadline(time.Now().Add(100 * time.Millisecond)) // not all of it fits
	send(client, strings.Repeat("x", 4<<20))
	client.Close()
	b := make([]byte, 4<<10)
	for total := 0; ; {
		n, err := conn.Read(b)
		if err != nil {
			break // everything was read
		}
		total += n
		unread := peek(conn) == unreadData
		if unread && !conn.clientLeft() {
			t.Fatalf("after %d bytes: clientLeft = false, want true: the client closed before the first was read", total)
		}
	}
}
