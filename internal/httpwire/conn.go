package httpwire

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	maxInterimResponses = 8 // responses with a status below 200 before the final one

	// A backend writes its response, of at most 64 KiB, at once. If a response has begun and does not end, it is
	// broken, and its connection may stay open forever: waiting longer is useless.
	responseReadTimeout = 200 * time.Millisecond
)

// errNotWritten proves that a backend did not run the request: its last byte was never written.
var errNotWritten = errors.New("request not completely written")

// expiredDeadline is a time in the past: setting it as a deadline interrupts a call in progress.
var expiredDeadline = time.Unix(1, 0)

// conn is one connection to a backend or to the platform, on which one request at a time is sent. Only one goroutine at
// a time may use it, but any may call Cancel.
type conn struct {
	net.Conn
	in        *bufio.Reader
	held      *reservation // memory of the request whose response is being read; nil: none
	pool      *pool        // nil for a connection to the platform
	probeBody []byte       // body of the last response if it answered a probe with status 200
	idleSince time.Time

	mu          sync.Mutex // serializes Cancel and setReadTimeout
	canceled    bool
	interrupted chan struct{} // closed by Cancel
}

func newConn(c net.Conn) *conn {
	return &conn{Conn: c, in: bufio.NewReader(c), interrupted: make(chan struct{})}
}

// Cancel interrupts the call in progress. The connection can't be used afterwards.
func (c *conn) Cancel() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.canceled {
		return
	}
	c.canceled = true
	close(c.interrupted)
	_ = c.SetDeadline(expiredDeadline) // fails only on a closed connection, whose calls have ended
}

// setReadTimeout limits the time for reading from now on; 0 means no limit. After Cancel it has no effect.
func (c *conn) setReadTimeout(timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.canceled {
		return
	}
	deadline := time.Time{}
	if timeout > 0 {
		deadline = time.Now().Add(timeout)
	}
	_ = c.SetReadDeadline(deadline) // fails only on a closed connection, and then Read fails too
}

// roundTrip writes the parts of one request and reads its whole response. An error that wraps errNotWritten proves that the request
// was not run; after any other error it may have been run. With an error, the response holds what was parsed before it.
func (c *conn) roundTrip(request ...[]byte) (upstreamResponse, error) {
	for _, part := range request {
		if n, err := c.Write(part); n < len(part) {
			return upstreamResponse{}, fmt.Errorf("%w: %w", errNotWritten, err)
		}
	}
	for range maxInterimResponses {
		if err := c.awaitResponse(); err != nil {
			return upstreamResponse{}, err
		}
		r, err := c.readResponse()
		if err == nil && (r.interim() || c.duplicatesProbeResponse(r)) {
			continue // the final response follows
		}
		c.probeBody = nil
		return r, err
	}
	return upstreamResponse{}, errMalformedResponse
}

// awaitResponse waits for a response to begin, without a time limit, and then limits the time for reading all of it.
func (c *conn) awaitResponse() error {
	c.setReadTimeout(0)
	if _, err := c.in.Peek(1); err != nil {
		return err
	}
	c.setReadTimeout(responseReadTimeout)
	start, err := c.in.Peek(len(httpVersion))
	if err != nil {
		return err
	}
	if string(start) != httpVersion { // data with any other beginning is never a valid response
		return errMalformedResponse
	}
	return nil
}

// duplicatesProbeResponse reports whether a response is a second copy of the response to the preceding probe.
func (c *conn) duplicatesProbeResponse(r upstreamResponse) bool {
	return len(c.probeBody) > 0 && r.status == http.StatusOK && bytes.Equal(r.body, c.probeBody)
}

// reusable reports whether the connection can be reused after this response: it stays open and has no further data
// buffered.
func (c *conn) reusable(r upstreamResponse) bool { return !r.closes && c.in.Buffered() == 0 }
