package fleet

import (
	"time"

	"golang.org/x/sys/unix"
)

// sinceLastData returns how long ago the last bytes arrived at a TCP socket, or 0 if the kernel does not report it.
func sinceLastData(fd int) time.Duration {
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return 0
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond
}
