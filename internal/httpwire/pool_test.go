package httpwire

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// A connection is reused while it is open, but not after half of the backend's idle timeout, nor if more data than one
// complete response arrived on it.
func TestBackendConnReuse(t *testing.T) {
	ok := "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	closing := "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	for _, c := range []struct {
		name         string
		pause        time.Duration // between the two requests
		answer       string
		opened, idle int // after both requests
	}{
		{"reused", time.Second, ok, 1, 1},
		{"idle too long", 16 * time.Second, ok, 2, 1},
		{"Connection: close", 0, closing, 2, 0},
		{"data after the response", 0, ok + "HTTP", 2, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				instance := newTestInstance(network{"app:1": answerEach(c.answer)}, NewSockets(0))
				instance.roundTrip(t, validRequest)
				time.Sleep(c.pause)
				instance.roundTrip(t, requestWithID("r2"))
				opened, idle, _ := instance.upstream.Connections()
				if opened != c.opened || idle != c.idle {
					t.Errorf("connections: opened %d, idle %d; want %d and %d", opened, idle, c.opened, c.idle)
				}
				instance.close()
				if all := instance.front.sockets.Usage().Open; all != 0 {
					t.Errorf("sockets in use after closing = %d, want 0", all)
				}
			})
		})
	}
}

// answerEach serves one connection: it sends the same response to each request until the other side closes.
func answerEach(answer string) func(net.Conn) {
	return func(conn net.Conn) {
		in := bufio.NewReader(conn)
		for {
			if _, err := http.ReadRequest(in); err != nil {
				return
			}
			if _, err := io.WriteString(conn, answer); err != nil {
				return
			}
		}
	}
}
