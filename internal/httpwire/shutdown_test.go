package httpwire

import (
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

const healthCheck = "GET /up HTTP/1.1\r\nHost: h\r\n\r\n"

// Shutdown: /up refuses at once, what comes is served on connections that stay until the kill is near, nothing stays open
// beyond that, and it ends once nothing has come for a while; at once where nobody is connected.
func TestShutdown(t *testing.T) {
	t.Run("clients are connected", func(t *testing.T) { synctest.Test(t, testShutdownWithClients) })
	t.Run("a request stays open", func(t *testing.T) { synctest.Test(t, testShutdownWithOpenRequest) })
	t.Run("nobody is connected", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			a := newTestInstance(network{}, NewSockets(0))
			from := time.Now()
			a.front.Shutdown(t.Context(), make(pipeListener))
			if took := time.Since(from); took < acceptWindow || took > acceptWindow+50*time.Millisecond {
				t.Errorf("ended after %v", took)
			}
			a.close()
		})
	})
}

func testShutdownWithClients(t *testing.T) {
	var silent atomic.Bool
	a := newTestInstance(network{"app:1": func(conn net.Conn) {
		answer := "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
		if silent.Load() {
			answer = ""
		}
		answerAndHold(answer)(conn)
	}}, NewSockets(0))
	a.front.SetReady()
	if answer, _ := a.roundTrip(t, healthCheck); answer.StatusCode != 200 {
		t.Errorf("/up %d", answer.StatusCode)
	}
	client, conn := net.Pipe()
	defer client.Close()
	idle := a.front.sockets.track(conn, true)
	a.front.sockets.ConnIdle(idle, false)

	from, ended := time.Now(), make(chan time.Duration, 1)
	go func() { // ends with the shutdown
		a.front.Shutdown(t.Context(), make(pipeListener))
		ended <- time.Since(from)
	}()
	for _, c := range []struct {
		at         time.Duration
		closesConn bool
	}{
		{300 * time.Millisecond, false},
		{1500 * time.Millisecond, false},
		{2300 * time.Millisecond, true},
	} {
		time.Sleep(c.at - time.Since(from))
		if answer, _ := a.roundTrip(t, healthCheck); answer.StatusCode != 503 {
			t.Errorf("at %v: /up %d", c.at, answer.StatusCode)
		}
		answer, _ := a.roundTrip(t, requestWithID(c.at.String()))
		if answer.StatusCode != 200 || answer.Close != c.closesConn {
			t.Errorf("at %v: %d, close %v", c.at, answer.StatusCode, answer.Close)
		}
	}
	if !idle.closed {
		t.Error("an idle connection is open although the kill is near")
	}

	silent.Store(true)
	answer, _ := a.roundTrip(t, strings.Replace(validRequest, "2000m", "9000m", 1))
	if took := time.Since(from); answer.StatusCode != 503 || took > 3400*time.Millisecond {
		t.Errorf("a request that finds no answer got %d after %v", answer.StatusCode, took)
	}
	if took := <-ended; took < 2200*time.Millisecond || took > 3700*time.Millisecond {
		t.Errorf("ended after %v", took)
	}
	a.close()
}

func testShutdownWithOpenRequest(t *testing.T) {
	var backendConns atomic.Int64
	a := newTestInstance(network{"app:1": func(conn net.Conn) {
		if backendConns.Add(1) == 1 {
			holdSilent(conn)
			return
		}
		answerOnce("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")(conn)
	}}, NewSockets(0))
	opened := make(chan clientAnswer, 1)
	go func() { // ends with the request
		answer, _ := a.roundTrip(t, strings.Replace(validRequest, "2000m", "9000m", 1))
		opened <- answer
	}()
	synctest.Wait()
	from, ended := time.Now(), make(chan time.Duration, 1)
	go func() { // ends with the shutdown
		a.front.Shutdown(t.Context(), make(pipeListener))
		ended <- time.Since(from)
	}()
	time.Sleep(2300 * time.Millisecond)
	if answer, _ := a.roundTrip(t, requestWithID("r2")); answer.StatusCode != 200 || !answer.Close {
		t.Errorf("near the kill: %d, close %v", answer.StatusCode, answer.Close)
	}
	if answer := <-opened; answer.StatusCode != 503 || time.Since(from) > 3400*time.Millisecond {
		t.Errorf("the open request got %d after %v", answer.StatusCode, time.Since(from))
	}
	if took := <-ended; took > 3700*time.Millisecond {
		t.Errorf("ended after %v", took)
	}
	a.close()
}
