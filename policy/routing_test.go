package policy

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"testing"
)

// What follows the end of a first attempt: the rule on repeats.
func TestRepeats(t *testing.T) {
	for _, tc := range []struct {
		name      string
		semantics Semantics
		scope     DedupScope
		status    AttemptStatus
		after     float64 // ms, when the attempt ends
		want      string  // the action that follows
		where     string  // "same": at a backend of the same zone and cell; empty: at any
	}{
		{"safe goes again", Safe, DedupAll, StatusErrored, 100, "submit", ""},
		{"not idempotent, may have run", NonIdempotent, DedupAll, StatusErrored, 100, "void", ""},
		{"not idempotent, reset", NonIdempotent, DedupAll, StatusReset, 100, "void", ""},
		{"not idempotent, proven not to have run", NonIdempotent, DedupAll, StatusRejected, 100, "submit", ""},
		{"not idempotent, never connected", NonIdempotent, DedupAll, StatusConnectFailed, 100, "submit", ""},
		{"idempotent, all drop repeats", Idempotent, DedupAll, StatusErrored, 100, "submit", ""},
		{"idempotent, its zone only", Idempotent, DedupZone, StatusErrored, 100, "submit", "same"},
		{"idempotent, its cell only", Idempotent, DedupCell, StatusReset, 100, "submit", "same"},
		{"idempotent, not run: any zone", Idempotent, DedupZone, StatusRejected, 100, "submit", ""},
		{"idempotent, past the dedup window of all", Idempotent, DedupAll, StatusErrored, 300, "decline", ""},
		{"idempotent, past the dedup window of a zone", Idempotent, DedupZone, StatusErrored, 300, "void", ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for draws := range 20 { // the choice is by chance
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
					t.Fatalf("got %v, want %s", got, tc.want)
				}
				if tc.where == "same" && (first[len(first)-1]-got[0][len(got[0])-1])%2 != 0 {
					t.Fatalf("%s, then %s out of scope", first, got[0])
				}
			}
		})
	}
}

// Every request gets one final answer before its deadline, whatever its semantics, and nothing after it.
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
			expect(t, "at the deadline", port.takeActions(), tc.want)
			inst.OnAttemptResult(520, AttemptResult{RequestID: "t", Status: StatusTimedOut, Final: true, Elapsed: 510})
			inst.OnClientGone(521, "t")
			expect(t, "afterwards", port.takeActions(), "[]")
			expect(t, "open requests", len(inst.requests), 0)
		})
	}
}

// A request for which there is no place is rejected while its client still has time to go elsewhere.
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
						t.Errorf("rejected after %.0f ms", elapsed)
					}
					break
				}
			}
			expect(t, "actions", port.takeActions(), "[decline t]")
		})
	}
}

// An instance that can hold few open requests rejects the next that finds no place at once, and keeps those that wait.
func TestQueueFull(t *testing.T) {
	for _, tc := range []struct {
		maxOpen  float64
		taken    int
		rejected int
	}{{math.Inf(1), 30, 0}, {20, 12, 0}, {20, 30, 18}} {
		t.Run(fmt.Sprintf("%v open requests, %d taken", tc.maxOpen, tc.taken), func(t *testing.T) {
			inst, port := startInstance(RequestClass{}, 1)
			inst.maxOpenRequests = tc.maxOpen
			rejected := 0
			for k := range tc.taken {
				inst.OnRequest(2+float64(k)/1000, Request{ID: fmt.Sprint(k), TimeLeft: 4000})
				for _, action := range port.takeActions() {
					if action == fmt.Sprintf("decline %d", k) {
						rejected++
					}
				}
			}
			expect(t, "rejected", rejected, tc.rejected)
		})
	}
}

// lossyBackends answer each attempt after 20 ms, but lose some first attempts of the requests from 501 on.
type lossyBackends struct {
	inst      *Instance
	port      *recordingPort
	lost      int                 // of 100 requests: whose first attempt is never answered
	attempts  map[string]int      // by request
	scheduled []scheduledResponse // in order
	served    int                 // requests from 501 on
}

type scheduledResponse struct {
	at      float64 // ms
	request string
	attempt int
}

// answer gives the answers that are due.
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

// take takes the instance's actions, also those that follow from a cancellation.
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

// accept takes an attempt and answers it later, or loses it.
func (backends *lossyBackends) accept(now float64, id string) {
	attempt := backends.attempts[id]
	backends.attempts[id]++
	k, _ := strconv.Atoi(id)
	isLost := k > 500 && attempt == 0 && k*backends.lost/100 != (k-1)*backends.lost/100
	if !isLost {
		backends.scheduled = append(backends.scheduled, scheduledResponse{now + 20, id, attempt})
	}
}

// An attempt that outlasts nearly all answers is canceled and the request tried elsewhere, where that may be; no more than a part of them.
func TestLostResponses(t *testing.T) {
	for _, tc := range []struct {
		name        string
		semantics   Semantics
		lost        int // of 100 requests: whose first attempt is never answered
		least, most int // of them that are served in time all the same
	}{
		{"some answers lost", Safe, 8, 100, 100},
		{"repeats are recognized", Idempotent, 8, 100, 100},
		{"never to run twice", NonIdempotent, 8, 92, 92},
		{"most answers lost", Safe, 60, 40, 70},
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
				t.Errorf("%d of 100 served, want %d to %d", backends.served, tc.least, tc.most)
			}
		})
	}
}
