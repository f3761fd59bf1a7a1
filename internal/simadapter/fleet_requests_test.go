package simadapter

import "fmt"

// This file implements the fleet's clients, with their requests, attempts and retries.

// Outcomes of an attempt or a probe in the protocol.
const (
	outcomeServed = iota + 1
	outcomeErrored
	outcomeRejected
	outcomeTimedOut
	outcomeConnectFailed
	outcomeReset
	outcomeCanceled
	outcomeNotSent
)

const maxTries = 3 // maximum number of tries of one client

// clientTimeouts are the times (us) after which a client leaves in its first, second and third try.
var clientTimeouts = [maxTries]int64{4000 * millisecond, 2500 * millisecond, 1200 * millisecond}

type fleetAttempt struct {
	backend string
	sentAt  int64
	open    bool
}

type fleetRequest struct {
	id       string
	instance int
	seed     uint64 // seed of the instance when it accepted the request, which identifies its incarnation
	class    int
	key      string
	closed   bool // answered, or the client has left
	attempts []*fleetAttempt
	try      int // number of the client's try, from 1
}

// nextArrival sends a new request to an instance and schedules the next one.
func (f *fleet) nextArrival(index int) {
	f.schedule(f.randomTime(second/(f.rate*f.arrivalFactor)), func() { f.nextArrival(index) })
	key := ""
	if f.rng.IntN(4) > 0 { // some keys are much more popular than others
		key = fmt.Sprint("key/", min(f.rng.IntN(400), f.rng.IntN(400), f.rng.IntN(400)))
	}
	f.sendRequest(&fleetRequest{instance: index, class: f.rng.IntN(len(f.streamed)), key: key, try: 1})
}

// sendRequest sends a request under a new ID. One client in forty leaves before its timeout.
func (f *fleet) sendRequest(r *fleetRequest) {
	in := f.instances[r.instance]
	if !in.running {
		return
	}
	f.lastID++
	r.id, r.seed = fmt.Sprint("t/", f.lastID), in.seed
	in.requests[r.id] = r
	wait := clientTimeouts[min(r.try, maxTries)-1]
	f.send(r.instance, "knock", f.requestFields(r, wait))
	f.schedule(wait, func() { f.timeOut(r) })
	if f.rng.IntN(40) == 0 {
		f.schedule(f.randomTime(300*millisecond), func() { f.clientGone(r) })
	}
}

func (f *fleet) requestFields(r *fleetRequest, wait int64) map[string]any {
	fields := map[string]any{
		"request-id": r.id, "affinity": nil, "kind": r.class, "time-budget-us": wait, "is-retry": r.try > 1,
		"owner": nil, "hint-us": nil,
	}
	if r.key != "" {
		fields["affinity"] = r.key
	}
	if f.tenants > 0 {
		fields["owner"] = min(f.rng.IntN(f.tenants), f.rng.IntN(f.tenants))
	}
	if f.settings["hints"] == true {
		fields["hint-us"] = 2000 + f.randomTime(9000)
	}
	return fields
}

// instanceKilled reports whether the instance that accepted a request has been killed since.
func (f *fleet) instanceKilled(r *fleetRequest) bool { return f.instances[r.instance].seed != r.seed }

func (f *fleet) clientGone(r *fleetRequest) {
	if !r.closed && !f.instanceKilled(r) {
		r.closed = true
		f.send(r.instance, "hangup", map[string]any{"request-id": r.id})
	}
}

// timeOut ends the attempts of a request at its deadline. The client leaves shortly afterwards.
func (f *fleet) timeOut(r *fleetRequest) {
	for n, attempt := range r.attempts {
		if attempt.open {
			f.finishAttempt(r, n, outcomeTimedOut)
		}
	}
	f.schedule(20*millisecond, func() { f.clientGone(r) })
}

// startAttempt runs an attempt at a backend.
func (f *fleet) startAttempt(r *fleetRequest, backend string) {
	n, attempt := len(r.attempts), &fleetAttempt{backend: backend, sentAt: f.now, open: true}
	r.attempts = append(r.attempts, attempt)
	if r.closed {
		f.schedule(1, func() { f.finishAttempt(r, n, outcomeNotSent) })
		return
	}
	outcome, took := f.runAttempt(f.byID[backend], r.class)
	if outcome == outcomeServed && f.streamed[r.class] {
		f.schedule(took/2, func() {
			if attempt.open && !r.closed && !f.instanceKilled(r) {
				f.send(r.instance, "head-received", map[string]any{
					"request-id": r.id, "copy": n, "appliance": backend, "took-us": f.now - attempt.sentAt,
				})
			}
		})
	}
	f.schedule(took, func() { f.finishAttempt(r, n, outcome) })
}

// finishAttempt reports the outcome of an attempt, unless it has already ended. One in 150 answers is later reported
// as wrong.
func (f *fleet) finishAttempt(r *fleetRequest, n, outcome int) {
	attempt := r.attempts[n]
	if !attempt.open || f.instanceKilled(r) {
		return
	}
	attempt.open = false
	served := outcome == outcomeServed && !r.closed
	r.closed = r.closed || served
	f.send(r.instance, "done", map[string]any{
		"request-id": r.id, "appliance": attempt.backend, "how": outcome, "copy": n, "final": r.closed,
		"took-us": f.now - attempt.sentAt, "feedback": f.loadReport(f.byID[attempt.backend]),
	})
	if served && f.rng.IntN(150) == 0 {
		f.schedule(second, func() {
			f.send(r.instance, "reported-wrong", map[string]any{
				"appliance": attempt.backend, "kind": r.class, "old-us": f.now - attempt.sentAt,
			})
		})
	}
}

// retry sends the client's next try. Half of the clients do not retry. A request that was not rejected, but failed, is
// only retried if it is of class 0.
func (f *fleet) retry(r *fleetRequest, rejected bool) {
	mayRetry := r.try < maxTries && (rejected || r.class == 0)
	if mayRetry && f.rng.IntN(2) == 0 {
		f.schedule(50*millisecond+f.randomTime(200*millisecond), func() {
			f.sendRequest(&fleetRequest{instance: r.instance, class: r.class, key: r.key, try: r.try + 1})
		})
	}
}
