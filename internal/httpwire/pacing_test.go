package httpwire

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

const healthRequest = "GET /up HTTP/1.1\r\nHost: h\r\n\r\n"

// A client that sends requests without waiting for answers must not keep the processor to itself: a pause comes before each
// request that was there already. One that waits is not slowed down.
func TestRequestsWithoutWaitingArePaced(t *testing.T) {
	const requests = 100
	play := func(exchange func(client *peerConn)) (took time.Duration, paused int64) {
		instance := newTestInstance(network{}, NewSockets(0))
		instance.front.SetReady()
		server := instance.serve()
		client := server.dial()
		from := time.Now()
		exchange(client)
		took, paused = time.Since(from), instance.front.PausedRequests()
		client.Close()
		server.close()
		instance.close()
		return took, paused
	}
	read := func(t *testing.T, client *peerConn) {
		if status, _ := client.readResponse(t); status != 200 {
			t.Errorf("status = %d, want 200", status)
		}
	}
	t.Run("all at once", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			took, paused := play(func(client *peerConn) {
				go send(client, strings.Repeat(healthRequest, requests)) // ends when it is read
				for range requests {
					read(t, client)
				}
			})
			if want := (requests - 1) * firstPause; took < want || paused != requests-1 {
				t.Errorf("%d requests took %v with %d pauses, want at least %v and %d", requests, took, paused, want, requests-1)
			}
		})
	})
	t.Run("one at a time", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			took, paused := play(func(client *peerConn) {
				for range requests {
					send(client, healthRequest)
					read(t, client)
				}
			})
			if took != 0 || paused != 0 {
				t.Errorf("%d requests took %v with %d pauses, want no pause", requests, took, paused)
			}
		})
	})
}

func TestPauseBefore(t *testing.T) {
	for _, c := range []struct {
		backToBack int
		pause      time.Duration
	}{
		{0, 0},
		{1, firstPause},
		{pauseDoubling - 1, firstPause},
		{pauseDoubling, 2 * firstPause},
		{3 * pauseDoubling, 8 * firstPause},
		{1 << 40, maxPause},
	} {
		if pause := pauseBefore(c.backToBack); pause != c.pause {
			t.Errorf("pauseBefore(%d) = %v, want %v", c.backToBack, pause, c.pause)
		}
	}
}

// holdOpenRequests serves one connection: it answers its request unless the id begins with "open".
func holdOpenRequests(conn net.Conn) {
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil || strings.HasPrefix(request.Header.Get("Req-Id"), "open") {
		drain(conn) // until the attempt is given up
		return
	}
	send(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
}

// While many requests are open, those of clients that do not wait for their answers are rejected, and clients that wait are
// served.
func TestCrowdedRejectsThoseThatDoNotWait(t *testing.T) {
	for _, c := range []struct {
		name       string
		open       int
		wantSecond int // status of a request that has not waited
	}{
		{"few open", 1, 200},
		{"many open", 3, 503},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				instance := newTestInstance(network{"app:1": holdOpenRequests}, NewSockets(reservedSockets+10)) // 8 client connections
				server := instance.serve()
				for i := range c.open {
					client := server.dial()
					defer client.Close()
					send(client, requestWithID(fmt.Sprint("open", i)))
				}
				synctest.Wait()
				client := server.dial()
				defer client.Close()
				go send(client, requestWithID("first")+requestWithID("second")) // ends when it is read
				for _, want := range []int{200, c.wantSecond} {
					if status, _ := client.readResponse(t); status != want {
						t.Errorf("status = %d, want %d", status, want)
					}
				}
				send(client, requestWithID("third"))
				if status, _ := client.readResponse(t); status != 200 {
					t.Errorf("status of a request that has waited = %d, want 200", status)
				}
				server.close()
				instance.close()
			})
		})
	}
}

// A client that waits for its answers is not taken for one that does not, however soon it sends the next request: answers that
// take no time leave the server no moment in which it finds nothing to read.
func TestWaitingIsNotMistaken(t *testing.T) {
	const requests = 3000
	l := newLoopback(t, "unused:1", dialTCP, true)
	l.front.SetReady()
	client := l.dialFront()
	for i := range requests {
		send(client, healthRequest)
		if status, _ := client.readResponse(t); status != 200 {
			t.Fatalf("request %d: status = %d, want 200", i, status)
		}
	}
	if paused := l.front.PausedRequests(); paused != 0 {
		t.Errorf("%d of %d requests were paused, want none", paused, requests)
	}
}

// A request that comes while the one before is handled has not waited for its answer, even though nothing had arrived when the
// handling began.
func TestRequestDuringAnotherHasNotWaited(t *testing.T) {
	backend := newFakeBackend(t)
	l := newLoopback(t, backend.address(), dialTCP, true)
	client := l.dialFront()
	send(client, requestWithID("first"))
	first := <-backend.conns
	if _, _, err := first.readRequest(); err != nil {
		t.Fatal(err)
	}
	send(client, requestWithID("second"))
	first.respond("x")
	first.Close()
	client.readResponse(t)
	second := <-backend.conns
	if _, _, err := second.readRequest(); err != nil {
		t.Fatal(err)
	}
	second.respond("x")
	second.Close()
	client.readResponse(t)
	if paused := l.front.PausedRequests(); paused != 1 {
		t.Errorf("requests paused = %d, want 1", paused)
	}
}
