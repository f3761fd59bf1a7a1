package fleet

// This file owns the backends: how they run requests, and what they count of them.

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

// maxQueue is how many requests may wait for a core of a backend.
const maxQueue = 64

// drainSlack is what an attempt may be late after Grace before it counts: the time that it is on its way on a busy host.
const drainSlack = 50 * time.Millisecond

// Backend has some cores and a queue. It is slow after a cold start, and fails for good when it is overloaded then.
type Backend struct {
	ID      string
	Release int

	fleet        *Fleet
	cores        int
	startedAt    time.Time   // zero: warm from the start
	state        string      // as discovery lists it; under the fleet's lock
	failureShare float64     // of requests, that it answers with an error
	notifiedAt   []time.Time // by instance: when it was told that the backend drains or is gone; under the fleet's lock
	servers      []*http.Server
	listeners    []net.Listener
	busyCores        chan bool // one entry for each busy core
	queued       atomic.Int64
	inFlight     atomic.Int64

	mu              sync.Mutex
	overloadedSince time.Time // zero: it is not overloaded
	failed          bool
}

type backendOptions struct {
	release      int
	cores        int
	startedAt    time.Time // zero: warm
	failureShare float64   // of requests, that it answers with an error
}

// newBackend starts a backend that listens on an address for each instance, by which its attempts are told apart.
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
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			b.serve(instance, w, r)
		})}
		b.listeners, b.servers = append(b.listeners, listener), append(b.servers, server)
		go func() { _ = server.Serve(listener) }() // it ends by close
	}
	return b, nil
}

func (b *Backend) address(instance int) string { return b.listeners[instance].Addr().String() }

func (b *Backend) close() {
	for _, server := range b.servers {
		server.Close()
	}
}

// speed is the share of full speed that it has now.
func (b *Backend) speed() float64 {
	if b.startedAt.IsZero() {
		return 1
	}
	warmth := float64(time.Since(b.startedAt)) / float64(WarmUp)
	return min(ColdSpeed+(1-ColdSpeed)*warmth, 1)
}

// survivesLoad tells whether it still runs. A warming backend fails for good once it has had more than Overload times what it
// can do for FallTime.
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

// attempt is one request as it has reached a backend.
type attempt struct {
	instance       int
	incarnation    int // of the instance's process
	requestID      string
	class          Class
	key            string // the last part of the path, by which requests have an affinity
	idempotencyKey string
	draining       bool // its backend was when it arrived
}

func newAttempt(instance int, r *http.Request) attempt {
	return attempt{
		instance:       instance,
		requestID:      r.Header.Get("Req-Id"),
		class:          classOf(r.URL.Path),
		key:            r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:],
		idempotencyKey: r.Header.Get("Idempotency-Key"),
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

// serve runs an attempt of an instance.
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
		return // given up while it waited: it never ran
	}
	defer b.releaseCore()
	if repeated := b.fleet.beginExecution(arrived); !repeated {
		b.work(arrived.class)
	}
	if rand.Float64() < b.failureShare {
		http.Error(w, "broken", http.StatusInternalServerError)
		return
	}
	respond(w, fmt.Sprintf("%s %s %x", arrived.class.Name, arrived.requestID, len(body)))
	b.fleet.answerWritten(b, arrived)
}

func (b *Backend) loadReport() string {
	return fmt.Sprintf("inflight=%d,queue=%d,util=%.2f", b.inFlight.Load(), b.queued.Load(),
		float64(len(b.busyCores))/float64(b.cores))
}

// acquireCore waits for a free core; false where the client gave up before.
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

// work takes the time that a request of a class needs, 20% more or less.
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

// writeBody writes a body. Where it can't be written the client went away, and the clients' log shows it.
func writeBody(w io.Writer, text string) { _, _ = io.WriteString(w, text) }

// serve passes a listener's requests to a handler until the listener closes.
func serve(listener net.Listener, handler http.HandlerFunc) {
	server := http.Server{Handler: handler}
	_ = server.Serve(listener) // it ends with the listener
}
