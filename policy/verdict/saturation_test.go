package verdict

import (
	"fmt"
	"testing"

	"onyxgate/policy/release"
)

// A saturation that starts before the candidate has a substantial share of the traffic counts only by how much it
// grows.
func TestSaturation(t *testing.T) {
	for _, c := range []struct {
		name          string
		first, second float64 // latency inflation in the first stage and in the next
		saturated     bool
	}{
		{"no inflation", 1, 1, false},
		{"starts in the second stage", 1, 1.8, true},
		{"present in the first stage", 1.9, 2, false},
		{"present in the first stage, then grows", 1.9, 3.2, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := New(Settings{Classes: 1, Stages: []float64{0.1, 0.5, 1}, Control: ControlMajority, RollbackVotes: 1})
			e.announced, e.baseline.typical, e.baseline.lowLatency[0], e.baseline.arrivalRate = true, 1, 1, 1
			now, saturated := 1.0, false
			for stage, latency := range []float64{c.first, c.second} {
				e.stage = stage
				now += 10000
				for i := range 40 {
					e.evidence.outcomes[Baseline][0] = append(e.evidence.outcomes[Baseline][0], Outcome{EndedAt: now, Latency: latency, Backend: i % 4, comparable: true})
				}
				saturated, _ = e.updateSaturation(now, Fleet{Instances: 2})
			}
			expect(t, "saturated", saturated, c.saturated)
		})
	}
}

// TestSaturationUpdate checks when a saturation starts, when it ends and when it has lasted too long.
func TestSaturationUpdate(t *testing.T) {
	type step struct {
		now, inflation float64
		external       bool
		want           string // saturated, too long
	}
	for _, c := range []struct {
		name  string
		steps []step
	}{
		{"below saturationStart", []step{{0, 1.59, false, "false false"}}},
		{"at saturationStart", []step{{0, saturationStart, false, "true false"}}},
		{"lasts until saturationEnd", []step{{0, 1.7, false, "true false"}, {200, saturationEnd, false, "true false"}, {400, 1.34, false, "false false"}}},
		{"too long", []step{{0, 1.7, false, "true false"}, {saturationLimit - 1, 1.7, false, "true false"}, {saturationLimit, 1.5, false, "true true"}}},
		{"ends and starts again", []step{{0, 1.7, false, "true false"}, {6000, 1, false, "false false"}, {6200, 1.7, false, "true false"}, {13000, 1.7, false, "true false"}, {13200, 1.7, false, "true true"}}},
		{"external", []step{{0, 2, true, "false false"}, {200, 2.5, false, "false false"}, {400, 3.2, false, "true false"}}},
		{"external, then over", []step{{0, 2, true, "false false"}, {200, 1, false, "false false"}, {400, 1.7, false, "true false"}}},
		{"external inflation does not end a saturation", []step{{0, 1.7, false, "true false"}, {200, 1.7, true, "true false"}, {7000, 1.7, true, "true true"}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSaturation()
			for _, step := range c.steps {
				saturated, tooLong := s.update(step.now, step.inflation, step.external)
				expect(t, fmt.Sprint("saturated, tooLong at ", step.now), fmt.Sprint(saturated, tooLong), step.want)
			}
		})
	}
}

// A saturation is external if it starts before the candidate has a substantial share of the traffic, or after it was
// released and all traffic has moved.
func TestExternalSaturation(t *testing.T) {
	for _, c := range []struct {
		name  string
		stage int
		phase release.Phase
		since float64 // ms in this phase
		want  bool    // counts against the candidate
	}{
		{"first stage", 0, release.RollingOut, 5000, false},
		{"second stage", 1, release.RollingOut, 5000, true},
		{"just released", 1, release.Released, releaseSettleTime, true},
		{"released a while ago", 1, release.Released, releaseSettleTime + 1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			const now = 20000
			e := New(Settings{Classes: 1, RollbackVotes: 1})
			e.baseline.typical, e.baseline.lowLatency[0], e.baseline.arrivalRate = 1, 1, 1
			e.stage, e.phase, e.stateSince = c.stage, c.phase, now-c.since
			for i := range 40 {
				e.evidence.outcomes[Candidate][0] = append(e.evidence.outcomes[Candidate][0], Outcome{EndedAt: now, Latency: 2, Backend: i % 4, comparable: true})
			}
			saturated, _ := e.updateSaturation(now, Fleet{Instances: 2})
			expect(t, "saturated", saturated, c.want)
		})
	}
}

// The latency inflation is that of the faster backends, or of all backends together if an instance sees few outcomes of
// each. It is 0 with too few outcomes or too many arrivals.
func TestLatencyInflation(t *testing.T) {
	for _, c := range []struct {
		name      string
		latencies []float64 // by backend, for three outcomes each
		fleet     Fleet
		arrivals  float64 // arrival rate as a multiple of the baseline's
		want      float64 // latency inflation relative to a baseline of 10 ms
	}{
		{"all slower", []float64{20, 20, 20, 20}, Fleet{Instances: 2}, 1, 2},
		{"one of four slower", []float64{10, 10, 10, 50}, Fleet{Instances: 2}, 1, 1},
		{"all but one slower", []float64{10, 50, 50, 50}, Fleet{Instances: 2}, 1, 5},
		{"two backends", []float64{20, 20}, Fleet{Instances: 2}, 1, 0},
		{"two backends, many instances: too few outcomes together", []float64{20, 20}, Fleet{Instances: manyInstances}, 1, 0},
		{"seven backends, many instances", []float64{20, 20, 20, 20, 20, 20, 20}, Fleet{Instances: manyInstances}, 1, 2},
		{"arrivals at maxArrivalRatio", []float64{20, 20, 20, 20}, Fleet{Instances: 2}, maxArrivalRatio, 2},
		{"arrivals above maxArrivalRatio", []float64{20, 20, 20, 20}, Fleet{Instances: 2}, 1.4, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := New(Settings{Classes: 1, RollbackVotes: 1})
			e.baseline.typical, e.baseline.lowLatency[0], e.baseline.arrivalRate = 1, 10, 0.5
			for backend, latency := range c.latencies {
				for range 3 {
					e.evidence.add(Baseline, 0, Outcome{EndedAt: 9000, Latency: latency, Backend: backend}, true)
				}
				// Outcomes that are too old or failed are ignored.
				e.evidence.add(Baseline, 0, Outcome{EndedAt: 10000 - inflationWindow, Latency: 900, Backend: backend}, true)
				e.evidence.add(Baseline, 0, Outcome{EndedAt: 9000, Latency: 900, Backend: backend, Failed: true}, true)
			}
			c.fleet.ArrivalRate = c.arrivals * 0.5
			expectNear(t, "latencyInflation", e.latencyInflation(10000, c.fleet), c.want)
		})
	}
}

// TestTypicalLatencyMinimums checks the minimum numbers of backends and outcomes, and which outcomes are included.
func TestTypicalLatencyMinimums(t *testing.T) {
	for _, c := range []struct {
		name                    string
		backends, each          int
		fleet                   Fleet
		failed, withoutBaseline bool // applies to all outcomes
		want                    float64
	}{
		{"three backends with three outcomes", 3, 3, Fleet{Instances: 2}, false, false, 2},
		{"two backends", 2, 30, Fleet{Instances: 2}, false, false, 0},
		{"two outcomes each", 9, 2, Fleet{Instances: 2}, false, false, 0},
		{"two outcomes each, twenty in total, ten instances", 10, 2, Fleet{Instances: 10}, false, false, 2},
		{"two outcomes each, twenty in total, nine instances", 10, 2, Fleet{Instances: 9}, false, false, 0},
		{"two outcomes each, twenty in total, ten instances with peer messages", 10, 2, Fleet{Instances: 10, PeerMessages: true}, false, false, 0},
		{"one outcome each, nineteen in total, ten instances", 19, 1, Fleet{Instances: 10}, false, false, 0},
		{"failed outcomes", 3, 9, Fleet{Instances: 2}, true, false, 0},
		{"class without a baseline", 3, 9, Fleet{Instances: 2}, false, true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := New(Settings{Classes: 2, RollbackVotes: 1})
			e.baseline.lowLatency[0] = 10
			class := 0
			if c.withoutBaseline {
				class = 1
			}
			for k := range c.backends * c.each {
				e.evidence.add(Candidate, class, Outcome{EndedAt: 5000, Latency: 20, Backend: k % c.backends, Failed: c.failed}, true)
			}
			expectNear(t, "typicalLatency", e.typicalLatency(e.evidence.outcomes, 4000, c.fleet), c.want)
		})
	}
}

// The low latency of a class before a rollout requires twenty comparable outcomes from the last six seconds.
func TestBaselineLatency(t *testing.T) {
	for _, c := range []struct {
		name   string
		count  int
		at     float64
		failed bool
		want   float64
	}{
		{"twenty outcomes", 20, 5000, false, 30},
		{"nineteen outcomes", 19, 5000, false, 0},
		{"failed outcomes", 20, 5000, true, 0},
		{"just recent enough", 20, 4001, false, 30},
		{"too old", 20, 4000, false, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := New(Settings{Classes: 1, RollbackVotes: 1})
			for k := range c.count {
				e.evidence.add(Baseline, 0, Outcome{EndedAt: c.at, Latency: 30, Backend: k % 4, Failed: c.failed}, true)
			}
			e.StartRollout(10000, 2, false, Fleet{Instances: 2, ArrivalRate: 3})
			expectNear(t, "low latency", e.baseline.lowLatency[0], c.want)
			expectNear(t, "arrival rate", e.baseline.arrivalRate, 3)
		})
	}
}
