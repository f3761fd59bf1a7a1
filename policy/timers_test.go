package policy

import (
	"fmt"
	"testing"
)

// The timers of ended requests do not pile up when clients give their requests a day's time, and those of open requests stay.
func TestTimersOfEndedRequests(t *testing.T) {
	const day = 24 * 3600 * 1000
	inst, _ := startInstance(RequestClass{}, 3)
	inst.OnRequest(inst.now, Request{ID: "open", TimeLeft: day})
	for i := range 3 * minTimersToPrune {
		id := fmt.Sprint("r", i)
		inst.OnRequest(inst.now, Request{ID: id, TimeLeft: day})
		inst.OnAttemptResult(inst.now+1, AttemptResult{RequestID: id, Status: StatusServed, Final: true, Elapsed: 1})
		if timers := len(inst.timers.queue); timers > minTimersToPrune {
			t.Fatalf("after %d requests %d timers are pending, want at most %d", i+1, timers, minTimersToPrune)
		}
	}
	kept := false
	for _, timer := range inst.timers.queue {
		kept = kept || timer.request != nil && timer.request.id == "open"
	}
	if !kept {
		t.Error("no timer of the open request is left")
	}
}
