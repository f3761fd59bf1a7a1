package httpwire

// This file carries out one attempt of a request and tells its outcome by the protocol's table.

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"onyxgate/internal/core"
	"onyxgate/policy"
)

// Why nothing of an attempt was sent.
var (
	errNoAddress          = errors.New("the backend is not in the endpoint list")
	errBackendMoved       = errors.New("the backend left its address while the connection came up")
	errCanceledBeforeSent = errors.New("canceled before it was sent")
)

// answer is what goes back to the client of a backend's response.
type clientResponse struct {
	contentType string
	body        []byte
}

// Bytes is the body that the client gets.
func (r clientResponse) Bytes() []byte { return r.body }

// SendAttempt sends one attempt of a request to its backend and reports its end to the attempt. The head comes from requestHead.
// It returns once the response is there, the connection failed, or the attempt was canceled or has timed out.
func (u *Upstream) SendAttempt(attempt *core.Attempt, head, body []byte) {
	status, r, err := u.send(attempt, head, body)
	traceAttempt(attempt, status, err)
	var report policy.LoadReport
	if u.loadOnResponses && r.loadReport != "" {
		report = parseLoadReport(r.loadReport)
	}
	attempt.Finish(status, clientResponse{r.contentType, r.body}, report)
}

// send is one attempt, from the backend's address to the status that its end means.
func (u *Upstream) send(attempt *core.Attempt, head, body []byte) (policy.AttemptStatus, upstreamResponse, error) {
	c, err := u.connect(attempt)
	if err != nil {
		return unsentStatus(err), upstreamResponse{}, err
	}
	r, err := c.roundTrip(u.attemptRequest(attempt, head, body))
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

// connect returns a connection on which the attempt is to be sent now. With an error nothing has been sent or will be.
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

// attemptRequest is the whole request as it goes out: the head, the time that is left for it now, the body.
func (u *Upstream) attemptRequest(attempt *core.Attempt, head, body []byte) []byte {
	const deadlineRoom = 40 // for the line below
	leftMs := max(int64(attempt.Deadline-u.core.Now()), 1)
	request := make([]byte, 0, len(head)+len(body)+deadlineRoom)
	request = append(request, head...)
	request = append(request, "Req-Deadline: "...)
	request = strconv.AppendInt(request, leftMs, 10)
	request = append(request, "m\r\n\r\n"...)
	return append(request, body...)
}

// unsentStatus is the status of an attempt of which nothing was sent. What this instance wants or lacks itself must not pass for
// a failure of the backend.
func unsentStatus(err error) policy.AttemptStatus {
	localCause := errors.Is(err, errCanceledBeforeSent) || errors.Is(err, errNoSocket) || errors.Is(err, errBackendMoved)
	if localCause {
		return policy.StatusNotSent
	}
	return policy.StatusConnectFailed
}

// roundTripErrorStatus is the status of an attempt whose round trip ended without a good response.
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

// responseStatus is the status of an attempt that got a good response.
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

// hopByHopHeaders belong to a connection and not to the request, or are sent anew with each attempt.
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

// requestHead is a request's head as the client sent it, without what belongs to the connection and without the empty line: each
// attempt adds the time that is left. The body has so many bytes.
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
