// Package loopback opens the sockets of the fakes and the end-to-end tests. Unless the caller gives an address,
// listeners use 127.0.0.1 and a port chosen by the kernel.
package loopback

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"syscall"
	"time"
)

const (
	anyPort         = "127.0.0.1:0"
	freePort        = "8443" // of FreeAddress
	maxPortAttempts = 20     // for ListenPair and FreeAddress
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

// FreeAddress returns an address on which nothing listens at the time of the call. No other function of this package
// returns it: its host is drawn at random from 127.64.0.0/10, and its port is not among those that the kernel chooses.
// So it stays free while the process that listens on it is restarted, whatever else runs on the machine.
func FreeAddress() (string, error) {
	var inUse error
	for range maxPortAttempts {
		host := net.IPv4(127, byte(64+rand.IntN(64)), byte(rand.IntN(256)), byte(1+rand.IntN(254)))
		address := net.JoinHostPort(host.String(), freePort)
		listener, err := ListenOn(address)
		if err == nil {
			return address, listener.Close()
		}
		if !errors.Is(err, syscall.EADDRINUSE) {
			return "", err
		}
		inUse = err
	}
	return "", inUse
}

// Dial connects to an address within a timeout. It can't be canceled, because a client completes a request that it
// has begun even after the run's context is done.
func Dial(address string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout}
	return dialer.DialContext(context.Background(), "tcp", address)
}
