package policy

import (
	"fmt"
	"testing"
)

// recordingPort is a port that records the instance's actions, one line each. The lines use the words of the recordings
// in testdata, which must not change: submit is an attempt, decline a rejection, void a failure, revoke a cancellation
// and tell a message.
type recordingPort struct{ actions []string }

func (port *recordingPort) add(format string, args ...any) {
	port.actions = append(port.actions, fmt.Sprintf(format, args...))
}

func (port *recordingPort) SendAttempt(request, backend string, _ float64) {
	port.add("submit %s %s", request, backend)
}

func (port *recordingPort) Reject(request string, _ float64) { port.add("decline %s", request) }

func (port *recordingPort) Fail(request string) { port.add("void %s", request) }

func (port *recordingPort) CancelAttempt(request string, attempt int) {
	port.add("revoke %s %d", request, attempt)
}

func (port *recordingPort) SendVote(id ReleaseID, verdict Verdict, stage int) {
	port.add("vote %d %d %d", id, verdict, stage)
}

func (port *recordingPort) SendProbe(backend string) { port.add("probe %s", backend) }

func (port *recordingPort) SendMessage(instance int, message []byte) {
	port.add("tell %d %x", instance, message)
}

func (port *recordingPort) SetTimer(float64, uint64) {}

func (port *recordingPort) WatchEndpoints() { port.add("subscribe") }

func (port *recordingPort) FetchEndpoints() {}

func (port *recordingPort) Log(string) {}

// takeActions returns the actions since the last call.
func (port *recordingPort) takeActions() []string {
	actions := port.actions
	port.actions = nil
	return actions
}

// startInstance starts an instance with one class and backends of release 1 named a, b, c and so on, which alternate
// between two zones and cells.
func startInstance(class RequestClass, backends int) (*Instance, *recordingPort) {
	port := &recordingPort{}
	inst := New(port, Config{Seed: 12345, Instances: 2})
	if class.LatencyObjective == 0 {
		class.LatencyObjective, class.Timeout, class.Value, class.DedupWindow = 1000, 4000, 1, 2000
	}
	inst.configureClasses(Config{Classes: []RequestClass{class}, MaxAttempts: 5, ConcurrentAttempts: true, CancelAllowed: true})
	inst.configureSlowStart(SlowStartConfig{InitialCapacity: 0.4, WarmUp: 5000, OverloadFactor: 3, OverloadWindow: 1000})
	inst.configureExposure(ExposureConfig{FreeAttempts: 2, Caps: []float64{0.1, 0.5, 1}})
	inst.configureRollout(RolloutConfig{Stages: []float64{0.1, 0.5, 1}, Control: ControlMajority, RollbackVotes: 1, VoteLifetime: 4000})
	var list []Endpoint
	for i := range backends {
		list = append(list, Endpoint{ID: string(rune('a' + i)), Release: 1, Weight: 1, Zone: i % 2, Cell: i % 2})
	}
	inst.OnEndpoints(1, EndpointUpdate{Endpoints: list, Snapshot: true})
	return inst, port
}

// expect compares the formatted values of got and want.
func expect(t *testing.T, what string, got, want any) {
	t.Helper()
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("%s: got %v, want %v", what, got, want)
	}
}

// loadReportOf returns a report of two figures; a negative one is missing.
func loadReportOf(waiting, utilization float64) LoadReport {
	return LoadReport{Present: waiting >= 0 || utilization >= 0, Waiting: max(waiting, 0), Utilization: max(utilization, 0)}
}
