package httpwire

import (
	"errors"
	"fmt"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"onyxgate/policy"
)

// Want of sockets: what has been idle longest is closed, nothing new or in use is.
func TestSocketEviction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewSockets(reservedSockets + 10) // eight for clients, from three on idle ones make room
		var clients []*trackedConn
		track := func() {
			client, conn := net.Pipe()
			t.Cleanup(func() { client.Close() })
			s.makeRoom(true)
			clients = append(clients, s.track(conn, true))
		}
		used := func() int { _, n, _ := s.Used(); return n }
		for range 8 {
			track()
		}
		if !s.makeRoom(false) {
			t.Error("clients have taken the backends' share")
		}
		for _, c := range []struct {
			name    string
			prepare func()
			hasRoom bool
			used    int
			closed  []int // those closed so far
		}{
			{"all in use", func() {}, false, 8, nil},
			{"one used a moment ago stays", func() { s.ConnIdle(clients[1], false) }, false, 8, nil},
			{"the one idle longest goes", func() {
				time.Sleep(idleGrace)
				s.ConnIdle(clients[2], false)
				s.ConnIdle(clients[3], true)
			}, true, 7, []int{1}},
			{"the next idle one goes, not one that may be about to say something", func() {
				time.Sleep(idleGrace)
			}, true, 6, []int{1, 2}},
			{"one that has said nothing for long goes first", func() {
				s.ConnIdle(clients[4], false)
				time.Sleep(newConnGrace)
			}, true, 5, []int{1, 2, 3}},
			{"one that came a moment ago stays", func() {
				s.ConnIdle(clients[5], true)
				s.ConnActive(clients[4])
				for used() < 8 {
					track()
				}
			}, false, 8, []int{1, 2, 3}},
			{"where none else can, one that came a little earlier goes", func() { time.Sleep(idleGrace) }, true, 7, []int{1, 2, 3, 5}},
			{"one in use stays", func() {}, true, 7, []int{1, 2, 3, 5}},
		} {
			c.prepare()
			got := fmt.Sprint(s.makeRoom(true), used(), closedIndices(clients))
			if want := fmt.Sprint(c.hasRoom, c.used, c.closed); got != want {
				t.Errorf("%s: room, open and closed are %s, want %s", c.name, got, want)
			}
		}
		for _, c := range clients {
			c.Close()
		}
		if all, _, idle := s.Used(); all != 0 || idle != 0 {
			t.Errorf("%d left, %d idle", all, idle)
		}
	})
}

// closedIndices tells which of the connections are closed.
func closedIndices(conns []*trackedConn) []int {
	var closed []int
	for i, conn := range conns {
		if conn.closed {
			closed = append(closed, i)
		}
	}
	return closed
}

// Where no socket is left for an attempt the backend is not blamed: it was never sent.
func TestAttemptWithoutSocket(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newTestInstance(network{"app:1": answerOnce("")}, NewSockets(reservedSockets+4))
		a.front.sockets.used = 3 // the client's is the last
		if answer, _ := a.roundTrip(t, validRequest); answer.StatusCode != 503 {
			t.Errorf("answered %d", answer.StatusCode)
		}
		if n := a.core.Counts(); n.AttemptsByStatus[policy.StatusNotSent] != 1 {
			t.Errorf("%+v", n)
		}
		a.close()
	})
}

// pausedReader is a client's socket whose reader has its bytes and is stopped before it can say so.
type pausedReader struct {
	net.Conn
	taken, resume chan bool
}

func (s pausedReader) Read(b []byte) (int, error) {
	n, err := s.Conn.Read(b)
	if n > 0 {
		s.taken <- true
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
		r.conn.taken <- true
		<-r.conn.resume
	}
	return err
}

// A connection between requests is closed only if no byte of the next one has been taken from its socket, even if its reader
// has not come to say so.
func TestIdleCloseRace(t *testing.T) {
	listener := listenTCP(t)
	client := connectTCP(t, listener.Addr().String())
	socket, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	s := NewSockets(0)
	reader := pausedReader{socket, make(chan bool), make(chan bool)}
	conn := s.track(reader, true)
	defer conn.Close()
	idleForLong := func() {
		s.ConnIdle(conn, false)
		conn.listedAt = time.Time{}
	}

	// A byte is taken first: the connection stays.
	idleForLong()
	send(client, "G")
	read := make(chan int)
	go func() { // ends once the byte is read
		n, err := conn.Read(make([]byte, 9))
		if err != nil {
			t.Error(err)
		}
		read <- n
	}()
	<-reader.taken
	s.CloseIdleClients()
	if conn.closed {
		t.Error("closed, though a byte of the next request had been taken")
	}
	reader.resume <- true
	if n := <-read; n != 1 {
		t.Errorf("%d bytes", n)
	}

	// The connection is closed first: nothing is taken any more.
	s.RequestRead(conn)
	idleForLong()
	s.CloseIdleClients()
	if n, err := conn.Read(make([]byte, 9)); !conn.closed || n != 0 || err == nil {
		t.Errorf("read %d bytes (%v) of a connection given up", n, err)
	}
}

// From the look at a connection that finds it idle to its close, no byte of a next request is taken.
func TestEvictedConnNotRead(t *testing.T) {
	listener := listenTCP(t)
	client := connectTCP(t, listener.Addr().String())
	socket, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	s := NewSockets(0)
	conn := s.track(socket, true)
	defer conn.Close()
	s.ConnIdle(conn, false)
	if taken, isIdle := s.popIdleClient(s.idleConns, 0); taken != conn || !isIdle {
		t.Fatalf("took %v, idle %v", taken, isIdle)
	}
	send(client, "G")
	if n, err := conn.Read(make([]byte, 9)); n != 0 || !errors.Is(err, net.ErrClosed) {
		t.Errorf("read %d bytes (%v) of a connection given up", n, err)
	}
}

// A byte of the next request may be taken ahead, by a server that looks whether its client has gone: then the connection is
// not idle.
func TestNextRequestReadEarly(t *testing.T) {
	s := NewSockets(0)
	client, serverSide := net.Pipe()
	conn := s.track(serverSide, true)
	defer conn.Close()
	read := func(bytes int) {
		t.Helper()
		if n, err := conn.Read(make([]byte, bytes)); n != bytes || err != nil {
			t.Errorf("read %d bytes of %d: %v", n, bytes, err)
		}
	}
	s.ConnIdle(conn, true)
	go send(client, "r1G") // ends once all of it is read
	read(2)
	s.ConnActive(conn)
	s.RequestRead(conn) // r1 has been read
	read(1)
	s.ConnIdle(conn, false)
	if _, _, idle := s.Used(); idle != 0 || s.RequestAge(conn) == 0 {
		t.Errorf("%d idle, the next request comes since %v", idle, s.RequestAge(conn))
	}
	s.RequestRead(conn)
	s.ConnIdle(conn, false)
	if _, _, idle := s.Used(); idle != 1 || s.RequestAge(conn) != 0 {
		t.Errorf("%d idle, the next request comes since %v", idle, s.RequestAge(conn))
	}
}
