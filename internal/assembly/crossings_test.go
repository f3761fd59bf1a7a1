package assembly

// Whole agents in one process, over loopback: what crosses a start, a reload and a shutdown, and two settings side by side.

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"onyxgate/internal/config"
	"onyxgate/internal/core"
	"onyxgate/internal/httpwire"
	"onyxgate/policy"
)

// world is a platform, a discovery and an appliance in one server.
type world struct {
	net.Listener
	mu      sync.Mutex
	ran     []string    // paths that the appliance ran, with the time that it was told
	watched chan string // after which version a watch asked; what it is told comes by tell
	tell    chan string
	drop    chan bool // ends everything
}

func newWorld(t *testing.T) *world {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	w := &world{Listener: l, watched: make(chan string, 9), tell: make(chan string, 9), drop: make(chan bool)}
	server := &http.Server{Handler: w}
	go server.Serve(l)
	t.Cleanup(func() { close(w.drop); server.Close() })
	return w
}

func (w *world) at() string { return w.Addr().String() }

func (w *world) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/discovery/hosts":
		w.watched <- r.URL.Query().Get("after")
		rw.(http.Flusher).Flush()
		for {
			select {
			case text := <-w.tell:
				io.WriteString(rw, text+"\n")
				rw.(http.Flusher).Flush()
			case <-w.drop:
				return
			case <-r.Context().Done():
				return
			}
		}
	case "/notices":
		rw.(http.Flusher).Flush()
		select {
		case <-w.drop:
		case <-r.Context().Done():
		}
	default:
		io.Copy(io.Discard, r.Body)
		w.mu.Lock()
		w.ran = append(w.ran, r.URL.Path+" "+r.Header.Get("Req-Deadline"))
		w.mu.Unlock()
		io.WriteString(rw, "made for "+r.Header.Get("Req-Id"))
	}
}

func (w *world) runs() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.ran...)
}

// list names an appliance at this world's address.
func (w *world) list(version int, state string) string {
	return fmt.Sprintf(`{"version":%d,"full":true,"servers":[{"id":"s%s","addr":%q,"state":%q,"weight":1,"version_no":1}]}`,
		version, w.at(), w.at(), state)
}

// configuration is an agent's with its list, by its own discovery and platform.
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

// running is an agent under way.
type running struct {
	*Instance
	file    string
	signals chan os.Signal
	end     chan error
}

func run(t *testing.T, text string) *running {
	file := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	tables, err := config.Read("")
	if err != nil {
		t.Fatal(err)
	}
	a, err := New(Options{ConfigPath: file, ReportInterval: time.Hour, Tables: tables})
	if err != nil {
		t.Fatal(err)
	}
	r := &running{a, file, make(chan os.Signal, 4), make(chan error, 1)}
	go func() { r.end <- r.Run(r.signals) }()
	return r
}

// stop ends an agent by two signals, the second at once.
func (r *running) stop() {
	r.signals <- syscall.SIGTERM
	r.signals <- syscall.SIGTERM
	<-r.end
}

type line struct {
	net.Conn
	in *bufio.Reader
}

func (r *running) connect(t *testing.T) line {
	c, err := net.Dial("tcp", r.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return line{c, bufio.NewReader(c)}
}

func (l line) send(method, path, id string) {
	key := ""
	if method == http.MethodPost {
		key = "Idempotency-Key: k" + id + "\r\nContent-Length: 0\r\n"
	}
	fmt.Fprintf(l, "%s %s HTTP/1.1\r\nHost: h\r\nReq-Id: %s\r\nReq-Deadline: 5000m\r\n%s\r\n", method, path, id, key)
}

func (l line) answer(t *testing.T) (int, string) {
	r, err := http.ReadResponse(l.in, nil)
	if err != nil {
		t.Error(err)
		return 0, ""
	}
	b, _ := io.ReadAll(r.Body)
	return r.StatusCode, string(b)
}

func until(holds func() bool) {
	for !holds() {
		runtime.Gosched()
	}
}

// What discovery already has holds from a process's first request on: one that lies in the backlog when the agent starts
// goes by that, not by the list of the configuration.
func TestFirstRequest(t *testing.T) {
	old, now := newWorld(t), newWorld(t)
	r := run(t, configuration(now.at(), old.list(1, "Ready"), short, few))
	c := r.connect(t)
	c.send(http.MethodGet, "/glance/1", "r1")
	<-now.watched
	now.tell <- now.list(2, "Ready")
	if status, body := c.answer(t); status != 200 || body != "made for r1" {
		t.Errorf("answered %d %q", status, body)
	}
	if len(old.runs()) != 0 || len(now.runs()) != 1 {
		t.Errorf("ran %v at what had left, %v at what runs", old.runs(), now.runs())
	}
	r.stop()
}

// Ready: once discovery has told its list, after a while where it tells none, and at once where the agent is to leave.
func TestReady(t *testing.T) {
	for _, c := range []struct {
		name         string
		told, leaves bool
		after        time.Duration
	}{{"told", true, false, 0}, {"silent", false, false, firstList}, {"leaves", false, true, 0}} {
		synctest.Test(t, func(t *testing.T) {
			a := &Instance{core: core.New(nil)}
			a.core.Start(func(p policy.Port) *policy.Instance { return policy.New(p, policy.Config{Seed: 7, Instances: 1}) })
			a.discovery = httpwire.NewDiscovery(httpwire.DiscoveryConfig{Core: a.core, Address: "d:1", Seed: 1})
			a.front = httpwire.NewFront(httpwire.FrontConfig{Core: a.core, Sockets: httpwire.NewSockets(0)})
			hurry, ready, from := make(chan bool), make(chan bool), time.Now()
			go func() { a.ready(hurry); close(ready) }()
			a.discovery.Apply([]byte(`{"version":1,"full":true,"servers":[]}`), httpwire.FromConfiguration, func() {})
			synctest.Wait()
			select {
			case <-ready:
				t.Errorf("%s: ready by the configuration alone", c.name)
			default:
			}
			if c.told {
				a.discovery.Apply([]byte(`{"version":2,"full":true,"servers":[]}`), httpwire.FromWatch, func() {})
			}
			if c.leaves {
				close(hurry)
			}
			<-ready
			if took := time.Since(from); took != c.after {
				t.Errorf("%s: ready after %v", c.name, took)
			}
			time.Sleep(time.Hour) // the core's own timer
		})
	}
}

// A configuration read half written is read again; one that stays so changes nothing and is given up.
func TestTorn(t *testing.T) {
	d, e := newWorld(t), newWorld(t)
	text := configuration(e.at(), d.list(1, "Ready"), short, few)
	r := run(t, configuration(d.at(), d.list(1, "Ready"), short, few))
	<-d.watched
	if err := os.WriteFile(r.file, []byte(text[:len(text)/2]), 0o600); err != nil {
		t.Fatal(err)
	}
	tries := rereadMost
	x := &Instance{orders: r.orders, config: r.config, discovery: r.discovery, platform: r.platform}
	if x.reread(&tries) == nil {
		t.Fatal("half a configuration is not read again")
	}
	if err := os.WriteFile(r.file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if x.reread(&tries) != nil {
		t.Error("a whole one is read again")
	}
	<-e.watched // moved
	os.WriteFile(r.file, nil, 0o600)
	for n := 0; x.reread(&tries) != nil; n++ {
		if n > rereadMost {
			t.Fatal("read for ever")
		}
	}
	r.stop()
}

// SIGHUP while the first list is awaited: the new address is asked at once, and its list makes the agent ready. A second
// one before that watch stands moves it once more.
func TestMovedBeforeFirst(t *testing.T) {
	d, e, f := newWorld(t), newWorld(t), newWorld(t)
	r := run(t, configuration(d.at(), d.list(1, "Ready"), short, few))
	<-d.watched // and it says nothing
	for _, w := range []*world{e, f} {
		if err := os.WriteFile(r.file, []byte(configuration(w.at(), d.list(1, "Ready"), short, few)), 0o600); err != nil {
			t.Fatal(err)
		}
		r.signals <- syscall.SIGHUP
		<-w.watched
	}
	f.tell <- f.list(7, "Ready")
	until(func() bool { v, _ := r.discovery.Version(); return v == 7 })
	c := r.connect(t)
	c.send(http.MethodGet, "/glance/1", "r1")
	if status, _ := c.answer(t); status != 200 || len(f.runs()) != 1 {
		t.Errorf("answered %d, ran %v", status, f.runs())
	}
	r.stop()
}

// SIGTERM just before ready: what lies in the backlog is served, then the agent ends by itself.
func TestEndsBeforeReady(t *testing.T) {
	d := newWorld(t)
	r := run(t, configuration(d.at(), d.list(1, "Ready"), short, few))
	<-d.watched
	c := r.connect(t)
	c.send(http.MethodGet, "/glance/1", "r1")
	r.signals <- syscall.SIGTERM
	if status, body := c.answer(t); status != 200 || body != "made for r1" {
		t.Errorf("answered %d %q", status, body)
	}
	c.Close()
	if err := <-r.end; err != nil {
		t.Errorf("ended with %v", err)
	}
}

// Two deployments in one process, side by side and one after the other, each by its own settings alone.
func TestTwoSettings(t *testing.T) {
	ask := func(t *testing.T, r *running, w *world, id, own, others, told string) {
		c := r.connect(t)
		for k, call := range []struct {
			path   string
			status int
		}{{own, 200}, {others, 404}} {
			method, path, _ := strings.Cut(call.path, " ")
			c.send(method, path, fmt.Sprint(id, k))
			if status, _ := c.answer(t); status != call.status {
				t.Errorf("%s: %d", call.path, status)
			}
		}
		ran := w.runs()
		if last := ran[len(ran)-1]; !strings.HasPrefix(last, strings.Fields(own)[1]+" "+told) {
			t.Errorf("ran %q, told %s wanted", last, told)
		}
	}
	glance, merge := "GET /glance/7", "POST /merge/7"
	for _, order := range []string{"side by side", "one after the other", "the other way round"} {
		t.Run(order, func(t *testing.T) {
			x, y := newWorld(t), newWorld(t)
			start := func(w *world, grades, limits string) *running {
				r := run(t, configuration(w.at(), w.list(1, "Ready"), grades, limits))
				<-w.watched
				w.tell <- w.list(2, "Ready")
				return r
			}
			check := func(r *running, taken int) {
				if n := r.core.Counts(); n.Accepted != taken || n.Served != taken || r.front.InvalidRequests() != int64(taken) {
					t.Errorf("%d taken, %d settled, %d refused; %d wanted of each", n.Accepted, n.Served, r.front.InvalidRequests(), taken)
				}
				if _, listed := r.discovery.Version(); listed != 1 {
					t.Errorf("%d appliances listed", listed)
				}
			}
			switch order {
			case "side by side":
				a, b := start(x, short, few), start(y, long, many)
				for k := range 3 {
					ask(t, a, x, fmt.Sprint("a", k), glance, merge, "")
					ask(t, b, y, fmt.Sprint("b", k), merge, glance, "")
				}
				check(a, 3)
				check(b, 3)
				if len(x.runs()) != 3 || len(y.runs()) != 3 {
					t.Errorf("ran %v and %v", x.runs(), y.runs())
				}
				a.stop()
				b.stop()
			case "one after the other":
				a := start(x, short, few)
				ask(t, a, x, "a", glance, merge, "")
				a.stop()
				b := start(y, long, many)
				ask(t, b, y, "b", merge, glance, "")
				check(b, 1)
				b.stop()
			default:
				b := start(y, long, many)
				ask(t, b, y, "b", merge, glance, "")
				b.stop()
				a := start(x, short, few)
				ask(t, a, x, "a", glance, merge, "")
				check(a, 1)
				a.stop()
			}
		})
	}
}

// An agent that starts while the one before it still holds its address waits for it.
func TestAddressHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		before, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		got := make(chan error, 1)
		try := func(address string) {
			l, err := listen(address)
			if err == nil {
				l.Close()
			}
			got <- err
		}
		go try(before.Addr().String())
		synctest.Wait() // it has tried
		before.Close()
		if err := <-got; err != nil {
			t.Error(err)
		}
		if try("no address"); <-got == nil {
			t.Error("no address, and it listens")
		}
	})
}
