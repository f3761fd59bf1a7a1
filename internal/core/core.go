// Package core hosts one decision module for a live agent. It owns the lock under which every event enters, the clock
// and timers that the module is handed, the mailbox of each request and the watchdog that sees each request answered. It must
// never choose anything that the module could, never block under the lock, and never know a wire: a second protocol
// would stand on it as the first does.
package core

import (
	"container/heap"
	"runtime/debug"
	"sync"
	"time"

	"onyxgate/internal/invariant"
	"onyxgate/policy"
)

// Transport are the module's actions that belong to no request. Each starts something and returns at once.
type Transport interface {
	SendVote(release policy.ReleaseID, verdict policy.Verdict, stage int)
	SendProbe(appliance string)
	WatchEndpoints()
	FetchEndpoints()
}

const (
	// watchdogDelay (ms) is how far past a request's time the watchdog looks: the module answers before it, and a client's time is
	// kept within some tens of milliseconds more.
	watchdogDelay = 15.0
	// minTimerInterval: two alarms a request would else wake the agent ten thousand times a second, a few at a time.
	minTimerInterval = time.Millisecond
)

// Core is one live agent's module with all that it needs to run.
type Core struct {
	mu               sync.Mutex
	inEvent          bool // an event is being handled
	instance         *policy.Instance
	transport        Transport
	clock            clock
	requests         map[string]*Request
	timers           timers
	wakeTimer        *time.Timer
	logLines         chan string
	leaving          bool
	shutdownDeadline float64 // while leaving: when everything has its answer
	counts           Counts
	interceptors     []Interceptor               // never changed once requests come
	releases         map[string]policy.ReleaseID // appliances' builds as listed
}

// Counts are what has been since the start, and what is open now.
type Counts struct {
	Accepted, Served, Rejected, Failed, ClientGone int
	AttemptsByStatus                               [policy.StatusNotSent + 1]int // attempts, by result
	OpenRequests, OpenAttempts, Timers             int
	AttemptsWithheld                               int // attempts that might not go out any more when their connection was up
	Releases                                       policy.ReleaseStatus
}

// New starts the clock; no event may come before Start.
func New(calls Transport) *Core {
	return &Core{transport: calls, clock: newClock(), requests: map[string]*Request{},
		releases: map[string]policy.ReleaseID{}, logLines: make(chan string, 256)}
}

// Start makes the module.
func (c *Core) Start(module func(policy.Port) *policy.Instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wakeTimer = time.AfterFunc(time.Hour, c.timerFired)
	c.instance = module((*port)(c))
}

// Now is Unix time in milliseconds at the start and runs on evenly from there: a step of the machine's clock must not
// reach the module.
func (c *Core) Now() float64 { return c.clock.now() }

// LogLines are the module's own log lines.
func (c *Core) LogLines() <-chan string { return c.logLines }

// Counts are the counts now. They are asked for every second, so the clock is looked at too.
func (c *Core) Counts() Counts {
	c.checkClockStep()
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.counts
	n.OpenRequests, n.Timers = len(c.requests), len(c.timers)
	if c.instance != nil {
		n.Releases = c.instance.ReleaseStatus()
	}
	return n
}

// Shutdown ends the votes: what an agent that goes has seen is no longer its to judge by. What is held now, and what is taken
// from here on, has its answer by then.
func (c *Core) Shutdown(by float64) {
	c.handleEvent("leave", func(now float64) {
		c.leaving, c.shutdownDeadline = true, by
		for _, t := range c.requests {
			t.Deadline = min(t.Deadline, by)
		}
		c.instance.OnShutdown(now, by)
	})
}

// handleEvent hands one event to the module with the time read under the lock. A panic there must cost one event, not all
// the requests that the agent holds.
func (c *Core) handleEvent(what string, event func(now float64)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inEvent = true
	whole := false
	defer func() {
		c.inEvent = false
		if !whole {
			invariant.Check(false, "the module handles every event", what, recover(), string(debug.Stack()))
		}
	}()
	event(c.Now())
	whole = true
}

// UpdateEndpoints, ListFailed, News and Probed pass on what was told.
func (c *Core) UpdateEndpoints(update policy.EndpointUpdate) {
	c.checkClockStep()
	c.noteReleases(update)
	c.handleEvent("list", func(now float64) { c.instance.OnEndpoints(now, update) })
}

func (c *Core) EndpointsFailed() {
	c.handleEvent("list failed", func(now float64) { c.instance.OnEndpointsFailed(now) })
}

func (c *Core) UpdateRelease(update policy.ReleaseUpdate) {
	c.handleEvent("news", func(now float64) { c.instance.OnReleaseUpdate(now, update) })
}

func (c *Core) ReportProbe(result policy.ProbeResult) {
	c.handleEvent("probed", func(now float64) { c.instance.OnProbeResult(now, result) })
}

// ---- timers: one clock timer for all, set to the earliest

func (c *Core) timerFired() {
	c.handleEvent("timer", func(now float64) {
		for len(c.timers) > 0 && c.timers[0].at <= now && c.timers[0].ofInstance() {
			c.instance.OnTimer(now, heap.Pop(&c.timers).(timer).token)
		}
	})
	c.mu.Lock() // apart from the event: should that fail, the timers go on
	now, late := c.Now(), []*Request(nil)
	for len(c.timers) > 0 && c.timers[0].at <= now && !c.timers[0].ofInstance() {
		e := heap.Pop(&c.timers).(timer)
		if e.attempt != nil {
			e.attempt.expire()
		} else if !e.request.ended || e.request.openAttempts > 0 {
			late = append(late, e.request)
		}
	}
	c.rescheduleTimers(now)
	c.mu.Unlock()
	for _, t := range late {
		t.watchdog()
	}
}

func (c *Core) rescheduleTimers(now float64) {
	if len(c.timers) > 0 {
		c.wakeTimer.Reset(max(time.Duration((c.timers[0].at-now)*1e6)+time.Microsecond, minTimerInterval))
	}
}

// timer is one of the module's, a request's watchdog or the end of an attempt's time.
type timer struct {
	at      float64
	token   uint64
	request *Request
	attempt *Attempt
}

func (e timer) ofInstance() bool { return e.request == nil && e.attempt == nil }

type timers []timer

func (h timers) Len() int           { return len(h) }
func (h timers) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timers) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *timers) Push(x any)        { *h = append(*h, x.(timer)) }
func (h *timers) Pop() any {
	x := (*h)[len(*h)-1]
	(*h)[len(*h)-1] = timer{}
	*h = (*h)[:len(*h)-1]
	return x
}

// ---- a request

// ActionKind is what a request's handler is asked to do.
type ActionKind uint8

const (
	ActionSendAttempt ActionKind = iota
	ActionServe                  // answer with Answer
	ActionReject                 // trying again is harmless, after Wait
	ActionFail
	ActionAbandon // the client has gone: no answer
)

// Action is one entry of a request's mailbox.
type Action struct {
	Kind       ActionKind
	Attempt    *Attempt
	RetryAfter float64
	Answer     any
	Reason     string // one word: why the request ended so
}

// Request is one request from its arrival to its last attempt's end.
type Request struct {
	ID                   string
	IdempotencyKey       string // against repeats, where the product has one
	Class                int
	ArrivedAt            float64
	Deadline             float64
	core                 *Core
	interceptorState     []any   // what each part keeps of it
	reservedTime         float64 // ms of the client's time, for the parts
	interceptorsNotified bool    // its parts know that it is answered
	servedBy             *Attempt
	lastStatus           policy.AttemptStatus // of the attempt that ended last
	startAttempt         func(*Attempt)
	current              *Attempt // that its handler carries out
	wakeup               chan struct{}
	actions              []Action
	attempts             []*Attempt
	openAttempts         int
	ended                bool // answered, or the client has gone
}

// Arrival is a request as a front has read it. Times are ms of Core.Now.
type Arrival struct {
	ID             string
	Key            string // requests with one key belong together; empty: it has none
	IdempotencyKey string
	Class          int
	Retry          bool // the client marks it as a repeat
	ArrivedAt      float64
	TimeLeft       float64 // from ArrivedAt on
	// RejectReason is one word where the front has no room for the request: it is rejected like any other, without the decisions.
	RejectReason string
	// StartAttempt carries out an attempt that is wanted while the handler carries out another, in a goroutine of its own.
	StartAttempt func(*Attempt)
}

// Accept hands a new request to the decisions. It returns nil where a request with that id is held already.
func (c *Core) Accept(a Arrival) (t *Request) {
	t = &Request{ID: a.ID, IdempotencyKey: a.IdempotencyKey, Class: a.Class, ArrivedAt: a.ArrivedAt, Deadline: a.ArrivedAt + a.TimeLeft,
		core: c, startAttempt: a.StartAttempt}
	reason := a.RejectReason
	if reason == "" {
		reason = t.admit(a.TimeLeft)
	}
	if reason != "" {
		t.rejectUnadmitted(reason)
		return t
	}
	c.handleEvent("request", func(now float64) {
		if c.requests[a.ID] != nil {
			t = nil
			return
		}
		if c.requests[a.ID] = t; c.leaving { // under the lock: a request that crosses the signal is either held by then, or sees it
			t.Deadline = min(t.Deadline, c.shutdownDeadline)
		}
		c.counts.Accepted++
		heap.Push(&c.timers, timer{at: t.Deadline + watchdogDelay, request: t})
		if c.timers[0].request == t {
			c.rescheduleTimers(now)
		}
		c.instance.OnRequest(now, policy.Request{ID: a.ID, Key: a.Key, Class: a.Class, Retry: a.Retry, TimeLeft: t.Deadline - now})
	})
	return t
}

// Age is how long (ms) ago the request came.
func (t *Request) Age() float64 { return t.core.Now() - t.ArrivedAt }

// NextAction waits for the next action.
func (t *Request) NextAction() Action {
	for {
		t.core.mu.Lock()
		if t.current = nil; len(t.actions) > 0 {
			a := t.actions[0]
			t.actions = t.actions[1:]
			for a.Kind == ActionSendAttempt && len(t.actions) > 0 && t.actions[0].Kind == ActionSendAttempt { // none waits for another's end
				go t.startAttempt(t.actions[0].Attempt)
				t.actions = t.actions[1:]
			}
			t.current = a.Attempt
			t.core.mu.Unlock()
			t.beforeResponse(&a)
			return a
		}
		if t.wakeup == nil {
			t.wakeup = make(chan struct{}, 1)
		}
		t.core.mu.Unlock()
		<-t.wakeup
	}
}

func (t *Request) post(a Action) {
	if a.Kind == ActionSendAttempt && t.current != nil {
		go t.startAttempt(a.Attempt)
		return
	}
	t.actions = append(t.actions, a)
	if t.wakeup != nil {
		select {
		case t.wakeup <- struct{}{}:
		default:
		}
	}
}

// finish is the one place where a request gets its final answer.
func (t *Request) finish(a Action, count *int) {
	if !t.ended {
		t.ended = true
		a.Reason = t.reason(a)
		*count++
		t.post(a)
		t.forget()
	}
}

func (t *Request) forget() {
	if t.ended && t.openAttempts == 0 && t.core.requests[t.ID] == t {
		delete(t.core.requests, t.ID)
	}
}

// watchdog is the standing watchdog: whatever failed, a request taken is answered and its attempts end. The module is woken
// first, for its own timer may only be as late as this one.
func (t *Request) watchdog() {
	t.core.handleEvent("watchdog", func(now float64) {
		if !t.ended {
			t.core.instance.OnTimer(now, 0)
		}
		if !invariant.Check(t.ended, "every request is answered in time", t.ID) {
			t.finish(Action{Kind: ActionFail, Reason: "watchdog"}, &t.core.counts.Failed)
			t.core.instance.OnClientGone(now, t.ID)
		}
	})
	t.core.mu.Lock()
	defer t.core.mu.Unlock()
	for _, s := range t.attempts {
		s.expire()
	}
}

// ClientGone tells that the client has gone. What has not been written yet stays unwritten, whether or not an attempt under
// way may be called off: nobody waits for it.
func (t *Request) ClientGone() {
	t.core.handleEvent("hangup", func(now float64) {
		if !t.ended {
			t.finish(Action{Kind: ActionAbandon}, &t.core.counts.ClientGone)
			t.core.instance.OnClientGone(now, t.ID)
			for _, s := range t.attempts {
				if !s.ended && !s.sent && !s.canceled {
					s.canceled = true
					s.cancelCall()
				}
			}
		}
	})
}

// Close ends a request's handling. Where no answer was given the handler has failed; attempts that nobody took up were
// never sent.
func (t *Request) Close() {
	t.core.mu.Lock()
	over, mail := t.ended, t.actions
	t.actions = nil
	t.core.mu.Unlock()
	if !t.interceptorsNotified {
		t.closeInterceptors()
	}
	if !over {
		t.ClientGone()
	}
	for _, a := range mail {
		if a.Kind == ActionSendAttempt {
			a.Attempt.Finish(policy.StatusNotSent, nil, policy.LoadReport{})
		}
	}
}

// Canceler is a call under way that can be interrupted without waiting.
type Canceler interface{ Cancel() }

// Attempt is one try at an appliance.
type Attempt struct {
	Backend   string
	Release   policy.ReleaseID // as listed when it went out
	Deadline  float64
	request   *Request
	number    int
	startedAt float64
	ended     bool
	canceled  bool // off, by the module, or before it was sent since its client has gone
	timedOut  bool // its time is up
	sent      bool // its bytes may be on their way
	canceler  Canceler
}

// RequestID is the id of the request that it belongs to.
func (s *Attempt) RequestID() string { return s.request.ID }

// Number counts a request's attempts from 0.
func (s *Attempt) Number() int { return s.number }

// Elapsed is how long (ms) ago it was decided.
func (s *Attempt) Elapsed() float64 { return s.request.core.Now() - s.startedAt }

// SetCanceler names what is to be interrupted when the attempt is called off, or nothing any more; it tells how it stands.
func (s *Attempt) SetCanceler(halt Canceler) (called, late bool) {
	c := s.request.core
	c.mu.Lock()
	defer c.mu.Unlock()
	s.canceler = halt
	return s.canceled, s.timedOut
}

// MarkSent is Begin for the moment at which the call's bytes go out: unless it has been called off or is late, it counts as
// sent from here on. What was decided before its connection came up may not hold any more: the module is asked once again.
func (s *Attempt) MarkSent(halt Canceler) (called, late bool) {
	c := s.request.core
	c.mu.Lock()
	defer c.mu.Unlock()
	if !s.canceled && !s.timedOut && !c.instance.MaySend(s.request.ID, s.number) {
		s.canceled = true
		c.counts.AttemptsWithheld++
	}
	if s.canceled || s.timedOut {
		s.canceler = nil
	} else {
		s.canceler, s.sent = halt, true
	}
	return s.canceled, s.timedOut
}

func (s *Attempt) expire() {
	if !s.ended && !s.canceled {
		s.timedOut = true
		s.cancelCall()
	}
}

func (s *Attempt) cancelCall() {
	if s.canceler != nil {
		s.canceler.Cancel()
	}
}

// Finish tells how an attempt ended; the first answer of all goes to the client.
func (s *Attempt) Finish(r policy.AttemptStatus, answer any, load policy.LoadReport) {
	t, c := s.request, s.request.core
	c.handleEvent("outcome", func(now float64) {
		if !invariant.Check(!s.ended, "one outcome for each attempt", t.ID, s.number) {
			return
		}
		s.ended = true
		if t.current == s {
			t.current = nil
		}
		t.openAttempts--
		c.counts.OpenAttempts--
		c.counts.AttemptsByStatus[r]++
		if !t.ended {
			t.lastStatus = r
		}
		if r == policy.StatusServed {
			if !t.ended {
				t.servedBy = s
			}
			t.finish(Action{Kind: ActionServe, Answer: answer}, &c.counts.Served)
		}
		c.instance.OnAttemptResult(now, policy.AttemptResult{RequestID: t.ID, Attempt: s.number, Status: r, Final: t.ended, Took: now - s.startedAt,
			Load: load})
		t.forget()
	})
}

// ---- the port: the module's actions, all under the lock

type port Core

func (p *port) heldRequest(id string) *Request {
	invariant.Check(p.inEvent, "the lock is held when the module acts", id)
	return p.requests[id]
}

func (p *port) SendAttempt(id, appliance string, limit float64) {
	t, now := p.heldRequest(id), (*Core)(p).Now()
	if t == nil {
		invariant.Check(false, "an attempt belongs to a request that is held", id)
		return
	}
	s := &Attempt{Backend: appliance, Release: p.releases[appliance], Deadline: t.Deadline, request: t, number: len(t.attempts), startedAt: now}
	if limit > 0 && now+limit < s.Deadline {
		s.Deadline = now + limit
		heap.Push(&p.timers, timer{at: s.Deadline, attempt: s})
		(*Core)(p).rescheduleTimers(now)
	}
	t.attempts = append(t.attempts, s)
	t.openAttempts++
	p.counts.OpenAttempts++
	if !invariant.Check(!t.ended, "no attempt after the end", id) {
		go s.Finish(policy.StatusNotSent, nil, policy.LoadReport{})
		return
	}
	t.post(Action{Kind: ActionSendAttempt, Attempt: s})
}

func (p *port) Reject(id string, wait float64) {
	if t := p.heldRequest(id); t != nil {
		t.finish(Action{Kind: ActionReject, RetryAfter: wait}, &p.counts.Rejected)
	}
}

func (p *port) Fail(id string) {
	if t := p.heldRequest(id); t != nil {
		t.finish(Action{Kind: ActionFail}, &p.counts.Failed)
	}
}

func (p *port) CancelAttempt(id string, attempt int) {
	if t := p.heldRequest(id); t != nil && attempt >= 0 && attempt < len(t.attempts) {
		t.attempts[attempt].canceled = true
		t.attempts[attempt].cancelCall()
	}
}

func (p *port) SendVote(release policy.ReleaseID, verdict policy.Verdict, stage int) {
	if !p.leaving {
		p.transport.SendVote(release, verdict, stage)
	}
}

func (p *port) SendProbe(appliance string) { p.transport.SendProbe(appliance) }

// SendMessage has no protocol yet: live agents share nothing.
func (p *port) SendMessage(int, []byte) {}

func (p *port) SetTimer(after float64, token uint64) {
	now := (*Core)(p).Now()
	heap.Push(&p.timers, timer{at: now + after, token: token})
	if p.timers[0].ofInstance() && p.timers[0].token == token {
		(*Core)(p).rescheduleTimers(now)
	}
}

func (p *port) WatchEndpoints() { p.transport.WatchEndpoints() }

func (p *port) FetchEndpoints() { p.transport.FetchEndpoints() }

func (p *port) Log(line string) {
	select {
	case p.logLines <- line:
	default: // a full log must not hold the lock
	}
}
