package httpwire

import (
	"io"
	"net/http"
	"time"
)

// bodyLimits limits the reading of a request's body. Times are in ms of the core's clock.
type bodyLimits struct {
	length   int64
	deadline float64      // end of the client's time
	queueEnd float64      // until when the request may wait for memory
	held     *reservation // memory of the request
}

// readBody reads the whole body of a request before the request is passed to the core. The client's timeout runs meanwhile.
// Memory is reserved before any byte of a large body is read; until then, the body waits in the kernel. The error is
// errIncompleteBody if the body did not arrive completely or in time, and errNoRoom if there was no memory for it or if the
// request was rejected meanwhile to make room for others.
func (f *Front) readBody(w http.ResponseWriter, r *http.Request, limits bodyLimits) ([]byte, error) {
	length := limits.length
	conn := connOf(r)
	if err := f.reserveBody(conn, limits); err != nil {
		return nil, err
	}
	body := make([]byte, length)
	if length == 0 {
		return body, nil
	}
	f.sockets.ExpectBody(conn, length)
	controller := http.NewResponseController(w)
	// The server's own connections support deadlines: an error means that the connection is closed, and then the read
	// fails too.
	_ = controller.SetReadDeadline(time.Now().Add(f.bodyTimeout(conn, limits.deadline)))
	if _, err := io.ReadFull(r.Body, body); err != nil {
		if f.sockets.Rejected(conn) {
			return nil, errNoRoom
		}
		return nil, errIncompleteBody
	}
	_ = controller.SetReadDeadline(time.Time{}) // likewise: writing the response fails then
	f.sockets.RequestRead(conn)
	return body, nil
}

// reserveBody reserves memory for a large body. The error is errNoRoom.
func (f *Front) reserveBody(conn *trackedConn, limits bodyLimits) error {
	if limits.length <= freeBodyBytes {
		return nil
	}
	wait := min(fromMilliseconds(limits.queueEnd-f.core.Now()), f.bodyTimeout(conn, limits.deadline))
	until := time.Now().Add(wait)
	if conn == nil {
		return limits.held.grow(limits.length, false, until, nil)
	}
	return conn.awaitMemory(limits.held, limits.length, until)
}

// bodyTimeout returns the time that is left for reading a body, at least minReadTime.
func (f *Front) bodyTimeout(conn *trackedConn, deadline float64) time.Duration {
	timeout := min(fromMilliseconds(deadline-f.core.Now()), readTimeout)
	if conn != nil && !conn.servedBefore {
		timeout = min(timeout, time.Until(conn.firstRequestDeadline(newConnRequestTimeout)))
	}
	return max(timeout, minReadTime)
}
