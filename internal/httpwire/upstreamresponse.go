package httpwire

// This file parses responses by hand: net/http's reader, with its table of headers, took a tenth of a request's cost. It takes
// what the protocol says that good responses are, and nothing else: a spoilt one must never pass for a good one.

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/http/httputil"
	"strings"
)

const (
	httpVersion    = "HTTP/1.1 "
	maxBodyBytes   = 64 << 10 // of a request and of a response
	maxHeaderLines = 64       // in a response, none longer than the reader's buffer
)

var (
	errMalformedResponse = errors.New("malformed response")
	errResponseTooLong   = errors.New("response too long")
)

// upstreamResponse is a response's body and what its head says that matters here.
type upstreamResponse struct {
	status        int
	contentType   string
	loadReport    string // Srv-Load; empty where it is absent or there is more than one
	declined      bool   // Srv-Declined: the backend has not run the request
	closes        bool   // the backend closes the connection after it
	contentLength int64  // -1: not stated
	chunked       bool
	body          []byte

	loadReports int // how many Srv-Load headers there were
}

// interim reports whether another response follows for the same request.
func (r upstreamResponse) interim() bool { return r.status < 200 }

// readResponse reads one response. An error is errMalformedResponse, errResponseTooLong or the connection's; the response holds
// what had been read before it.
func (c *conn) readResponse() (upstreamResponse, error) {
	r := upstreamResponse{contentLength: -1}
	err := c.readStatusLine(&r)
	if err == nil {
		err = c.readHeaders(&r)
	}
	if err == nil {
		err = c.readBody(&r)
	}
	return r, err
}

func (c *conn) readStatusLine(r *upstreamResponse) error {
	line, err := c.readLine()
	if err != nil {
		return err
	}
	const statusAt, statusEnd = len(httpVersion), len(httpVersion) + 3
	if len(line) < statusEnd || string(line[:statusAt]) != httpVersion || !isText(line) {
		return errMalformedResponse
	}
	if len(line) > statusEnd && line[statusEnd] != ' ' {
		return errMalformedResponse
	}
	status, ok := parseDigits(line[statusAt:statusEnd])
	r.status = int(status)
	if !ok || status < 100 || status > 599 || status == http.StatusSwitchingProtocols {
		return errMalformedResponse
	}
	return nil
}

func (c *conn) readHeaders(r *upstreamResponse) error {
	for n := 0; ; n++ {
		line, err := c.readLine()
		if err != nil {
			return err
		}
		if len(line) == 0 {
			return nil
		}
		name, value, ok := bytes.Cut(line, []byte{':'})
		if !ok || n >= maxHeaderLines || !isHeaderName(name) || !isText(value) {
			return errMalformedResponse
		}
		if err := r.setHeader(name, bytes.Trim(value, " \t")); err != nil {
			return err
		}
	}
}

// setHeader keeps one header, where it matters here.
func (r *upstreamResponse) setHeader(name, value []byte) error {
	switch {
	case bytes.EqualFold(name, []byte("Content-Length")):
		length, ok := parseDigits(value)
		if !ok || r.contentLength >= 0 { // a second one, even of the same value, could hide where the response ends
			return errMalformedResponse
		}
		r.contentLength = length
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		if r.chunked || !bytes.EqualFold(value, []byte("chunked")) {
			return errMalformedResponse
		}
		r.chunked = true
	case bytes.EqualFold(name, []byte("Connection")):
		r.closes = r.closes || bytes.EqualFold(value, []byte("close"))
	case bytes.EqualFold(name, []byte("Content-Type")):
		r.contentType = string(value)
	case bytes.EqualFold(name, []byte("Srv-Load")):
		r.loadReport = string(value)
		if r.loadReports++; r.loadReports > 1 { // which of them is true can't be told
			r.loadReport = ""
		}
	case bytes.EqualFold(name, []byte("Srv-Declined")):
		r.declined = string(value) == "1"
	}
	return nil
}

func (c *conn) readBody(r *upstreamResponse) error {
	bodiless := r.interim() || r.status == http.StatusNoContent || r.status == http.StatusNotModified
	hasLength := r.contentLength >= 0
	switch {
	case bodiless:
		if r.contentLength > 0 || r.chunked {
			return errMalformedResponse
		}
		return nil
	case r.chunked == hasLength: // both, or neither: where the response ends can't be told
		return errMalformedResponse
	case r.chunked:
		return c.readChunks(r)
	case r.contentLength > maxBodyBytes:
		return errResponseTooLong
	}
	r.body = make([]byte, r.contentLength)
	_, err := io.ReadFull(c.in, r.body)
	return err
}

// readChunks reads a chunked body and the empty line behind it.
func (c *conn) readChunks(r *upstreamResponse) error {
	var err error
	r.body, err = io.ReadAll(io.LimitReader(httputil.NewChunkedReader(c.in), maxBodyBytes+1))
	if err != nil {
		return err
	}
	if len(r.body) > maxBodyBytes {
		return errResponseTooLong
	}
	line, err := c.readLine()
	if err != nil {
		return err
	}
	if len(line) > 0 { // a trailer; good responses have none
		return errMalformedResponse
	}
	return nil
}

// readLine reads one line without its end, which is CR LF. What it returns holds until the next read.
func (c *conn) readLine() ([]byte, error) {
	line, err := c.in.ReadSlice('\n')
	if err != nil {
		return nil, err
	}
	if len(line) < 2 || line[len(line)-2] != '\r' {
		return nil, errMalformedResponse
	}
	return line[:len(line)-2], nil
}

// parseDigits reads a number of plain digits, few enough not to overflow.
func parseDigits(b []byte) (n int64, ok bool) {
	for _, d := range b {
		if d < '0' || d > '9' {
			return 0, false
		}
		n = n*10 + int64(d-'0')
	}
	return n, len(b) > 0 && len(b) <= 18
}

// isHeaderName reports whether a name is one by HTTP's grammar.
func isHeaderName(b []byte) bool {
	for _, c := range b {
		letter := c|0x20 >= 'a' && c|0x20 <= 'z'
		digit := c >= '0' && c <= '9'
		if !letter && !digit && strings.IndexByte("!#$%&'*+-.^_`|~", c) < 0 {
			return false
		}
	}
	return len(b) > 0
}

// isText reports whether a line holds nothing but printable characters and tabs.
func isText(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\t' || c >= 0x7f {
			return false
		}
	}
	return true
}
