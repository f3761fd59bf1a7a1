package httpwire

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// What does not have the form of a request is refused at the door; nothing of it reaches the module.
func TestBadInput(t *testing.T) {
	head := func(line string, more ...string) string {
		return line + " HTTP/1.1\r\nHost: h\r\n" + strings.Join(append(more, "\r\n"), "\r\n")
	}
	id, left, mark := "Req-Id: r", "Req-Deadline: 500m", "Idempotency-Key: m"
	for _, c := range []struct {
		name, text    string
		status, taken int
	}{
		{"in form", head("POST /save/x", id, left, mark, "Content-Length: 0"), 200, 1},
		{"in microseconds", head("GET /look/x", id, "Req-Deadline: 500000u"), 200, 1},
		{"no id", head("GET /look/x", left), 400, 0},
		{"malformed id", head("GET /look/x", "Req-Id: a b", left), 400, 0},
		{"unknown product", head("GET /other/x", id, left), 404, 0},
		{"wrong method", head("POST /look/x", id, left, "Content-Length: 0"), 405, 0},
		{"reading what is referenced", head("GET /save/x", id, left, mark), 405, 0},
		{"no mark", head("POST /save/x", id, left, "Content-Length: 0"), 400, 0},
		{"no deadline", head("GET /look/x", id), 400, 0},
		{"deadline without unit", head("GET /look/x", id, "Req-Deadline: 500"), 400, 0},
		{"deadline past", head("GET /look/x", id, "Req-Deadline: -1m"), 400, 0},
		{"deadline not a number", head("GET /look/x", id, "Req-Deadline: NaNm"), 400, 0},
		{"deadline of odd form", head("GET /look/x", id, "Req-Deadline: 0x9m"), 400, 0},
		{"two deadlines", head("GET /look/x", id, left, "Req-Deadline: 9m"), 400, 0},
		{"two units", head("GET /look/x", id, "Req-Deadline: 9mu"), 400, 0},
		{"two ids", head("GET /look/x", id, "Req-Id: q", left), 400, 0},
		{"two marks", head("POST /save/x", id, left, mark, "Idempotency-Key: n", "Content-Length: 0"), 400, 0},
		{"a body where none belongs", head("GET /look/x", id, left, "Content-Length: 1") + "a", 400, 0},
		{"no length", head("POST /save/x", id, left, mark), 411, 0},
		{"no path", head("GET look", id, left), 400, 0},
		{"all of the server", head("OPTIONS *", id, left), 404, 0},
		{"a length and a coding", head("POST /save/x", id, left, mark, "Content-Length: 9", "Transfer-Encoding: chunked") +
			"0\r\n\r\n" + head("GET /look/x", id, left), 411, 0},
		{"the same of HTTP/1.0", strings.Replace(head("POST /save/x", id, left, mark, "Content-Length: 5",
			"Transfer-Encoding: chunked"), "/1.1", "/1.0", 1) + "0\r\n\r\n" + head("GET /look/x", id, left), 505, 0},
		{"negative length", head("POST /save/x", id, left, mark, "Content-Length: -1"), 400, 0},
		{"huge length", head("POST /save/x", id, left, mark, "Content-Length: 99999999999999999999"), 400, 0},
		{"body too long", head("POST /save/x", id, left, mark, "Content-Length: 70000"), 413, 0},
		{"body in chunks", head("POST /save/x", id, left, mark, "Transfer-Encoding: chunked") + "11170\r\n" +
			strings.Repeat("a", 70000), 411, 0},
		{"body that does not come", head("POST /save/x", id, left, mark, "Content-Length: 9") + "ab", 400, 0},
		{"body that never ends", head("POST /save/x", id, "Req-Deadline: 9000000m", mark, "Content-Length: 9") + "ab", 400, 0},
		{"head without end", "GET /look/x HTTP/1.1\r\n" + strings.Repeat("A: b\r\n", 9000), 431, 0},
		{"noise", "\x00\x01 hello\r\n\r\n", 400, 0},
		{"not ready", head("GET /up"), 503, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := newTestInstance(network{"app:1": answerOnce("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")}, NewSockets(0))
				from := time.Now()
				resp, _ := a.roundTrip(t, c.text)
				if n := a.core.Counts(); resp.StatusCode != c.status || n.Accepted != c.taken || n.OpenRequests != 0 {
					t.Errorf("got %d, %+v", resp.StatusCode, n)
				}
				if c.status != 200 && (!resp.Close && c.status != 503 || time.Since(from) > newConnRequestTimeout) {
					t.Errorf("close %v after %v", resp.Close, time.Since(from))
				}
				a.close()
			})
		})
	}
}

// A handler that fails still answers, and its attempt ends.
func TestHandlerFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newTestInstance(network{}, NewSockets(0))
		a.upstream.address = func(string) string { panic("lost its map") }
		resp, _ := a.roundTrip(t, validRequest)
		if n := a.core.Counts(); resp.StatusCode != http.StatusBadGateway || n.OpenRequests != 0 || n.OpenAttempts != 0 {
			t.Errorf("%d, %+v", resp.StatusCode, n)
		}
		a.close()
	})
}

// A slow client's request is waited for, on a new connection and a kept one, which does not go for want of sockets meanwhile.
func TestSlowClient(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newTestInstance(network{"app:1": answerOnce("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")}, NewSockets(reservedSockets+8))
		in, server := make(pipeListener, 1), a.front.Server()
		go server.Serve(Listener{in, a.front.sockets})
		here, there := net.Pipe()
		in <- there
		answers := bufio.NewReader(here)
		for k, pieces := range [][]string{{
			"POST /save/x HTTP/1.1\r\nHost: h\r\nReq-Id: a\r\n", "Req-Deadline: 9000m\r\n",
			"Idempotency-Key: m\r\nContent-Length: 2\r\n\r\na", "b",
		}, {
			"POST /save/x HTTP/1.1\r\nHost: h\r\n",
			"Req-Id: c\r\nReq-Deadline: 9000m\r\n", "Idempotency-Key: m\r\nContent-Length: 3\r\n\r\na", "b", "c", "",
		}} {
			go func() {
				for _, piece := range pieces {
					io.WriteString(here, piece)
					time.Sleep(800 * time.Millisecond)
				}
			}()
			time.Sleep(time.Second)
			a.front.sockets.mu.Lock()
			a.front.sockets.clients += 4 * k // others have come; a new connection would have a second only
			a.front.sockets.mu.Unlock()
			a.front.sockets.makeRoom(true)
			resp, err := http.ReadResponse(answers, nil)
			if err != nil || resp.StatusCode != 200 {
				t.Fatalf("request %d: %v, %v", k, resp, err)
			}
			a.front.sockets.mu.Lock()
			a.front.sockets.clients -= 4 * k
			a.front.sockets.mu.Unlock()
			time.Sleep(time.Second)
		}
		here.Close()
		server.Close()
		a.close()
	})
}

// The client's time runs from when it sent: what a head or body in pieces took of it is told to no appliance.
func TestPiecesTime(t *testing.T) {
	for _, c := range []struct{ first, rest string }{
		{validRequest[:20], validRequest[20:]},
		{"POST /pay/k HTTP/1.1\r\nHost: h\r\nReq-Id: r1\r\nReq-Deadline: 2000m\r\nContent-Length: 4\r\n\r\n", "body"},
	} {
		synctest.Test(t, func(t *testing.T) {
			told := make(chan string, 1)
			a := newTestInstance(network{"app:1": func(c net.Conn) {
				p := &peerConn{c, bufio.NewReader(c)}
				_, deadline, _ := p.readRequest()
				told <- deadline
				p.respond("x")
			}}, NewSockets(0))
			in := make(pipeListener, 1)
			server := a.front.Server()
			served := make(chan bool)
			go func() { server.Serve(Listener{in, a.front.sockets}); close(served) }()
			here, there := net.Pipe()
			in <- there
			io.WriteString(here, c.first)
			time.Sleep(700 * time.Millisecond)
			go io.WriteString(here, c.rest)
			if _, err := http.ReadResponse(bufio.NewReader(here), nil); err != nil {
				t.Error(err)
			}
			if got := <-told; got != "1300m" {
				t.Errorf("told %s of 2000m, 700 of which had gone", got)
			}
			here.Close()
			server.Close()
			<-served
			a.close()
		})
	}
}

// A head in pieces has the time of a body on a connection that has been served; on a new one a close is owed soon.
func TestSlowHead(t *testing.T) {
	for _, served := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			a := newTestInstance(network{"app:1": func(c net.Conn) {
				p := &peerConn{c, bufio.NewReader(c)}
				for _, _, err := p.readRequest(); err == nil; _, _, err = p.readRequest() {
					p.respond("body")
				}
			}}, NewSockets(0))
			in := make(pipeListener, 1)
			server := a.front.Server()
			done := make(chan bool)
			go func() { server.Serve(Listener{in, a.front.sockets}); close(done) }()
			here, there := net.Pipe()
			in <- there
			client := &peerConn{here, bufio.NewReader(here)}
			if served {
				io.WriteString(here, validRequest)
				client.readResponse(t)
			}
			text := strings.Replace(requestWithID("r2"), "2000m", "5000m", 1)
			io.WriteString(here, text[:30])
			from := time.Now()
			go func() {
				time.Sleep(3 * time.Second)
				io.WriteString(here, text[30:])
			}()
			r, err := http.ReadResponse(client.in, nil)
			took := time.Since(from)
			if served && (err != nil || r.StatusCode != 200) {
				t.Errorf("served before: %v after %v", err, took)
			}
			if !served && (took > newConnHeadTimeout || err == nil && r.StatusCode < 400) {
				t.Errorf("new: %v, %v after %v", r, err, took)
			}
			here.Close()
			server.Close()
			<-done
			a.close()
		})
	}
}
