package policy

import (
	"fmt"
	"strings"
	"testing"
)

// A request goes to the probed backend that answers first, and on without an answer after a while.
func TestProbes(t *testing.T) {
	for _, tc := range []struct {
		name   string
		answer bool // the second probe is answered
		ok     bool
		want   string // the action then
		later  string // and after the time for both rounds
	}{
		{"answered", true, true, "submit", ""},
		{"answered with an error", true, false, "", "submit"},
		{"unanswered", false, false, "", "submit"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			inst, port := startInstance(RequestClass{}, 8)
			inst.instances = 300
			inst.probing.allowed, inst.probing.price = true, 0.01
			inst.OnRequest(10, Request{ID: "t", TimeLeft: 4000})
			probed := port.takeActions()
			if len(probed) == 0 || !strings.HasPrefix(probed[0], "probe") {
				t.Fatalf("no probe: %v", probed)
			}
			last := strings.Fields(probed[len(probed)-1])[1]
			if tc.answer {
				inst.OnProbeResult(12, ProbeResult{Backend: last, OK: tc.ok, Elapsed: 2})
			}
			got := fmt.Sprint(port.takeActions())
			if tc.want != "" && got != "[submit t "+last+"]" || tc.want == "" && got != "[]" {
				t.Errorf("after the probe: %s", got)
			}
			inst.OnTimer(140, inst.timers.token) // a second round
			inst.OnTimer(270, inst.timers.token)
			if actions := port.takeActions(); tc.later != "" && (len(actions) == 0 || !strings.HasPrefix(actions[len(actions)-1], tc.later)) {
				t.Errorf("later: %v", actions)
			}
		})
	}
}

// Probes are sent while what they save is worth their configured price; at a higher one requests go out at once.
func TestProbePrice(t *testing.T) {
	for _, tc := range []struct {
		price float64
		first string
	}{{0, "probe"}, {0.02, "probe"}, {0.03, "submit"}, {0.08, "submit"}} {
		t.Run(fmt.Sprint("price ", tc.price), func(t *testing.T) {
			inst, port := startInstance(RequestClass{}, 4)
			inst.instances = manyInstances
			inst.probing.allowed, inst.probing.price = true, tc.price
			inst.OnRequest(10, Request{ID: "t", TimeLeft: 4000})
			if actions := port.takeActions(); len(actions) == 0 || !strings.HasPrefix(actions[0], tc.first) {
				t.Errorf("%v", actions)
			}
		})
	}
}
