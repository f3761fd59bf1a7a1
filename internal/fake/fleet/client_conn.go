package fleet

// HTTP/1.1 as the clients speak it: connection reuse, writing requests and reading responses.

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"onyxgate/internal/fake/loopback"
	"onyxgate/internal/record"
)

const (
	connectTimeout   = time.Second
	idleCheckTimeout = 50 * time.Microsecond // read timeout of the check whether an idle connection was closed
	responseSlack    = 2 * time.Second       // time after the deadline at which a client stops waiting
	silenceThreshold = time.Second           // a missing response counts as silence from this long after the deadline
)

// attempt sends one try of a request and sets the outcome of its response. An instance may close a connection between
// requests: if a connection that was used before breaks without a byte of a response, the request is sent once more on a new
// one, as the protocol says.
func (c *Clients) attempt(r request, response *Response) {
	conn, reused := c.connect(response.Instance)
	if reused && !c.exchangeOn(conn, r, response) {
		conn, reused = c.dial(response.Instance), false
	}
	if !reused {
		c.exchangeOn(conn, r, response)
	}
}

// exchangeOn sends one try of a request on a connection, which may be nil, and sets the outcome of its response. It reports
// false if the connection broke before a response began and long before the client stops waiting.
func (c *Clients) exchangeOn(conn net.Conn, r request, response *Response) (begun bool) {
	if conn == nil {
		response.Outcome = OutcomeUnreachable
		return true
	}
	response.Outcome = ""
	reusable, begun := exchange(conn, r, response)
	if reusable {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.idle[response.Instance] = append(c.idle[response.Instance], conn)
		return true
	}
	conn.Close()
	switch {
	case response.Outcome != "": // complete response on a connection that the instance closes
	case time.Since(response.Sent) > r.class.Timeout+silenceThreshold:
		response.Outcome = OutcomeSilent
		return true
	default:
		response.Outcome = OutcomeBroken
	}
	return begun
}

// exchange writes a request and reads its response. It sets the outcome if the response is complete, and reports
// whether the connection can be reused and whether any byte of a response came.
func exchange(conn net.Conn, r request, response *Response) (reusable, begun bool) {
	if conn.SetDeadline(time.Now().Add(r.class.Timeout+responseSlack)) != nil {
		return false, false
	}
	if _, err := io.WriteString(conn, requestText(r, response)); err != nil {
		return false, false
	}
	in := bufio.NewReader(conn)
	if _, err := in.Peek(1); err != nil {
		return false, false
	}
	reply, err := http.ReadResponse(in, nil)
	if err != nil {
		return false, true
	}
	defer reply.Body.Close()
	body, err := io.ReadAll(reply.Body)
	if err != nil {
		return false, true
	}
	if response.Outcome = outcomeOf(reply.StatusCode); response.Outcome == OutcomeServed {
		response.Body = record.DigestOf(body)
	}
	return !reply.Close, true
}

func outcomeOf(status int) string {
	switch {
	case status == http.StatusOK:
		return OutcomeServed
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		return OutcomeRejected
	case status >= http.StatusInternalServerError:
		return OutcomeFailed
	}
	return OutcomeBadRequest
}

// requestText returns a request as sent on the wire.
func requestText(r request, response *Response) string {
	path := fmt.Sprintf("/%s/%d", r.class.Name, r.key)
	headers := fmt.Sprintf("Host: api\r\nReq-Id: %s\r\nReq-Deadline: %dm\r\n", response.ID, r.class.Timeout.Milliseconds())
	if response.Retry > 0 {
		headers += "Req-Retry: 1\r\n"
	}
	if r.class.Semantics == SemanticsSafe {
		return "GET " + path + " HTTP/1.1\r\n" + headers + "\r\n"
	}
	if r.class.Semantics == SemanticsIdempotent {
		headers += "Idempotency-Key: " + r.idempotencyKey + "\r\n"
	}
	return "POST " + path + " HTTP/1.1\r\n" + headers + "Content-Length: 5\r\n\r\nscore"
}

// connect returns an idle connection that the instance has not closed, or opens a new one. It returns nil if the
// instance can't be reached.
func (c *Clients) connect(instance int) (conn net.Conn, reused bool) {
	for conn := c.takeIdle(instance); conn != nil; conn = c.takeIdle(instance) {
		if stillOpen(conn) {
			return conn, true
		}
		conn.Close()
	}
	return c.dial(instance), false
}

// dial opens a connection. It returns nil if the instance can't be reached.
func (c *Clients) dial(instance int) net.Conn {
	conn, err := loopback.Dial(c.options.Addresses[instance], connectTimeout)
	if err != nil {
		return nil
	}
	return conn
}

func (c *Clients) takeIdle(instance int) net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	connections := c.idle[instance]
	if len(connections) == 0 {
		return nil
	}
	last := len(connections) - 1
	c.idle[instance] = connections[:last]
	return connections[last]
}

// stillOpen reports whether an idle connection has neither been closed nor received unsolicited bytes.
func stillOpen(conn net.Conn) bool {
	if conn.SetReadDeadline(time.Now().Add(idleCheckTimeout)) != nil {
		return false
	}
	_, err := conn.Read(make([]byte, 1))
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
