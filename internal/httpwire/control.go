package httpwire

// Streams and snapshots from discovery and the platform each use a separate connection: one GET request, and one
// response that is read as it arrives.

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// controlConnectTimeout limits connecting to discovery or the platform, and separately the wait for a response head:
// both respond immediately.
const controlConnectTimeout = 500 * time.Millisecond

var errStreamEnded = errors.New("stream ended")

// controlStream is the body of one response. Reading fails after an idle timeout or when its context is done.
type controlStream struct {
	conn         net.Conn
	body         io.ReadCloser
	stopCtxWatch func() bool
}

// openControlStream connects, sends the request and reads the response head, whose status must be 200. Reads of the body
// fail after idleTimeout unless extendReadDeadline is called. The caller must close the stream.
func openControlStream(ctx context.Context, dial Dial, address, path string, idleTimeout time.Duration) (*controlStream, error) {
	dialCtx, cancel := context.WithTimeout(ctx, controlConnectTimeout)
	defer cancel()
	c, err := dial(dialCtx, address)
	if err != nil {
		return nil, err
	}
	s := &controlStream{conn: c, stopCtxWatch: context.AfterFunc(ctx, func() { c.Close() })}
	err = s.get(address, path)
	if err = cmp.Or(err, ctx.Err()); err != nil {
		s.Close()
		return nil, err
	}
	s.extendReadDeadline(idleTimeout)
	return s, nil
}

// get sends the request and reads the response head.
func (s *controlStream) get(address, path string) error {
	// The deadline covers the whole head, because the peer may stop in the middle of it.
	if err := s.conn.SetDeadline(time.Now().Add(controlConnectTimeout)); err != nil {
		return err
	}
	if _, err := io.WriteString(s.conn, "GET "+path+" HTTP/1.1\r\nHost: "+address+"\r\n\r\n"); err != nil {
		return err
	}
	response, err := http.ReadResponse(bufio.NewReader(s.conn), nil) //nolint:bodyclose // Close closes it, after the connection
	if err != nil {
		return err
	}
	s.body = response.Body
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("GET %s: status %d, want %d", path, response.StatusCode, http.StatusOK)
	}
	return nil
}

// extendReadDeadline makes reads fail after idleTimeout from now.
func (s *controlStream) extendReadDeadline(idleTimeout time.Duration) {
	_ = s.conn.SetReadDeadline(time.Now().Add(idleTimeout)) // fails only on a closed connection, and then Read fails too
}

// Read reads from the response body.
func (s *controlStream) Read(b []byte) (int, error) { return s.body.Read(b) }

// Close closes the connection without waiting for the rest of the body.
func (s *controlStream) Close() {
	s.stopCtxWatch()
	s.conn.Close()
	if s.body != nil {
		s.body.Close() // after the connection: otherwise it would read to the end of the body
	}
}
