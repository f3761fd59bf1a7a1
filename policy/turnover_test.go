package policy

import (
	"fmt"
	"strings"
	"testing"

	"onyxgate/policy/balance"
)

// What comes and goes for good leaves nothing behind, and an id that returns is new in all that is believed of it.
func TestTurnover(t *testing.T) {
	inst, port := startInstance(RequestClass{}, 3)
	inst.configureExposure(ExposureConfig{FreeAttempts: 2, Caps: []float64{1}, KeyAffinity: true})
	now := 10.0
	for k := range 40000 {
		now += 4
		if k%20 == 0 {
			id := fmt.Sprint("x", k)
			inst.OnEndpoints(now, EndpointUpdate{Endpoints: []Endpoint{{ID: id, Release: ReleaseID(1 + k/400), Weight: 1}}})
			if k >= 200 {
				inst.OnEndpoints(now, EndpointUpdate{Endpoints: []Endpoint{{ID: fmt.Sprint("x", k-200), State: EndpointRemoved}}})
			}
		}
		if k%400 == 0 {
			inst.OnReleaseUpdate(now, ReleaseUpdate{Release: ReleaseID(1 + k/400), Phase: Released, Cap: 1, Known: true})
		}
		id := fmt.Sprint(k)
		inst.OnRequest(now, Request{ID: id, Key: "key" + id, TimeLeft: 400})
		for _, did := range port.take() {
			if strings.HasPrefix(did, "submit "+id+" ") {
				inst.OnAttemptResult(now+2, AttemptResult{RequestID: id, Status: StatusServed, Final: true, Took: 2})
			}
		}
		if k == 39999 {
			for range 100 { // alarms that are still set
				now += 10
				inst.OnTimer(now, inst.timerToken)
			}
		}
	}
	ids, hashes := inst.endpoints.Indexed()
	for _, tc := range []struct {
		name      string
		got, most int
	}{
		{"txns", len(inst.requests), 0},
		{"keys pending", inst.affinity.Pending(), 0},
		{"keys bound", inst.affinity.Len(), 3 * 400},
		{"keys counted", len(inst.popularKeys), maxCountedKeys + 1},
		{"appliances", inst.endpoints.Len(), 1000},
		{"names", ids, 1000},
		{"hashes", hashes, 1000},
		{"alarms", len(inst.timers), 9},
		{"allowances", inst.allowance.Len(), 3},
		{"held", len(inst.retryQueue), 0},
		{"to do", len(inst.pending), 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if tc.got > tc.most {
				t.Errorf("%d left, %d at the most", tc.got, tc.most)
			}
		})
	}
	inst.OnEndpoints(now, EndpointUpdate{Endpoints: []Endpoint{{ID: "y", Release: 500, Weight: 1}}, Snapshot: true})
	inst.OnTimer(now+aggregatesInterval, 0)
	i, _ := inst.endpoints.Find("y")
	b := inst.endpoints.At(i)
	for range 5 {
		b.Answers.Add(now, true)
		b.Answers.Add(now, false)
		b.Ejection.OnFailure(now, inst.rng)
	}
	b.LatencyInflation, b.Load, b.Limit = 4, balance.NewLoad(7, 0, now), 1
	inst.OnEndpoints(now+1, EndpointUpdate{Endpoints: []Endpoint{{ID: "y", Release: 501, Weight: 1}}})
	expect(t, "believed", []any{b.Answers, b.LatencyInflation, b.Ejection, b.Load, b.Limit}, "[{0 0 0} 1 {0 0} {0 0} 4]")
}
