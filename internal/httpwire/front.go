package httpwire

import (
	"context"
	"sync/atomic"
	"time"

	"onyxgate/internal/core"
	"onyxgate/policy"
)

// FrontConfig configures a Front. It must not change after NewFront.
type FrontConfig struct {
	Core     *core.Core
	Upstream *Upstream
	Sockets  *Sockets
	// Classes holds the request classes by their index in the core. ClassNames[i] is the first path element of requests
	// of class Classes[i].
	ClassNames []string
	Classes    []policy.RequestClass
	// CancelAllowed states that an attempt in progress may be canceled. Otherwise each attempt runs in its own
	// goroutine.
	CancelAllowed bool
	// MaxOpenRequests is the number of open requests above which further requests are rejected; 0 means no limit.
	MaxOpenRequests int
}

// Front serves clients and gives each request exactly one response, unless the client has gone. Invalid requests never
// reach a backend and, except for those with a duplicate id, do not reach the core either. Its methods are safe for
// concurrent use.
type Front struct {
	core            *core.Core
	upstream        *Upstream
	sockets         *Sockets
	classes         map[string]class // by name
	cancelAllowed   bool
	maxOpenRequests int // 0: no limit

	ready           atomic.Bool
	started         chan struct{} // closed by SetReady; nil: requests are not held until then
	shuttingDown    atomic.Bool   // no longer ready, but requests are served
	closingConns    atomic.Bool   // connections are closed after their request
	openRequests    atomic.Int64  // requests between the end of their head and the end of their response
	invalidRequests atomic.Int64
	clientsLeft     atomic.Int64 // requests whose client had left before they were handled
	paused          atomic.Int64 // requests that had to pause because their client did not wait for answers
	startedAt       time.Time
	lastActivity    atomic.Int64  // when a request last began or ended (ns since startedAt: the wall clock may be stepped)
	killDelay       time.Duration // minimum time from the shutdown signal until the process may be killed
}

// class holds the properties of a request class that the parser needs.
type class struct {
	index     int // index in the core
	semantics policy.Semantics
}

// NewFront returns a Front that is not ready yet. The caller must serve the http.Server that Server returns.
func NewFront(config FrontConfig) *Front {
	f := &Front{
		core: config.Core, upstream: config.Upstream, sockets: config.Sockets,
		classes: map[string]class{}, cancelAllowed: config.CancelAllowed,
		maxOpenRequests: config.MaxOpenRequests, startedAt: time.Now(),
	}
	longestTimeout := 0.0
	for i, name := range config.ClassNames {
		longestTimeout = max(longestTimeout, config.Classes[i].Timeout)
		f.classes[name] = class{index: i, semantics: config.Classes[i].Semantics}
	}
	f.killDelay = acceptWindow + fromMilliseconds(min(longestTimeout, maxTimeoutTermMs))
	return f
}

// HoldRequests makes the front read requests, but not handle them, until SetReady is called. It must be called before
// the front is served.
func (f *Front) HoldRequests() { f.started = make(chan struct{}) }

// SetReady makes the health check /up succeed and ends HoldRequests. The caller must wait until the endpoint list and the
// state of the release are known and the core is running. It must be called only once.
func (f *Front) SetReady() {
	f.ready.Store(true)
	if f.started != nil {
		close(f.started)
	}
}

// awaitStart waits until requests may be handled, and reports whether they may. It gives up when the context is done or at
// latest (ms of the core's clock).
func (f *Front) awaitStart(ctx context.Context, latest float64) bool {
	if f.started == nil || f.ready.Load() {
		return true
	}
	wait := time.NewTimer(fromMilliseconds(latest - f.core.Now()))
	defer wait.Stop()
	select {
	case <-f.started:
		return true
	case <-ctx.Done():
	case <-wait.C:
	}
	return false
}

// InvalidRequests returns the number of requests rejected as invalid, with any status.
func (f *Front) InvalidRequests() int64 { return f.invalidRequests.Load() }

// ClientsLeft returns the number of requests that were not handled because their client had already closed its connection.
func (f *Front) ClientsLeft() int64 { return f.clientsLeft.Load() }

// PausedRequests returns the number of requests before which the front paused, because their client did not wait for the
// answer to the one before.
func (f *Front) PausedRequests() int64 { return f.paused.Load() }

// beginRequest counts a request as open until the returned function is called.
func (f *Front) beginRequest() (end func()) {
	f.openRequests.Add(1)
	f.recordActivity()
	return func() {
		f.recordActivity()
		f.openRequests.Add(-1)
	}
}

func (f *Front) recordActivity() { f.lastActivity.Store(int64(time.Since(f.startedAt))) }

// sinceActivity returns the time since a request last began or ended.
func (f *Front) sinceActivity() time.Duration {
	return time.Since(f.startedAt) - time.Duration(f.lastActivity.Load())
}

// fromMilliseconds and toMilliseconds convert between durations and the core's milliseconds.
func fromMilliseconds(ms float64) time.Duration { return time.Duration(ms * 1e6) }

func toMilliseconds(d time.Duration) float64 { return float64(d) / 1e6 }
