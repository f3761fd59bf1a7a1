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

// outcomeCase is one way in which a backend ends an attempt: the status that the decisions get, and what the client gets.
type outcomeCase struct {
	name   string
	peer   func(net.Conn)
	result policy.AttemptStatus
	status int
}

// The table of outcomes: what a backend does, what the decisions get, and what the client gets.
func TestAttemptOutcomes(t *testing.T) {
	for _, c := range slices.Concat(responseOutcomes(), malformedOutcomes(), unfinishedOutcomes(), connectionOutcomes()) {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := newTestInstance(network{"app:1": c.peer}, NewSockets(0))
				from := time.Now()
				resp, body := a.roundTrip(t, validRequest)
				if resp.StatusCode != c.status || c.status == 200 && body != "body" {
					t.Errorf("the client got %d %q", resp.StatusCode, body)
				}
				if n := a.core.Counts(); n.AttemptsByStatus[c.result] != 1 || n.OpenRequests != 0 || n.OpenAttempts != 0 {
					t.Errorf("counts %+v", n)
				}
				if took := time.Since(from); took > 2*time.Second || c.result == policy.StatusReset && took > responseReadTimeout {
					t.Errorf("after %v", took)
				}
				a.close()
			})
		})
	}
}

// responseOutcomes are good responses.
func responseOutcomes() []outcomeCase {
	ok := "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nSrv-Load: queue=3,util=0.5,new=x\r\n\r\nbody"
	chunked := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nbod\r\n1\r\ny\r\n0\r\n\r\n"
	return []outcomeCase{
		{"served", answerOnce(ok), policy.StatusServed, 200},
		{"after an interim answer", answerOnce("HTTP/1.1 100 Continue\r\n\r\n" + ok), policy.StatusServed, 200},
		{"chunked", answerOnce(chunked), policy.StatusServed, 200},
		{"error", answerOnce("HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n"), policy.StatusErrored, 503},
		{"503 unmarked", answerOnce("HTTP/1.1 503 E\r\nContent-Length: 0\r\n\r\n"), policy.StatusErrored, 503},
		{"turned away", answerOnce("HTTP/1.1 503 E\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n"), policy.StatusRejected, 503},
		{"over already", answerOnce("HTTP/1.1 504 E\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n"), policy.StatusRejected, 503},
		{
			"another answer marked", answerOnce("HTTP/1.1 429 E\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n"),
			policy.StatusErrored, 503,
		},
	}
}

// malformedOutcomes are whole responses that no good backend sends.
func malformedOutcomes() []outcomeCase {
	responses := []struct{ name, text string }{
		{"no answer", ""},
		{"not HTTP", "hello\r\n\r\n"},
		{"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nbody"},
		{"until its end", "HTTP/1.1 200 OK\r\n\r\nbody"},
		{"the same length twice", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\nbody"},
		{
			"a length and a coding",
			"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		},
		{"a length with a sign", "HTTP/1.1 200 OK\r\nContent-Length: +4\r\n\r\nbody"},
		{"no length", "HTTP/1.1 200 OK\r\nContent-Length: \r\n\r\nbody"},
		{"bare line feeds", "HTTP/1.1 200 OK\nContent-Length: 4\n\nbody"},
		{"a name that is none", "HTTP/1.1 200 OK\r\nContent Length: 4\r\n\r\nbody"},
		{"a value that is none", "HTTP/1.1 200 OK\r\nA: \x01\r\nContent-Length: 4\r\n\r\nbody"},
		{"another version", "HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\nbody"},
		{"a status that is none", "HTTP/1.1 2x0 OK\r\nContent-Length: 4\r\n\r\nbody"},
		{"other protocols", "HTTP/1.1 101 S\r\nContent-Length: 4\r\n\r\nbody"},
		{"trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nA: b\r\n\r\n"},
		{"too long", "HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n"},
		{"no end of lines", "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("a", 9000)},
		{"too many lines", "HTTP/1.1 200 OK\r\n" + strings.Repeat("A: b\r\n", 99) + "\r\n"},
	}
	var cases []outcomeCase
	for _, r := range responses {
		cases = append(cases, outcomeCase{r.name, answerOnce(r.text), policy.StatusReset, 503})
	}
	return cases
}

// unfinishedOutcomes are responses that begin and never end, or end before they are whole.
func unfinishedOutcomes() []outcomeCase {
	chunks := strings.Repeat("4000\r\n"+strings.Repeat("a", 0x4000)+"\r\n", 9)
	peers := []struct {
		name string
		peer func(net.Conn)
	}{
		{"cut off", answerOnce("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbody")},
		{"cut off in a chunk", answerOnce("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nbody")},
		{"chunks without end", answerOnce("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks)},
		{"interim answers without end", answerOnce(strings.Repeat("HTTP/1.1 100 C\r\n\r\n", 99))},
		{"part of a head, then silence", answerAndHold("HTTP/1.1 200 OK\r\nConte")},
		{"part of a body, then silence", answerAndHold("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbody")},
		{"noise, then silence", answerAndHold("\x00\x01\x02 and so on")},
		{"a few bytes, then silence", answerAndHold("HT")},
		{"an interim answer and part of the next", answerAndHold("HTTP/1.1 100 C\r\n\r\nHTTP/1.1 2")},
		{"3 GB", answerAndHold("HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\nbody")},
	}
	var cases []outcomeCase
	for _, p := range peers {
		cases = append(cases, outcomeCase{p.name, p.peer, policy.StatusReset, 503})
	}
	return cases
}

// connectionOutcomes are ends without any response.
func connectionOutcomes() []outcomeCase {
	return []outcomeCase{
		{"breaks before the last byte", closeAfter(9), policy.StatusConnectFailed, 503},
		{"silent", holdSilent, policy.StatusCanceled, 503},
		{"refused", nil, policy.StatusConnectFailed, 503},
	}
}

// closeAfter serves one connection: it reads up to so many bytes and closes.
func closeAfter(bytes int) func(net.Conn) {
	return func(conn net.Conn) { _, _ = conn.Read(make([]byte, bytes)) } // an error is the end too
}

// What goes on is what came, less what belongs to a connection.
func TestRequestForwarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var got bytes.Buffer
		a := newTestInstance(network{"app:1": func(conn net.Conn) {
			request, err := http.ReadRequest(bufio.NewReader(io.TeeReader(conn, &got)))
			if err == nil {
				drain(request.Body)
				send(conn, "HTTP/1.1 200 OK\r\nContent-Type: a/b\r\nContent-Length: 2\r\n\r\nhi")
			}
		}}, NewSockets(0))
		resp, body := a.roundTrip(t, "POST /save/a%2Fb?x=%31&y HTTP/1.1\r\nHost: h\r\nReq-Id: Q1\r\nReq-Deadline: 480m\r\n"+
			"Idempotency-Key: MiXed\r\nKeep-Alive: 1\r\nContent-Length: 5\r\n\r\nab\x00cd")
		text := got.String()
		for _, want := range []string{
			"POST /save/a%2Fb?x=%31&y HTTP/1.1\r\n", "\r\nReq-Id: Q1\r\n",
			"\r\nIdempotency-Key: MiXed\r\n", "\r\nReq-Deadline: 480m\r\n", "\r\n\r\nab\x00cd",
		} {
			if !strings.Contains(text, want) {
				t.Errorf("%q is not in %q", want, text)
			}
		}
		if strings.Contains(text, "Keep-Alive") || body != "hi" || resp.Header.Get("Content-Type") != "a/b" {
			t.Errorf("%q, answered %q", text, body)
		}
		a.close()
	})
}
