// Package core hosts the decisions (policy.Instance) in a live process. It owns the lock under which every event enters, the
// clock and the timers that the decisions get, the queue of actions of each request, and the watchdog that has each request
// answered.
//
// It never chooses anything that the decisions could, never blocks under the lock and knows no wire: a second protocol would use
// it as the first does. Times are milliseconds: Unix time at the start of the process, run on by the monotonic clock.
//
// The files, by concern: core.go (set-up, counts, shutdown), events.go (how an event enters), timers.go, request.go and
// attempt.go (what a front calls), action.go (what a front is asked to do), port.go (the effects of the decisions),
// interceptor.go (what follows every request), clock.go (steps of the wall clock).
package core

import (
	"sync"
	"time"

	"onyxgate/policy"
)

// logQueueSize is how many log lines of the decisions may wait for their reader. What comes beyond them is dropped.
const logQueueSize = 256

// Transport sends what the decisions want sent and what belongs to no request. Its methods are called under the lock of Core:
// each starts its work and returns at once, and none calls back into Core before it has returned.
type Transport interface {
	// SendVote sends a vote on a release. It is not called after Shutdown.
	SendVote(release policy.ReleaseID, verdict policy.Verdict, stage int)
	// SendProbe asks a backend for its load. The result comes back by ReportProbe.
	SendProbe(backend string)
	// WatchEndpoints opens the endpoint stream.
	WatchEndpoints()
	// FetchEndpoints asks for the endpoint list once.
	FetchEndpoints()
}

// Core holds the decisions of one instance and what they need to run. Its methods are safe for concurrent use unless their
// comment says otherwise.
type Core struct {
	mu               sync.Mutex // guards everything below, and the requests and attempts as their comments say
	inEvent          bool       // the decisions are handling an event
	instance         *policy.Instance
	transport        Transport
	clock            clock // its functions are set once; the offset is guarded by mu
	requests         map[string]*Request
	timers           timerQueue
	wakeTimer        *time.Timer // fires at the earliest of timers
	logLines         chan string
	shuttingDown     bool
	shutdownDeadline float64 // ms; while shutting down: when everything has its answer
	counts           Counts
	interceptors     []Interceptor               // read without the lock: it never changes once requests come
	releases         map[string]policy.ReleaseID // of each backend, as listed
}

// Counts tells how much has been since the start, and how much is open now.
type Counts struct {
	Accepted, Served, Rejected, Failed, ClientGone int                           // requests since the start
	AttemptsByStatus                               [policy.StatusNotSent + 1]int // attempts since the start; the index is their policy.AttemptStatus
	OpenRequests, OpenAttempts, Timers             int                           // now
	AttemptsWithheld                               int                           // attempts that the decisions withdrew when their connection was up
	Releases                                       policy.ReleaseStatus          // the zero value before Start
}

// countAnswer counts one request by its final action.
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

// New starts the clock. Only Now, Counts, CheckClock and AddInterceptor may be called before Start.
func New(transport Transport) *Core {
	return &Core{
		transport: transport, clock: newClock(), requests: map[string]*Request{},
		releases: map[string]policy.ReleaseID{}, logLines: make(chan string, logQueueSize),
	}
}

// Start makes the decisions, which get the port for their effects. It is called once, before the first event; newInstance runs
// under the lock.
func (c *Core) Start(newInstance func(policy.Port) *policy.Instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wakeTimer = time.AfterFunc(time.Hour, c.timerFired)
	c.instance = newInstance(port{c})
}

// Now is the time (ms): Unix time at the start, which runs on evenly from there. A step of the wall clock does not reach it.
func (c *Core) Now() float64 { return c.clock.now() }

// LogLines returns the log lines of the decisions. A line that finds the channel full is dropped.
func (c *Core) LogLines() <-chan string { return c.logLines }

// Counts returns the counts as they are now. It changes nothing.
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

// Shutdown prepares the end of the process. From here on no vote is sent: what an instance sees while it leaves is no longer its
// to judge by. Requests that are open now, and those accepted from here on, have their answer by deadline (ms).
func (c *Core) Shutdown(deadline float64) {
	c.handleEvent("shutdown", func(now float64) {
		c.shuttingDown, c.shutdownDeadline = true, deadline
		for _, request := range c.requests {
			request.Deadline = min(request.Deadline, deadline)
		}
		c.instance.OnShutdown(now, deadline)
	})
}
