package httpwire

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"
)

// Requests that do not arrive completely: their answers, and rejecting them when their sockets are needed for other
// clients.
//
// A close without an answer could cross the last byte of the request, which would then be lost. Therefore such a request
// always gets an answer: from its handler if its head is complete, and from trackedConn.Read otherwise, because net/http
// closes a connection without an answer if a head does not arrive.

// rejectedText is the body of the response to a request that was not sent to a backend.
const rejectedText = "declined: trying again is harmless"

// incompleteHeadText is the body of the response to a request whose head did not arrive in time.
const incompleteHeadText = "head cut off"

// tooManyFieldsText is the body of the response to a request whose head has more than maxHeadFields.
const tooManyFieldsText = "too many header fields"

// headAnswerTimeout limits writing the answer to an incomplete head. The answer fits into the socket's buffer.
const headAnswerTimeout = time.Second

// rejectIncomplete rejects the request that has been incomplete for longest, if for at least the grace period, and
// reports whether there was one. The goroutine that reads the request is interrupted, answers it with 503 and closes the
// connection.
func (s *Sockets) rejectIncomplete(grace time.Duration) (rejected bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for range maxBusySkipped {
		first := s.receivingConns.Front()
		if first == nil {
			return false
		}
		conn := first.Value.(*trackedConn)
		if time.Since(conn.listedAt) < grace {
			return false
		}
		conn.removeFromList()
		if !conn.isArriving() {
			conn.reject()
			return true
		}
		conn.addTo(s.receivingConns)
	}
	return false
}

// rejectIncomplete rejects the request on the connection, if it is incomplete and no more of it has arrived, and reports
// whether its memory will be released soon.
func (c *trackedConn) rejectIncomplete() (released bool) {
	c.sockets.mu.Lock()
	defer c.sockets.mu.Unlock()
	if c.closed || c.rejected {
		return true
	}
	if c.isArriving() {
		return false
	}
	c.removeFromList()
	c.reject()
	return true
}

// isArriving reports whether all of the request has been read, or more of it has arrived and is about to be read, perhaps all
// of it. sockets.mu must be held.
func (c *trackedConn) isArriving() bool {
	if c.awaitsMemory { // what has arrived is not read before there is memory for it
		return false
	}
	isComplete := c.betweenRequests || !c.headIncomplete && c.bodyLeft == 0
	return isComplete || c.hasUnread()
}

// hasUnread reports whether bytes of the client, or its close, have not been passed on by Read. sockets.mu must be held.
func (c *trackedConn) hasUnread() bool { return len(c.early) > 0 || !hasNoUnreadData(c.Conn) }

// RejectAllIncomplete rejects all requests that are incomplete. It may miss some on which bytes have just arrived.
func (s *Sockets) RejectAllIncomplete() {
	for s.rejectIncomplete(0) {
	}
}

// reject makes all reads fail from now on, including one in progress. sockets.mu must be held.
func (c *trackedConn) reject() {
	if c.rejected {
		return
	}
	c.rejected = true
	c.sockets.incompleteRejected++
	close(c.rejection)
	_ = c.Conn.SetReadDeadline(expiredDeadline) // fails only on a closed connection, whose reads have ended
}

// Rejected reports whether the request that is arriving on the connection was rejected to make room. The connection may
// be nil.
func (s *Sockets) Rejected(c *trackedConn) bool {
	if c == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.rejected
}

// HeadRead records that the head of a request has been read completely. It returns the number of requests in a row, with
// this one, that came without waiting for the answer to the one before. The connection may be nil.
func (s *Sockets) HeadRead(c *trackedConn) (backToBack int) {
	if c == nil {
		return 0
	}
	c.firstHeadRead = true
	s.mu.Lock()
	c.headIncomplete = false
	held, cost, backToBack := c.held, c.head.cost(), c.backToBack
	s.mu.Unlock()
	held.shrinkTo(cost)
	return backToBack
}

// ExpectBody records that the body of a request follows, whose length is given in bytes. The connection may be nil.
func (s *Sockets) ExpectBody(c *trackedConn, length int64) {
	if c == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c.bodyLeft = length
}

// answerIncompleteHead answers a request whose head can't be read any further because of err, and closes the connection:
// with 503 if it was rejected, with 431 if it has too many fields, and with 408 if it took too long. After any other error
// there is nobody to answer. It must be called by the goroutine that reads the head: at that time nothing else is written to
// the connection. The close also keeps net/http from answering a second time, as it does if the head breaks off within a line.
func (c *trackedConn) answerIncompleteHead(err error) {
	c.sockets.mu.Lock()
	wasIncomplete, rejected := c.headIncomplete, c.rejected
	c.headIncomplete = false
	c.sockets.mu.Unlock()
	if !wasIncomplete {
		return
	}
	var status int
	var text string
	switch {
	case rejected || errors.Is(err, errNoRoom):
		status, text = http.StatusServiceUnavailable, rejectedText
	case errors.Is(err, errTooManyFields):
		status, text = http.StatusRequestHeaderFieldsTooLarge, tooManyFieldsText
	case errors.Is(err, os.ErrDeadlineExceeded):
		status, text = http.StatusRequestTimeout, incompleteHeadText
	default:
		return
	}
	_ = c.SetWriteDeadline(time.Now().Add(headAnswerTimeout))
	// If the write fails, the client has closed the connection.
	_, _ = io.WriteString(c.Conn, closingAnswer(status, text))
	c.Close()
}

// closingAnswer returns a whole response, after which the connection is closed.
func closingAnswer(status int, text string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s",
		status, http.StatusText(status), len(text), text)
}
