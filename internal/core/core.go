// Package core hosts one decision module for a live agent. It owns the lock under which every event enters, the clock
// and timers that the module is handed, the mailbox of each txn and the guard that sees each txn answered. It must
// never choose anything that the module could, never block under the lock, and never know a wire: a second protocol
// would stand on it as the first does.
package core

import (
	"container/heap"
	"context"
	"runtime/debug"
	"sync"
	"time"

	"onyxgate/internal/must"
	"onyxgate/policy"
)

// Calls are the module's actions that belong to no txn. Each starts something and returns at once.
type Calls interface {
	Vote(build int, verdict policy.Verdict, stage int)
	Probe(appliance string)
	Subscribe()
	FetchList()
}

// guardLate is how far past a txn's time the guard looks: the module answers before it, and a client's time is kept
// within some tens of milliseconds more.
const guardLate = 15 * time.Millisecond

// Core is one live agent's module with all that it needs to run.
type Core struct {
	mu      sync.Mutex
	inside  bool // an event is being handled
	agent   *policy.Agent
	calls   Calls
	from    time.Time
	fromMs  float64
	txns    map[string]*Txn
	timers  timers
	wake    *time.Timer
	lines   chan string
	leaving bool
	counts  Counts
}

// Counts are what has been since the start, and what is open now.
type Counts struct {
	Taken, Settled, Declined, Voided, Gone int
	Ends                                   [policy.Moot + 1]int // submissions, by result
	Open, Out, Timers                      int
}

// New starts the clock; no event may come before Start.
func New(calls Calls) *Core {
	now := time.Now()
	return &Core{calls: calls, from: now, fromMs: float64(now.UnixNano()) / 1e6, txns: map[string]*Txn{},
		lines: make(chan string, 256)}
}

// Start makes the module.
func (c *Core) Start(module func(policy.Port) *policy.Agent) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wake = time.AfterFunc(time.Hour, c.ring)
	c.agent = module((*port)(c))
}

// Now is Unix time in milliseconds at the start and runs on evenly from there: a step of the machine's clock must not
// reach the module.
func (c *Core) Now() float64 { return c.fromMs + float64(time.Since(c.from))/1e6 }

// Lines are the module's own log lines.
func (c *Core) Lines() <-chan string { return c.lines }

// Counts are the counts now.
func (c *Core) Counts() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.counts
	n.Open, n.Timers = len(c.txns), len(c.timers)
	return n
}

// Leave ends the votes: what an agent that goes has seen is no longer its to judge by.
func (c *Core) Leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving = true
}

// enter hands one event to the module with the time read under the lock. A panic there must cost one event, not all
// the txns that the agent holds.
func (c *Core) enter(what string, event func(now float64)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inside = true
	whole := false
	defer func() {
		c.inside = false
		if !whole {
			must.Hold(false, "the module handles every event", what, recover(), string(debug.Stack()))
		}
	}()
	event(c.Now())
	whole = true
}

// List, ListFailed, News and Probed pass on what was told.
func (c *Core) List(entries []policy.Listed, whole, old bool) {
	c.enter("list", func(now float64) { c.agent.List(now, entries, whole, old) })
}

func (c *Core) ListFailed() { c.enter("list failed", func(now float64) { c.agent.ListFailed(now) }) }

func (c *Core) News(build, stage int, phase policy.Phase, reply policy.Reply, limit, age float64, told bool) {
	c.enter("news", func(now float64) { c.agent.News(now, build, stage, phase, reply, limit, age, told) })
}

func (c *Core) Probed(appliance string, ok bool, took, waiting, busy float64) {
	c.enter("probed", func(now float64) { c.agent.Probed(now, appliance, ok, took, waiting, busy) })
}

// ---- timers: one clock timer for all, set to the earliest

func (c *Core) ring() {
	c.enter("timer", func(now float64) {
		for len(c.timers) > 0 && c.timers[0].at <= now {
			c.agent.Wake(now, heap.Pop(&c.timers).(timer).token)
		}
	})
	c.mu.Lock() // apart from the event: should that fail, the timers go on
	defer c.mu.Unlock()
	c.rewind(c.Now())
}

func (c *Core) rewind(now float64) {
	if len(c.timers) > 0 {
		// Up to the next microsecond: a timer that rings early would ring again at once.
		c.wake.Reset(time.Duration((c.timers[0].at-now)*1e6) + time.Microsecond)
	}
}

type timer struct {
	at    float64
	token uint64
}

type timers []timer

func (h timers) Len() int           { return len(h) }
func (h timers) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timers) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *timers) Push(x any)        { *h = append(*h, x.(timer)) }
func (h *timers) Pop() any {
	x := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return x
}

// ---- a txn

// Do is what a txn's handler is asked to do.
type Do uint8

const (
	Submit  Do = iota
	Settle     // answer with Answer
	Decline    // trying again is harmless, after Wait
	Void
)

// Action is one entry of a txn's mailbox.
type Action struct {
	Do        Do
	Sub       *Submission
	Appliance string
	Wait      float64
	Answer    any
}

// Txn is one txn from its arrival to its last submission's end.
type Txn struct {
	ID     string
	Expiry float64
	core   *Core
	bell   chan struct{}
	mail   []Action
	subs   []*Submission
	out    int
	over   bool // answered, or the client has gone
	guard  *time.Timer
}

// Take hands a new txn to the module; left runs from the time at which it came. Nil: that id is held already.
func (c *Core) Take(came float64, id, key string, product int, again bool, left float64) (t *Txn) {
	c.enter("txn", func(now float64) {
		if c.txns[id] != nil {
			return
		}
		t = &Txn{ID: id, Expiry: came + left, core: c, bell: make(chan struct{}, 1)}
		c.txns[id] = t
		c.counts.Taken++
		t.guard = time.AfterFunc(time.Duration((t.Expiry-now)*1e6)+guardLate, t.late)
		c.agent.Txn(now, id, key, product, 0, again, t.Expiry-now, 0)
	})
	return t
}

// Bell rings when there is mail.
func (t *Txn) Bell() <-chan struct{} { return t.bell }

// Mail takes what has come.
func (t *Txn) Mail() []Action {
	t.core.mu.Lock()
	defer t.core.mu.Unlock()
	mail := t.mail
	t.mail = nil
	return mail
}

func (t *Txn) post(a Action) {
	t.mail = append(t.mail, a)
	select {
	case t.bell <- struct{}{}:
	default:
	}
}

// finish is the one place where a txn gets its final answer.
func (t *Txn) finish(a Action, count *int) {
	if !t.over {
		t.over = true
		*count++
		t.guard.Stop()
		t.post(a)
		t.forget()
	}
}

func (t *Txn) forget() {
	if t.over && t.out == 0 && t.core.txns[t.ID] == t {
		delete(t.core.txns, t.ID)
	}
}

// late is the standing guard: whatever failed, a txn taken is answered. The module is woken first, for its own
// timer may only be as late as this one.
func (t *Txn) late() {
	if t.core.ring(); t.core.answered(t) {
		return
	}
	must.Hold(false, "every txn is answered in time", t.ID)
	t.core.enter("guard", func(now float64) {
		t.finish(Action{Do: Void}, &t.core.counts.Voided)
		t.core.agent.Hangup(now, t.ID)
	})
}

func (c *Core) answered(t *Txn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return t.over
}

// Close ends a txn's handling. Where no answer was given the client has gone, or the handler failed; submissions
// that nobody took up were never sent.
func (t *Txn) Close() {
	t.core.enter("hangup", func(now float64) {
		if !t.over {
			t.over = true
			t.core.counts.Gone++
			t.guard.Stop()
			t.core.agent.Hangup(now, t.ID)
			t.forget()
		}
	})
	for _, a := range t.Mail() {
		if a.Do == Submit {
			a.Sub.End(policy.Moot, nil, -1, -1)
		}
	}
}

// Submission is one try at an appliance. Its context ends when the module calls it off or its time is up.
type Submission struct {
	Ctx    context.Context
	Until  float64
	cancel context.CancelFunc
	txn    *Txn
	n      int
	at     float64
	over   bool
}

// End tells how a submission ended; the first answer of all goes to the client.
func (s *Submission) End(r policy.Result, answer any, waiting, busy float64) {
	t, c := s.txn, s.txn.core
	c.enter("outcome", func(now float64) {
		if !must.Hold(!s.over, "one outcome for each submission", t.ID, s.n) {
			return
		}
		s.over = true
		s.cancel()
		t.out--
		c.counts.Out--
		c.counts.Ends[r]++
		if r == policy.Settled {
			t.finish(Action{Do: Settle, Answer: answer}, &c.counts.Settled)
		}
		c.agent.Outcome(now, t.ID, s.n, r, t.over, now-s.at, waiting, busy)
		t.forget()
	})
}

// ---- the port: the module's actions, all under the lock

type port Core

func (p *port) held(id string) *Txn {
	must.Hold(p.inside, "the lock is held when the module acts", id)
	return p.txns[id]
}

func (p *port) Submit(id, appliance string, limit float64) {
	t, now := p.held(id), (*Core)(p).Now()
	if t == nil {
		must.Hold(false, "a submission belongs to a txn that is held", id)
		return
	}
	until := t.Expiry
	if limit > 0 {
		until = min(until, now+limit)
	}
	s := &Submission{Until: until, txn: t, n: len(t.subs), at: now}
	s.Ctx, s.cancel = context.WithDeadline(context.Background(), time.Now().Add(time.Duration((until-now)*1e6)))
	t.subs = append(t.subs, s)
	t.out++
	p.counts.Out++
	if !must.Hold(!t.over, "no submission after the end", id) {
		go s.End(policy.Moot, nil, -1, -1)
		return
	}
	t.post(Action{Do: Submit, Sub: s, Appliance: appliance})
}

func (p *port) Decline(id string, wait float64) {
	if t := p.held(id); t != nil {
		t.finish(Action{Do: Decline, Wait: wait}, &p.counts.Declined)
	}
}

func (p *port) Void(id string) {
	if t := p.held(id); t != nil {
		t.finish(Action{Do: Void}, &p.counts.Voided)
	}
}

func (p *port) Revoke(id string, submission int) {
	if t := p.held(id); t != nil && submission >= 0 && submission < len(t.subs) {
		t.subs[submission].cancel()
	}
}

func (p *port) Vote(build int, verdict policy.Verdict, stage int) {
	if !p.leaving {
		p.calls.Vote(build, verdict, stage)
	}
}

func (p *port) Probe(appliance string) { p.calls.Probe(appliance) }

// Tell has no protocol yet: live agents share nothing.
func (p *port) Tell(int, []byte) {}

func (p *port) Timer(after float64, token uint64) {
	now := (*Core)(p).Now()
	heap.Push(&p.timers, timer{now + after, token})
	if p.timers[0].token == token {
		(*Core)(p).rewind(now)
	}
}

func (p *port) Subscribe() { p.calls.Subscribe() }

func (p *port) FetchList() { p.calls.FetchList() }

func (p *port) Log(line string) {
	select {
	case p.lines <- line:
	default: // a full log must not hold the lock
	}
}
