package httpwire

import (
	"io"
	"net/http"
	"time"
)

// readBody reads a request's body whole, before anything is decided about the request; the client's time, which ends at deadline
// (ms of the core's clock), runs meanwhile. The error is errBodyCutOff where the body does not come whole in time.
func (f *Front) readBody(w http.ResponseWriter, r *http.Request, length int64, deadline float64) ([]byte, error) {
	body := make([]byte, length)
	if length == 0 {
		return body, nil
	}
	conn := connOf(r)
	controller := http.NewResponseController(w)
	// Deadlines of the server's own connections can always be set: an error means that the connection is closed, and the read
	// then finds the same.
	_ = controller.SetReadDeadline(time.Now().Add(f.bodyTimeout(conn, deadline)))
	if _, err := io.ReadFull(r.Body, body); err != nil {
		return nil, errBodyCutOff
	}
	_ = controller.SetReadDeadline(time.Time{}) // the same; the answer's writing finds it
	f.sockets.RequestRead(conn)
	return body, nil
}

// bodyTimeout is how long a body may take from now on.
func (f *Front) bodyTimeout(conn *trackedConn, deadline float64) time.Duration {
	timeout := min(fromMilliseconds(deadline-f.core.Now()), readTimeout)
	if conn != nil && !conn.servedBefore {
		timeout = min(timeout, newConnRequestTimeout-time.Since(conn.openedAt))
	}
	return timeout
}
