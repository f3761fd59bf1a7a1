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

// Calls are the module's actions that belong to no request. Each starts something and returns at once.
type Calls interface {
	Vote(build int, verdict policy.Verdict, stage int)
	Probe(appliance string)
	Subscribe()
	FetchList()
}

const (
	// watchdogLate (ms) is how far past a request's time the watchdog looks: the module answers before it, and a client's time is
	// kept within some tens of milliseconds more.
	watchdogLate = 15.0
	// ringApart: two alarms a request would else wake the agent ten thousand times a second, a few at a time.
	ringApart = time.Millisecond
)

// Core is one live agent's module with all that it needs to run.
type Core struct {
	mu       sync.Mutex
	inside   bool // an event is being handled
	agent    *policy.Instance
	calls    Calls
	clock    clock
	requests map[string]*Request
	timers   timers
	wake     *time.Timer
	lines    chan string
	leaving  bool
	by       float64 // while leaving: when everything has its answer
	counts   Counts
	parts    []Part         // never changed once requests come
	builds   map[string]int // appliances' builds as listed
}

// Counts are what has been since the start, and what is open now.
type Counts struct {
	Taken, Settled, Declined, Voided, Gone int
	Ends                                   [policy.StatusNotSent + 1]int // attempts, by result
	Open, Out, Timers                      int
	Withdrawn                              int // attempts that might not go out any more when their connection was up
	Releases                               policy.ReleaseStatus
}

// New starts the clock; no event may come before Start.
func New(calls Calls) *Core {
	return &Core{calls: calls, clock: newClock(), requests: map[string]*Request{},
		builds: map[string]int{}, lines: make(chan string, 256)}
}

// Start makes the module.
func (c *Core) Start(module func(policy.Port) *policy.Instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wake = time.AfterFunc(time.Hour, c.ring)
	c.agent = module((*port)(c))
}

// Now is Unix time in milliseconds at the start and runs on evenly from there: a step of the machine's clock must not
// reach the module.
func (c *Core) Now() float64 { return c.clock.now() }

// Lines are the module's own log lines.
func (c *Core) Lines() <-chan string { return c.lines }

// Counts are the counts now. They are asked for every second, so the clock is looked at too.
func (c *Core) Counts() Counts {
	c.lookAtClock()
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.counts
	n.Open, n.Timers = len(c.requests), len(c.timers)
	if c.agent != nil {
		n.Releases = c.agent.ReleaseStatus()
	}
	return n
}

// Leave ends the votes: what an agent that goes has seen is no longer its to judge by. What is held now, and what is taken
// from here on, has its answer by then.
func (c *Core) Leave(by float64) {
	c.enter("leave", func(now float64) {
		c.leaving, c.by = true, by
		for _, t := range c.requests {
			t.Expiry = min(t.Expiry, by)
		}
		c.agent.OnShutdown(now, by)
	})
}

// enter hands one event to the module with the time read under the lock. A panic there must cost one event, not all
// the requests that the agent holds.
func (c *Core) enter(what string, event func(now float64)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inside = true
	whole := false
	defer func() {
		c.inside = false
		if !whole {
			invariant.Hold(false, "the module handles every event", what, recover(), string(debug.Stack()))
		}
	}()
	event(c.Now())
	whole = true
}

// List, ListFailed, News and Probed pass on what was told.
func (c *Core) List(entries []policy.Endpoint, whole, old bool) {
	c.lookAtClock()
	c.carries(entries, whole)
	c.enter("list", func(now float64) { c.agent.OnEndpoints(now, entries, whole, old) })
}

func (c *Core) ListFailed() {
	c.enter("list failed", func(now float64) { c.agent.OnEndpointsFailed(now) })
}

func (c *Core) News(build, stage int, phase policy.Phase, reply policy.VoteResponse, limit, age float64, told bool) {
	c.enter("news", func(now float64) { c.agent.OnReleaseUpdate(now, build, stage, phase, reply, limit, age, told) })
}

func (c *Core) Probed(appliance string, ok bool, took, waiting, busy float64) {
	c.enter("probed", func(now float64) { c.agent.OnProbeResult(now, appliance, ok, took, waiting, busy) })
}

// ---- timers: one clock timer for all, set to the earliest

func (c *Core) ring() {
	c.enter("timer", func(now float64) {
		for len(c.timers) > 0 && c.timers[0].at <= now && c.timers[0].module() {
			c.agent.OnTimer(now, heap.Pop(&c.timers).(timer).token)
		}
	})
	c.mu.Lock() // apart from the event: should that fail, the timers go on
	now, late := c.Now(), []*Request(nil)
	for len(c.timers) > 0 && c.timers[0].at <= now && !c.timers[0].module() {
		e := heap.Pop(&c.timers).(timer)
		if e.sub != nil {
			e.sub.timeOut()
		} else if !e.request.over || e.request.out > 0 {
			late = append(late, e.request)
		}
	}
	c.rewind(now)
	c.mu.Unlock()
	for _, t := range late {
		t.late()
	}
}

func (c *Core) rewind(now float64) {
	if len(c.timers) > 0 {
		c.wake.Reset(max(time.Duration((c.timers[0].at-now)*1e6)+time.Microsecond, ringApart))
	}
}

// timer is one of the module's, a request's watchdog or the end of an attempt's time.
type timer struct {
	at      float64
	token   uint64
	request *Request
	sub     *Attempt
}

func (e timer) module() bool { return e.request == nil && e.sub == nil }

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

// Do is what a request's handler is asked to do.
type Do uint8

const (
	Submit  Do = iota
	Settle     // answer with Answer
	Decline    // trying again is harmless, after Wait
	Void
	Leave // the client has gone: no answer
)

// Action is one entry of a request's mailbox.
type Action struct {
	Do     Do
	Sub    *Attempt
	Wait   float64
	Answer any
	Reason string // one word: why the request ended so
}

// Request is one request from its arrival to its last attempt's end.
type Request struct {
	ID       string
	Mark     string // against repeats, where the product has one
	Product  int
	Came     float64
	Expiry   float64
	core     *Core
	kept     []any   // what each part keeps of it
	reserved float64 // ms of the client's time, for the parts
	said     bool    // its parts know that it is answered
	by       *Attempt
	last     policy.AttemptStatus // of the attempt that ended last
	start    func(*Attempt)
	under    *Attempt // that its handler carries out
	bell     chan struct{}
	mail     []Action
	attempts []*Attempt
	out      int
	over     bool // answered, or the client has gone
}

// Take hands a new request to the module; left runs from the time at which it came. An attempt that is wanted while the
// handler carries out another goes to start, in a goroutine of its own. A front that has no room for a request says so by a
// word, full: it is then declined like any other, without the module. Nil: that id is held already.
func (c *Core) Take(came float64, id, key, mark string, product int, again bool, left float64, full string,
	start func(*Attempt)) (t *Request) {
	t = &Request{ID: id, Mark: mark, Product: product, Came: came, Expiry: came + left, core: c, start: start}
	if full == "" {
		full = t.ask(left)
	}
	if full != "" {
		t.turnAway(full)
		return t
	}
	c.enter("request", func(now float64) {
		if c.requests[id] != nil {
			t = nil
			return
		}
		if c.requests[id] = t; c.leaving { // under the lock: a request that crosses the signal is either held by then, or sees it
			t.Expiry = min(t.Expiry, c.by)
		}
		c.counts.Taken++
		heap.Push(&c.timers, timer{at: t.Expiry + watchdogLate, request: t})
		if c.timers[0].request == t {
			c.rewind(now)
		}
		c.agent.OnRequest(now, id, key, product, 0, again, t.Expiry-now, 0)
	})
	return t
}

// Age is how long (ms) ago the request came.
func (t *Request) Age() float64 { return t.core.Now() - t.Came }

// Next waits for the next action.
func (t *Request) Next() Action {
	for {
		t.core.mu.Lock()
		if t.under = nil; len(t.mail) > 0 {
			a := t.mail[0]
			t.mail = t.mail[1:]
			for a.Do == Submit && len(t.mail) > 0 && t.mail[0].Do == Submit { // none waits for another's end
				go t.start(t.mail[0].Sub)
				t.mail = t.mail[1:]
			}
			t.under = a.Sub
			t.core.mu.Unlock()
			t.join(&a)
			return a
		}
		if t.bell == nil {
			t.bell = make(chan struct{}, 1)
		}
		t.core.mu.Unlock()
		<-t.bell
	}
}

func (t *Request) post(a Action) {
	if a.Do == Submit && t.under != nil {
		go t.start(a.Sub)
		return
	}
	t.mail = append(t.mail, a)
	if t.bell != nil {
		select {
		case t.bell <- struct{}{}:
		default:
		}
	}
}

// finish is the one place where a request gets its final answer.
func (t *Request) finish(a Action, count *int) {
	if !t.over {
		t.over = true
		a.Reason = t.reason(a)
		*count++
		t.post(a)
		t.forget()
	}
}

func (t *Request) forget() {
	if t.over && t.out == 0 && t.core.requests[t.ID] == t {
		delete(t.core.requests, t.ID)
	}
}

// late is the standing watchdog: whatever failed, a request taken is answered and its attempts end. The module is woken
// first, for its own timer may only be as late as this one.
func (t *Request) late() {
	t.core.enter("watchdog", func(now float64) {
		if !t.over {
			t.core.agent.OnTimer(now, 0)
		}
		if !invariant.Hold(t.over, "every request is answered in time", t.ID) {
			t.finish(Action{Do: Void, Reason: "watchdog"}, &t.core.counts.Voided)
			t.core.agent.OnClientGone(now, t.ID)
		}
	})
	t.core.mu.Lock()
	defer t.core.mu.Unlock()
	for _, s := range t.attempts {
		s.timeOut()
	}
}

// Hangup tells that the client has gone. What has not been written yet stays unwritten, whether or not an attempt under
// way may be called off: nobody waits for it.
func (t *Request) Hangup() {
	t.core.enter("hangup", func(now float64) {
		if !t.over {
			t.finish(Action{Do: Leave}, &t.core.counts.Gone)
			t.core.agent.OnClientGone(now, t.ID)
			for _, s := range t.attempts {
				if !s.over && !s.sent && !s.called {
					s.called = true
					s.stop()
				}
			}
		}
	})
}

// Close ends a request's handling. Where no answer was given the handler has failed; attempts that nobody took up were
// never sent.
func (t *Request) Close() {
	t.core.mu.Lock()
	over, mail := t.over, t.mail
	t.mail = nil
	t.core.mu.Unlock()
	if !t.said {
		t.gone()
	}
	if !over {
		t.Hangup()
	}
	for _, a := range mail {
		if a.Do == Submit {
			a.Sub.End(policy.StatusNotSent, nil, -1, -1)
		}
	}
}

// Halter is a call under way that can be interrupted without waiting.
type Halter interface{ Halt() }

// Attempt is one try at an appliance.
type Attempt struct {
	Appliance string
	Build     int // as listed when it went out
	Until     float64
	request   *Request
	n         int
	at        float64
	over      bool
	called    bool // off, by the module, or before it was sent since its client has gone
	late      bool // its time is up
	sent      bool // its bytes may be on their way
	halt      Halter
}

// Request is the id of the request that it belongs to.
func (s *Attempt) Request() string { return s.request.ID }

// Number counts a request's attempts from 0.
func (s *Attempt) Number() int { return s.n }

// Took is how long (ms) ago it was decided.
func (s *Attempt) Took() float64 { return s.request.core.Now() - s.at }

// Begin names what is to be interrupted when the attempt is called off, or nothing any more; it tells how it stands.
func (s *Attempt) Begin(halt Halter) (called, late bool) {
	c := s.request.core
	c.mu.Lock()
	defer c.mu.Unlock()
	s.halt = halt
	return s.called, s.late
}

// Send is Begin for the moment at which the call's bytes go out: unless it has been called off or is late, it counts as
// sent from here on. What was decided before its connection came up may not hold any more: the module is asked once again.
func (s *Attempt) Send(halt Halter) (called, late bool) {
	c := s.request.core
	c.mu.Lock()
	defer c.mu.Unlock()
	if !s.called && !s.late && !c.agent.MaySend(s.request.ID, s.n) {
		s.called = true
		c.counts.Withdrawn++
	}
	if s.called || s.late {
		s.halt = nil
	} else {
		s.halt, s.sent = halt, true
	}
	return s.called, s.late
}

func (s *Attempt) timeOut() {
	if !s.over && !s.called {
		s.late = true
		s.stop()
	}
}

func (s *Attempt) stop() {
	if s.halt != nil {
		s.halt.Halt()
	}
}

// End tells how an attempt ended; the first answer of all goes to the client.
func (s *Attempt) End(r policy.AttemptStatus, answer any, waiting, busy float64) {
	t, c := s.request, s.request.core
	c.enter("outcome", func(now float64) {
		if !invariant.Hold(!s.over, "one outcome for each attempt", t.ID, s.n) {
			return
		}
		s.over = true
		if t.under == s {
			t.under = nil
		}
		t.out--
		c.counts.Out--
		c.counts.Ends[r]++
		if !t.over {
			t.last = r
		}
		if r == policy.StatusServed {
			if !t.over {
				t.by = s
			}
			t.finish(Action{Do: Settle, Answer: answer}, &c.counts.Settled)
		}
		c.agent.OnAttemptResult(now, t.ID, s.n, r, t.over, now-s.at, waiting, busy)
		t.forget()
	})
}

// ---- the port: the module's actions, all under the lock

type port Core

func (p *port) held(id string) *Request {
	invariant.Hold(p.inside, "the lock is held when the module acts", id)
	return p.requests[id]
}

func (p *port) SendAttempt(id, appliance string, limit float64) {
	t, now := p.held(id), (*Core)(p).Now()
	if t == nil {
		invariant.Hold(false, "an attempt belongs to a request that is held", id)
		return
	}
	s := &Attempt{Appliance: appliance, Build: p.builds[appliance], Until: t.Expiry, request: t, n: len(t.attempts), at: now}
	if limit > 0 && now+limit < s.Until {
		s.Until = now + limit
		heap.Push(&p.timers, timer{at: s.Until, sub: s})
		(*Core)(p).rewind(now)
	}
	t.attempts = append(t.attempts, s)
	t.out++
	p.counts.Out++
	if !invariant.Hold(!t.over, "no attempt after the end", id) {
		go s.End(policy.StatusNotSent, nil, -1, -1)
		return
	}
	t.post(Action{Do: Submit, Sub: s})
}

func (p *port) Reject(id string, wait float64) {
	if t := p.held(id); t != nil {
		t.finish(Action{Do: Decline, Wait: wait}, &p.counts.Declined)
	}
}

func (p *port) Fail(id string) {
	if t := p.held(id); t != nil {
		t.finish(Action{Do: Void}, &p.counts.Voided)
	}
}

func (p *port) CancelAttempt(id string, attempt int) {
	if t := p.held(id); t != nil && attempt >= 0 && attempt < len(t.attempts) {
		t.attempts[attempt].called = true
		t.attempts[attempt].stop()
	}
}

func (p *port) SendVote(build int, verdict policy.Verdict, stage int) {
	if !p.leaving {
		p.calls.Vote(build, verdict, stage)
	}
}

func (p *port) SendProbe(appliance string) { p.calls.Probe(appliance) }

// SendMessage has no protocol yet: live agents share nothing.
func (p *port) SendMessage(int, []byte) {}

func (p *port) SetTimer(after float64, token uint64) {
	now := (*Core)(p).Now()
	heap.Push(&p.timers, timer{at: now + after, token: token})
	if p.timers[0].module() && p.timers[0].token == token {
		(*Core)(p).rewind(now)
	}
}

func (p *port) WatchEndpoints() { p.calls.Subscribe() }

func (p *port) FetchEndpoints() { p.calls.FetchList() }

func (p *port) Log(line string) {
	select {
	case p.lines <- line:
	default: // a full log must not hold the lock
	}
}
