package httpwire

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"onyxgate/policy"
)

// The table of outcomes: what an appliance does, what the module is told, and what the client gets.
func TestOutcomes(t *testing.T) {
	ok := "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nSrv-Load: queue=3,util=0.5,new=x\r\n\r\nbody"
	for _, c := range []struct {
		name   string
		peer   func(net.Conn)
		result policy.AttemptStatus
		status int
	}{
		{"settled", answerOnce(ok), policy.StatusServed, 200},
		{"after an interim answer", answerOnce("HTTP/1.1 100 Continue\r\n\r\n" + ok), policy.StatusServed, 200},
		{"chunked", answerOnce("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nbod\r\n1\r\ny\r\n0\r\n\r\n"), policy.StatusServed, 200},
		{"error", answerOnce("HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n"), policy.StatusErrored, 503},
		{"503 unmarked", answerOnce("HTTP/1.1 503 E\r\nContent-Length: 0\r\n\r\n"), policy.StatusErrored, 503},
		{"turned away", answerOnce("HTTP/1.1 503 E\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n"), policy.StatusRejected, 503},
		{"over already", answerOnce("HTTP/1.1 504 E\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n"), policy.StatusRejected, 503},
		{"another answer marked", answerOnce("HTTP/1.1 429 E\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n"), policy.StatusErrored, 503},
		{"cut off", answerOnce("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbody"), policy.StatusReset, 503},
		{"cut off in a chunk", answerOnce("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nbody"), policy.StatusReset, 503},
		{"no answer", answerOnce(""), policy.StatusReset, 503},
		{"not HTTP", answerOnce("hello\r\n\r\n"), policy.StatusReset, 503},
		{"two lengths", answerOnce("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nbody"), policy.StatusReset, 503},
		{"until its end", answerOnce("HTTP/1.1 200 OK\r\n\r\nbody"), policy.StatusReset, 503},
		{"the same length twice", answerOnce("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\nbody"), policy.StatusReset, 503},
		{"a length and a coding", answerOnce("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"), policy.StatusReset, 503},
		{"a length with a sign", answerOnce("HTTP/1.1 200 OK\r\nContent-Length: +4\r\n\r\nbody"), policy.StatusReset, 503},
		{"no length", answerOnce("HTTP/1.1 200 OK\r\nContent-Length: \r\n\r\nbody"), policy.StatusReset, 503},
		{"bare line feeds", answerOnce("HTTP/1.1 200 OK\nContent-Length: 4\n\nbody"), policy.StatusReset, 503},
		{"a name that is none", answerOnce("HTTP/1.1 200 OK\r\nContent Length: 4\r\n\r\nbody"), policy.StatusReset, 503},
		{"a value that is none", answerOnce("HTTP/1.1 200 OK\r\nA: \x01\r\nContent-Length: 4\r\n\r\nbody"), policy.StatusReset, 503},
		{"another version", answerOnce("HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\nbody"), policy.StatusReset, 503},
		{"a status that is none", answerOnce("HTTP/1.1 2x0 OK\r\nContent-Length: 4\r\n\r\nbody"), policy.StatusReset, 503},
		{"other protocols", answerOnce("HTTP/1.1 101 S\r\nContent-Length: 4\r\n\r\nbody"), policy.StatusReset, 503},
		{"trailers", answerOnce("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nA: b\r\n\r\n"), policy.StatusReset, 503},
		{"chunks without end", answerOnce("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("4000\r\n"+
			strings.Repeat("a", 0x4000)+"\r\n", 9)), policy.StatusReset, 503},
		{"interim answers without end", answerOnce(strings.Repeat("HTTP/1.1 100 C\r\n\r\n", 99)), policy.StatusReset, 503},
		{"part of a head, then silence", answerAndHold("HTTP/1.1 200 OK\r\nConte"), policy.StatusReset, 503},
		{"part of a body, then silence", answerAndHold("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbody"), policy.StatusReset, 503},
		{"noise, then silence", answerAndHold("\x00\x01\x02 and so on"), policy.StatusReset, 503},
		{"a few bytes, then silence", answerAndHold("HT"), policy.StatusReset, 503},
		{"an interim answer and part of the next", answerAndHold("HTTP/1.1 100 C\r\n\r\nHTTP/1.1 2"), policy.StatusReset, 503},
		{"3 GB", answerAndHold("HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\nbody"), policy.StatusReset, 503},
		{"too long", answerOnce("HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n"), policy.StatusReset, 503},
		{"no end of lines", answerOnce("HTTP/1.1 200 OK\r\nA: " + strings.Repeat("a", 9000)), policy.StatusReset, 503},
		{"too many lines", answerOnce("HTTP/1.1 200 OK\r\n" + strings.Repeat("A: b\r\n", 99) + "\r\n"), policy.StatusReset, 503},
		{"breaks before the last byte", func(c net.Conn) { c.Read(make([]byte, 9)) }, policy.StatusConnectFailed, 503},
		{"silent", func(c net.Conn) { io.Copy(io.Discard, c) }, policy.StatusCanceled, 503},
		{"refused", nil, policy.StatusConnectFailed, 503},
	} {
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

// What goes on is what came, less what belongs to a connection.
func TestUnchanged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var got bytes.Buffer
		a := newTestInstance(network{"app:1": func(c net.Conn) {
			r, err := http.ReadRequest(bufio.NewReader(io.TeeReader(c, &got)))
			if err == nil {
				io.Copy(io.Discard, r.Body)
				io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: a/b\r\nContent-Length: 2\r\n\r\nhi")
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

// A connection is used again while it stands, given up well before the appliance closes it, and closed after a
// attempt that was not answered whole.
func TestKept(t *testing.T) {
	for _, c := range []struct {
		name   string
		rest   time.Duration
		answer string
		dialled,
		idle int
	}{
		{"used again", time.Second, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", 1, 1},
		{"idle for long", 16 * time.Second, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", 2, 1},
		{"told to close", 0, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", 2, 0},
		{"more than asked for", 0, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nHTTP", 2, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := newTestInstance(network{"app:1": func(c2 net.Conn) {
					in := bufio.NewReader(c2)
					for {
						if _, err := http.ReadRequest(in); err != nil {
							return
						}
						if _, err := io.WriteString(c2, c.answer); err != nil {
							return
						}
					}
				}}, NewSockets(0))
				a.roundTrip(t, validRequest)
				time.Sleep(c.rest)
				a.roundTrip(t, strings.Replace(validRequest, "r1", "r2", 1))
				dialled, idle, _ := a.upstream.Connections()
				if dialled != c.dialled || idle != c.idle {
					t.Errorf("%d dialled, %d idle", dialled, idle)
				}
				a.close()
				if all, _, _ := a.front.sockets.Used(); all != 0 {
					t.Errorf("%d sockets left", all)
				}
			})
		})
	}
}

// A load report is read whole or not at all.
func TestLoad(t *testing.T) {
	for _, c := range []struct {
		report        string
		waiting, busy float64
	}{
		{"q=3,busy=0.62,rate=140", 3, 0.62},
		{"rif=4,fail_rate=0", 4, -1},
		{"queue=3,util=0.5,qps=12", 3, 0.5},
		{"inflight=7,util=0.61", 7, 0.61},
		{"inflight=7,queue=2", 2, -1},
		{"qps=1", -1, -1},
		{"", -1, -1},
		{"queue=3,util=x", -1, -1},
		{"queue=NaN,util=0.5", -1, -1},
		{"queue=-3,util=0", -1, -1},
		{"queue=3;util=0.5", -1, -1},
		{"queue=3,", -1, -1},
		{"queue=1e300", -1, -1},
		{"queue=99999999", -1, -1},
		{"\x00\x01=4", -1, -1},
		{"queue=inf", -1, -1},
	} {
		want := policy.LoadReport{Present: c.waiting >= 0 || c.busy >= 0, Waiting: max(c.waiting, 0), Busy: max(c.busy, 0)}
		if got := parseLoadReport(c.report); got != want {
			t.Errorf("%q: %+v, want %+v", c.report, got, want)
		}
	}
}

// Whatever bytes come, the reader stands it, and takes nothing that is too long or begins otherwise.
func FuzzAnswer(f *testing.F) {
	whole := "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"
	for _, seed := range []string{
		whole, whole + whole, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"HTTP/1.1 100 C\r\n\r\n" + whole, "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200", "\x00", strings.Replace(whole, "4", "99", 1),
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		c := &conn{in: bufio.NewReader(bytes.NewReader(text))}
		r, err := c.readResponse()
		if err == nil && (r.status < 100 || r.status > 599 || len(r.body) > maxBodyBytes || !bytes.HasPrefix(text, []byte(httpVersion))) {
			t.Errorf("%+v", r)
		}
	})
}
