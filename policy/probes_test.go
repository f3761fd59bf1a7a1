package policy

import (
	"fmt"
	"strings"
	"testing"
)

// A request is sent to the probed backend that answers first. Without an answer it is sent after both probe rounds.
func TestProbes(t *testing.T) {
	for _, tc := range []struct {
		name   string
		answer bool // the last probe is answered
		ok     bool
		want   string // action after the answer
		later  string // action after both rounds
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
				t.Fatalf("actions = %v, want a probe first", probed)
			}
			last := strings.Fields(probed[len(probed)-1])[1]
			if tc.answer {
				inst.OnProbeResult(12, ProbeResult{Backend: last, OK: tc.ok, Elapsed: 2})
			}
			got := fmt.Sprint(port.takeActions())
			if tc.want != "" && got != "[submit t "+last+"]" || tc.want == "" && got != "[]" {
				t.Errorf("actions after the probe of backend %s = %s, want %q (empty: none)", last, got, tc.want)
			}
			inst.OnTimer(140, inst.timers.token) // start of the second round
			inst.OnTimer(270, inst.timers.token)
			if actions := port.takeActions(); tc.later != "" && (len(actions) == 0 || !strings.HasPrefix(actions[len(actions)-1], tc.later)) {
				t.Errorf("actions after both rounds = %v, want %q last", actions, tc.later)
			}
		})
	}
}

// Probes are sent only while a round costs less than its benefit; at a higher price requests are sent without probes.
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
				t.Errorf("actions = %v, want %q first", actions, tc.first)
			}
		})
	}
}
