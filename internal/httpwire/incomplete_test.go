package httpwire

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// halfRequest returns a request whose body never arrives completely.
func halfRequest(id string) string {
	return requestText("POST /pay/x", "Req-Id: "+id, "Req-Deadline: 3000m", "Content-Length: 212") + "only a part"
}

// Clients that stop in the middle of a request and stay must not keep others waiting in the backlog until their requests
// are lost: while no socket is left, the oldest incomplete requests are rejected.
func TestIncompleteRequestsDoNotBlockOthers(t *testing.T) {
	for _, c := range []stalledClientsTest{
		{"body", false, halfRequest},
		{"body on a connection that was served before", true, halfRequest},
		{"head on a connection that was served before", true, func(id string) string { return requestWithID(id)[:30] }},
	} {
		t.Run(c.name, func(t *testing.T) { synctest.Test(t, c.run) })
	}
}

// stalledClientsTest describes clients that hold all sockets for clients with incomplete requests.
type stalledClientsTest struct {
	name         string
	servedBefore bool // a request was served on the connection before the incomplete one
	half         func(id string) string
}

func (c stalledClientsTest) run(t *testing.T) {
	instance := newTestInstance(network{"app:1": answerOnce("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")},
		NewSockets(reservedSockets+10))
	server := instance.serve()
	rejected := make(chan clientAnswer, instance.front.sockets.ClientLimit())
	for _, client := range c.connect(t, server, instance.front.sockets.ClientLimit()) {
		defer client.Close()
		go func() { // ends when the front answers or closes the connection
			if answer, _, err := readAnswer(client.in); err == nil {
				rejected <- answer
			}
		}()
	}
	from := time.Now()
	client := server.dial()
	defer client.Close()
	go send(client, requestWithID("whole")) // ends when it is read
	if status, _ := client.readResponse(t); status != 200 {
		t.Errorf("status of a whole request = %d, want 200", status)
	}
	if waited := time.Since(from); waited > 2*incompleteGrace {
		t.Errorf("a whole request was answered after %v, want at most %v", waited, 2*incompleteGrace)
	}
	if answer := <-rejected; answer.StatusCode != 503 || !answer.Close {
		t.Errorf("incomplete request: status = %d, close = %v; want 503 and true", answer.StatusCode, answer.Close)
	}
	if n := len(rejected); n > 1 {
		t.Errorf("incomplete requests rejected for one new connection = %d, want at most 2", n+1)
	}
	server.close()
	instance.close()
}

// connect opens connections and sends an incomplete request on each.
func (c stalledClientsTest) connect(t *testing.T, server *frontServer, count int) []*peerConn {
	clients := make([]*peerConn, count)
	for i := range clients {
		clients[i] = server.dial()
		if c.servedBefore {
			send(clients[i], requestWithID(fmt.Sprintf("first%d", i)))
			clients[i].readResponse(t)
		}
	}
	for i, client := range clients {
		send(client, c.half(fmt.Sprintf("half%d", i)))
	}
	return clients
}

// A request whose last bytes cross its rejection is not lost: if they have arrived at the socket it is read on, and if they
// arrive later the client has been answered.
func TestRejectionCrossesRequest(t *testing.T) {
	const first, rest = "GET /look/k HT", "TP/1.1\r\n"
	// receiving returns a connection on which the first part of a request has been read, and its client.
	receiving := func(t *testing.T, s *Sockets) (*trackedConn, net.Conn) {
		client, socket := connectedPair(t)
		conn := s.track(socket, true)
		t.Cleanup(func() { conn.Close() })
		s.ConnIdle(conn, true)
		send(client, first)
		if n, err := conn.Read(make([]byte, 99)); n != len(first) || err != nil {
			t.Fatalf("Read = %d, %v; want %d bytes", n, err, len(first))
		}
		return conn, client
	}
	t.Run("rest arrives first", func(t *testing.T) {
		s := NewSockets(0)
		conn, client := receiving(t, s)
		send(client, rest)
		waitUntil(func() bool { return !hasNoUnreadData(conn) })
		if s.rejectIncomplete(0) {
			t.Error("the request was rejected, want it kept: more of it has arrived")
		}
		if n, err := conn.Read(make([]byte, 99)); n != len(rest) || err != nil {
			t.Errorf("Read = %d, %v; want %d bytes", n, err, len(rest))
		}
	})
	t.Run("rejected first", func(t *testing.T) {
		s := NewSockets(0)
		conn, client := receiving(t, s)
		if !s.rejectIncomplete(0) {
			t.Error("the request was not rejected")
		}
		send(client, rest)
		if n, err := conn.Read(make([]byte, 99)); n != 0 || err == nil {
			t.Errorf("Read = %d, %v; want an error", n, err)
		}
		if answer, _, err := readAnswer(bufio.NewReader(client)); err != nil || answer.StatusCode != 503 || !answer.Close {
			t.Errorf("answer to the rejected request = %v, %v; want status 503 and a close", answer, err)
		}
	})
}

// A request that has been read completely is not rejected to make room, whoever asks, and rejecting a connection twice has no
// further effect.
func TestCompleteRequestIsNotRejected(t *testing.T) {
	client, socket := connectedPair(t)
	s := NewSockets(0)
	conn := s.track(socket, true)
	s.ConnIdle(conn, true)
	head, body := requestText("POST /pay/x", "Req-Id: r", "Content-Length: 4"), "body"
	read := func(n int) {
		t.Helper()
		if _, err := io.ReadFull(conn, make([]byte, n)); err != nil {
			t.Fatal(err)
		}
	}
	rejected := func() bool { return s.rejectIncomplete(0) || conn.rejectIncomplete() }
	send(client, head+body)
	read(len(head))
	s.HeadRead(conn)
	s.ExpectBody(conn, int64(len(body)))
	read(len(body))
	if rejected() {
		t.Error("rejected before the server knew that the request was complete")
	}
	s.RequestRead(conn)
	if rejected() || s.Rejected(conn) {
		t.Error("a complete request was rejected")
	}
	send(client, head[:9])
	read(9)
	for range 2 {
		if !conn.rejectIncomplete() || !s.Rejected(conn) {
			t.Error("an incomplete request was not rejected")
		}
		s.mu.Lock()
		conn.reject()
		s.mu.Unlock()
	}
	if n := s.Usage().IncompleteRejected; n != 1 {
		t.Errorf("requests rejected = %d, want 1", n)
	}
}

// A connection on which half of its first head has arrived is not closed as idle, neither to make room nor at shutdown: the
// close could cross the rest of the request, which would be lost.
func TestHalfHeadOnNewConnection(t *testing.T) {
	half := strings.Index(validRequest, "Req-Id") // bytes of the first lines
	t.Run("room is needed", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			instance := newTestInstance(network{"app:1": answerOnce("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")},
				NewSockets(reservedSockets+10))
			server := instance.serve()
			client := server.dial()
			defer client.Close()
			send(client, validRequest[:half])
			for range instance.front.sockets.ClientLimit() + 1 { // the last one needs the socket of another
				silent := server.dial()
				defer silent.Close()
			}
			time.Sleep(newConnGrace)
			go send(client, validRequest[half:]) // ends when it is read
			if answer, _, err := readAnswer(client.in); err != nil || answer.StatusCode != 200 {
				t.Errorf("answer = %v, %v; want status 200", answer, err)
			}
			server.close()
			instance.close()
		})
	})
	t.Run("only half heads", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			instance := newTestInstance(network{}, NewSockets(reservedSockets+10))
			server := instance.serve()
			client := server.dial()
			send(client, validRequest[:half])
			for range instance.front.sockets.ClientLimit() {
				other := server.dial()
				defer other.Close()
				go send(other, validRequest[:half]) // ends when it is read
			}
			if answer, _, err := readAnswer(client.in); err != nil || answer.StatusCode != 503 || !answer.Close {
				t.Errorf("answer = %v, %v; want status 503 and a close", answer, err)
			}
			server.close()
			instance.close()
		})
	})
	t.Run("shutdown", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			instance := newTestInstance(network{}, NewSockets(0))
			server := instance.serve()
			silent := server.dial() // keeps the front from ending at once
			defer silent.Close()
			ended := make(chan bool)
			go func() { // ends with Shutdown
				instance.front.Shutdown(t.Context(), make(pipeListener))
				close(ended)
			}()
			time.Sleep(instance.front.killDelay - newConnHeadTimeout + answerBeforeKill)
			client := server.dial()
			send(client, validRequest[:half])
			if answer, _, err := readAnswer(client.in); err != nil || answer.StatusCode != 503 || !answer.Close {
				t.Errorf("answer = %v, %v; want status 503 and a close", answer, err)
			}
			<-ended
			server.close()
			instance.close()
		})
	})
}

// A head that does not arrive in time is answered before its connection is closed: the close could cross the rest of the
// request, which would be lost.
func TestLateHeadIsAnswered(t *testing.T) {
	for _, c := range []struct {
		name   string
		before string // request served on the connection before
		after  time.Duration
	}{
		{"new connection", "", newConnHeadTimeout},
		{"served before", requestWithID("first"), readTimeout},
	} {
		for _, cut := range []int{strings.Index(validRequest, "Req-Id"), strings.Index(validRequest, "-Id")} {
			t.Run(fmt.Sprintf("%s, %d bytes", c.name, cut), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					instance := newTestInstance(network{"app:1": answerOnce("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")},
						NewSockets(0))
					server := instance.serve()
					client := server.dial()
					if c.before != "" {
						send(client, c.before)
						client.readResponse(t)
					}
					from := time.Now()
					send(client, validRequest[:cut])
					answer, _, err := readAnswer(client.in)
					if took := time.Since(from); err != nil || answer.StatusCode != http.StatusRequestTimeout || !answer.Close || took > c.after {
						t.Errorf("answer = %v, %v after %v; want status 408 and a close within %v", answer, err, took, c.after)
					}
					if rest, err := io.ReadAll(client.in); len(rest) > 0 || err != nil {
						t.Errorf("after the answer: %q, %v; want the end of the connection", rest, err)
					}
					server.close()
					instance.close()
				})
			})
		}
	}
}
