package httpwire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"onyxgate/policy"
)

// When sockets are short, idle connections are closed in the order that closeOneIdle defines. Connections in use and
// those active less than idleGrace ago are kept.
func TestSocketEviction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewSockets(reservedSockets + 10) // 8 for clients; from 3 on, idle ones are closed
		var clients []*trackedConn
		track := func() {
			client, conn := net.Pipe()
			t.Cleanup(func() { client.Close() })
			s.makeRoom(true)
			clients = append(clients, s.track(conn, true))
		}
		used := func() int { return s.Usage().Clients }
		for range 8 {
			track()
		}
		if !s.makeRoom(false) {
			t.Errorf("no room for a backend connection with %d client connections, want room", used())
		}
		for _, c := range []struct {
			name    string
			prepare func()
			hasRoom bool
			used    int
			closed  []int // indices of the connections closed so far
		}{
			{"all in use", func() {}, false, 8, nil},
			{"recently used connection stays", func() { s.ConnIdle(clients[1], false) }, false, 8, nil},
			{"longest idle connection is closed", func() {
				time.Sleep(idleGrace)
				s.ConnIdle(clients[2], false)
				s.ConnIdle(clients[3], true)
			}, true, 7, []int{1}},
			{"next idle connection is closed, not a new one", func() {
				time.Sleep(idleGrace)
			}, true, 6, []int{1, 2}},
			{"long silent new connection is closed first", func() {
				s.ConnIdle(clients[4], false)
				time.Sleep(newConnGrace)
			}, true, 5, []int{1, 2, 3}},
			{"recently accepted connection stays", func() {
				s.ConnIdle(clients[5], true)
				s.ConnActive(clients[4])
				for used() < 8 {
					track()
				}
			}, false, 8, []int{1, 2, 3}},
			{"without other candidates, a new connection is closed after idleGrace", func() { time.Sleep(idleGrace) }, true, 7, []int{1, 2, 3, 5}},
			{"connections in use stay", func() {}, true, 7, []int{1, 2, 3, 5}},
		} {
			c.prepare()
			got := fmt.Sprint(s.makeRoom(true), used(), closedIndices(clients))
			if want := fmt.Sprint(c.hasRoom, c.used, c.closed); got != want {
				t.Errorf("%s: room, open and closed connections = %s, want %s", c.name, got, want)
			}
		}
		for _, c := range clients {
			c.Close()
		}
		if usage := s.Usage(); usage.Open != 0 || usage.IdleClients != 0 {
			t.Errorf("after closing all: %d sockets in use, %d idle; want none", usage.Open, usage.IdleClients)
		}
	})
}

// While attempts find no socket, a new client must not take an idle one from the backends: each request needs a socket for its
// client and one for its backend, and requests of clients that are already served would be rejected for lack of the latter.
func TestClientsLeaveSocketsToBackends(t *testing.T) {
	for _, c := range []struct {
		name         string
		clients      int
		backendShort bool          // an attempt has found no socket
		later        time.Duration // time since then
		hasRoom      bool          // a new client gets the socket of the idle backend connection
	}{
		{"backends are short", 5, true, 0, false},
		{"backends are short, clients hold less than half", 4, true, 0, true},
		{"backends were short", 5, true, backendsShortTime, true},
		{"backends were not short", 5, false, 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := NewSockets(reservedSockets + 10)
				idle := false // there is an idle connection to a backend
				s.closeIdleBackend = func() bool {
					closed := idle
					if idle {
						s.used, idle = s.used-1, false
					}
					return closed
				}
				s.clients, s.used = c.clients, 10
				if c.backendShort && s.makeRoom(false) {
					t.Fatal("room for a connection to a backend, want none")
				}
				idle = true // an attempt has ended
				time.Sleep(c.later)
				if hasRoom := s.makeRoom(true); hasRoom != c.hasRoom || idle == c.hasRoom {
					t.Errorf("room for a client = %v, the idle connection to a backend is kept = %v; want %v and %v", hasRoom, idle, c.hasRoom, !c.hasRoom)
				}
				if !s.makeRoom(false) {
					t.Error("no room for a connection to a backend, want it even while backends are short")
				}
			})
		})
	}
}

// closedIndices returns the indices of the closed connections.
func closedIndices(conns []*trackedConn) []int {
	var closed []int
	for i, conn := range conns {
		if conn.closed {
			closed = append(closed, i)
		}
	}
	return closed
}

// If no socket is left for an attempt, it counts as not sent and not as a failure of the backend.
func TestAttemptWithoutSocket(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		instance := newTestInstance(network{"app:1": answerOnce("")}, NewSockets(reservedSockets+4))
		instance.front.sockets.used = 3 // the client's connection takes the last one
		if answer, _ := instance.roundTrip(t, validRequest); answer.StatusCode != 503 {
			t.Errorf("status = %d, want 503", answer.StatusCode)
		}
		if n := instance.core.Counts(); n.AttemptsByStatus[policy.StatusNotSent] != 1 {
			t.Errorf("counts = %+v, want one attempt with status %d (StatusNotSent)", n, policy.StatusNotSent)
		}
		instance.close()
	})
}

// pausedReader is a client's socket whose Read is paused between reading bytes and returning them.
type pausedReader struct {
	net.Conn
	bytesRead, resume chan bool
}

func (s pausedReader) Read(b []byte) (int, error) {
	n, err := s.Conn.Read(b)
	if n > 0 {
		s.bytesRead <- true
		<-s.resume
	}
	return n, err
}

func (s pausedReader) SyscallConn() (syscall.RawConn, error) {
	raw, err := s.Conn.(syscall.Conn).SyscallConn()
	return pausedRawConn{raw, s}, err
}

type pausedRawConn struct {
	syscall.RawConn
	conn pausedReader
}

func (r pausedRawConn) Read(f func(uintptr) bool) error {
	err := r.RawConn.Read(f)
	if err == nil {
		r.conn.bytesRead <- true
		<-r.conn.resume
	}
	return err
}

// An idle connection must not be evicted if a byte of the next request has been read from its socket, even if the
// reader has not returned yet: the request would be lost.
func TestIdleCloseRace(t *testing.T) {
	client, socket := connectedPair(t)
	s := NewSockets(0)
	reader := pausedReader{socket, make(chan bool), make(chan bool)}
	conn := s.track(reader, true)
	defer conn.Close()
	idleForLong := func() {
		s.ConnIdle(conn, false)
		conn.listedAt = time.Time{}
	}

	// The byte is read first: the connection stays open.
	idleForLong()
	send(client, "G")
	read := make(chan int)
	go func() { // ends when the byte has been read
		n, err := conn.Read(make([]byte, 9))
		if err != nil {
			t.Errorf("Read: %v", err)
		}
		read <- n
	}()
	<-reader.bytesRead
	s.CloseIdleClients()
	if conn.closed {
		t.Errorf("connection closed = %v after a byte of the next request was read, want false", conn.closed)
	}
	reader.resume <- true
	if n := <-read; n != 1 {
		t.Errorf("Read returned %d bytes, want 1", n)
	}

	// The connection is evicted first: nothing is read any more.
	s.RequestRead(conn)
	idleForLong()
	s.CloseIdleClients()
	if n, err := conn.Read(make([]byte, 9)); !conn.closed || n != 0 || err == nil {
		t.Errorf("evicted connection: closed = %v, Read = %d, %v; want true, 0 and an error", conn.closed, n, err)
	}
}

// Between the check that finds a connection idle and its close, no byte of a next request is read.
func TestEvictedConnNotRead(t *testing.T) {
	client, socket := connectedPair(t)
	s := NewSockets(0)
	conn := s.track(socket, true)
	defer conn.Close()
	s.ConnIdle(conn, false)
	if popped, isIdle := s.popIdleClient(s.idleConns, 0); popped != conn || !isIdle {
		t.Fatalf("popIdleClient = %v, %v; want %v, true", popped, isIdle, conn)
	}
	send(client, "G")
	if n, err := conn.Read(make([]byte, 9)); n != 0 || !errors.Is(err, net.ErrClosed) {
		t.Errorf("Read from an evicted connection = %d, %v; want 0, %v", n, err, net.ErrClosed)
	}
}

// A request that crosses the close of its connection is repeated by its client only if the connection was used before. On a
// new connection it must be answered.
func TestRequestCrossesEviction(t *testing.T) {
	for _, c := range []struct {
		name  string
		isNew bool
		want  string // status of the answer; empty for none
	}{
		{"new connection", true, "503"},
		{"connection that was used before", false, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			client, socket := connectedPair(t)
			s := NewSockets(0)
			conn := s.track(socket, true)
			s.ConnIdle(conn, c.isNew)
			conn.listedAt = time.Time{}
			s.CloseIdleClients()
			send(client, validRequest)
			answer, _, err := readAnswer(bufio.NewReader(client))
			answered := err == nil && answer.Close && fmt.Sprint(answer.StatusCode) == c.want
			if !conn.closed || answered != (c.want != "") {
				t.Errorf("closed = %v, answer = %+v, %v; want it closed and the status %q", conn.closed, answer, err, c.want)
			}
			if n := s.Usage().UnsentRejected; (n == 1) != c.isNew {
				t.Errorf("new connections rejected = %d, want 1 only if the connection is new", n)
			}
		})
	}
}

// A request that arrives between the check that finds its connection idle and the close must not be answered by net/http: it
// would answer 400, and the client would count a valid request as failed instead of sending it again.
func TestEvictedConnGetsNoAnswerFromServer(t *testing.T) {
	front := newLoopback(t, "app:1", dialTCP, true)
	client := front.dialFront()
	s := front.front.sockets
	waitUntil(func() bool { return s.Usage().IdleClients == 1 })
	if _, isIdle := s.popIdleClient(s.newConns, 0); !isIdle {
		t.Fatal("the new connection was not found idle")
	}
	send(client, validRequest)
	answer, err := io.ReadAll(client.in)
	if len(answer) > 0 {
		t.Errorf("the server answered %q (%v), want no answer", answer, err)
	}
}

// The server's check whether the client has disconnected may read the first byte of the next request early. Then the
// connection is not idle, and its request can be rejected if it stays incomplete.
func TestNextRequestReadEarly(t *testing.T) {
	s := NewSockets(0)
	client, serverSide := net.Pipe()
	conn := s.track(serverSide, true)
	defer conn.Close()
	read := func(bytes int) {
		t.Helper()
		if n, err := conn.Read(make([]byte, bytes)); n != bytes || err != nil {
			t.Errorf("Read = %d, %v; want %d bytes", n, err, bytes)
		}
	}
	s.ConnIdle(conn, true)
	go send(client, "r1G") // ends when all of it has been read
	read(2)
	s.ConnActive(conn)
	s.RequestRead(conn) // r1 is complete
	read(1)
	s.ConnIdle(conn, false)
	if usage := s.Usage(); usage.IdleClients != 0 || usage.ReceivingClients != 1 || s.RequestAge(conn) == 0 {
		t.Errorf("idle connections = %d, receiving = %d, request age = %v; want 0, 1 and more than 0",
			usage.IdleClients, usage.ReceivingClients, s.RequestAge(conn))
	}
	s.RequestRead(conn)
	s.ConnIdle(conn, false)
	if idle := s.Usage().IdleClients; idle != 1 || s.RequestAge(conn) != 0 {
		t.Errorf("idle connections = %d, request age = %v; want 1 and 0", idle, s.RequestAge(conn))
	}
}
