package httpwire

// This file opens the connections on which discovery and the platform send their streams: one GET, one response, read as it
// comes.

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

// controlConnectTimeout is for a connection to discovery or the platform to come up, and again for a response's head: both
// answer at once.
const controlConnectTimeout = 500 * time.Millisecond

var errStreamEnded = errors.New("the stream ended")

// controlStream is the body of one response. Reading it fails after a silence, or when the context it was opened with ends.
type controlStream struct {
	conn         net.Conn
	body         io.ReadCloser
	stopCtxWatch func() bool
}

// openControlStream connects, sends the request and reads the response's head, whose status has to be 200. Reading of the body
// may be silent for so long. The caller closes the stream.
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

// get sends the request and reads the response's head.
func (s *controlStream) get(address, path string) error {
	// For all of it: a part of a head may be all that ever comes.
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
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return nil
}

// extendReadDeadline has reading fail unless something comes within so long.
func (s *controlStream) extendReadDeadline(idleTimeout time.Duration) {
	_ = s.conn.SetReadDeadline(time.Now().Add(idleTimeout)) // it fails on a closed connection only, and then reading does too
}

// Read reads the body.
func (s *controlStream) Read(b []byte) (int, error) { return s.body.Read(b) }

// Close closes the connection. It never waits for the rest of the body.
func (s *controlStream) Close() {
	s.stopCtxWatch()
	s.conn.Close()
	if s.body != nil {
		s.body.Close() // after the connection: else it would read on to the body's end
	}
}
