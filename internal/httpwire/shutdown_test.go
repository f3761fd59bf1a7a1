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

// During a shutdown, /up fails at once. Requests are served on connections that stay open until shortly before the
// kill, and nothing is open afterwards. Shutdown returns when no request has arrived for a while, or after acceptWindow
// if no client is connected.
func TestShutdown(t *testing.T) {
	t.Run("clients connected", func(t *testing.T) { synctest.Test(t, testShutdownWithClients) })
	t.Run("request stays open", func(t *testing.T) { synctest.Test(t, testShutdownWithOpenRequest) })
	t.Run("no client connected", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			instance := newTestInstance(network{}, NewSockets(0))
			from := time.Now()
			instance.front.Shutdown(t.Context(), make(pipeListener))
			if took := time.Since(from); took < acceptWindow || took > acceptWindow+50*time.Millisecond {
				t.Errorf("Shutdown returned after %v, want %v to %v", took, acceptWindow, acceptWindow+50*time.Millisecond)
			}
			instance.close()
		})
	})
}

func testShutdownWithClients(t *testing.T) {
	var silent atomic.Bool
	instance := newTestInstance(network{"app:1": func(conn net.Conn) {
		answer := "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
		if silent.Load() {
			answer = ""
		}
		answerAndHold(answer)(conn)
	}}, NewSockets(0))
	instance.front.SetReady()
	if answer, _ := instance.roundTrip(t, healthCheck); answer.StatusCode != 200 {
		t.Errorf("status of /up = %d, want 200", answer.StatusCode)
	}
	client, conn := net.Pipe()
	defer client.Close()
	idle := instance.front.sockets.track(conn, true)
	instance.front.sockets.ConnIdle(idle, false)

	from, ended := time.Now(), make(chan time.Duration, 1)
	go func() { // ends with Shutdown
		instance.front.Shutdown(t.Context(), make(pipeListener))
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
		if answer, _ := instance.roundTrip(t, healthCheck); answer.StatusCode != 503 {
			t.Errorf("%v after the signal: status of /up = %d, want 503", c.at, answer.StatusCode)
		}
		answer, _ := instance.roundTrip(t, requestWithID(c.at.String()))
		if answer.StatusCode != 200 || answer.Close != c.closesConn {
			t.Errorf("%v after the signal: status = %d, close = %v; want 200 and %v", c.at, answer.StatusCode, answer.Close, c.closesConn)
		}
	}
	if !idle.closed {
		t.Errorf("idle connection is still open %v after the signal, want it closed", time.Since(from))
	}

	silent.Store(true)
	answer, _ := instance.roundTrip(t, strings.Replace(validRequest, "2000m", "9000m", 1))
	if took := time.Since(from); answer.StatusCode != 503 || took > 3400*time.Millisecond {
		t.Errorf("request to a silent backend: status = %d after %v, want 503 within 3.4s of the signal", answer.StatusCode, took)
	}
	if took := <-ended; took < 2200*time.Millisecond || took > 3700*time.Millisecond {
		t.Errorf("Shutdown returned after %v, want 2.2s to 3.7s", took)
	}
	instance.close()
}

func testShutdownWithOpenRequest(t *testing.T) {
	var backendConns atomic.Int64
	instance := newTestInstance(network{"app:1": func(conn net.Conn) {
		if backendConns.Add(1) == 1 {
			holdSilent(conn)
			return
		}
		answerOnce("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")(conn)
	}}, NewSockets(0))
	opened := make(chan clientAnswer, 1)
	go func() { // ends with the request
		answer, _ := instance.roundTrip(t, strings.Replace(validRequest, "2000m", "9000m", 1))
		opened <- answer
	}()
	synctest.Wait()
	from, ended := time.Now(), make(chan time.Duration, 1)
	go func() { // ends with Shutdown
		instance.front.Shutdown(t.Context(), make(pipeListener))
		ended <- time.Since(from)
	}()
	time.Sleep(2300 * time.Millisecond)
	if answer, _ := instance.roundTrip(t, requestWithID("r2")); answer.StatusCode != 200 || !answer.Close {
		t.Errorf("request shortly before the kill: status = %d, close = %v; want 200 and true", answer.StatusCode, answer.Close)
	}
	if answer := <-opened; answer.StatusCode != 503 || time.Since(from) > 3400*time.Millisecond {
		t.Errorf("open request: status = %d after %v, want 503 within 3.4s of the signal", answer.StatusCode, time.Since(from))
	}
	if took := <-ended; took > 3700*time.Millisecond {
		t.Errorf("Shutdown returned after %v, want at most 3.7s", took)
	}
	instance.close()
}
