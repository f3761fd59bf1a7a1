// Package loopback opens the sockets of the fakes and the end-to-end tests. Unless the caller gives an address,
// listeners use 127.0.0.1 and a port chosen by the kernel.
package loopback

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

const (
	anyPort         = "127.0.0.1:0"
	maxPortAttempts = 20 // for ListenPair
)

// Listen opens a TCP listener on a free port.
func Listen() (net.Listener, error) { return ListenOn(anyPort) }

// ListenOn opens a TCP listener on the given address.
func ListenOn(address string) (net.Listener, error) {
	var config net.ListenConfig
	// Binding to loopback involves no name resolution and no waiting, so there is nothing to cancel.
	return config.Listen(context.Background(), "tcp", address)
}

// ListenPacket opens a UDP socket on a free port.
func ListenPacket() (net.PacketConn, error) {
	var config net.ListenConfig
	return config.ListenPacket(context.Background(), "udp", anyPort)
}

// ListenPair opens a UDP socket and a TCP listener on the same port. The kernel chooses a port that is free for UDP;
// if it is in use for TCP, another one is tried.
func ListenPair() (net.PacketConn, net.Listener, error) { return listenPair(ListenPacket) }

func listenPair(listenPacket func() (net.PacketConn, error)) (net.PacketConn, net.Listener, error) {
	var inUse error
	for range maxPortAttempts {
		packets, err := listenPacket()
		if err != nil {
			return nil, nil, err
		}
		listener, err := ListenOn(packets.LocalAddr().String())
		if err == nil {
			return packets, listener, nil
		}
		packets.Close()
		if !errors.Is(err, syscall.EADDRINUSE) {
			return nil, nil, err
		}
		inUse = err
	}
	return nil, nil, inUse
}

// FreeAddress returns an address on which nothing listens at the time of the call. Another process may take the
// port before the caller does. Callers treat that as a failure of the test setup, not of the program under test.
func FreeAddress() (string, error) {
	listener, err := Listen()
	if err != nil {
		return "", err
	}
	address := listener.Addr().String()
	return address, listener.Close()
}

// Dial connects to an address within a timeout. It can't be canceled, because a client completes a request that it
// has begun even after the run's context is done.
func Dial(address string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout}
	return dialer.DialContext(context.Background(), "tcp", address)
}
