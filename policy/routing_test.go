package policy

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"testing"
)

// What happens after the end of the first attempt, depending on semantics and dedup scope.
func TestRepeats(t *testing.T) {
	for _, tc := range []struct {
		name      string
		semantics Semantics
		scope     DedupScope
		status    AttemptStatus
		after     float64 // ms until the attempt ends
		want      string  // the next action
		where     string  // "same": the next attempt goes to the same zone and cell; empty: to any
	}{
		{"safe is sent again", Safe, DedupAll, StatusErrored, 100, "submit", ""},
		{"non-idempotent, may have run", NonIdempotent, DedupAll, StatusErrored, 100, "void", ""},
		{"non-idempotent, reset", NonIdempotent, DedupAll, StatusReset, 100, "void", ""},
		{"non-idempotent, rejected by the backend", NonIdempotent, DedupAll, StatusRejected, 100, "submit", ""},
		{"non-idempotent, never connected", NonIdempotent, DedupAll, StatusConnectFailed, 100, "submit", ""},
		{"idempotent, all backends in scope", Idempotent, DedupAll, StatusErrored, 100, "submit", ""},
		{"idempotent, zone in scope", Idempotent, DedupZone, StatusErrored, 100, "submit", "same"},
		{"idempotent, cell in scope", Idempotent, DedupCell, StatusReset, 100, "submit", "same"},
		{"idempotent, not run, any zone", Idempotent, DedupZone, StatusRejected, 100, "submit", ""},
		{"idempotent, past the dedup window of all", Idempotent, DedupAll, StatusErrored, 300, "decline", ""},
		{"idempotent, past the dedup window of a zone", Idempotent, DedupZone, StatusErrored, 300, "void", ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for draws := range 20 { // the choice is random
				class := RequestClass{LatencyObjective: 1000, Timeout: 4000, Value: 1, Semantics: tc.semantics, DedupScope: tc.scope, DedupWindow: 250}
				inst, port := startInstance(class, 8)
				inst.rng.IntN(draws + 1)
				inst.OnRequest(10, Request{ID: "t", TimeLeft: 4000})
				first := port.takeActions()[0]
				inst.OnAttemptResult(10+tc.after, AttemptResult{RequestID: "t", Status: tc.status, Elapsed: tc.after})
				for now := 10 + tc.after; len(port.actions) == 0 && now < 5000; now += 10 {
					inst.OnTimer(now, inst.timers.token)
				}
				got := port.takeActions()
				if len(got) != 1 || !strings.HasPrefix(got[0], tc.want) {
					t.Fatalf("actions after %s = %v, want one %s", first, got, tc.want)
				}
				if tc.where == "same" && (first[len(first)-1]-got[0][len(got[0])-1])%2 != 0 {
					t.Fatalf("first attempt %q, second attempt %q, want the same zone and cell", first, got[0])
				}
			}
		})
	}
}

// Every request gets one final answer before its deadline, whatever its semantics, and no action after that.
func TestAnswerAtDeadline(t *testing.T) {
	for _, tc := range []struct {
		semantics Semantics
		want      string
	}{{Safe, "[decline t revoke t 0]"}, {Idempotent, "[decline t revoke t 0]"}, {NonIdempotent, "[void t revoke t 0]"}} {
		t.Run(fmt.Sprint("semantics ", tc.semantics), func(t *testing.T) {
			inst, port := startInstance(RequestClass{LatencyObjective: 1000, Timeout: 4000, Value: 1, Semantics: tc.semantics, DedupWindow: 9000}, 2)
			inst.OnRequest(10, Request{ID: "t", TimeLeft: 500})
			port.takeActions()
			for now := 15.0; now < 510; now += 5 {
				inst.OnTimer(now, inst.timers.token)
			}
			expect(t, "actions at the deadline", port.takeActions(), tc.want)
			inst.OnAttemptResult(520, AttemptResult{RequestID: "t", Status: StatusTimedOut, Final: true, Elapsed: 510})
			inst.OnClientGone(521, "t")
			expect(t, "actions after the deadline", port.takeActions(), "[]")
			expect(t, "open requests", len(inst.requests), 0)
		})
	}
}

// A request that cannot be placed is rejected while its client still has time to go elsewhere.
func TestQueueDeadline(t *testing.T) {
	for _, tc := range []struct{ timeLeft, after float64 }{{4000, 1000}, {1600, 720}, {300, 135}} {
		t.Run(fmt.Sprintf("%v ms left", tc.timeLeft), func(t *testing.T) {
			inst, port := startInstance(RequestClass{}, 0)
			inst.OnRequest(10, Request{ID: "t", TimeLeft: tc.timeLeft})
			for now := 10.0; now < 5000; now++ {
				if len(inst.timers.queue) > 0 && inst.timers.queue[0].at <= now {
					inst.OnTimer(now, inst.timers.token)
				}
				if len(port.actions) > 0 {
					if elapsed := now - 10; elapsed > tc.after+queueRetryInterval || elapsed < tc.after-queueRetryInterval {
						t.Errorf("rejected after %.0f ms, want %.0f ms ± %d ms", elapsed, tc.after, queueRetryInterval)
					}
					break
				}
			}
			expect(t, "actions", port.takeActions(), "[decline t]")
		})
	}
}

// An instance with a limit on open requests immediately rejects new requests that it cannot place when it has too many
// open, and keeps those in the queue.
func TestQueueFull(t *testing.T) {
	for _, tc := range []struct {
		maxOpen  float64
		received int
		rejected int
	}{{math.Inf(1), 30, 0}, {20, 12, 0}, {20, 30, 18}} {
		t.Run(fmt.Sprintf("at most %v open requests, %d received", tc.maxOpen, tc.received), func(t *testing.T) {
			inst, port := startInstance(RequestClass{}, 1)
			inst.maxOpenRequests = tc.maxOpen
			rejected := 0
			for k := range tc.received {
				inst.OnRequest(2+float64(k)/1000, Request{ID: fmt.Sprint(k), TimeLeft: 4000})
				for _, action := range port.takeActions() {
					if action == fmt.Sprintf("decline %d", k) {
						rejected++
					}
				}
			}
			expect(t, "rejected requests", rejected, tc.rejected)
		})
	}
}

// lossyBackends answer each attempt after 20 ms, but lose some first attempts of the requests from 501 on.
type lossyBackends struct {
	inst      *Instance
	port      *recordingPort
	lost      int                 // number of requests in 100 whose first attempt gets no response
	attempts  map[string]int      // by request
	scheduled []scheduledResponse // in order of time
	served    int                 // number of served requests from 501 on
}

type scheduledResponse struct {
	at      float64 // ms
	request string
	attempt int
}

// answer delivers the responses that are due.
func (backends *lossyBackends) answer(now float64) {
	for len(backends.scheduled) > 0 && backends.scheduled[0].at <= now {
		answer := backends.scheduled[0]
		backends.scheduled = backends.scheduled[1:]
		if backends.inst.requests[answer.request] == nil {
			continue
		}
		backends.inst.OnAttemptResult(now, AttemptResult{RequestID: answer.request, Attempt: answer.attempt, Status: StatusServed, Final: true, Elapsed: 20})
		if k, _ := strconv.Atoi(answer.request); k > 500 {
			backends.served++
		}
	}
}

// handleActions handles the instance's actions, including those caused by a cancellation.
func (backends *lossyBackends) handleActions(now float64) {
	for actions := backends.port.takeActions(); len(actions) > 0; actions = append(actions[1:], backends.port.takeActions()...) {
		fields := strings.Fields(actions[0])
		switch fields[0] {
		case "revoke":
			id := fields[1]
			backends.inst.OnAttemptResult(now, AttemptResult{RequestID: id, Attempt: backends.attempts[id] - 1, Status: StatusCanceled, Elapsed: 150})
		case "submit":
			backends.accept(now, fields[1])
		}
	}
}

// accept schedules the response to an attempt, or loses it.
func (backends *lossyBackends) accept(now float64, id string) {
	attempt := backends.attempts[id]
	backends.attempts[id]++
	k, _ := strconv.Atoi(id)
	isLost := k > 500 && attempt == 0 && k*backends.lost/100 != (k-1)*backends.lost/100
	if !isLost {
		backends.scheduled = append(backends.scheduled, scheduledResponse{now + 20, id, attempt})
	}
}

// An attempt that takes longer than nearly all others is canceled and the request is sent elsewhere, if it may run
// again. The cancellation budget limits the number of such attempts.
func TestLostResponses(t *testing.T) {
	for _, tc := range []struct {
		name        string
		semantics   Semantics
		lost        int // number of requests in 100 whose first attempt gets no response
		least, most int // number of these 100 requests that are served
	}{
		{"some responses lost", Safe, 8, 100, 100},
		{"idempotent", Idempotent, 8, 100, 100},
		{"non-idempotent", NonIdempotent, 8, 92, 92},
		{"most responses lost", Safe, 60, 40, 70},
	} {
		t.Run(tc.name, func(t *testing.T) {
			inst, port := startInstance(RequestClass{LatencyObjective: 1000, Timeout: 4000, Value: 1, Semantics: tc.semantics, DedupWindow: 9000}, 20)
			backends := &lossyBackends{inst: inst, port: port, lost: tc.lost, attempts: map[string]int{}}
			for now := 10.0; now < 7000; now++ {
				if k := int(now) / 10; int(now)%10 == 0 && k <= 600 {
					inst.OnRequest(now, Request{ID: fmt.Sprint(k), TimeLeft: 4000})
				}
				backends.answer(now)
				inst.OnTimer(now, inst.timers.token)
				backends.handleActions(now)
			}
			if backends.served < tc.least || backends.served > tc.most {
				t.Errorf("served %d of the last 100 requests, want %d to %d", backends.served, tc.least, tc.most)
			}
		})
	}
}
