package policy

import (
	"fmt"
	"testing"
)

// The same events and seed result in the same actions, another seed in other ones. The generator returns a known
// sequence.
func TestDeterminism(t *testing.T) {
	generator := multiplyWithCarry{x: 1, carry: 0}
	expect(t, "first numbers of the generator", []uint64{generator.next(), generator.next(), generator.next()}, []uint64{4294957665, 92756161, 18591715})
	run := func(seed uint64) string {
		port := &recordingPort{}
		inst := New(port, Config{Seed: seed, Instances: 1})
		inst.configureClasses(Config{Classes: []RequestClass{{LatencyObjective: 1000, Timeout: 4000, Value: 1}}, MaxAttempts: 5, ConcurrentAttempts: true, CancelAllowed: true})
		inst.OnEndpoints(1, EndpointUpdate{Endpoints: []Endpoint{{ID: "a", Weight: 1}, {ID: "b", Weight: 1}, {ID: "c", Weight: 1}}, Snapshot: true})
		for k := range 50 {
			inst.OnRequest(float64(k), Request{ID: fmt.Sprint(k), TimeLeft: 4000})
		}
		return fmt.Sprint(port.actions)
	}
	expect(t, "actions with the same seed", run(7), run(7))
	expect(t, "actions differ with another seed", run(7) != run(8), true)
}
