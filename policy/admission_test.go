package policy

import (
	"fmt"
	"strings"
	"testing"
)

// Overload signals lower the admission probability, more for requests of low value. It recovers over time, and a class
// whose mean latency exceeds its objective still gets requests.
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
		t.Errorf("admission probability = %.2f after overload signals, want at most 0.1; %.2f after 60 s, want at least 0.9", overloaded, recovered)
	}
	if highValue <= lowValue {
		t.Errorf("admitted %d of 1000 requests of high value and %d of 1000 of low value, want more of high value", highValue, lowValue)
	}
	inst.latencies[0].mean = 5000 // above the latency objective of 1000
	inst.OnRequest(inst.now, Request{ID: "t", TimeLeft: 4000})
	expect(t, "request sent in spite of the mean latency", strings.HasPrefix(fmt.Sprint(port.takeActions()), "[submit t"), true)
}
