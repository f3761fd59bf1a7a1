package httpwire

import (
	"context"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// Leaving: /up refuses at once, what comes is served on connections that stay until the kill is near, nothing is held
// beyond that, and it ends once nothing has come for a while; at once where nobody is connected.
func TestLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		answer := "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
		a := newTestInstance(network{"app:1": func(c net.Conn) {
			mu.Lock()
			peer := answerAndHold(answer)
			mu.Unlock()
			peer(c)
		}}, NewSockets(0))
		a.front.SetReady()
		if resp, _ := a.roundTrip(t, "GET /up HTTP/1.1\r\nHost: h\r\n\r\n"); resp.StatusCode != 200 {
			t.Errorf("/up %d", resp.StatusCode)
		}
		here, there := net.Pipe()
		kept := a.front.sockets.track(here, true)
		a.front.sockets.ConnIdle(kept, false)
		from, left := time.Now(), make(chan time.Duration, 1)
		go func() {
			a.front.Shutdown(context.Background(), make(pipeListener))
			left <- time.Since(from)
		}()
		for _, c := range []struct {
			at     time.Duration
			close_ bool
		}{{300 * time.Millisecond, false}, {1500 * time.Millisecond, false}, {2300 * time.Millisecond, true}} {
			time.Sleep(c.at - time.Since(from))
			if resp, _ := a.roundTrip(t, "GET /up HTTP/1.1\r\nHost: h\r\n\r\n"); resp.StatusCode != 503 {
				t.Errorf("/up %d while leaving", resp.StatusCode)
			}
			if resp, _ := a.roundTrip(t, strings.Replace(validRequest, "r1", c.at.String(), 1)); resp.StatusCode != 200 || resp.Close != c.close_ {
				t.Errorf("at %v: %d, close %v", c.at, resp.StatusCode, resp.Close)
			}
		}
		if !kept.closed {
			t.Error("an idle connection stands although the kill is near")
		}
		mu.Lock()
		answer = ""
		mu.Unlock()
		resp, _ := a.roundTrip(t, strings.Replace(validRequest, "2000m", "9000m", 1))
		if took := time.Since(from); resp.StatusCode != 503 || took > 3400*time.Millisecond {
			t.Errorf("a request that finds no answer got %d after %v", resp.StatusCode, took)
		}
		if took := <-left; took < 2200*time.Millisecond || took > 3700*time.Millisecond {
			t.Errorf("left after %v", took)
		}
		there.Close()
		a.close()
		b := newTestInstance(network{}, NewSockets(0))
		from = time.Now()
		b.front.Shutdown(context.Background(), make(pipeListener))
		if took := time.Since(from); took > acceptWindow+50*time.Millisecond {
			t.Errorf("left after %v though nobody was connected", took)
		}
		b.close()
	})
}
