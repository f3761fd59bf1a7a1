package assembly

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	"onyxgate/internal/config"
)

// Helpers that run complete instances in the test process, over loopback.

// testEnv is a fake platform, discovery service and backend in one HTTP server.
type testEnv struct {
	net.Listener
	mu              sync.Mutex
	backendRequests []string    // "PATH REQ-DEADLINE" of each request that the backend received
	watches         chan string // the "after" parameter of each discovery stream opened
	updates         chan string // lines to send on the discovery stream
	closed          chan bool   // closed at the end of the test; ends all streams
}

func newTestEnv(t *testing.T) *testEnv {
	t.Helper()
	e := &testEnv{Listener: listenLoopback(t), watches: make(chan string, 9), updates: make(chan string, 9), closed: make(chan bool)}
	server := &http.Server{Handler: e}
	go func() { _ = server.Serve(e.Listener) }() // returns when the cleanup closes the server
	t.Cleanup(func() { close(e.closed); server.Close() })
	return e
}

// listenLoopback opens a listener on a port that the kernel chooses.
func listenLoopback(t *testing.T) net.Listener {
	t.Helper()
	var config net.ListenConfig
	l, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func (e *testEnv) address() string { return e.Addr().String() }

func (e *testEnv) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/discovery/hosts":
		e.serveDiscovery(rw, r)
	case "/notices":
		e.servePlatform(rw, r)
	default:
		e.serveBackend(rw, r)
	}
}

// serveDiscovery streams the test's updates until the environment is closed or the client disconnects.
func (e *testEnv) serveDiscovery(rw http.ResponseWriter, r *http.Request) {
	e.watches <- r.URL.Query().Get("after")
	rw.(http.Flusher).Flush()
	for {
		select {
		case text := <-e.updates:
			_, _ = io.WriteString(rw, text+"\n") // a disconnected client is detected by its context below
			rw.(http.Flusher).Flush()
		case <-e.closed:
			return
		case <-r.Context().Done():
			return
		}
	}
}

// servePlatform keeps a release stream open without sending updates.
func (e *testEnv) servePlatform(rw http.ResponseWriter, r *http.Request) {
	rw.(http.Flusher).Flush()
	select {
	case <-e.closed:
	case <-r.Context().Done():
	}
}

// serveBackend answers a request and records its path and Req-Deadline header.
func (e *testEnv) serveBackend(rw http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // a read error means that the client has disconnected
	e.mu.Lock()
	e.backendRequests = append(e.backendRequests, r.URL.Path+" "+r.Header.Get("Req-Deadline"))
	e.mu.Unlock()
	_, _ = io.WriteString(rw, "made for "+r.Header.Get("Req-Id"))
}

// receivedRequests returns the requests that the backend has received so far.
func (e *testEnv) receivedRequests() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.backendRequests...)
}

// endpointList returns a full endpoint list with one running backend at this environment's address.
func (e *testEnv) endpointList(version int) string {
	return fmt.Sprintf(`{"version":%d,"full":true,"servers":[{"id":"s%s","addr":%q,"state":"Ready","weight":1,"version_no":1}]}`,
		version, e.address(), e.address())
}

// configJSON returns an instance's configuration. The discovery address also serves as the platform's.
func configJSON(discovery string, known, grades, limits string) string {
	return fmt.Sprintf(`{"name":"n","listen":"127.0.0.1:0","discovery":%q,"seed":"7","pipeline":{"address":%q,"news":{"release":1,
		"tranche":1,"mode":"stable","exposure":1,"old_ms":0}},"known":%s,"settings":{"balancers":1,"grades":[%s],
		"limits":{%s,"connect-timeout-us":900000,"idle-close-us":30000000},"discovery":"push","family-info":{
		"call-timeout-us":800000,"decided-by":"single","rings":[0.5,1],"most-shares":[0.5,1],"spare-tries":2,"ballot-ttl-us":9000000}}}`,
		discovery, discovery, known, grades, limits)
}

const (
	safeClass     = `{"name":"glance","effect":"repeatable","aim-us":300000,"deadline-us":900000,"worth":1}`
	unsafeClasses = `{"name":"audit","effect":"once","aim-us":9000000,"deadline-us":20000000,"worth":5},
		{"name":"merge","effect":"by_key","key-scope":"all","key-ttl-us":60000000,"aim-us":8000000,"deadline-us":19000000,"worth":9}`
	singleAttempt, fourAttempts = `"max-attempts":1,"cancel":true`, `"max-attempts":4,"cancel":false`
)

// testInstance is a running instance.
type testInstance struct {
	*Server
	file      string
	signals   chan os.Signal
	runResult chan error
}

// start starts an instance with the given configuration text.
func start(t *testing.T, text string) *testInstance {
	t.Helper()
	file := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	settings, err := config.Read("")
	if err != nil {
		t.Fatal(err)
	}
	s, err := New(Options{ConfigPath: file, ReportInterval: time.Hour, Settings: settings})
	if err != nil {
		t.Fatal(err)
	}
	r := &testInstance{s, file, make(chan os.Signal, 4), make(chan error, 1)}
	go func() { r.runResult <- r.Run(r.signals) }()
	return r
}

// stop ends the instance with two SIGTERMs, the second of which aborts the graceful shutdown.
func (r *testInstance) stop(t *testing.T) {
	t.Helper()
	r.signals <- syscall.SIGTERM
	r.signals <- syscall.SIGTERM
	if err := <-r.runResult; err != nil && !errors.Is(err, errSecondSignal) { // nil if the shutdown was complete before the second signal
		t.Errorf("Run returned %v, want nil or %v", err, errSecondSignal)
	}
}

// client is a client connection to the instance.
type client struct {
	net.Conn
	reader *bufio.Reader
}

func (r *testInstance) connect(t *testing.T) client {
	t.Helper()
	conn, err := dial(t.Context(), r.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return client{conn, bufio.NewReader(conn)}
}

// send writes a request. A write error is not reported here: reading the response fails then.
func (c client) send(method, path, id string) {
	key := ""
	if method == http.MethodPost {
		key = "Idempotency-Key: k" + id + "\r\nContent-Length: 0\r\n"
	}
	_, _ = fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: h\r\nReq-Id: %s\r\nReq-Deadline: 5000m\r\n%s\r\n", method, path, id, key)
}

// readResponse reads one response and returns its status and body.
func (c client) readResponse(t *testing.T) (int, string) {
	t.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		t.Errorf("reading the response: %v", err)
		return 0, ""
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body) // a truncated body differs from the one that the test expects
	return response.StatusCode, string(body)
}

func waitUntil(condition func() bool) {
	for !condition() {
		runtime.Gosched()
	}
}
