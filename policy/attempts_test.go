package policy

import (
	"fmt"
	"strings"
	"testing"

	"onyxgate/policy/concurrency"
)

// A backend that fails quickly gets hardly any attempts until it recovers.
func TestEjection(t *testing.T) {
	for _, status := range []AttemptStatus{StatusRejected, StatusConnectFailed, StatusErrored} {
		t.Run(fmt.Sprint("status ", status), func(t *testing.T) {
			inst, port := startInstance(RequestClass{}, 1)
			inst.OnRequest(10, Request{ID: "t", TimeLeft: 4000})
			inst.OnAttemptResult(11, AttemptResult{RequestID: "t", Status: status, Elapsed: 1})
			expect(t, "actions up to the first failure, inclusive", port.takeActions(), "[submit t a]")
			failing, recovered := attemptsAtFailing(status)
			if failing > 8 || recovered < 5 {
				t.Errorf("attempts at the failing backend = %d, want at most 8; after its recovery = %d, want at least 5", failing, recovered)
			}
		})
	}
}

// attemptsAtFailing counts the attempts at one of four backends, which fails attempts of the first 300 of 900 requests
// and serves all later ones.
func attemptsAtFailing(status AttemptStatus) (failing, recovered int) {
	inst, port := startInstance(RequestClass{}, 4)
	for k := range 900 {
		id, now := fmt.Sprint(k), 10+float64(k)*10
		inst.OnRequest(now, Request{ID: id, TimeLeft: 4000})
		for attempt := range 5 {
			actions := port.takeActions()
			if len(actions) == 0 {
				break
			}
			served := AttemptResult{RequestID: id, Attempt: attempt, Status: StatusServed, Final: true, Elapsed: 9}
			atFailing := strings.HasSuffix(actions[0], " a")
			switch {
			case atFailing && k < 300:
				failing++
				inst.OnAttemptResult(now+1, AttemptResult{RequestID: id, Attempt: attempt, Status: status, Elapsed: 1})
			case atFailing:
				recovered++
				inst.OnAttemptResult(now+9, served)
			default:
				inst.OnAttemptResult(now+9, served)
			}
		}
	}
	return failing, recovered
}

// Broken connections and error responses do not lower a backend's concurrency limit; timeouts and rejections do.
func TestConcurrencyLimitByStatus(t *testing.T) {
	for _, tc := range []struct {
		status AttemptStatus
		falls  bool
	}{{StatusReset, false}, {StatusErrored, false}, {StatusConnectFailed, false}, {StatusRejected, true}, {StatusTimedOut, true}} {
		t.Run(fmt.Sprint("status ", tc.status), func(t *testing.T) {
			inst, _ := startInstance(RequestClass{}, 1)
			for k := range 20 {
				inst.now = float64(10 + 1000*k)
				inst.OnRequest(inst.now, Request{ID: fmt.Sprint(k), TimeLeft: 4000})
				if len(inst.requests[fmt.Sprint(k)].attempts) > 0 {
					inst.OnAttemptResult(inst.now+1, AttemptResult{RequestID: fmt.Sprint(k), Status: tc.status, Final: true, Elapsed: 1})
				}
			}
			expect(t, "concurrency limit lowered", inst.endpoints.At(0).Limit < concurrency.InitialLimit, tc.falls)
		})
	}
}

// The concurrency limit of a backend depends on the duration of its attempts, not on the time that a request was queued
// in the instance.
func TestConcurrencyLimitIgnoresQueueing(t *testing.T) {
	for _, tc := range []struct {
		name            string
		waited, elapsed float64
		lowers, raises  bool
	}{
		{"in time", 0, 300, false, true},
		{"late because of queueing", 950, 100, false, true},
		{"slow after queueing", 950, 400, true, false},
		{"slow", 0, 1100, true, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			inst, port := startInstance(RequestClass{}, 1)
			inst.OnRequest(2, Request{ID: "t", TimeLeft: 4000})
			inst.requests["t"].objectiveDeadline -= tc.waited
			inst.requests["t"].attempts[0].lateAt = inst.latencyDeadline(inst.requests["t"])
			inst.endpoints.At(0).Limit = 1.5
			before := inst.endpoints.At(0).Limit
			inst.OnTimer(2+tc.elapsed, 0)
			inst.OnAttemptResult(2+tc.elapsed, AttemptResult{RequestID: "t", Status: StatusServed, Final: true, Elapsed: tc.elapsed})
			port.takeActions()
			if got := inst.endpoints.At(0).Limit; got < before != tc.lowers || got > before != tc.raises {
				t.Errorf("concurrency limit changed from %.1f to %.1f; want lowered %v, raised %v", before, got, tc.lowers, tc.raises)
			}
		})
	}
}
