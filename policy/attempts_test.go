package policy

import (
	"fmt"
	"strings"
	"testing"

	"onyxgate/policy/concurrency"
)

// Work is refused by a machine that fails at once, and found again when it recovers.
func TestQuickFailures(t *testing.T) {
	for _, result := range []AttemptStatus{StatusRejected, StatusConnectFailed, StatusErrored} {
		one, port := startInstance(RequestClass{}, 1)
		one.OnRequest(10, Request{ID: "t", TimeLeft: 4000})
		one.OnAttemptResult(11, AttemptResult{RequestID: "t", Status: result, Took: 1})
		expect(t, "sent, and not again at once", port.take(), "[submit t a]")
		inst, port := startInstance(RequestClass{}, 4)
		n, late := 0, 0
		for k := range 900 {
			id, now := fmt.Sprint(k), 10+float64(k)*10
			inst.OnRequest(now, Request{ID: id, TimeLeft: 4000})
			for s := 0; s < 5; s++ {
				did := port.take()
				if len(did) == 0 {
					break
				}
				if !strings.HasSuffix(did[0], " a") {
					inst.OnAttemptResult(now+9, AttemptResult{RequestID: id, Attempt: s, Status: StatusServed, Final: true, Took: 9})
				} else if k < 300 {
					n++
					inst.OnAttemptResult(now+1, AttemptResult{RequestID: id, Attempt: s, Status: result, Took: 1})
				} else {
					late++
					inst.OnAttemptResult(now+9, AttemptResult{RequestID: id, Attempt: s, Status: StatusServed, Final: true, Took: 9})
				}
			}
		}
		if n > 8 || late < 5 {
			t.Errorf("result %d: %d submissions while it failed, %d after", result, n, late)
		}
	}
}

// Connections that break on the way do not shut an appliance's door; late answers do.
func TestBroken(t *testing.T) {
	for _, tc := range []struct {
		result AttemptStatus
		falls  bool
	}{{StatusReset, false}, {StatusErrored, false}, {StatusConnectFailed, false}, {StatusRejected, true}, {StatusTimedOut, true}} {
		t.Run(fmt.Sprint("status ", tc.result), func(t *testing.T) {
			inst, _ := startInstance(RequestClass{}, 1)
			for k := range 20 {
				inst.now = float64(10 + 1000*k)
				inst.OnRequest(inst.now, Request{ID: fmt.Sprint(k), TimeLeft: 4000})
				if len(inst.requests[fmt.Sprint(k)].attempts) > 0 {
					inst.OnAttemptResult(inst.now+1, AttemptResult{RequestID: fmt.Sprint(k), Status: tc.result, Final: true, Took: 1})
				}
			}
			expect(t, fmt.Sprint("after result ", tc.result, " the limit fell"), inst.endpoints.At(0).Limit < concurrency.InitialLimit, tc.falls)
		})
	}
}

// An appliance answers for its own time, not for what a txn waited here before it was placed.
func TestBlame(t *testing.T) {
	for _, tc := range []struct {
		name           string
		waited, took   float64
		lowers, raises bool
	}{
		{"in time", 0, 300, false, true},
		{"late by the wait here", 950, 100, false, true},
		{"slow after a wait", 950, 400, true, false},
		{"slow", 0, 1100, true, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			inst, port := startInstance(RequestClass{}, 1)
			inst.OnRequest(2, Request{ID: "t", TimeLeft: 4000})
			inst.requests["t"].objectiveAt -= tc.waited
			inst.requests["t"].attempts[0].dueAt = inst.latencyDeadline(inst.requests["t"])
			inst.endpoints.At(0).Limit = 1.5
			was := inst.endpoints.At(0).Limit
			inst.OnTimer(2+tc.took, 0)
			inst.OnAttemptResult(2+tc.took, AttemptResult{RequestID: "t", Status: StatusServed, Final: true, Took: tc.took})
			port.take()
			if got := inst.endpoints.At(0).Limit; got < was != tc.lowers || got > was != tc.raises {
				t.Errorf("the limit went from %.1f to %.1f", was, got)
			}
		})
	}
}
