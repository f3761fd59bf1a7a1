//go:build !debug

package core

import (
	"testing"
	"testing/synctest"
	"time"

	"onyxgate/internal/invariant"
	"onyxgate/policy"
)

// If the decisions panic, the watchdog still answers their request, though late, and other requests are not affected.
func TestWatchdog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, _ := newTestCore(t, policy.RequestClass{}, 1)
		arrived, violations := time.Now(), invariant.Violations()
		failed := core.Accept(IncomingRequest{ID: "t", Class: 9, ArrivedAt: core.Now(), TimeLeft: 300}) // unknown class
		if action := failed.NextAction(); action.Kind != ActionFail {
			t.Errorf("action for the failed request = %v, want %v", action.Kind, ActionFail)
		}
		if took := time.Since(arrived); took > 320*time.Millisecond || invariant.Violations() <= violations {
			t.Errorf("answered after %v with %d invariant violations, want at most 320ms and at least 1 violation", took, invariant.Violations()-violations)
		}
		failed.Close()
		next := accept(core, "u", 300)
		next.NextAction().Attempt.Finish(policy.StatusServed, nil, policy.LoadReport{})
		if action := next.NextAction(); action.Kind != ActionServe {
			t.Errorf("action for the next request = %v, want %v", action.Kind, ActionServe)
		}
		next.Close()
	})
}
