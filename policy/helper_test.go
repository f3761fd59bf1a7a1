package policy

import (
	"fmt"
	"testing"
)

// record is a port that keeps what the module does, one word an action.
type record struct{ did []string }

func (r *record) add(format string, args ...any) { r.did = append(r.did, fmt.Sprintf(format, args...)) }

func (r *record) SendAttempt(txn, appliance string, limit float64) {
	r.add("submit %s %s", txn, appliance)
}
func (r *record) Reject(txn string, wait float64)          { r.add("decline %s", txn) }
func (r *record) Fail(txn string)                          { r.add("void %s", txn) }
func (r *record) CancelAttempt(txn string, submission int) { r.add("revoke %s %d", txn, submission) }
func (r *record) SendVote(build ReleaseID, v Verdict, stage int) {
	r.add("vote %d %d %d", build, v, stage)
}
func (r *record) SendProbe(appliance string)           { r.add("probe %s", appliance) }
func (r *record) SendMessage(agent int, note []byte)   { r.add("tell %d %x", agent, note) }
func (r *record) SetTimer(after float64, token uint64) {}
func (r *record) WatchEndpoints()                      { r.add("subscribe") }
func (r *record) FetchEndpoints()                      {}
func (r *record) Log(line string)                      {}

// take returns what was done since the last call.
func (r *record) take() []string {
	did := r.did
	r.did = nil
	return did
}

// tier starts an agent with one product on appliances of build 1 called a, b, c and so on.
func tier(p RequestClass, appliances int) (*Instance, *record) {
	r := &record{}
	a := New(r, Config{Seed: 12345, Instances: 2})
	if p.LatencyObjective == 0 {
		p.LatencyObjective, p.Timeout, p.Value, p.DedupWindow = 1000, 4000, 1, 2000
	}
	a.configureClasses(Config{Classes: []RequestClass{p}, MaxAttempts: 5, ConcurrentAttempts: true, CancelAllowed: true})
	a.configureSlowStart(SlowStartConfig{InitialCapacity: 0.4, WarmUp: 5000, OverloadFactor: 3, OverloadWindow: 1000})
	a.configureExposure(ExposureConfig{FreeAttempts: 2, Caps: []float64{0.1, 0.5, 1}})
	a.configureRollout(RolloutConfig{Stages: []float64{0.1, 0.5, 1}, Control: ControlMajority, RollbackVotes: 1, VoteLifetime: 4000})
	var list []Endpoint
	for i := range appliances {
		list = append(list, Endpoint{ID: string(rune('a' + i)), Release: 1, Weight: 1, Zone: i % 2, Cell: i % 2})
	}
	a.OnEndpoints(1, EndpointUpdate{Endpoints: list, Snapshot: true})
	return a, r
}

func expect(t *testing.T, what string, got, want any) {
	t.Helper()
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("%s: got %v, want %v", what, got, want)
	}
}

// loadReport is a report of two figures, of which one below 0 is not told.
func loadReport(waiting, busy float64) LoadReport {
	return LoadReport{Present: waiting >= 0 || busy >= 0, Waiting: max(waiting, 0), Busy: max(busy, 0)}
}
