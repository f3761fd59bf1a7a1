package loopback

import (
	"errors"
	"net"
	"strconv"
	"syscall"
	"testing"
)

// fakePacketConn stands in for a UDP socket on the port of a TCP listener.
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

// If the UDP port is in use for TCP, the socket is closed and another port is tried, up to maxPortAttempts times.
func TestListenPair(t *testing.T) {
	for _, c := range []struct {
		name   string
		inUse  int // number of ports tried first that are in use for TCP
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
	occupied, err := Listen()
	if err != nil {
		t.Fatal(err)
	}
	defer occupied.Close()
	free := &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)} // with port 0 the kernel chooses a free port
	opened, closed := 0, 0
	packets, listener, err := listenPair(func() (net.PacketConn, error) {
		if opened++; opened <= inUse {
			return fakePacketConn{nil, occupied.Addr(), &closed}, nil
		}
		return fakePacketConn{nil, free, &closed}, nil
	})
	if closed != wantClosed {
		t.Errorf("UDP sockets closed = %d, want %d", closed, wantClosed)
	}
	if !ok {
		if !errors.Is(err, syscall.EADDRINUSE) {
			t.Errorf("listenPair error = %v, want EADDRINUSE", err)
		}
		return
	}
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	if packets.LocalAddr() != net.Addr(free) {
		t.Errorf("UDP address = %v, want %v", packets.LocalAddr(), free)
	}
}

// An address from FreeAddress must stay free until it is used, also again after a restart. With a port that the kernel chose,
// another test's listener could take it meanwhile, and would get the requests for the process that should listen there.
func TestFreeAddressStaysFree(t *testing.T) {
	const kernelPortsBegin = 32768 // unless the host is configured otherwise
	taken := map[string]bool{}
	for range 50 {
		address, err := FreeAddress()
		if err != nil {
			t.Fatal(err)
		}
		host, port, err := net.SplitHostPort(address)
		if err != nil {
			t.Fatal(err)
		}
		if number, err := strconv.Atoi(port); err != nil || number >= kernelPortsBegin {
			t.Errorf("FreeAddress = %s, whose port the kernel may choose for others", address)
		}
		if ip := net.ParseIP(host); !ip.IsLoopback() || ip.Equal(net.IPv4(127, 0, 0, 1)) || taken[address] {
			t.Errorf("FreeAddress = %s, want a loopback address that no other listener uses", address)
		}
		taken[address] = true
	}
}
