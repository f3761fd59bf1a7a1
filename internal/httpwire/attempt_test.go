package httpwire

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"onyxgate/policy"
)

// outcomeCase is a way in which a backend ends an attempt, with the resulting attempt status and the client's response
// status.
type outcomeCase struct {
	name   string
	peer   func(net.Conn)
	result policy.AttemptStatus
	status int
}

// Every behavior of a backend results in the attempt status and the response to the client that the protocol's table
// defines.
func TestAttemptOutcomes(t *testing.T) {
	for _, c := range slices.Concat(responseOutcomes(), malformedOutcomes(), unfinishedOutcomes(), connectionOutcomes()) {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				instance := newTestInstance(network{"app:1": c.peer}, NewSockets(0))
				from := time.Now()
				resp, body := instance.roundTrip(t, validRequest)
				if resp.StatusCode != c.status || c.status == 200 && body != "body" {
					t.Errorf("response = %d %q, want status %d (with body %q for status 200)", resp.StatusCode, body, c.status, "body")
				}
				if n := instance.core.Counts(); n.AttemptsByStatus[c.result] != 1 || n.OpenRequests != 0 || n.OpenAttempts != 0 {
					t.Errorf("counts = %+v, want one attempt with status %d, and nothing open", n, c.result)
				}
				if took := time.Since(from); took > 2*time.Second || c.result == policy.StatusReset && took > responseReadTimeout {
					t.Errorf("response after %v, want at most 2s, or %v for a reset", took, responseReadTimeout)
				}
				instance.close()
			})
		})
	}
}

// responseOutcomes are valid responses.
func responseOutcomes() []outcomeCase {
	ok := "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nSrv-Load: queue=3,util=0.5,new=x\r\n\r\nbody"
	chunked := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nbod\r\n1\r\ny\r\n0\r\n\r\n"
	return []outcomeCase{
		{"served", answerOnce(ok), policy.StatusServed, 200},
		{"after an interim response", answerOnce("HTTP/1.1 100 Continue\r\n\r\n" + ok), policy.StatusServed, 200},
		{"chunked", answerOnce(chunked), policy.StatusServed, 200},
		{"error", answerOnce("HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n"), policy.StatusErrored, 503},
		{"503 without Srv-Declined", answerOnce("HTTP/1.1 503 E\r\nContent-Length: 0\r\n\r\n"), policy.StatusErrored, 503},
		{"503 with Srv-Declined", answerOnce("HTTP/1.1 503 E\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n"), policy.StatusRejected, 503},
		{"504 with Srv-Declined", answerOnce("HTTP/1.1 504 E\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n"), policy.StatusRejected, 503},
		{
			"429 with Srv-Declined", answerOnce("HTTP/1.1 429 E\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n"),
			policy.StatusErrored, 503,
		},
	}
}

// malformedOutcomes are invalid responses after which the backend closes the connection.
func malformedOutcomes() []outcomeCase {
	responses := []struct{ name, text string }{
		{"no response", ""},
		{"not HTTP", "hello\r\n\r\n"},
		{"two different lengths", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nbody"},
		{"body until end of file", "HTTP/1.1 200 OK\r\n\r\nbody"},
		{"two equal lengths", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\nbody"},
		{
			"Content-Length and Transfer-Encoding",
			"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		},
		{"signed length", "HTTP/1.1 200 OK\r\nContent-Length: +4\r\n\r\nbody"},
		{"empty length", "HTTP/1.1 200 OK\r\nContent-Length: \r\n\r\nbody"},
		{"bare line feeds", "HTTP/1.1 200 OK\nContent-Length: 4\n\nbody"},
		{"invalid header name", "HTTP/1.1 200 OK\r\nContent Length: 4\r\n\r\nbody"},
		{"invalid header value", "HTTP/1.1 200 OK\r\nA: \x01\r\nContent-Length: 4\r\n\r\nbody"},
		{"HTTP/1.0", "HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\nbody"},
		{"invalid status", "HTTP/1.1 2x0 OK\r\nContent-Length: 4\r\n\r\nbody"},
		{"switching protocols", "HTTP/1.1 101 S\r\nContent-Length: 4\r\n\r\nbody"},
		{"trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nA: b\r\n\r\n"},
		{"body too long", "HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n"},
		{"endless line", "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("a", 9000)},
		{"too many lines", "HTTP/1.1 200 OK\r\n" + strings.Repeat("A: b\r\n", 99) + "\r\n"},
	}
	var cases []outcomeCase
	for _, r := range responses {
		cases = append(cases, outcomeCase{r.name, answerOnce(r.text), policy.StatusReset, 503})
	}
	return cases
}

// unfinishedOutcomes are responses that are cut off, exceed a limit, or stop while the connection stays open.
func unfinishedOutcomes() []outcomeCase {
	chunks := strings.Repeat("4000\r\n"+strings.Repeat("a", 0x4000)+"\r\n", 9)
	peers := []struct {
		name string
		peer func(net.Conn)
	}{
		{"incomplete body", answerOnce("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbody")},
		{"incomplete chunk", answerOnce("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nbody")},
		{"chunked body too long", answerOnce("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks)},
		{"too many interim responses", answerOnce(strings.Repeat("HTTP/1.1 100 C\r\n\r\n", 99))},
		{"incomplete head, then silence", answerAndHold("HTTP/1.1 200 OK\r\nConte")},
		{"incomplete body, then silence", answerAndHold("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbody")},
		{"binary data, then silence", answerAndHold("\x00\x01\x02 and so on")},
		{"a few bytes, then silence", answerAndHold("HT")},
		{"interim response and part of the next", answerAndHold("HTTP/1.1 100 C\r\n\r\nHTTP/1.1 2")},
		{"length of 3 GB", answerAndHold("HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\nbody")},
	}
	var cases []outcomeCase
	for _, p := range peers {
		cases = append(cases, outcomeCase{p.name, p.peer, policy.StatusReset, 503})
	}
	return cases
}

// connectionOutcomes are attempts that end without a response.
func connectionOutcomes() []outcomeCase {
	return []outcomeCase{
		{"closed before the last byte", closeAfter(9), policy.StatusConnectFailed, 503},
		{"silent", holdSilent, policy.StatusCanceled, 503},
		{"refused", nil, policy.StatusConnectFailed, 503},
	}
}

// closeAfter serves one connection: it reads up to the given number of bytes and closes the connection.
func closeAfter(bytes int) func(net.Conn) {
	return func(conn net.Conn) { _, _ = conn.Read(make([]byte, bytes)) } // an error ends it too
}

// A request is forwarded with its request line, headers and body unchanged, except for hop-by-hop headers. Of the
// response, the client gets the body and the Content-Type.
func TestRequestForwarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var got bytes.Buffer
		instance := newTestInstance(network{"app:1": func(conn net.Conn) {
			request, err := http.ReadRequest(bufio.NewReader(io.TeeReader(conn, &got)))
			if err == nil {
				drain(request.Body)
				send(conn, "HTTP/1.1 200 OK\r\nContent-Type: a/b\r\nContent-Length: 2\r\n\r\nhi")
			}
		}}, NewSockets(0))
		resp, body := instance.roundTrip(t, "POST /save/a%2Fb?x=%31&y HTTP/1.1\r\nHost: h\r\nReq-Id: Q1\r\nReq-Deadline: 480m\r\n"+
			"Idempotency-Key: MiXed\r\nKeep-Alive: 1\r\nContent-Length: 5\r\n\r\nab\x00cd")
		text := got.String()
		for _, want := range []string{
			"POST /save/a%2Fb?x=%31&y HTTP/1.1\r\n", "\r\nReq-Id: Q1\r\n",
			"\r\nIdempotency-Key: MiXed\r\n", "\r\nReq-Deadline: 480m\r\n", "\r\n\r\nab\x00cd",
		} {
			if !strings.Contains(text, want) {
				t.Errorf("forwarded request %q does not contain %q", text, want)
			}
		}
		if strings.Contains(text, "Keep-Alive") || body != "hi" || resp.Header.Get("Content-Type") != "a/b" {
			t.Errorf("forwarded request %q, response %q of type %q; want no Keep-Alive, response %q of type a/b",
				text, body, resp.Header.Get("Content-Type"), "hi")
		}
		instance.close()
	})
}
