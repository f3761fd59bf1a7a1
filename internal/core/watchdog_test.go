//go:build !debug

package core

import (
	"testing"
	"testing/synctest"
	"time"

	"onyxgate/internal/invariant"
	"onyxgate/policy"
)

// Decisions that fail cost their request an early answer, never the answer.
func TestWatchdog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, _ := newTestCore(t, policy.RequestClass{}, 1)
		arrived, violations := time.Now(), invariant.Violations()
		failed := core.Accept(IncomingRequest{ID: "t", Class: 9, ArrivedAt: core.Now(), TimeLeft: 300}) // a class that the decisions do not have
		if action := failed.NextAction(); action.Kind != ActionFail {
			t.Errorf("got %v", action.Kind)
		}
		if took := time.Since(arrived); took > 320*time.Millisecond || invariant.Violations() <= violations {
			t.Errorf("after %v, %d violations", took, invariant.Violations()-violations)
		}
		failed.Close()
		next := accept(core, "u", 300)
		next.NextAction().Attempt.Finish(policy.StatusServed, nil, policy.LoadReport{})
		if action := next.NextAction(); action.Kind != ActionServe {
			t.Errorf("the next request got %v", action.Kind)
		}
		next.Close()
	})
}
