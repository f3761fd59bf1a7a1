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

// Whole instances in one process, over loopback.

// testEnv is a platform, a discovery and a backend in one server.
type testEnv struct {
	net.Listener
	mu      sync.Mutex
	backendRequests     []string    // paths that the backend ran, with the time that it was given
	watches chan string // after which version a stream asked
	updates chan string // what the stream gets
	closed    chan bool   // ends everything
}

func newTestEnv(t *testing.T) *testEnv {
	t.Helper()
	w := &testEnv{Listener: listenLoopback(t), watches: make(chan string, 9), updates: make(chan string, 9), closed: make(chan bool)}
	server := &http.Server{Handler: w}
	go func() { _ = server.Serve(w.Listener) }() // ends with the cleanup
	t.Cleanup(func() { close(w.closed); server.Close() })
	return w
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

func (w *testEnv) address() string { return w.Addr().String() }

func (w *testEnv) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/discovery/hosts":
		w.serveDiscovery(rw, r)
	case "/notices":
		w.servePlatform(rw, r)
	default:
		w.serveBackend(rw, r)
	}
}

// serveDiscovery sends a stream the test's updates, until the world or the stream ends.
func (w *testEnv) serveDiscovery(rw http.ResponseWriter, r *http.Request) {
	w.watches <- r.URL.Query().Get("after")
	rw.(http.Flusher).Flush()
	for {
		select {
		case text := <-w.updates:
			_, _ = io.WriteString(rw, text+"\n") // a stream that has ended is seen below
			rw.(http.Flusher).Flush()
		case <-w.closed:
			return
		case <-r.Context().Done():
			return
		}
	}
}

// servePlatform keeps a stream open without an update.
func (w *testEnv) servePlatform(rw http.ResponseWriter, r *http.Request) {
	rw.(http.Flusher).Flush()
	select {
	case <-w.closed:
	case <-r.Context().Done():
	}
}

// serveBackend runs a request and keeps its path with the time that it was given.
func (w *testEnv) serveBackend(rw http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // a client that left gets no answer either
	w.mu.Lock()
	w.backendRequests = append(w.backendRequests, r.URL.Path+" "+r.Header.Get("Req-Deadline"))
	w.mu.Unlock()
	_, _ = io.WriteString(rw, "made for "+r.Header.Get("Req-Id"))
}

// requestsRun are the paths that the backend ran so far.
func (w *testEnv) requestsRun() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.backendRequests...)
}

// endpointList names a running backend at this world's address.
func (w *testEnv) endpointList(version int) string {
	return fmt.Sprintf(`{"version":%d,"full":true,"servers":[{"id":"s%s","addr":%q,"state":"Ready","weight":1,"version_no":1}]}`,
		version, w.address(), w.address())
}

// configJSON is an instance's with its list, by its own discovery and platform.
func configJSON(discovery string, known, grades, limits string) string {
	return fmt.Sprintf(`{"name":"n","listen":"127.0.0.1:0","discovery":%q,"seed":"7","pipeline":{"address":%q,"news":{"release":1,
		"tranche":1,"mode":"stable","exposure":1,"old_ms":0}},"known":%s,"settings":{"balancers":1,"grades":[%s],
		"limits":{%s,"connect-timeout-us":900000,"idle-close-us":30000000},"discovery":"push","family-info":{
		"call-timeout-us":800000,"decided-by":"single","rings":[0.5,1],"most-shares":[0.5,1],"spare-tries":2,"ballot-ttl-us":9000000}}}`,
		discovery, discovery, known, grades, limits)
}

const (
	safeClass = `{"name":"glance","effect":"repeatable","aim-us":300000,"deadline-us":900000,"worth":1}`
	unsafeClasses  = `{"name":"audit","effect":"once","aim-us":9000000,"deadline-us":20000000,"worth":5},
		{"name":"merge","effect":"by_key","key-scope":"all","key-ttl-us":60000000,"aim-us":8000000,"deadline-us":19000000,"worth":9}`
	singleAttempt, fourAttempts = `"max-attempts":1,"cancel":true`, `"max-attempts":4,"cancel":false`
)

// testInstance is an instance under way.
type testInstance struct {
	*Server
	file    string
	signals chan os.Signal
	runResult     chan error
}

// start starts an instance with this configuration.
func start(t *testing.T, text string) *testInstance {
	t.Helper()
	file := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	tables, err := config.Read("")
	if err != nil {
		t.Fatal(err)
	}
	s, err := New(Options{ConfigPath: file, ReportInterval: time.Hour, Settings: tables})
	if err != nil {
		t.Fatal(err)
	}
	r := &testInstance{s, file, make(chan os.Signal, 4), make(chan error, 1)}
	go func() { r.runResult <- r.Run(r.signals) }()
	return r
}

// stop ends an instance by two signals, the second at once.
func (r *testInstance) stop(t *testing.T) {
	t.Helper()
	r.signals <- syscall.SIGTERM
	r.signals <- syscall.SIGTERM
	if err := <-r.runResult; err != nil && !errors.Is(err, errSecondSignal) { // none where all was answered in between
		t.Errorf("ended with %v", err)
	}
}

// client is a connection of a client.
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

// send sends a request; what goes wrong is seen where its answer is read.
func (c client) send(method, path, id string) {
	key := ""
	if method == http.MethodPost {
		key = "Idempotency-Key: k" + id + "\r\nContent-Length: 0\r\n"
	}
	_, _ = fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: h\r\nReq-Id: %s\r\nReq-Deadline: 5000m\r\n%s\r\n", method, path, id, key)
}

// readResponse reads one readResponse: its status and body.
func (c client) readResponse(t *testing.T) (int, string) {
	t.Helper()
	r, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		t.Error(err)
		return 0, ""
	}
	defer r.Body.Close()
	b, _ := io.ReadAll(r.Body) // a body cut short is not the one that is wanted
	return r.StatusCode, string(b)
}

func waitUntil(holds func() bool) {
	for !holds() {
		runtime.Gosched()
	}
}
