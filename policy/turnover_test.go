package policy

import (
	"fmt"
	"strings"
	"testing"

	"onyxgate/policy/balance"
)

// playTurnover plays 40000 requests, each with its own key, while a backend is replaced every 80 ms and a release every
// 1.6 s. It returns the time of the end.
func playTurnover(inst *Instance, port *recordingPort) (now float64) {
	now = 10
	for k := range 40000 {
		now += 4
		release := ReleaseID(1 + k/400)
		if k%20 == 0 {
			updateEndpoint(inst, now, fmt.Sprint("x", k), release, EndpointRunning)
		}
		if k%20 == 0 && k >= 200 {
			inst.OnEndpoints(now, EndpointUpdate{Endpoints: []Endpoint{{ID: fmt.Sprint("x", k-200), State: EndpointRemoved}}})
		}
		if k%400 == 0 {
			inst.OnReleaseUpdate(now, ReleaseUpdate{Release: release, Phase: Released, Cap: 1, HasState: true})
		}
		id := fmt.Sprint(k)
		inst.OnRequest(now, Request{ID: id, Key: "key" + id, TimeLeft: 400})
		for _, action := range port.takeActions() {
			if strings.HasPrefix(action, "submit "+id+" ") {
				inst.OnAttemptResult(now+2, AttemptResult{RequestID: id, Status: StatusServed, Final: true, Elapsed: 2})
			}
		}
	}
	for range 100 { // let the remaining timers expire
		now += 10
		inst.OnTimer(now, inst.timers.token)
	}
	return now
}

// No state grows without bound while requests, keys, backends and releases come and go.
func TestStateIsBounded(t *testing.T) {
	inst, port := startInstance(RequestClass{}, 3)
	inst.configureExposure(ExposureConfig{FreeAttempts: 2, Caps: []float64{1}, KeyAffinity: true})
	playTurnover(inst, port)
	ids, hashes := inst.endpoints.IndexSizes()
	for _, tc := range []struct {
		name      string
		got, most int
	}{
		{"requests", len(inst.requests), 0},
		{"keys with open attempts", inst.affinity.PendingKeys(), 0},
		{"keys with affinity", inst.affinity.Len(), 3 * 400},
		{"keys counted", len(inst.popularKeys), maxCountedKeys + 1},
		{"backends", inst.endpoints.Len(), 1000},
		{"ids", ids, 1000},
		{"hashes", hashes, 1000},
		{"timers", len(inst.timers.queue), 9},
		{"allowances", inst.allowance.Len(), 3},
		{"queued requests", len(inst.retryQueue), 0},
		{"pending requests", len(inst.pending), 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if tc.got > tc.most {
				t.Errorf("%s left after the turnover = %d, want at most %d", tc.name, tc.got, tc.most)
			}
		})
	}
}

// The observed state of a backend is reset if a process of another release starts with the same ID.
func TestProcessReplacedResetsBackend(t *testing.T) {
	inst, port := startInstance(RequestClass{}, 3)
	inst.configureExposure(ExposureConfig{FreeAttempts: 2, Caps: []float64{1}, KeyAffinity: true})
	now := playTurnover(inst, port)
	inst.OnEndpoints(now, EndpointUpdate{Endpoints: []Endpoint{{ID: "y", Release: 500, Weight: 1}}, Snapshot: true})
	inst.OnTimer(now+aggregatesInterval, 0)
	backend, _ := inst.endpoints.Find("y")
	b := inst.endpoints.At(backend)
	for range 5 {
		b.Health.Add(now, true)
		b.Health.Add(now, false)
		b.Ejection.OnFailure(now, inst.rng)
	}
	b.LatencyInflation, b.Load, b.Limit = 4, balance.NewLoad(7, 0, now), 1
	inst.OnEndpoints(now+1, EndpointUpdate{Endpoints: []Endpoint{{ID: "y", Release: 501, Weight: 1}}})
	expect(t, "observed state of the backend", []any{b.Health, b.LatencyInflation, b.Ejection, b.Load, b.Limit}, "[{0 0 0} 1 {0 0} {0 0} 4]")
}
