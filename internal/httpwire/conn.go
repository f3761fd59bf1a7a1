package httpwire

// This file is one connection, to a backend or for votes, and one round trip on it.

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
	maxInterimResponses = 8 // with a status below 200, ahead of the real response

	// A backend writes its response in one go, 64 KiB at most. One that has begun and does not end is spoilt, on a connection
	// that stays open for good: to wait any longer is to wait for nothing.
	responseReadTimeout = 200 * time.Millisecond
)

// errNotWritten proves that a call never ran: its last byte was never written.
var errNotWritten = errors.New("the request was not written to its last byte")

// expiredDeadline has long passed: set as a deadline it interrupts a call under way.
var expiredDeadline = time.Unix(1, 0)

// conn is one connection to a backend or to the platform. One goroutine at a time uses it; any may cancel it.
type conn struct {
	net.Conn
	in        *bufio.Reader
	pool      *pool  // of a backend's connection; nil towards the platform
	probeBody []byte // the last response, where the last call was a probe
	idleSince time.Time

	mu       sync.Mutex // orders Cancel and setReadTimeout
	canceled bool
}

func newConn(c net.Conn) *conn { return &conn{Conn: c, in: bufio.NewReader(c)} }

// Cancel interrupts the call under way, for good: the connection can't be used again.
func (c *conn) Cancel() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.canceled = true
	_ = c.SetDeadline(expiredDeadline) // it fails on a closed connection only, whose calls have ended
}

// setReadTimeout limits reading from now on; 0: no limit. After Cancel it does nothing.
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
	_ = c.SetReadDeadline(deadline) // it fails on a closed connection only, and then reading does too
}

// roundTrip writes one request and reads its response whole. An error that is errNotWritten proves that the call never ran;
// after any other it may have run. With an error the response holds what had been read of it.
func (c *conn) roundTrip(request []byte) (upstreamResponse, error) {
	if n, err := c.Write(request); n < len(request) {
		return upstreamResponse{}, fmt.Errorf("%w: %w", errNotWritten, err)
	}
	for range maxInterimResponses {
		if err := c.awaitResponse(); err != nil {
			return upstreamResponse{}, err
		}
		r, err := c.readResponse()
		if err == nil && (r.interim() || c.duplicatesProbeResponse(r)) {
			continue // the real one follows
		}
		c.probeBody = nil
		return r, err
	}
	return upstreamResponse{}, errMalformedResponse
}

// awaitResponse waits as long as it takes for a response to begin, and from then on limits the time for all of it.
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
	if string(start) != httpVersion { // what begins otherwise never ends as a response
		return errMalformedResponse
	}
	return nil
}

// duplicatesProbeResponse reports whether a response is a second copy of the one that the probe before this call got.
func (c *conn) duplicatesProbeResponse(r upstreamResponse) bool {
	return len(c.probeBody) > 0 && r.status == http.StatusOK && bytes.Equal(r.body, c.probeBody)
}

// reusable reports whether the next call may use the connection after this response: it stays open, and nothing but the
// response has come on it.
func (c *conn) reusable(r upstreamResponse) bool { return !r.closes && c.in.Buffered() == 0 }
