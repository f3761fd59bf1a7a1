// Package core runs the decision logic of an instance (policy.Instance, called "the decisions" below) in a live
// process. It provides the lock under which every event is handled, the clock and the timers of the decisions, the
// action queue of each request, and the watchdog that ensures that every request is answered.
//
// It leaves every choice to the decisions, never blocks while holding the lock, and is independent of the wire
// protocol: a second protocol would use it in the same way as the first. Times are in milliseconds: Unix time at the
// start of the process, advanced by the monotonic clock.
//
// Files: core.go (setup, counts, shutdown), events.go (delivery of events), timers.go, request.go and attempt.go
// (called by a front, the protocol server that reads requests from clients), action.go (what the handler of a request
// is asked to do), port.go (effects of the decisions), interceptor.go (hooks that follow every request), clock.go
// (steps of the wall clock).
package core

import (
	"sync"
	"time"

	"onyxgate/policy"
)

// logQueueSize is the number of log lines of the decisions that are buffered for the reader. Further lines are
// dropped.
const logQueueSize = 256

// Transport sends everything that the decisions send outside of requests. Its methods are called with the lock of Core
// held: each starts its work and returns immediately, and must not call back into Core before it returns.
type Transport interface {
	// SendVote sends a vote on a release. It is not called after Shutdown.
	SendVote(release policy.ReleaseID, verdict policy.Verdict, stage int)
	// SendProbe asks a backend for its load. The result is passed to Core.ReportProbe.
	SendProbe(backend string)
	// WatchEndpoints opens the endpoint stream.
	WatchEndpoints()
	// FetchEndpoints requests the endpoint list once.
	FetchEndpoints()
}

// Core holds the decisions of one instance and their runtime. Its methods are safe for concurrent use unless
// documented otherwise.
type Core struct {
	mu               sync.Mutex // guards the fields below, and requests and attempts as documented there
	inEvent          bool       // an event is being handled
	instance         *policy.Instance
	transport        Transport
	clock            clock // its functions are set once; the offset is guarded by mu
	requests         map[string]*Request
	timers           timerQueue
	pruneTimersAt    int         // length of timers at which the obsolete ones are removed
	wakeTimer        *time.Timer // fires when the earliest of timers is due
	logLines         chan string
	shuttingDown     bool
	shutdownDeadline float64 // ms, set by Shutdown: every request must be answered by then
	counts           Counts
	interceptors     []Interceptor               // read without the lock; does not change once requests are accepted
	releases         map[string]policy.ReleaseID // by backend, as listed
}

// Counts holds counters since the start and the current number of open requests, attempts and timers.
type Counts struct {
	Accepted, Served, Rejected, Failed, ClientGone int                           // requests since the start
	AttemptsByStatus                               [policy.StatusNotSent + 1]int // attempts since the start, by policy.AttemptStatus
	OpenRequests, OpenAttempts, Timers             int                           // current numbers
	AttemptsWithheld                               int                           // attempts that the decisions withdrew once connected
	Releases                                       policy.ReleaseStatus          // the zero value before Start
}

// countAnswer counts a request by its final action.
func (c *Counts) countAnswer(kind ActionKind) {
	switch kind {
	case ActionServe:
		c.Served++
	case ActionReject:
		c.Rejected++
	case ActionFail:
		c.Failed++
	case ActionAbandon:
		c.ClientGone++
	case ActionSendAttempt: // no answer
	}
}

// New returns a Core with a running clock. Until Start is called, only Now, Counts, CheckClock and AddInterceptor may
// be used.
func New(transport Transport) *Core {
	return &Core{
		transport: transport, clock: newClock(), requests: map[string]*Request{},
		releases: map[string]policy.ReleaseID{}, logLines: make(chan string, logQueueSize),
	}
}

// Start creates the decisions with the port for their effects. It is called once, before the first event. newInstance
// is called with the lock held.
func (c *Core) Start(newInstance func(policy.Port) *policy.Instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wakeTimer = time.AfterFunc(time.Hour, c.timerFired)
	c.instance = newInstance(port{c})
}

// Now returns the time (ms): Unix time at the start of the process, advanced by the monotonic clock. Steps of the
// wall clock do not affect it.
func (c *Core) Now() float64 { return c.clock.now() }

// LogLines returns a channel with the log lines of the decisions. Lines are dropped while the channel is full.
func (c *Core) LogLines() <-chan string { return c.logLines }

// Counts returns the current counts. It has no side effects.
func (c *Core) Counts() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := c.counts
	counts.OpenRequests, counts.Timers = len(c.requests), len(c.timers)
	if c.instance != nil {
		counts.Releases = c.instance.ReleaseStatus()
	}
	return counts
}

// Shutdown prepares the end of the process. No votes are sent from now on, because what an instance observes while it
// leaves says nothing about the release. The decisions answer all open requests, and those accepted from now on, by
// deadline (ms).
func (c *Core) Shutdown(deadline float64) {
	c.handleEvent("shutdown", func(now float64) {
		c.shuttingDown, c.shutdownDeadline = true, deadline
		for _, request := range c.requests {
			request.Deadline = min(request.Deadline, deadline)
		}
		c.instance.OnShutdown(now, deadline)
	})
}
