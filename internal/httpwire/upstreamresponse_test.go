package httpwire

import (
	"bufio"
	"bytes"
	"strings"
	"testing"
)

// The parser must not panic on any input, and must not accept a response that is too long or does not start with a valid
// version and status.
func FuzzReadResponse(f *testing.F) {
	whole := "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"
	for _, seed := range []string{
		whole, whole + whole, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"HTTP/1.1 100 C\r\n\r\n" + whole, "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200", "\x00", strings.Replace(whole, "4", "99", 1),
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		c := newConn(nil)
		c.in = bufio.NewReader(bytes.NewReader(text))
		r, err := c.readResponse()
		if err == nil && (r.status < 100 || r.status > 599 || len(r.body) > maxBodyBytes || !bytes.HasPrefix(text, []byte(httpVersion))) {
			t.Errorf("readResponse accepted %q as %+v, want status 100 to 599, at most %d body bytes and prefix %q", text, r, maxBodyBytes, httpVersion)
		}
	})
}
