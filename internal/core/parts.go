package core

// This file owns the points at which other parts of an agent join the path of a request, whichever front it came by: may it
// enter, what will be answered, what was answered, it has gone. It must never know a part by name, call one under the
// lock, or let one choose what the module chooses: a part may turn a request away before the module has it, and no later.

import (
	"onyxgate/policy"
)

// Part follows every request. Its methods are called from the requests' own goroutines, many at once.
type Part interface {
	// Enter is asked before the module has a request: what it keeps back (ms) of the client's time for its own work between the
	// decision and the answer, and one word where the request is to be declined at once. It must not wait.
	Enter(now float64) (reserve float64, why string)
	// Answering comes before the answer's first byte and may hold it until `until` (ms, the clock of Core.Now) and no
	// longer. What it returns is handed to Answered.
	Answering(e Ending, until float64) any
	// Answered comes after the last byte, or once that can't be written any more: whole tells which.
	Answered(kept any, now float64, whole bool)
	// Gone comes instead of both where nothing was answered: the client had left.
	Gone(now float64)
}

// Ending is what a request's end is made of. Times are ms, Unix time at the start and even from there.
type Ending struct {
	Request, Mark string
	Product       int
	Do            Do     // Settle, Decline or Void
	Reason        string // one word
	Appliance     string // that answered, or empty
	Build         int
	Attempts      int
	Taken, Now    float64
	Body          []byte // as the client gets it; nil unless settled
}

// answerNear (ms): a part may hold an answer to so long before the client's time is up, for the answer still has to be
// written.
const answerNear = 6.0

// Join adds a part; before the first request only.
func (c *Core) Join(p Part) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.parts = append(c.parts, p)
}

// carries notes which build each appliance runs.
func (c *Core) carries(entries []policy.Endpoint, whole bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if whole {
		clear(c.builds)
	}
	for _, e := range entries {
		if e.State == policy.EndpointRemoved {
			delete(c.builds, e.ID)
		} else {
			c.builds[e.ID] = e.Release
		}
	}
}

// Followed tells that parts follow the request, so that the end of its answer is of interest.
func (t *Request) Followed() bool { return t != nil && len(t.core.parts) > 0 }

// ask asks the parts whether the request may enter; else it returns why not.
func (t *Request) ask(left float64) (why string) {
	for _, p := range t.core.parts {
		reserve, why := p.Enter(t.core.Now())
		if why != "" {
			return why
		}
		// Of a short time no more than a quarter: the request still has to run.
		reserve = min(reserve, left/4)
		t.Expiry -= reserve
		t.reserved += reserve
	}
	return ""
}

// turnAway declines a request that never reaches the module; it is answered like any other.
func (t *Request) turnAway(why string) {
	t.core.mu.Lock()
	defer t.core.mu.Unlock()
	t.core.counts.Taken++
	t.finish(Action{Do: Decline, Reason: why}, &t.core.counts.Declined)
}

// words are the reasons that attempts' ends give.
var words = [...]string{policy.StatusServed: "answered", policy.StatusErrored: "errored", policy.StatusRejected: "rejected",
	policy.StatusTimedOut: "timeout", policy.StatusConnectFailed: "unconnected", policy.StatusReset: "broken", policy.StatusCanceled: "revoked",
	policy.StatusNotSent: "unsent"}

// reason is one word for why a request ended as it did; under the lock.
func (t *Request) reason(a Action) string {
	switch {
	case a.Reason != "":
		return a.Reason
	case a.Do == Settle:
		return words[policy.StatusServed]
	case len(t.attempts) == 0:
		return "none" // nothing was tried
	case t.out > 0 || t.last == 0:
		return "late" // nothing had come back yet
	}
	return words[t.last]
}

// join tells the parts what will be answered, or that nothing will.
func (t *Request) join(a *Action) {
	if len(t.core.parts) == 0 || a.Do == Submit {
		return
	}
	if a.Do == Leave {
		t.gone()
		return
	}
	t.said = true
	e := Ending{Request: t.ID, Mark: t.Mark, Product: t.Product, Do: a.Do, Reason: a.Reason, Taken: t.Came, Now: t.core.Now()}
	t.core.mu.Lock()
	e.Attempts = len(t.attempts)
	if t.by != nil && a.Do == Settle {
		e.Appliance, e.Build = t.by.Appliance, t.by.Build
	}
	t.core.mu.Unlock()
	if bytes, ok := a.Answer.(interface{ Bytes() []byte }); ok && a.Do == Settle {
		e.Body = bytes.Bytes()
	}
	t.kept = make([]any, len(t.core.parts))
	for i, p := range t.core.parts {
		t.kept[i] = p.Answering(e, t.Expiry+t.reserved-answerNear)
	}
}

// Fail voids a request whose handler has failed before it answered.
func (t *Request) Fail() {
	a := Action{Do: Void, Reason: "failed"}
	t.core.mu.Lock()
	if !t.over {
		t.finish(a, &t.core.counts.Voided)
	}
	t.core.mu.Unlock()
	if !t.said {
		t.join(&a)
	}
}

// Answered tells that the answer's last byte was written, or that it can't be.
func (t *Request) Answered(whole bool) {
	if len(t.kept) == 0 {
		return
	}
	now := t.core.Now()
	for i, p := range t.core.parts {
		p.Answered(t.kept[i], now, whole)
	}
	t.kept = nil
}

func (t *Request) gone() {
	t.said = true
	for _, p := range t.core.parts {
		p.Gone(t.core.Now())
	}
}
