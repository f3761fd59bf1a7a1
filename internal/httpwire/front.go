package httpwire

import (
	"sync/atomic"
	"time"

	"onyxgate/internal/core"
	"onyxgate/policy"
)

// FrontConfig is what a Front needs. All of it is fixed from NewFront on.
type FrontConfig struct {
	Core     *core.Core
	Upstream *Upstream
	Sockets  *Sockets
	// Classes are the request classes by index, as the core knows them; ClassNames[i] is the first element of the paths of
	// Classes[i].
	ClassNames []string
	Classes    []policy.RequestClass
	// CancelAllowed tells that an attempt under way may be called off. Where it may not, each attempt has its own goroutine.
	CancelAllowed bool
	// MaxOpenRequests is how many requests may be open at once before further ones are rejected; 0 means no limit.
	MaxOpenRequests int
	// MaxBodyBytes is how much the bodies of all open requests may hold together before further ones are rejected.
	MaxBodyBytes int64
}

// Front is the clients' side: it takes requests and gives each exactly one answer. Bad input gets as far as its parser and reaches
// neither the core nor a backend. All methods may be called from any goroutine.
type Front struct {
	core            *core.Core
	upstream        *Upstream
	sockets         *Sockets
	classes         map[string]class // by name
	cancelAllowed   bool
	maxOpenRequests int   // 0: no limit
	maxBodyBytes    int64 // of all open requests together

	ready           atomic.Bool
	shuttingDown    atomic.Bool  // no longer ready, but requests are served
	closingConns    atomic.Bool  // connections end with their request
	openRequests    atomic.Int64 // from the end of their head to the end of their answer
	bodyBytes       atomic.Int64 // of requests that are open
	invalidRequests atomic.Int64
	startedAt       time.Time
	lastActivity    atomic.Int64  // when a request last began or ended, in ns since startedAt: the wall clock may be stepped
	killDelay       time.Duration // from the signal to shut down until the process may be killed, at the soonest
}

// class is a request class as the parser needs it.
type class struct {
	index     int // in the core
	semantics policy.Semantics
}

// NewFront makes a front that is not ready yet. Its server runs once the caller serves Server.
func NewFront(config FrontConfig) *Front {
	f := &Front{
		core: config.Core, upstream: config.Upstream, sockets: config.Sockets,
		classes: map[string]class{}, cancelAllowed: config.CancelAllowed,
		maxOpenRequests: config.MaxOpenRequests, maxBodyBytes: config.MaxBodyBytes,
		startedAt: time.Now(),
	}
	longestTimeout := 0.0
	for i, name := range config.ClassNames {
		longestTimeout = max(longestTimeout, config.Classes[i].Timeout)
		f.classes[name] = class{index: i, semantics: config.Classes[i].Semantics}
	}
	f.killDelay = acceptWindow + fromMilliseconds(min(longestTimeout, maxKillDelayMs))
	return f
}

// SetReady lets the health check /up succeed. It is called once the endpoint list and the state of the release are known and the
// decisions run.
func (f *Front) SetReady() { f.ready.Store(true) }

// InvalidRequests counts the requests refused as bad input, by whatever status.
func (f *Front) InvalidRequests() int64 { return f.invalidRequests.Load() }

// beginRequest counts a request as open until the returned function is called.
func (f *Front) beginRequest() (end func()) {
	f.openRequests.Add(1)
	f.noteActivity()
	return func() {
		f.noteActivity()
		f.openRequests.Add(-1)
	}
}

func (f *Front) noteActivity() { f.lastActivity.Store(int64(time.Since(f.startedAt))) }

// sinceActivity is how long ago a request last began or ended.
func (f *Front) sinceActivity() time.Duration {
	return time.Since(f.startedAt) - time.Duration(f.lastActivity.Load())
}

// fromMilliseconds and toMilliseconds convert between durations and the core's milliseconds.
func fromMilliseconds(ms float64) time.Duration { return time.Duration(ms * 1e6) }

func toMilliseconds(d time.Duration) float64 { return float64(d) / 1e6 }
