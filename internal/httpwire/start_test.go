package httpwire

import (
	"bufio"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// While an instance waits for its first endpoint list, requests are read and held: they are handled once it is ready, with
// the time that is left, and rejected unsent if that takes too long for their clients.
func TestRequestsHeldUntilReady(t *testing.T) {
	const readyAfter = time.Second
	for _, c := range []struct {
		name     string
		timeLeft string
		status   int
		after    time.Duration
		told     string // time left that the backend is told; empty: it gets no request
	}{
		{"enough time", "5000m", 200, readyAfter, "4000m"},
		{"little time", "2000m", 503, 900 * time.Millisecond, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				told := make(chan string, 1)
				instance := newTestInstance(network{"app:1": func(conn net.Conn) {
					backend := &peerConn{conn, bufio.NewReader(conn)}
					if _, deadline, err := backend.readRequest(); err == nil {
						told <- deadline
						backend.respond("x")
					}
				}}, NewSockets(0))
				instance.front.HoldRequests()
				server := instance.serve()
				time.AfterFunc(readyAfter, instance.front.SetReady)
				from := time.Now()
				client := server.dial()
				send(client, strings.Replace(validRequest, "2000m", c.timeLeft, 1))
				if status, _ := client.readResponse(t); status != c.status || time.Since(from) != c.after {
					t.Errorf("status = %d after %v, want %d after %v", status, time.Since(from), c.status, c.after)
				}
				got := ""
				if len(told) > 0 {
					got = <-told
				}
				if got != c.told {
					t.Errorf("time left told to the backend = %q, want %q", got, c.told)
				}
				client.Close()
				server.close()
				instance.close()
			})
		})
	}
}

// A client that leaves while its request is held is not served.
func TestClientLeavesWhileHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		instance := newTestInstance(network{}, NewSockets(0))
		instance.front.HoldRequests()
		server := instance.serve()
		client := server.dial()
		send(client, validRequest)
		client.Close()
		synctest.Wait()
		instance.front.SetReady()
		synctest.Wait()
		if n := instance.core.Counts(); n.Accepted != 0 || instance.front.ClientsLeft() != 1 {
			t.Errorf("accepted = %d, clients left = %d; want 0 and 1", n.Accepted, instance.front.ClientsLeft())
		}
		server.close()
		instance.close()
	})
}
