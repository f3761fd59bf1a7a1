package fleet

// When the bytes of a request reached this host. On a busy host, a backend's goroutine may read them much later, and an
// attempt would seem to have been sent later than it was.

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"
)

// connKey is the context key of a request's connection.
type connKey struct{}

// withConn is the ConnContext of a backend's server.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

const (
	// maxReportTime is how long asking the kernel may take for its report to be precise enough.
	maxReportTime = 2 * time.Millisecond
	// maxReports is how often the kernel is asked. On a busy host this goroutine may be interrupted meanwhile.
	maxReports = 5
)

// lastArrival returns when the last bytes on the connection of a request arrived, as reported by the kernel, or the current
// time if the kernel does not know. An instance sends one request at a time: if the request has been read whole, these are
// its last bytes. If the report is not precise, the result is too late rather than too early.
func lastArrival(r *http.Request) time.Time {
	socket, ok := r.Context().Value(connKey{}).(syscall.Conn)
	if !ok {
		return time.Now()
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return time.Now()
	}
	var arrived time.Time
	for range maxReports {
		var since time.Duration
		before := time.Now()
		if err := raw.Control(func(fd uintptr) { since = sinceLastData(int(fd)) }); err != nil {
			return time.Now()
		}
		after := time.Now()
		arrived = after.Add(-since)
		if after.Sub(before) <= maxReportTime {
			break
		}
	}
	return arrived
}
