package policy

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"testing"
)

// What is done after a first submission has ended so: the rule on effects.
func TestEffects(t *testing.T) {
	for _, tc := range []struct {
		name   string
		effect Semantics
		group  DedupScope
		result AttemptStatus
		after  float64 // time of the outcome
		want   string  // the action that follows
		where  string  // appliances that it may name; empty: any
	}{
		{"inquiry-like goes again", Safe, DedupAll, StatusErrored, 100, "submit", ""},
		{"once-only, may have run", NonIdempotent, DedupAll, StatusErrored, 100, "void", ""},
		{"once-only, broken off", NonIdempotent, DedupAll, StatusReset, 100, "void", ""},
		{"once-only, proven not to have run", NonIdempotent, DedupAll, StatusRejected, 100, "submit", ""},
		{"once-only, never connected", NonIdempotent, DedupAll, StatusConnectFailed, 100, "submit", ""},
		{"referenced, all drop repeats", Idempotent, DedupAll, StatusErrored, 100, "submit", ""},
		{"referenced, its zone only", Idempotent, DedupZone, StatusErrored, 100, "submit", "same"},
		{"referenced, its cell only", Idempotent, DedupCell, StatusReset, 100, "submit", "same"},
		{"referenced, not run: any zone", Idempotent, DedupZone, StatusRejected, 100, "submit", ""},
		{"referenced, past the memory of all", Idempotent, DedupAll, StatusErrored, 300, "decline", ""},
		{"referenced, past the memory of a zone", Idempotent, DedupZone, StatusErrored, 300, "void", ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for n := range 20 { // the pick is by chance
				p := RequestClass{LatencyObjective: 1000, Timeout: 4000, Value: 1, Semantics: tc.effect, DedupScope: tc.group, DedupWindow: 250}
				inst, port := startInstance(p, 8)
				inst.rng.IntN(n + 1)
				inst.OnRequest(10, Request{ID: "t", TimeLeft: 4000})
				first := port.take()[0]
				inst.OnAttemptResult(10+tc.after, AttemptResult{RequestID: "t", Status: tc.result, Took: tc.after})
				for now := 10 + tc.after; len(port.did) == 0 && now < 5000; now += 10 {
					inst.OnTimer(now, inst.timerToken)
				}
				got := port.take()
				if len(got) != 1 || !strings.HasPrefix(got[0], tc.want) {
					t.Fatalf("got %v, want %s", got, tc.want)
				}
				if tc.where == "same" && (first[len(first)-1]-got[0][len(got[0])-1])%2 != 0 {
					t.Fatalf("%s, then %s in another group", first, got[0])
				}
			}
		})
	}
}

// Every txn gets one final answer before its expiry, whatever its effect, and nothing after it.
func TestLastMoment(t *testing.T) {
	for _, tc := range []struct {
		effect Semantics
		want   string
	}{{Safe, "[decline t revoke t 0]"}, {Idempotent, "[decline t revoke t 0]"}, {NonIdempotent, "[void t revoke t 0]"}} {
		t.Run(fmt.Sprint("semantics ", tc.effect), func(t *testing.T) {
			inst, port := startInstance(RequestClass{LatencyObjective: 1000, Timeout: 4000, Value: 1, Semantics: tc.effect, DedupWindow: 9000}, 2)
			inst.OnRequest(10, Request{ID: "t", TimeLeft: 500})
			port.take()
			for now := 15.0; now < 510; now += 5 {
				inst.OnTimer(now, inst.timerToken)
			}
			expect(t, "at the expiry", port.take(), tc.want)
			inst.OnAttemptResult(520, AttemptResult{RequestID: "t", Status: StatusTimedOut, Final: true, Took: 510})
			inst.OnClientGone(521, "t")
			expect(t, "afterwards", port.take(), "[]")
			expect(t, "still held", len(inst.requests), 0)
		})
	}
}

// A txn for which there is no place is declined while its client still has time to go elsewhere.
func TestHalfGone(t *testing.T) {
	for _, tc := range []struct{ left, after float64 }{{4000, 1000}, {1600, 720}, {300, 135}} {
		t.Run(fmt.Sprintf("%v ms left", tc.left), func(t *testing.T) {
			inst, port := startInstance(RequestClass{}, 0)
			inst.OnRequest(10, Request{ID: "t", TimeLeft: tc.left})
			for now := 10.0; now < 5000; now++ {
				if len(inst.timers) > 0 && inst.timers[0].at <= now {
					inst.OnTimer(now, inst.timerToken)
				}
				if len(port.did) > 0 {
					if took := now - 10; took > tc.after+queueRetryInterval || took < tc.after-queueRetryInterval {
						t.Errorf("%.0f ms: declined after %.0f", tc.left, took)
					}
					break
				}
			}
			expect(t, "declined", port.take(), "[decline t]")
		})
	}
}

// An agent that can bear few txns declines the next that finds no place, at once, and keeps those that wait.
func TestHold(t *testing.T) {
	for _, tc := range []struct {
		most    float64
		taken   int
		decline int
	}{{math.Inf(1), 30, 0}, {20, 12, 0}, {20, 30, 18}} {
		t.Run(fmt.Sprintf("%v open requests, %d taken", tc.most, tc.taken), func(t *testing.T) {
			inst, port := startInstance(RequestClass{}, 1)
			inst.maxOpenRequests = tc.most
			declined := 0
			for k := range tc.taken {
				inst.OnRequest(2+float64(k)/1000, Request{ID: fmt.Sprint(k), TimeLeft: 4000})
				for _, did := range port.take() {
					if did == fmt.Sprintf("decline %d", k) {
						declined++
					}
				}
			}
			expect(t, fmt.Sprintf("%.0f, %d taken", tc.most, tc.taken), declined, tc.decline)
		})
	}
}

// A submission that outlasts nearly all answers is given up and tried elsewhere, where that may be; no more than a part.
func TestHopeless(t *testing.T) {
	for _, tc := range []struct {
		name        string
		effect      Semantics
		lost        int // of 100 txns: whose first submission is never answered
		least, most int // of them that are settled in time all the same
	}{
		{"some answers lost", Safe, 8, 100, 100},
		{"repeats known", Idempotent, 8, 100, 100},
		{"never to run twice", NonIdempotent, 8, 92, 92},
		{"most answers lost", Safe, 60, 40, 70},
	} {
		t.Run(tc.name, func(t *testing.T) {
			inst, port := startInstance(RequestClass{LatencyObjective: 1000, Timeout: 4000, Value: 1, Semantics: tc.effect, DedupWindow: 9000}, 20)
			type answer struct {
				at  float64
				id  string
				sub int
			}
			var coming []answer // each after 20 ms, so in order
			tries, settled := map[string]int{}, 0
			for now := 10.0; now < 7000; now++ {
				if k := int(now) / 10; int(now)%10 == 0 && k <= 600 {
					inst.OnRequest(now, Request{ID: fmt.Sprint(k), TimeLeft: 4000})
				}
				for len(coming) > 0 && coming[0].at <= now {
					if t := inst.requests[coming[0].id]; t != nil {
						inst.OnAttemptResult(now, AttemptResult{RequestID: coming[0].id, Attempt: coming[0].sub, Status: StatusServed, Final: true, Took: 20})
						if k, _ := strconv.Atoi(coming[0].id); k > 500 {
							settled++
						}
					}
					coming = coming[1:]
				}
				inst.OnTimer(now, inst.timerToken)
				for did := port.take(); len(did) > 0; did = append(did[1:], port.take()...) {
					var what, id, x string
					fmt.Sscan(did[0], &what, &id, &x)
					k, _ := strconv.Atoi(id)
					if what == "revoke" {
						inst.OnAttemptResult(now, AttemptResult{RequestID: id, Attempt: tries[id] - 1, Status: StatusCanceled, Took: 150})
					}
					if what == "submit" {
						if k <= 500 || tries[id] > 0 || k*tc.lost/100 == (k-1)*tc.lost/100 {
							coming = append(coming, answer{now + 20, id, tries[id]})
						}
						tries[id]++
					}
				}
			}
			if settled < tc.least || settled > tc.most {
				t.Errorf("%d of 100 settled, want %d to %d", settled, tc.least, tc.most)
			}
		})
	}
}
