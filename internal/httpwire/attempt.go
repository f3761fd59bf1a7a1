package httpwire

// This file sends attempts and maps their outcomes to attempt statuses according to the protocol's table.

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"onyxgate/internal/core"
	"onyxgate/policy"
)

// Errors of attempts that were not sent.
var (
	errNoAddress          = errors.New("backend not in the endpoint list")
	errBackendMoved       = errors.New("backend left its address before the attempt was sent")
	errCanceledBeforeSent = errors.New("attempt canceled before it was sent")
)

// clientResponse is the part of a backend's response that is passed on to the client.
type clientResponse struct {
	contentType string
	body        []byte
}

// Bytes returns the body.
func (r clientResponse) Bytes() []byte { return r.body }

// outgoingRequest is a request as it is sent to backends.
type outgoingRequest struct {
	head []byte // from requestHead
	body []byte
	held *reservation // memory of the request and of the responses to it
}

// SendAttempt sends one attempt of a request to its backend and reports the result with attempt.Finish. It returns after
// the response, a connection failure, cancellation or a timeout.
func (u *Upstream) SendAttempt(attempt *core.Attempt, request outgoingRequest) {
	request.held.retain()
	defer request.held.release()
	status, r, err := u.send(attempt, request)
	traceAttempt(attempt, status, err)
	var report policy.LoadReport
	if u.loadOnResponses && r.loadReport != "" {
		report = parseLoadReport(r.loadReport)
	}
	attempt.Finish(status, clientResponse{r.contentType, r.body}, report)
}

// send sends one attempt and returns its status, with the response or the error.
func (u *Upstream) send(attempt *core.Attempt, request outgoingRequest) (policy.AttemptStatus, upstreamResponse, error) {
	c, err := u.connect(attempt)
	if err != nil {
		return unsentStatus(err), upstreamResponse{}, err
	}
	c.held = request.held
	r, err := c.roundTrip(u.attemptRequest(attempt, request)...)
	c.held = nil
	canceled, timedOut := attempt.SetCanceler(nil)
	c.setReadTimeout(0)
	interrupted := canceled || timedOut
	if interrupted || err != nil || !c.reusable(r) {
		u.conns.discard(c)
	} else {
		u.conns.put(c)
	}
	if err != nil {
		return roundTripErrorStatus(err, canceled, timedOut), r, err
	}
	return responseStatus(r), r, nil
}

// connect returns a connection on which the caller must send the attempt now. If it fails, nothing was sent.
func (u *Upstream) connect(attempt *core.Attempt) (*conn, error) {
	address := u.address(attempt.Backend)
	if address == "" {
		return nil, errNoAddress
	}
	c, err := u.conns.get(attempt, address)
	if err != nil {
		if canceled, _ := attempt.SetCanceler(nil); canceled {
			return nil, fmt.Errorf("%w: %w", errCanceledBeforeSent, err)
		}
		return nil, err
	}
	if !u.conns.alive(c) {
		u.conns.discard(c)
		return nil, errBackendMoved
	}
	if canceled, timedOut := attempt.MarkSent(c); canceled || timedOut {
		u.conns.put(c)
		if canceled {
			return nil, errCanceledBeforeSent
		}
		return nil, context.DeadlineExceeded
	}
	return c, nil
}

// attemptRequest returns the complete request to send: the head, the time left until the deadline, and the body. A large
// body is a part of its own, so that it is not copied for each attempt.
func (u *Upstream) attemptRequest(attempt *core.Attempt, request outgoingRequest) (parts [][]byte) {
	const deadlineRoom = 40 // for the Req-Deadline line
	leftMs := max(int64(attempt.Deadline-u.core.Now()), 1)
	isLarge := len(request.body) > freeBodyBytes
	room := len(request.head) + deadlineRoom
	if !isLarge {
		room += len(request.body)
	}
	first := make([]byte, 0, room)
	first = append(first, request.head...)
	first = append(first, "Req-Deadline: "...)
	first = strconv.AppendInt(first, leftMs, 10)
	first = append(first, "m\r\n\r\n"...)
	if isLarge {
		return [][]byte{first, request.body}
	}
	return [][]byte{append(first, request.body...)}
}

// unsentStatus returns the status of an attempt that was not sent. Causes that lie in this instance must not count as a
// failure of the backend.
func unsentStatus(err error) policy.AttemptStatus {
	localCause := errors.Is(err, errCanceledBeforeSent) || errors.Is(err, errNoSocket) || errors.Is(err, errBackendMoved)
	if localCause {
		return policy.StatusNotSent
	}
	return policy.StatusConnectFailed
}

// roundTripErrorStatus returns the status of an attempt whose round trip failed.
func roundTripErrorStatus(err error, canceled, timedOut bool) policy.AttemptStatus {
	notWritten := errors.Is(err, errNotWritten)
	switch {
	case notWritten && canceled:
		return policy.StatusNotSent
	case canceled:
		return policy.StatusCanceled
	case notWritten:
		return policy.StatusConnectFailed
	case timedOut:
		return policy.StatusTimedOut
	}
	return policy.StatusReset
}

// responseStatus returns the status of an attempt that got a valid response.
func responseStatus(r upstreamResponse) policy.AttemptStatus {
	mayDecline := r.status == http.StatusServiceUnavailable || r.status == http.StatusGatewayTimeout
	switch {
	case r.status == http.StatusOK:
		return policy.StatusServed
	case mayDecline && r.declined:
		return policy.StatusRejected
	}
	return policy.StatusErrored
}

// hopByHopHeaders are not forwarded: they belong to a connection, or each attempt writes its own.
var hopByHopHeaders = map[string]bool{
	"Connection":          true,
	"Content-Length":      true,
	"Expect":              true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Req-Deadline":        true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
}

// requestHead returns the head to forward for a client's request, without hop-by-hop headers and without the final empty
// line: each attempt appends its own deadline. bodyLength is the length of the body in bytes.
func requestHead(r *http.Request, bodyLength int) []byte {
	head := make([]byte, 0, 512)
	head = append(head, r.Method...)
	head = append(head, ' ')
	head = append(head, r.RequestURI...)
	head = append(head, " HTTP/1.1\r\nHost: "...)
	head = append(head, r.Host...)
	head = append(head, "\r\n"...)
	if bodyLength > 0 || r.Method != http.MethodGet {
		head = append(head, "Content-Length: "...)
		head = strconv.AppendInt(head, int64(bodyLength), 10)
		head = append(head, "\r\n"...)
	}
	for name, values := range r.Header {
		if hopByHopHeaders[name] {
			continue
		}
		for _, value := range values {
			head = append(head, name...)
			head = append(head, ": "...)
			head = append(head, value...)
			head = append(head, "\r\n"...)
		}
	}
	return head
}
