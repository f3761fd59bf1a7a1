package core

import (
	"fmt"
	"testing"
	"time"

	"onyxgate/policy"
)

// calls counts what the decisions have sent.
type countingTransport struct{ votes int }

func (c *countingTransport) SendVote(policy.ReleaseID, policy.Verdict, int) { c.votes++ }
func (c *countingTransport) SendProbe(string)                               {}
func (c *countingTransport) WatchEndpoints()                                {}
func (c *countingTransport) FetchEndpoints()                                {}

// body is the answer of a backend.
type testResponse string

func (r testResponse) Bytes() []byte { return []byte(r) }

// halted is a call under way that keeps when it was interrupted.
type recordingCanceler struct{ canceledAt time.Time }

func (r *recordingCanceler) Cancel() { r.canceledAt = time.Now() }

// hosted starts a core whose decisions know one class and so many backends, all of one release. Its timers end with the test.
func newTestCore(t *testing.T, class policy.RequestClass, backends int) (*Core, *countingTransport) {
	t.Helper()
	class.LatencyObjective, class.Timeout, class.Value, class.DedupWindow = 1000, 4000, 1, 9000
	core, sent := newTestCoreWithConfig(t, policy.Config{
		Seed: 7, Instances: 1, Classes: []policy.RequestClass{class}, MaxAttempts: 3, CancelAllowed: true,
		Exposure: policy.ExposureConfig{FreeAttempts: 2, Caps: []float64{0.1, 1}},
		Rollout:  policy.RolloutConfig{Stages: []float64{0.1, 1}, Control: policy.ControlSingleVote, RollbackVotes: 1, VoteLifetime: 4000},
	})
	var endpoints []policy.Endpoint
	for k := range backends {
		endpoints = append(endpoints, policy.Endpoint{ID: fmt.Sprint("s", k), Release: 1, Weight: 1})
	}
	core.UpdateEndpoints(policy.EndpointUpdate{Endpoints: endpoints, Snapshot: true, Cached: true})
	return core, sent
}

// started starts a core with these settings. Its timers end with the test.
func newTestCoreWithConfig(t *testing.T, config policy.Config) (*Core, *countingTransport) {
	t.Helper()
	sent := &countingTransport{}
	core := New(sent)
	core.Start(func(port policy.Port) *policy.Instance { return policy.New(port, config) })
	t.Cleanup(func() { core.wakeTimer.Stop() })
	return core, sent
}

// accept hands over a request that has so many ms.
func accept(core *Core, id string, timeLeft float64) *Request {
	return core.Accept(IncomingRequest{ID: id, ArrivedAt: core.Now(), TimeLeft: timeLeft})
}
