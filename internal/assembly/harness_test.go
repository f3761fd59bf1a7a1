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

// world is a platform, a discovery and a backend in one server.
type world struct {
	net.Listener
	mu      sync.Mutex
	ran     []string    // paths that the backend ran, with the time that it was given
	watched chan string // after which version a stream asked
	updates chan string // what the stream gets
	drop    chan bool   // ends everything
}

func newWorld(t *testing.T) *world {
	t.Helper()
	w := &world{Listener: listenLoopback(t), watched: make(chan string, 9), updates: make(chan string, 9), drop: make(chan bool)}
	server := &http.Server{Handler: w}
	go func() { _ = server.Serve(w.Listener) }() // ends with the cleanup
	t.Cleanup(func() { close(w.drop); server.Close() })
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

func (w *world) address() string { return w.Addr().String() }

func (w *world) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
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
func (w *world) serveDiscovery(rw http.ResponseWriter, r *http.Request) {
	w.watched <- r.URL.Query().Get("after")
	rw.(http.Flusher).Flush()
	for {
		select {
		case text := <-w.updates:
			_, _ = io.WriteString(rw, text+"\n") // a stream that has ended is seen below
			rw.(http.Flusher).Flush()
		case <-w.drop:
			return
		case <-r.Context().Done():
			return
		}
	}
}

// servePlatform keeps a stream open without an update.
func (w *world) servePlatform(rw http.ResponseWriter, r *http.Request) {
	rw.(http.Flusher).Flush()
	select {
	case <-w.drop:
	case <-r.Context().Done():
	}
}

// serveBackend runs a request and keeps its path with the time that it was given.
func (w *world) serveBackend(rw http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // a client that left gets no answer either
	w.mu.Lock()
	w.ran = append(w.ran, r.URL.Path+" "+r.Header.Get("Req-Deadline"))
	w.mu.Unlock()
	_, _ = io.WriteString(rw, "made for "+r.Header.Get("Req-Id"))
}

// runs are the paths that the backend ran so far.
func (w *world) runs() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.ran...)
}

// list names a running backend at this world's address.
func (w *world) list(version int) string {
	return fmt.Sprintf(`{"version":%d,"full":true,"servers":[{"id":"s%s","addr":%q,"state":"Ready","weight":1,"version_no":1}]}`,
		version, w.address(), w.address())
}

// configuration is an instance's with its list, by its own discovery and platform.
func configuration(discovery string, known, grades, limits string) string {
	return fmt.Sprintf(`{"name":"n","listen":"127.0.0.1:0","discovery":%q,"seed":"7","pipeline":{"address":%q,"news":{"release":1,
		"tranche":1,"mode":"stable","exposure":1,"old_ms":0}},"known":%s,"settings":{"balancers":1,"grades":[%s],
		"limits":{%s,"connect-timeout-us":900000,"idle-close-us":30000000},"discovery":"push","family-info":{
		"call-timeout-us":800000,"decided-by":"single","rings":[0.5,1],"most-shares":[0.5,1],"spare-tries":2,"ballot-ttl-us":9000000}}}`,
		discovery, discovery, known, grades, limits)
}

const (
	short = `{"name":"glance","effect":"repeatable","aim-us":300000,"deadline-us":900000,"worth":1}`
	long  = `{"name":"audit","effect":"once","aim-us":9000000,"deadline-us":20000000,"worth":5},
		{"name":"merge","effect":"by_key","key-scope":"all","key-ttl-us":60000000,"aim-us":8000000,"deadline-us":19000000,"worth":9}`
	few, many = `"max-attempts":1,"cancel":true`, `"max-attempts":4,"cancel":false`
)

// running is an instance under way.
type running struct {
	*Server
	file    string
	signals chan os.Signal
	end     chan error
}

// start starts an instance with this configuration.
func start(t *testing.T, text string) *running {
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
	r := &running{s, file, make(chan os.Signal, 4), make(chan error, 1)}
	go func() { r.end <- r.Run(r.signals) }()
	return r
}

// stop ends an instance by two signals, the second at once.
func (r *running) stop(t *testing.T) {
	t.Helper()
	r.signals <- syscall.SIGTERM
	r.signals <- syscall.SIGTERM
	if err := <-r.end; err != nil && !errors.Is(err, errKilled) { // none where all was answered in between
		t.Errorf("ended with %v", err)
	}
}

// client is a connection of a client.
type client struct {
	net.Conn
	in *bufio.Reader
}

func (r *running) connect(t *testing.T) client {
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

// answer reads one answer: its status and body.
func (c client) answer(t *testing.T) (int, string) {
	t.Helper()
	r, err := http.ReadResponse(c.in, nil)
	if err != nil {
		t.Error(err)
		return 0, ""
	}
	defer r.Body.Close()
	b, _ := io.ReadAll(r.Body) // a body cut short is not the one that is wanted
	return r.StatusCode, string(b)
}

func until(holds func() bool) {
	for !holds() {
		runtime.Gosched()
	}
}
