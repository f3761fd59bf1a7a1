package policy

import (
	"fmt"
	"testing"
)

// quiet is a port that keeps nothing.
type quiet struct{ record }

func (q *quiet) SendAttempt(txn, appliance string, limit float64) {
	q.did = append(q.did[:0], appliance)
}

// One decision, from a request to the end of its attempt, at so many backends, one in ten of a release on trial.
func BenchmarkDecision(b *testing.B) {
	for _, n := range []int{10, 200, 3200} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			q := &quiet{}
			a := New(q, 7, 0, 300)
			a.Serve([]RequestClass{{LatencyObjective: 1000, Timeout: 4000, Value: 1}}, 5, true, true)
			a.Expose(2, []float64{0.1, 0.5, 1}, 0, true, true)
			a.Judge([]float64{0.1, 0.5, 1}, ControlMajority, 1, 4000)
			a.OnReleaseUpdate(1, 2, 0, RollingOut, NotAVote, 0.1, 0, true)
			var list []Endpoint
			for i := range n {
				build := 1
				if i%10 == 0 {
					build = 2
				}
				list = append(list, Endpoint{ID: fmt.Sprint("s", i), Release: build, Weight: 1})
			}
			a.OnEndpoints(1, list, true, false)
			keys := make([]string, 4096)
			ids := make([]string, 4096)
			for k := range keys {
				keys[k], ids[k] = fmt.Sprint("key", k), fmt.Sprint("r", k)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for k := range b.N {
				now := 10 + float64(k)*0.5
				id := ids[k&4095]
				a.OnRequest(now, id, keys[(k*7)&4095], 0, 0, false, 4000, 0)
				a.OnAttemptResult(now+0.2, id, 0, StatusServed, true, 10, -1, -1)
			}
		})
	}
}
