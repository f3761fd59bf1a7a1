package policy

import (
	"fmt"
	"strings"
	"testing"
)

// Late answers lower what is taken on, the cheap first; time forgets; no product is locked out for ever.
func TestShortage(t *testing.T) {
	inst, port := startInstance(RequestClass{}, 3)
	inst.instances = 300
	for range 8 {
		inst.onOverloadSignal(false, 1)
	}
	low, dear, cheap := inst.admission.Probability(inst.now), 0, 0
	inst.meanValue = 3
	for range 1000 {
		if inst.admission.Admits(9, inst.meanValue, inst.now, inst.rng) {
			dear++
		}
		if inst.admission.Admits(1, inst.meanValue, inst.now, inst.rng) {
			cheap++
		}
	}
	if inst.now += 60000; low > 0.1 || inst.admission.Probability(inst.now) < 0.9 || dear <= cheap {
		t.Errorf("flow %.2f, then %.2f; %d dear and %d cheap of 1000", low, inst.admission.Probability(inst.now), dear, cheap)
	}
	inst.latencies[0].mean = 5000 // past the SLA time of 1000
	inst.OnRequest(inst.now, Request{ID: "t", TimeLeft: 4000})
	expect(t, "sent all the same", strings.HasPrefix(fmt.Sprint(port.take()), "[submit t"), true)
}
