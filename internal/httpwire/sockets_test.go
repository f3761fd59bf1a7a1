package httpwire

import (
	"io"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"onyxgate/policy"
)

// Want of sockets: what has been idle longest goes, nothing new or in use does, and an appliance is not blamed.
func TestSockets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewSockets(reserve + 10) // eight for clients, from five on idle ones go
		var clients []net.Conn
		hold := func() net.Conn {
			here, there := net.Pipe()
			t.Cleanup(func() { there.Close() })
			s.room(true)
			clients = append(clients, s.hold(here, true))
			return clients[len(clients)-1]
		}
		used := func() int { _, n, _ := s.Used(); return n }
		gone := func(k int) bool { return clients[k].(*counted).closed }
		for range 8 {
			hold()
		}
		if s.room(true) || used() != 8 || !s.room(false) {
			t.Error("a client's connection in use went, or appliances' part with it")
		}
		s.Idle(clients[1], false)
		if s.room(true) {
			t.Error("one went that was used a moment ago")
		}
		time.Sleep(restMost)
		s.Idle(clients[2], false)
		s.Idle(clients[3], true)
		if !s.room(true) || used() != 7 || !gone(1) {
			t.Error("the one idle longest should have gone")
		}
		time.Sleep(restMost)
		if !s.room(true) || used() != 6 || !gone(2) {
			t.Error("the next idle one should have gone, not one that may be about to say something")
		}
		s.Idle(clients[4], false)
		time.Sleep(silentMost)
		if !s.room(true) || used() != 5 || !gone(3) {
			t.Error("the one that has said nothing for long should have gone first")
		}
		s.Idle(clients[5], true)
		s.Busy(clients[4])
		for used() < 8 {
			hold()
		}
		if s.room(true) {
			t.Error("one went that came a moment ago")
		}
		time.Sleep(restMost)
		if !s.room(true) || used() != 7 || !gone(5) {
			t.Error("where none else can go, one that came a moment ago should have")
		}
		if s.room(true); gone(4) || used() != 7 {
			t.Error("one in use went")
		}
		a := newTestInstance(network{"app:1": answerOnce("")}, NewSockets(reserve+4))
		a.front.sockets.used = 3 // the client's is the last
		a.roundTrip(t, validRequest)
		if n := a.core.Counts(); n.AttemptsByStatus[policy.StatusNotSent] != 1 {
			t.Errorf("%+v", n)
		}
		a.close()
		for _, c := range clients {
			c.Close()
		}
		if all, _, idle := s.Used(); all != 0 || idle != 0 {
			t.Errorf("%d left, %d idle", all, idle)
		}
	})
}

// stoppedReader is a client's socket whose reader has its bytes and is stopped before it can say so.
type stoppedReader struct {
	net.Conn
	taken, resume chan bool
}

func (s stoppedReader) Read(b []byte) (int, error) {
	n, err := s.Conn.Read(b)
	if n > 0 {
		s.taken <- true
		<-s.resume
	}
	return n, err
}

func (s stoppedReader) SyscallConn() (syscall.RawConn, error) {
	raw, err := s.Conn.(syscall.Conn).SyscallConn()
	return stoppedRawConn{raw, s}, err
}

type stoppedRawConn struct {
	syscall.RawConn
	conn stoppedReader
}

func (r stoppedRawConn) Read(f func(uintptr) bool) error {
	err := r.RawConn.Read(f)
	if err == nil {
		r.conn.taken <- true
		<-r.conn.resume
	}
	return err
}

// A connection between requests is given up only if no byte of the next one has been taken from its socket, even if
// its reader has not come to say so.
func TestIdleClose(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	there, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	s := NewSockets(0)
	raw := stoppedReader{there, make(chan bool), make(chan bool)}
	c := s.hold(raw, true).(*counted)
	defer c.Close()
	s.Idle(c, false)
	c.since = time.Time{} // for long
	io.WriteString(client, "G")
	read := make(chan int)
	go func() {
		n, _ := c.Read(make([]byte, 9))
		read <- n
	}()
	<-raw.taken
	s.CloseIdle()
	if c.closed {
		t.Error("closed, though a byte of the next request had been taken")
	}
	raw.resume <- true
	if n := <-read; n != 1 {
		t.Errorf("%d bytes", n)
	}

	// The other way round: given up first, nothing is taken any more.
	s.Whole(c)
	s.Idle(c, false)
	c.since = time.Time{}
	s.CloseIdle()
	if n, err := c.Read(make([]byte, 9)); !c.closed || n != 0 || err == nil {
		t.Errorf("read %d bytes (%v) of a connection given up", n, err)
	}
}

// A byte of the next request may be taken ahead, by a server that looks whether its client has gone: then the connection
// does not rest.
func TestByteAhead(t *testing.T) {
	s := NewSockets(0)
	here, there := net.Pipe()
	c := s.hold(there, true).(*counted)
	defer c.Close()
	s.Idle(c, true)
	go io.WriteString(here, "r1G")
	c.Read(make([]byte, 2))
	s.Busy(c)
	s.Whole(c) // r1 has been read
	c.Read(make([]byte, 1))
	s.Idle(c, false)
	if _, _, idle := s.Used(); idle != 0 || s.Coming(c) == 0 {
		t.Errorf("%d rest, the next request comes since %v", idle, s.Coming(c))
	}
	s.Whole(c)
	s.Idle(c, false)
	if _, _, idle := s.Used(); idle != 1 || s.Coming(c) != 0 {
		t.Errorf("%d rest, the next request comes since %v", idle, s.Coming(c))
	}
}
