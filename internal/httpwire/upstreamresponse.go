package httpwire

// This parser replaces http.ReadResponse, whose header map took a tenth of the cost of a request. It accepts only what
// the protocol allows in a valid response: a corrupted response must never be taken for a valid one.

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/http/httputil"
	"strings"
	"time"
)

const (
	httpVersion    = "HTTP/1.1 "
	maxBodyBytes   = 64 << 10 // of a request or a response
	maxHeaderLines = 64       // of a response; the length of each line is limited by the reader's buffer
)

var (
	errMalformedResponse = errors.New("malformed response")
	errResponseTooLong   = errors.New("response too long")
)

// upstreamResponse holds the body of a response and the parts of its head that are used here.
type upstreamResponse struct {
	status        int
	contentType   string
	loadReport    string // Srv-Load; empty if it is absent or repeated
	declined      bool   // Srv-Declined: the backend did not run the request
	closes        bool   // the backend closes the connection after this response
	contentLength int64  // -1: no Content-Length
	chunked       bool
	body          []byte

	loadReports int // number of Srv-Load headers
}

// interim reports whether another response to the same request follows.
func (r upstreamResponse) interim() bool { return r.status < 200 }

// readResponse reads one response. The error is errMalformedResponse, errResponseTooLong or an error of the connection;
// the response then holds what was parsed before it.
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

// setHeader records one header if it is used here.
func (r *upstreamResponse) setHeader(name, value []byte) error {
	switch {
	case bytes.EqualFold(name, []byte("Content-Length")):
		length, ok := parseDigits(value)
		if !ok || r.contentLength >= 0 { // a repeated length, even an equal one, makes the end of the response ambiguous
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
		if r.loadReports++; r.loadReports > 1 { // the reports may contradict each other
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
	case r.chunked == hasLength: // both or neither: the end of the response is ambiguous
		return errMalformedResponse
	case r.chunked:
		return c.readChunks(r)
	case r.contentLength > maxBodyBytes:
		return errResponseTooLong
	}
	if err := c.reserveBody(r.contentLength); err != nil {
		return err
	}
	r.body = make([]byte, r.contentLength)
	_, err := io.ReadFull(c.in, r.body)
	return err
}

// reserveBody reserves memory for a large body of a response. While it waits, the body stays in the kernel, and the time for
// reading the response does not run.
func (c *conn) reserveBody(bytes int64) error {
	if c.held == nil || bytes <= freeBodyBytes {
		return nil
	}
	err := c.held.grow(bytes, true, time.Now().Add(writeTimeout), c.interrupted)
	c.setReadTimeout(responseReadTimeout)
	return err
}

// maxChunkedBytes is the memory for reading a chunked body, whose length is not known: its buffer grows by copying.
const maxChunkedBytes = 2*maxBodyBytes + freeBodyBytes

// readChunks reads a chunked body and the empty line after it.
func (c *conn) readChunks(r *upstreamResponse) error {
	err := c.reserveBody(maxChunkedBytes)
	if err != nil {
		return err
	}
	r.body, err = io.ReadAll(io.LimitReader(httputil.NewChunkedReader(c.in), maxBodyBytes+1))
	if err != nil {
		return err
	}
	c.held.shrinkBy(int64(maxChunkedBytes - cap(r.body)))
	if len(r.body) > maxBodyBytes {
		return errResponseTooLong
	}
	line, err := c.readLine()
	if err != nil {
		return err
	}
	if len(line) > 0 { // valid responses have no trailers
		return errMalformedResponse
	}
	return nil
}

// readLine reads one line and returns it without its CR LF. The slice is valid until the next read.
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

// parseDigits parses an unsigned decimal number that is short enough not to overflow.
func parseDigits(b []byte) (n int64, ok bool) {
	for _, d := range b {
		if d < '0' || d > '9' {
			return 0, false
		}
		n = n*10 + int64(d-'0')
	}
	return n, len(b) > 0 && len(b) <= 18
}

// isHeaderName reports whether b is a valid header name in HTTP's grammar.
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

// isText reports whether b consists only of printable ASCII characters and tabs.
func isText(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\t' || c >= 0x7f {
			return false
		}
	}
	return true
}
