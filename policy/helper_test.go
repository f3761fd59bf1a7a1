package policy

import (
	"fmt"
	"testing"
)

// recordingPort is a port that keeps what the module does, one word an action.
type recordingPort struct{ did []string }

func (port *recordingPort) add(format string, args ...any) {
	port.did = append(port.did, fmt.Sprintf(format, args...))
}

func (port *recordingPort) SendAttempt(txn, appliance string, limit float64) {
	port.add("submit %s %s", txn, appliance)
}
func (port *recordingPort) Reject(txn string, wait float64) { port.add("decline %s", txn) }
func (port *recordingPort) Fail(txn string)                 { port.add("void %s", txn) }
func (port *recordingPort) CancelAttempt(txn string, submission int) {
	port.add("revoke %s %d", txn, submission)
}

func (port *recordingPort) SendVote(build ReleaseID, v Verdict, stage int) {
	port.add("vote %d %d %d", build, v, stage)
}
func (port *recordingPort) SendProbe(appliance string)           { port.add("probe %s", appliance) }
func (port *recordingPort) SendMessage(agent int, note []byte)   { port.add("tell %d %x", agent, note) }
func (port *recordingPort) SetTimer(after float64, token uint64) {}
func (port *recordingPort) WatchEndpoints()                      { port.add("subscribe") }
func (port *recordingPort) FetchEndpoints()                      {}
func (port *recordingPort) Log(line string)                      {}

// take returns what was done since the last call.
func (port *recordingPort) take() []string {
	did := port.did
	port.did = nil
	return did
}

// startInstance starts an agent with one product on appliances of build 1 called a, b, c and so on.
func startInstance(p RequestClass, appliances int) (*Instance, *recordingPort) {
	port := &recordingPort{}
	inst := New(port, Config{Seed: 12345, Instances: 2})
	if p.LatencyObjective == 0 {
		p.LatencyObjective, p.Timeout, p.Value, p.DedupWindow = 1000, 4000, 1, 2000
	}
	inst.configureClasses(Config{Classes: []RequestClass{p}, MaxAttempts: 5, ConcurrentAttempts: true, CancelAllowed: true})
	inst.configureSlowStart(SlowStartConfig{InitialCapacity: 0.4, WarmUp: 5000, OverloadFactor: 3, OverloadWindow: 1000})
	inst.configureExposure(ExposureConfig{FreeAttempts: 2, Caps: []float64{0.1, 0.5, 1}})
	inst.configureRollout(RolloutConfig{Stages: []float64{0.1, 0.5, 1}, Control: ControlMajority, RollbackVotes: 1, VoteLifetime: 4000})
	var list []Endpoint
	for i := range appliances {
		list = append(list, Endpoint{ID: string(rune('a' + i)), Release: 1, Weight: 1, Zone: i % 2, Cell: i % 2})
	}
	inst.OnEndpoints(1, EndpointUpdate{Endpoints: list, Snapshot: true})
	return inst, port
}

func expect(t *testing.T, what string, got, want any) {
	t.Helper()
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("%s: got %v, want %v", what, got, want)
	}
}

// loadReportOf is a report of two figures, of which one below 0 is not told.
func loadReportOf(waiting, busy float64) LoadReport {
	return LoadReport{Present: waiting >= 0 || busy >= 0, Waiting: max(waiting, 0), Busy: max(busy, 0)}
}
