package core

import (
	"fmt"
	"testing"
	"time"

	"onyxgate/policy"
)

// countingTransport is a Transport that counts votes.
type countingTransport struct{ votes int }

func (c *countingTransport) SendVote(policy.ReleaseID, policy.Verdict, int) { c.votes++ }
func (c *countingTransport) SendProbe(string)                               {}
func (c *countingTransport) WatchEndpoints()                                {}
func (c *countingTransport) FetchEndpoints()                                {}

// testResponse is the response of a backend.
type testResponse string

func (r testResponse) Bytes() []byte { return []byte(r) }

// recordingCanceler is a call in progress that records when it was canceled.
type recordingCanceler struct{ canceledAt time.Time }

func (r *recordingCanceler) Cancel() { r.canceledAt = time.Now() }

// newTestCore starts a Core with one request class and the given number of backends, all of one release. Its timers
// are stopped when the test ends.
func newTestCore(t *testing.T, class policy.RequestClass, backends int) (*Core, *countingTransport) {
	t.Helper()
	class.LatencyObjective, class.Timeout, class.Value, class.DedupWindow = 1000, 4000, 1, 9000
	core, transport := newTestCoreWithConfig(t, policy.Config{
		Seed: 7, Instances: 1, Classes: []policy.RequestClass{class}, MaxAttempts: 3, CancelAllowed: true,
		Exposure: policy.ExposureConfig{FreeAttempts: 2, Caps: []float64{0.1, 1}},
		Rollout:  policy.RolloutConfig{Stages: []float64{0.1, 1}, Control: policy.ControlSingleVote, RollbackVotes: 1, VoteLifetime: 4000},
	})
	var endpoints []policy.Endpoint
	for k := range backends {
		endpoints = append(endpoints, policy.Endpoint{ID: fmt.Sprint("s", k), Release: 1, Weight: 1})
	}
	core.UpdateEndpoints(policy.EndpointUpdate{Endpoints: endpoints, Snapshot: true, Cached: true})
	return core, transport
}

// newTestCoreWithConfig starts a Core with the given configuration. Its timers are stopped when the test ends.
func newTestCoreWithConfig(t *testing.T, config policy.Config) (*Core, *countingTransport) {
	t.Helper()
	transport := &countingTransport{}
	core := New(transport)
	core.Start(func(port policy.Port) *policy.Instance { return policy.New(port, config) })
	t.Cleanup(func() { core.wakeTimer.Stop() })
	return core, transport
}

// accept passes a request to the core that has timeLeft (ms) to be answered.
func accept(core *Core, id string, timeLeft float64) *Request {
	return core.Accept(IncomingRequest{ID: id, ArrivedAt: core.Now(), TimeLeft: timeLeft})
}
