package httpwire

import (
	"io"
	"net/http"
	"time"
)

// readBody reads the whole body of a request before the request is passed to the core. The client's timeout, which ends
// at deadline (ms of the core's clock), runs meanwhile. The error is errIncompleteBody if the body did not arrive
// completely or in time, and errNoRoom if the request was rejected meanwhile to make room for others.
func (f *Front) readBody(w http.ResponseWriter, r *http.Request, length int64, deadline float64) ([]byte, error) {
	body := make([]byte, length)
	if length == 0 {
		return body, nil
	}
	conn := connOf(r)
	f.sockets.ExpectBody(conn, length)
	controller := http.NewResponseController(w)
	// The server's own connections support deadlines: an error means that the connection is closed, and then the read
	// fails too.
	_ = controller.SetReadDeadline(time.Now().Add(f.bodyTimeout(conn, deadline)))
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

// bodyTimeout returns the time that is left for reading a body, at least minReadTime.
func (f *Front) bodyTimeout(conn *trackedConn, deadline float64) time.Duration {
	timeout := min(fromMilliseconds(deadline-f.core.Now()), readTimeout)
	if conn != nil && !conn.servedBefore {
		timeout = min(timeout, time.Until(conn.firstRequestDeadline(newConnRequestTimeout)))
	}
	return max(timeout, minReadTime)
}
