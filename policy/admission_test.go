package policy

import (
	"fmt"
	"strings"
	"testing"
)

// Late answers lower the admission probability, for requests of low value first; it recovers with time, and no class is locked out for good.
func TestAdmissionUnderOverload(t *testing.T) {
	inst, port := startInstance(RequestClass{}, 3)
	inst.instances = 300
	for range 8 {
		inst.onOverloadSignal(false, 1)
	}
	overloaded, highValue, lowValue := inst.admission.Probability(inst.now), 0, 0
	inst.meanValue = 3
	for range 1000 {
		if inst.admission.Admits(9, inst.meanValue, inst.now, inst.rng) {
			highValue++
		}
		if inst.admission.Admits(1, inst.meanValue, inst.now, inst.rng) {
			lowValue++
		}
	}
	inst.now += 60000
	if recovered := inst.admission.Probability(inst.now); overloaded > 0.1 || recovered < 0.9 {
		t.Errorf("admission probability %.2f, then %.2f", overloaded, recovered)
	}
	if highValue <= lowValue {
		t.Errorf("of 1000 each, %d of high value and %d of low value are admitted", highValue, lowValue)
	}
	inst.latencies[0].mean = 5000 // past the latency objective of 1000
	inst.OnRequest(inst.now, Request{ID: "t", TimeLeft: 4000})
	expect(t, "sent all the same", strings.HasPrefix(fmt.Sprint(port.takeActions()), "[submit t"), true)
}
