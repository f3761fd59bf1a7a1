package fleet

// The fake backends: request execution, load and failure under overload.

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"onyxgate/internal/fake/loopback"
)

// maxQueue is the number of requests that may wait for a core of a backend.
const maxQueue = 64

// LargeKey is an affinity key whose requests are answered with the largest body that the protocol allows.
const LargeKey = "large"

// maxBodyBytes is the size of the largest body that the protocol allows.
const maxBodyBytes = 64 << 10

// drainSlack is added to DrainGrace before an attempt counts as late: on a busy host an attempt may be in transit for
// that long.
const drainSlack = 50 * time.Millisecond

// Backend runs requests on a fixed number of cores and queues the rest. After a cold start it is slow, and overload
// during that time makes it fail permanently.
type Backend struct {
	ID      string
	Release int

	fleet        *Fleet
	cores        int
	startedAt    time.Time   // zero if it was warm from the start
	state        string      // as listed by discovery; guarded by fleet.mu
	failureShare float64     // fraction of requests answered with an error
	notifiedAt   []time.Time // by instance: when it was notified that the backend is draining or gone; guarded by fleet.mu
	servers      []*http.Server
	listeners    []net.Listener
	busyCores    chan bool // holds one entry for each busy core
	queued       atomic.Int64
	inFlight     atomic.Int64

	mu              sync.Mutex
	overloadedSince time.Time // zero while it is not overloaded
	failed          bool
}

type backendOptions struct {
	release      int
	cores        int
	startedAt    time.Time // zero if it is warm from the start
	failureShare float64   // fraction of requests answered with an error
}

// newBackend starts a backend with a separate listener for each instance, so that an attempt's address identifies its
// instance.
func newBackend(f *Fleet, id string, options backendOptions) (*Backend, error) {
	b := &Backend{
		ID: id, Release: options.release, fleet: f, cores: options.cores, startedAt: options.startedAt,
		failureShare: options.failureShare, state: stateReady, notifiedAt: make([]time.Time, f.Instances), busyCores: make(chan bool, options.cores),
	}
	for instance := range f.Instances {
		listener, err := loopback.Listen()
		if err != nil {
			return nil, err
		}
		server := &http.Server{
			Handler:     http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { b.serve(instance, w, r) }),
			ConnContext: withConn,
		}
		b.listeners, b.servers = append(b.listeners, listener), append(b.servers, server)
		go func() { _ = server.Serve(listener) }() // returns once close is called
	}
	return b, nil
}

func (b *Backend) address(instance int) string { return b.listeners[instance].Addr().String() }

func (b *Backend) close() {
	for _, server := range b.servers {
		server.Close()
	}
}

// speed returns the current fraction of full speed.
func (b *Backend) speed() float64 {
	if b.startedAt.IsZero() {
		return 1
	}
	warmth := float64(time.Since(b.startedAt)) / float64(WarmUp)
	return min(ColdSpeed+(1-ColdSpeed)*warmth, 1)
}

// survivesLoad reports whether the backend still runs. A warming backend fails permanently if its load exceeds
// OverloadFactor times its capacity for MaxOverloadTime.
func (b *Backend) survivesLoad() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.startedAt.IsZero() || b.speed() >= 1 {
		return !b.failed
	}
	overloaded := float64(b.inFlight.Load()) > OverloadFactor*b.speed()*float64(b.cores)
	switch {
	case !overloaded:
		b.overloadedSince = time.Time{}
	case b.overloadedSince.IsZero():
		b.overloadedSince = time.Now()
	case time.Since(b.overloadedSince) > MaxOverloadTime && !b.failed:
		b.failed = true
		b.fleet.countColdOverloaded()
	}
	return !b.failed
}

// attempt is a request that has reached a backend.
type attempt struct {
	instance       int
	incarnation    int // of the instance's process when the attempt arrived
	requestID      string
	class          Class
	key            string // affinity key: the last segment of the path
	idempotencyKey string
	arrivedAt      time.Time // when its last bytes reached this host
	draining       bool      // the backend was draining when the attempt arrived
}

func newAttempt(instance int, r *http.Request) attempt {
	return attempt{
		instance:       instance,
		requestID:      r.Header.Get("Req-Id"),
		class:          classOf(r.URL.Path),
		key:            r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:],
		idempotencyKey: r.Header.Get("Idempotency-Key"),
		arrivedAt:      lastArrival(r),
	}
}

func classOf(path string) Class {
	for _, class := range Classes {
		if len(path) > len(class.Name) && strings.HasPrefix(path[1:], class.Name) {
			return class
		}
	}
	return Classes[0]
}

// serve handles an attempt from an instance.
func (b *Backend) serve(instance int, w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	arrived := newAttempt(instance, r)
	b.fleet.attemptArrived(b, &arrived)
	b.inFlight.Add(1)
	defer b.inFlight.Add(-1)
	if !b.survivesLoad() {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Srv-Load", b.loadReport())
	if arrived.draining || b.queued.Load() >= maxQueue {
		reject(w)
		return
	}
	if !b.acquireCore(r) {
		return // canceled while queued, so it never ran
	}
	defer b.releaseCore()
	if repeated := b.fleet.beginExecution(arrived); !repeated {
		b.work(arrived.class)
	}
	if rand.Float64() < b.failureShare {
		http.Error(w, "broken", http.StatusInternalServerError)
		return
	}
	text := fmt.Sprintf("%s %s %x", arrived.class.Name, arrived.requestID, len(body))
	if arrived.key == LargeKey {
		text += strings.Repeat(".", maxBodyBytes-len(text))
	}
	respond(w, text)
	b.fleet.answerWritten(b, arrived)
}

func (b *Backend) loadReport() string {
	return fmt.Sprintf("inflight=%d,queue=%d,util=%.2f", b.inFlight.Load(), b.queued.Load(),
		float64(len(b.busyCores))/float64(b.cores))
}

// acquireCore waits for a free core. It returns false if the request is canceled first.
func (b *Backend) acquireCore(r *http.Request) bool {
	b.queued.Add(1)
	defer b.queued.Add(-1)
	select {
	case b.busyCores <- true:
		return true
	case <-r.Context().Done():
		return false
	}
}

func (b *Backend) releaseCore() { <-b.busyCores }

// work sleeps for the execution time of a request of the class at the backend's current speed, varied by up to 20%.
func (b *Backend) work(class Class) {
	time.Sleep(time.Duration(float64(class.Work) / b.speed() * (0.8 + 0.4*rand.Float64())))
}

func respond(w http.ResponseWriter, text string) {
	w.Header().Set("Content-Type", "text/plain")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	writeBody(w, text)
}

func reject(w http.ResponseWriter) {
	w.Header().Set("Srv-Declined", "1")
	http.Error(w, "full", http.StatusServiceUnavailable)
}

// writeBody writes a response body. A failed write means that the client is gone, which the clients' log shows.
func writeBody(w io.Writer, text string) { _, _ = io.WriteString(w, text) }

// serve handles a listener's requests until the listener is closed.
func serve(listener net.Listener, handler http.HandlerFunc) {
	server := http.Server{Handler: handler}
	_ = server.Serve(listener) // returns once the listener is closed
}
