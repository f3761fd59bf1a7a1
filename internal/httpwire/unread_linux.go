package httpwire

import (
	"time"

	"golang.org/x/sys/unix"
)

// sinceLastData returns how long ago the last bytes arrived at a TCP socket, or its connection was established if none
// did, whether or not the bytes have been read. It reports false if the kernel does not know.
func sinceLastData(fd int) (since time.Duration, known bool) {
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return 0, false
	}
	// Some environments accept the call and fill in nothing. A connection always has a retransmission timeout.
	if info.Rto == 0 {
		return 0, false
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond, true
}

// tcpEstablished is the state of a TCP connection that neither side has closed.
const tcpEstablished = 1

// closedByPeer reports whether the other side of a TCP connection has closed or reset it, whether or not everything that it
// sent before has been read. It reports false if the kernel does not know.
func closedByPeer(fd int) bool {
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	// Some environments accept the call and fill in nothing: no state is 0.
	return err == nil && info.State != 0 && info.State != tcpEstablished
}
