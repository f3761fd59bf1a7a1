package httpwire

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// Invalid requests get an error response and do not reach the core.
func TestRequestValidation(t *testing.T) {
	id, deadline, key := "Req-Id: r", "Req-Deadline: 500m", "Idempotency-Key: m"
	for _, c := range []struct {
		name, text       string
		status, accepted int
	}{
		{"valid", requestText("POST /save/x", id, deadline, key, "Content-Length: 0"), 200, 1},
		{"timeout in microseconds", requestText("GET /look/x", id, "Req-Deadline: 500000u"), 200, 1},
		{"no id", requestText("GET /look/x", deadline), 400, 0},
		{"malformed id", requestText("GET /look/x", "Req-Id: a b", deadline), 400, 0},
		{"unknown class", requestText("GET /other/x", id, deadline), 404, 0},
		{"wrong method", requestText("POST /look/x", id, deadline, "Content-Length: 0"), 405, 0},
		{"GET for an idempotent class", requestText("GET /save/x", id, deadline, key), 405, 0},
		{"no idempotency key", requestText("POST /save/x", id, deadline, "Content-Length: 0"), 400, 0},
		{"no deadline", requestText("GET /look/x", id), 400, 0},
		{"deadline without unit", requestText("GET /look/x", id, "Req-Deadline: 500"), 400, 0},
		{"negative deadline", requestText("GET /look/x", id, "Req-Deadline: -1m"), 400, 0},
		{"deadline not a number", requestText("GET /look/x", id, "Req-Deadline: NaNm"), 400, 0},
		{"hexadecimal deadline", requestText("GET /look/x", id, "Req-Deadline: 0x9m"), 400, 0},
		{"two deadlines", requestText("GET /look/x", id, deadline, "Req-Deadline: 9m"), 400, 0},
		{"two units", requestText("GET /look/x", id, "Req-Deadline: 9mu"), 400, 0},
		{"two ids", requestText("GET /look/x", id, "Req-Id: q", deadline), 400, 0},
		{"two idempotency keys", requestText("POST /save/x", id, deadline, key, "Idempotency-Key: n", "Content-Length: 0"), 400, 0},
		{"unexpected body", requestText("GET /look/x", id, deadline, "Content-Length: 1") + "a", 400, 0},
		{"no Content-Length", requestText("POST /save/x", id, deadline, key), 411, 0},
		{"no path", requestText("GET look", id, deadline), 400, 0},
		{"OPTIONS *", requestText("OPTIONS *", id, deadline), 404, 0},
		{"Content-Length and Transfer-Encoding", requestText("POST /save/x", id, deadline, key, "Content-Length: 9", "Transfer-Encoding: chunked") +
			"0\r\n\r\n" + requestText("GET /look/x", id, deadline), 411, 0},
		{"Content-Length and Transfer-Encoding, HTTP/1.0", strings.Replace(requestText("POST /save/x", id, deadline, key, "Content-Length: 5",
			"Transfer-Encoding: chunked"), "/1.1", "/1.0", 1) + "0\r\n\r\n" + requestText("GET /look/x", id, deadline), 505, 0},
		{"negative length", requestText("POST /save/x", id, deadline, key, "Content-Length: -1"), 400, 0},
		{"huge length", requestText("POST /save/x", id, deadline, key, "Content-Length: 99999999999999999999"), 400, 0},
		{"body too long", requestText("POST /save/x", id, deadline, key, "Content-Length: 70000"), 413, 0},
		{"chunked body", requestText("POST /save/x", id, deadline, key, "Transfer-Encoding: chunked") + "11170\r\n" +
			strings.Repeat("a", 70000), 411, 0},
		{"incomplete body", requestText("POST /save/x", id, deadline, key, "Content-Length: 9") + "ab", 400, 0},
		{"incomplete body, long deadline", requestText("POST /save/x", id, "Req-Deadline: 9000000m", key, "Content-Length: 9") + "ab", 400, 0},
		{"wrong method and missing headers", requestText("PUT /look/x"), 405, 0},
		{"endless head", "GET /look/x HTTP/1.1\r\n" + strings.Repeat("A: b\r\n", 9000), 431, 0},
		{"binary data", "\x00\x01 hello\r\n\r\n", 400, 0},
		{"not ready", requestText("GET /up"), 503, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				instance := newTestInstance(network{"app:1": answerOnce("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")}, NewSockets(0))
				from := time.Now()
				resp, _ := instance.roundTrip(t, c.text)
				if n := instance.core.Counts(); resp.StatusCode != c.status || n.Accepted != c.accepted || n.OpenRequests != 0 {
					t.Errorf("status = %d, counts = %+v; want status %d, %d accepted, none open", resp.StatusCode, n, c.status, c.accepted)
				}
				if c.status != 200 && (!resp.Close && c.status != 503 || time.Since(from) > newConnRequestTimeout) {
					t.Errorf("close = %v after %v, want a close (unless the status is 503) within %v", resp.Close, time.Since(from), newConnRequestTimeout)
				}
				if invalid := instance.front.InvalidRequests(); c.status == 200 && invalid != 0 || invalid > 1 {
					t.Errorf("InvalidRequests() = %d for status %d, want 0 for a valid request and at most 1 otherwise", invalid, c.status)
				}
				instance.close()
			})
		})
	}
}

// If a handler panics, the client still gets a response, and the attempt in progress ends.
func TestHandlerPanic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		instance := newTestInstance(network{}, NewSockets(0))
		instance.upstream.address = func(string) string { panic("injected panic") }
		resp, _ := instance.roundTrip(t, validRequest)
		if n := instance.core.Counts(); resp.StatusCode != http.StatusBadGateway || n.OpenRequests != 0 || n.OpenAttempts != 0 {
			t.Errorf("status = %d, counts = %+v; want status %d, nothing open", resp.StatusCode, n, http.StatusBadGateway)
		}
		instance.close()
	})
}

// A request that arrives slowly is served, on a new connection and on a reused one. The reused connection must not be
// evicted meanwhile when sockets are short.
func TestSlowClient(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		instance := newTestInstance(network{
			"app:1": answerOnce("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"),
		}, NewSockets(reservedSockets+8))
		server := instance.serve()
		client := server.dial()
		addClients := func(n int) {
			instance.front.sockets.mu.Lock()
			defer instance.front.sockets.mu.Unlock()
			instance.front.sockets.clients += n
		}
		for k, pieces := range [][]string{{
			"POST /save/x HTTP/1.1\r\nHost: h\r\nReq-Id: a\r\n", "Req-Deadline: 9000m\r\n",
			"Idempotency-Key: m\r\nContent-Length: 2\r\n\r\na", "b",
		}, {
			"POST /save/x HTTP/1.1\r\nHost: h\r\n",
			"Req-Id: c\r\nReq-Deadline: 9000m\r\n", "Idempotency-Key: m\r\nContent-Length: 3\r\n\r\na", "b", "c", "",
		}} {
			go func() { // ends after the last piece
				for _, piece := range pieces {
					send(client, piece)
					time.Sleep(800 * time.Millisecond)
				}
			}()
			time.Sleep(time.Second)
			addClients(4 * k) // as if other clients had connected; a new connection would be evicted after newConnGrace
			instance.front.sockets.makeRoom(true)
			answer, _, err := readAnswer(client.in)
			if err != nil || answer.StatusCode != 200 {
				t.Fatalf("request %d: response %v, error %v; want status 200", k, answer, err)
			}
			addClients(-4 * k)
			time.Sleep(time.Second)
		}
		client.Close()
		server.close()
		instance.close()
	})
}

// A client's timeout starts with the first byte of its request: the deadline forwarded to the backend excludes the time
// in which the head or the body arrived.
func TestSlowRequestReducesTimeLeft(t *testing.T) {
	for _, c := range []struct{ name, first, rest string }{
		{"head", validRequest[:20], validRequest[20:]},
		{"body", "POST /pay/k HTTP/1.1\r\nHost: h\r\nReq-Id: r1\r\nReq-Deadline: 2000m\r\nContent-Length: 4\r\n\r\n", "body"},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				deadlines := make(chan string, 1)
				instance := newTestInstance(network{"app:1": func(conn net.Conn) {
					backend := &peerConn{conn, bufio.NewReader(conn)}
					_, deadline, err := backend.readRequest()
					if err != nil {
						t.Errorf("backend: reading the request: %v", err)
					}
					deadlines <- deadline
					backend.respond("x")
				}}, NewSockets(0))
				server := instance.serve()
				client := server.dial()
				send(client, c.first)
				time.Sleep(700 * time.Millisecond)
				go send(client, c.rest) // ends when the connection is closed
				if _, _, err := readAnswer(client.in); err != nil {
					t.Errorf("client: reading the response: %v", err)
				}
				if got := <-deadlines; got != "1300m" {
					t.Errorf("Req-Deadline at the backend = %s, want 1300m: 700 of 2000 ms had passed", got)
				}
				client.Close()
				server.close()
				instance.close()
			})
		})
	}
}

// On a connection that was served before, a request head may take as long as a body. On a new connection it must arrive
// within newConnHeadTimeout, because the protocol requires that bad clients are disconnected soon.
func TestSlowHead(t *testing.T) {
	respondToAll := func(conn net.Conn) {
		backend := &peerConn{conn, bufio.NewReader(conn)}
		for _, _, err := backend.readRequest(); err == nil; _, _, err = backend.readRequest() {
			backend.respond("body")
		}
	}
	// slowHead sends a head whose second half arrives after 3 s, and returns the response and the time that it took.
	slowHead := func(client *peerConn) (answer clientAnswer, took time.Duration, err error) {
		text := strings.Replace(requestWithID("r2"), "2000m", "5000m", 1)
		send(client, text[:30])
		from := time.Now()
		go func() { // ends when the connection is closed
			time.Sleep(3 * time.Second)
			send(client, text[30:])
		}()
		answer, _, err = readAnswer(client.in)
		return answer, time.Since(from), err
	}
	t.Run("served before", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			instance := newTestInstance(network{"app:1": respondToAll}, NewSockets(0))
			server := instance.serve()
			client := server.dial()
			send(client, validRequest)
			client.readResponse(t)
			if answer, took, err := slowHead(client); err != nil || answer.StatusCode != 200 {
				t.Errorf("response %v, error %v after %v; want status 200", answer, err, took)
			}
			client.Close()
			server.close()
			instance.close()
		})
	})
	t.Run("new", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			instance := newTestInstance(network{"app:1": respondToAll}, NewSockets(0))
			server := instance.serve()
			client := server.dial()
			answer, took, err := slowHead(client)
			if took > newConnHeadTimeout || err == nil && answer.StatusCode < 400 {
				t.Errorf("response %v, error %v after %v; want an error status or a close within %v", answer, err, took, newConnHeadTimeout)
			}
			client.Close()
			server.close()
			instance.close()
		})
	})
}

// On a reused connection, a request's timeout starts with its own first byte. Between two requests the connection is
// idle.
func TestClientConnReuse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		deadlines := make(chan string, 2)
		instance := newTestInstance(network{"app:1": func(conn net.Conn) {
			backend := &peerConn{conn, bufio.NewReader(conn)}
			for _, deadline, err := backend.readRequest(); err == nil; _, deadline, err = backend.readRequest() {
				deadlines <- deadline
				backend.respond("x")
			}
		}}, NewSockets(0))
		server := instance.serve()
		client := server.dial()
		for k, text := range []string{
			"POST /pay/k HTTP/1.1\r\nHost: h\r\nReq-Id: r1\r\nReq-Deadline: 2000m\r\nContent-Length: 4\r\n\r\nbody",
			requestWithID("r2"),
			requestWithID("r3"),
		} {
			send(client, text)
			if status, _ := client.readResponse(t); status != 200 {
				t.Errorf("request %d: status = %d, want 200", k, status)
			}
			if got := <-deadlines; got != "2000m" {
				t.Errorf("request %d: Req-Deadline at the backend = %s, want 2000m", k, got)
			}
			time.Sleep(500 * time.Millisecond)
			if idle := instance.front.sockets.Usage().IdleClients; idle != 1 {
				t.Errorf("after request %d: idle client connections = %d, want 1", k, idle)
			}
		}
		client.Close()
		server.close()
		instance.close()
	})
}
