//go:build !debug

package core

import (
	"testing"
	"testing/synctest"
	"time"

	"onyxgate/internal/invariant"
	"onyxgate/policy"
)

// A module that fails costs its request an early answer, never the answer.
func TestWatchdog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, _ := hosted(policy.RequestClass{}, 1)
		from, was := time.Now(), invariant.Violations()
		x := core.Accept(Arrival{ID: "t", Class: 9, ArrivedAt: core.Now(), TimeLeft: 300}) // a product that the module does not have
		if a := x.NextAction(); a.Kind != ActionFail {
			t.Errorf("got %v", a.Kind)
		}
		if took := time.Since(from); took > 320*time.Millisecond || invariant.Violations() <= was {
			t.Errorf("after %v, %d breaches", took, invariant.Violations()-was)
		}
		x.Close()
		y := core.Accept(Arrival{ID: "u", ArrivedAt: core.Now(), TimeLeft: 300})
		y.NextAction().Attempt.Finish(policy.StatusServed, nil, policy.LoadReport{})
		if a := y.NextAction(); a.Kind != ActionServe {
			t.Errorf("the next request got %v", a.Kind)
		}
		y.Close()
		core.wakeTimer.Stop()
	})
}
