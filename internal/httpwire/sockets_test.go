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
		s := NewSockets(reservedSockets + 10) // eight for clients, from five on idle ones go
		var clients []net.Conn
		hold := func() net.Conn {
			here, there := net.Pipe()
			t.Cleanup(func() { there.Close() })
			s.makeRoom(true)
			clients = append(clients, s.track(here, true))
			return clients[len(clients)-1]
		}
		used := func() int { _, n, _ := s.Used(); return n }
		gone := func(k int) bool { return clients[k].(*trackedConn).closed }
		for range 8 {
			hold()
		}
		if s.makeRoom(true) || used() != 8 || !s.makeRoom(false) {
			t.Error("a client's connection in use went, or appliances' part with it")
		}
		s.ConnIdle(clients[1], false)
		if s.makeRoom(true) {
			t.Error("one went that was used a moment ago")
		}
		time.Sleep(idleGrace)
		s.ConnIdle(clients[2], false)
		s.ConnIdle(clients[3], true)
		if !s.makeRoom(true) || used() != 7 || !gone(1) {
			t.Error("the one idle longest should have gone")
		}
		time.Sleep(idleGrace)
		if !s.makeRoom(true) || used() != 6 || !gone(2) {
			t.Error("the next idle one should have gone, not one that may be about to say something")
		}
		s.ConnIdle(clients[4], false)
		time.Sleep(newConnGrace)
		if !s.makeRoom(true) || used() != 5 || !gone(3) {
			t.Error("the one that has said nothing for long should have gone first")
		}
		s.ConnIdle(clients[5], true)
		s.ConnActive(clients[4])
		for used() < 8 {
			hold()
		}
		if s.makeRoom(true) {
			t.Error("one went that came a moment ago")
		}
		time.Sleep(idleGrace)
		if !s.makeRoom(true) || used() != 7 || !gone(5) {
			t.Error("where none else can go, one that came a moment ago should have")
		}
		if s.makeRoom(true); gone(4) || used() != 7 {
			t.Error("one in use went")
		}
		a := newTestInstance(network{"app:1": answerOnce("")}, NewSockets(reservedSockets+4))
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
	c := s.track(raw, true)
	defer c.Close()
	s.ConnIdle(c, false)
	c.listedAt = time.Time{} // for long
	io.WriteString(client, "G")
	read := make(chan int)
	go func() {
		n, _ := c.Read(make([]byte, 9))
		read <- n
	}()
	<-raw.taken
	s.CloseIdleClients()
	if c.closed {
		t.Error("closed, though a byte of the next request had been taken")
	}
	raw.resume <- true
	if n := <-read; n != 1 {
		t.Errorf("%d bytes", n)
	}

	// The other way round: given up first, nothing is taken any more.
	s.RequestRead(c)
	s.ConnIdle(c, false)
	c.listedAt = time.Time{}
	s.CloseIdleClients()
	if n, err := c.Read(make([]byte, 9)); !c.closed || n != 0 || err == nil {
		t.Errorf("read %d bytes (%v) of a connection given up", n, err)
	}
}

// A byte of the next request may be taken ahead, by a server that looks whether its client has gone: then the connection
// does not rest.
func TestByteAhead(t *testing.T) {
	s := NewSockets(0)
	here, there := net.Pipe()
	c := s.track(there, true)
	defer c.Close()
	s.ConnIdle(c, true)
	go io.WriteString(here, "r1G")
	c.Read(make([]byte, 2))
	s.ConnActive(c)
	s.RequestRead(c) // r1 has been read
	c.Read(make([]byte, 1))
	s.ConnIdle(c, false)
	if _, _, idle := s.Used(); idle != 0 || s.RequestAge(c) == 0 {
		t.Errorf("%d rest, the next request comes since %v", idle, s.RequestAge(c))
	}
	s.RequestRead(c)
	s.ConnIdle(c, false)
	if _, _, idle := s.Used(); idle != 1 || s.RequestAge(c) != 0 {
		t.Errorf("%d rest, the next request comes since %v", idle, s.RequestAge(c))
	}
}
