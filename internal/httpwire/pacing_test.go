package httpwire

import (
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
