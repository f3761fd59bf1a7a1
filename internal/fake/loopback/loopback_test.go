package loopback

import (
	"errors"
	"net"
	"syscall"
	"testing"
)

// fakePacketConn is a UDP socket in name only, at the port of a TCP listener.
type fakePacketConn struct {
	net.PacketConn
	address net.Addr
	closed  *int
}

func (p fakePacketConn) LocalAddr() net.Addr { return p.address }

func (p fakePacketConn) Close() error {
	*p.closed++
	return nil
}

// A port that TCP has in use is given back and another one is tried, but not for ever.
func TestListenPair(t *testing.T) {
	for _, c := range []struct {
		name   string
		inUse  int // so many ports in turn
		closed int
		ok     bool
	}{
		{"the first port is free", 0, 0, true},
		{"two ports are in use", 2, 2, true},
		{"all but the last are in use", maxPortAttempts - 1, maxPortAttempts - 1, true},
		{"all ports are in use", maxPortAttempts, maxPortAttempts, false},
	} {
		t.Run(c.name, func(t *testing.T) { checkListenPair(t, c.inUse, c.closed, c.ok) })
	}
}

func checkListenPair(t *testing.T, inUse, wantClosed int, ok bool) {
	taken, err := Listen()
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	free := &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)} // port 0 is never in use
	asked, closed := 0, 0
	packets, listener, err := listenPair(func() (net.PacketConn, error) {
		if asked++; asked <= inUse {
			return fakePacketConn{nil, taken.Addr(), &closed}, nil
		}
		return fakePacketConn{nil, free, &closed}, nil
	})
	if closed != wantClosed {
		t.Errorf("%d sockets closed, want %d", closed, wantClosed)
	}
	if !ok {
		if !errors.Is(err, syscall.EADDRINUSE) {
			t.Errorf("error %v", err)
		}
		return
	}
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	if packets.LocalAddr() != net.Addr(free) {
		t.Errorf("UDP at %v", packets.LocalAddr())
	}
}
