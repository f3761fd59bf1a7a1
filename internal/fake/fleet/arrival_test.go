package fleet

import (
	"bufio"
	"io"
	"net/http"
	"runtime"
	"testing"
	"time"

	"onyxgate/internal/fake/loopback"
)

// An attempt counts from the moment at which its bytes arrive, not from that at which a busy backend gets to read them.
// Otherwise an attempt that was sent in time would count as sent for a client that had left.
func TestLastArrival(t *testing.T) {
	listener, err := loopback.Listen()
	if err != nil {
		t.Fatal(err)
	}
	const delay = 60 * time.Millisecond
	// The kernel reports milliseconds, and counts in ticks of up to 10 ms.
	const tolerance = 20 * time.Millisecond
	arrived, handled := make(chan time.Time, 1), make(chan time.Time, 1)
	server := &http.Server{ConnContext: withConn, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		for lastArrival(r).Add(delay).After(time.Now()) { // stands for a goroutine that runs late
			runtime.Gosched()
		}
		arrived <- lastArrival(r)
		handled <- time.Now()
	})}
	go func() { _ = server.Serve(listener) }() // returns once the server is closed
	defer server.Close()
	conn, err := loopback.Dial(listener.Addr().String(), time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	sent := time.Now()
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: b\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	written := time.Now()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	at := <-arrived
	if at.Before(sent.Add(-tolerance)) || at.After(written.Add(tolerance)) {
		t.Errorf("last bytes arrived %v after they were sent, want between 0 and %v, within %v", at.Sub(sent), written.Sub(sent), tolerance)
	}
	if late := (<-handled).Sub(at); late < delay-tolerance {
		t.Errorf("not put to the test: handled %v after the arrival, want at least %v", late, delay)
	}
}
