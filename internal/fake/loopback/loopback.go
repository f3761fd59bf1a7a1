// Package loopback opens the sockets of the fakes and of the end-to-end tests. They listen on 127.0.0.1 only, on ports that
// the kernel chooses.
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
	maxPortAttempts = 20 // of ListenPair
)

// Listen opens a TCP listener on a free port.
func Listen() (net.Listener, error) { return ListenOn(anyPort) }

// ListenOn opens a TCP listener on an address that the caller knows.
func ListenOn(address string) (net.Listener, error) {
	var config net.ListenConfig
	// Binding to loopback neither resolves a name nor waits, so there is nothing to cancel.
	return config.Listen(context.Background(), "tcp", address)
}

// ListenPacket opens a UDP socket on a free port.
func ListenPacket() (net.PacketConn, error) {
	var config net.ListenConfig
	return config.ListenPacket(context.Background(), "udp", anyPort)
}

// ListenPair opens a UDP socket and a TCP listener on one port. The kernel chooses the port among those that are free for UDP;
// where TCP has it in use, another one is tried.
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

// FreeAddress returns an address on which nobody listens at the moment of the call. Another process may take the port before
// the caller's does; the run then ends with an error, which is no verdict on the program.
func FreeAddress() (string, error) {
	listener, err := Listen()
	if err != nil {
		return "", err
	}
	address := listener.Addr().String()
	return address, listener.Close()
}

// Dial connects to an address within a timeout. It can't be canceled: a client that has begun a request sees it to its end
// also after the run's context is done.
func Dial(address string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout}
	return dialer.DialContext(context.Background(), "tcp", address)
}
