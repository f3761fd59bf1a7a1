package policy

import (
	"fmt"
	"testing"
)

// discardingPort is a port that keeps only the backend of the last attempt.
type discardingPort struct{ recordingPort }

func (port *discardingPort) SendAttempt(_, backend string, _ float64) {
	port.actions = append(port.actions[:0], backend)
}

// BenchmarkDecision measures the decisions for one request, up to the end of its attempt, for several numbers of
// backends. One backend in ten has a release that is rolling out.
func BenchmarkDecision(b *testing.B) {
	for _, n := range []int{10, 200, 3200} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			port := &discardingPort{}
			inst := New(port, Config{Seed: 7, Instances: 300})
			inst.configureClasses(Config{Classes: []RequestClass{{LatencyObjective: 1000, Timeout: 4000, Value: 1}}, MaxAttempts: 5, ConcurrentAttempts: true, CancelAllowed: true})
			inst.configureExposure(ExposureConfig{FreeAttempts: 2, Caps: []float64{0.1, 0.5, 1}, PerClass: true, KeyAffinity: true})
			inst.configureRollout(RolloutConfig{Stages: []float64{0.1, 0.5, 1}, Control: ControlMajority, RollbackVotes: 1, VoteLifetime: 4000})
			inst.OnReleaseUpdate(1, ReleaseUpdate{Release: 2, Phase: RollingOut, Cap: 0.1, HasState: true})
			var list []Endpoint
			for i := range n {
				id := ReleaseID(1)
				if i%10 == 0 {
					id = 2
				}
				list = append(list, Endpoint{ID: fmt.Sprint("s", i), Release: id, Weight: 1})
			}
			inst.OnEndpoints(1, EndpointUpdate{Endpoints: list, Snapshot: true})
			keys := make([]string, 4096)
			ids := make([]string, 4096)
			for k := range keys {
				keys[k], ids[k] = fmt.Sprint("key", k), fmt.Sprint("r", k)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for k := range b.N {
				now := 10 + float64(k)*0.5
				request := ids[k&4095]
				inst.OnRequest(now, Request{ID: request, Key: keys[(k*7)&4095], TimeLeft: 4000})
				inst.OnAttemptResult(now+0.2, AttemptResult{RequestID: request, Status: StatusServed, Final: true, Elapsed: 10})
			}
		})
	}
}
