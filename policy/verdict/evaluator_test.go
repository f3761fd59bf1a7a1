package verdict

import (
	"fmt"
	"strings"
	"testing"

	"onyxgate/policy/release"
)

// recordOutcomes records count outcomes of each arm, evenly spread between two times (ms). Both arms have the same
// latencies. If failEvery is not 0, every failEvery-th outcome of the candidate is a failure.
func recordOutcomes(e *Evaluator, from, to float64, count, failEvery int) {
	for k := range count {
		at := from + (to-from)*float64(k)/float64(count)
		latency := 50 + float64(k*37%101)
		e.Record(1, 0, Outcome{EndedAt: at, Latency: latency, Backend: k % 4}, true, true)
		e.Record(2, 0, Outcome{EndedAt: at, Latency: latency, Backend: 4 + k%4, Failed: failEvery > 0 && k%failEvery == 0}, true, true)
	}
}

// steadyFleet has ten places, four of which have run the candidate since time 0.
var steadyFleet = Fleet{Instances: 2, Places: 10, CandidateBackends: 4}

// TestEvaluate checks the desired verdict on a good and a bad candidate in each phase and under each control.
func TestEvaluate(t *testing.T) {
	for _, c := range []struct {
		name    string
		control RolloutControl
		stage   int
		phase   release.Phase
		bad     bool
		now     float64
		fleet   func(*Fleet)
		want    Verdict
	}{
		{"good", ControlMajority, 0, release.RollingOut, false, 5000, nil, Promote},
		{"good, too soon", ControlMajority, 0, release.RollingOut, false, minStageTime + stageClockMargin - 1, nil, NoVerdict},
		{"good, at the minimum time", ControlMajority, 0, release.RollingOut, false, minStageTime + stageClockMargin, nil, Promote},
		{"good, timed rollout", ControlTimed, 0, release.RollingOut, false, 5000, nil, NoVerdict},
		{"good, released", ControlMajority, 0, release.Released, false, 5000, nil, NoVerdict},
		{"good, rolling back", ControlMajority, 0, release.RollingBack, false, 5000, nil, NoVerdict},
		{"good, its last backend started late", ControlMajority, 0, release.RollingOut, false, 5000, func(f *Fleet) { f.LastCandidateStart = 3000 }, NoVerdict},
		{"good, not an evaluator", ControlMajority, 0, release.RollingOut, false, 5000, func(f *Fleet) { f.PeerMessages, f.Index = true, EvaluatorCount }, NoVerdict},
		{"good, not an evaluator, later", ControlMajority, 0, release.RollingOut, false, 5000 + soloEvaluationDelay, func(f *Fleet) { f.PeerMessages, f.Index = true, EvaluatorCount }, Promote},
		{"good, the last evaluator", ControlMajority, 0, release.RollingOut, false, 5000, func(f *Fleet) { f.PeerMessages, f.Index = true, EvaluatorCount-1 }, Promote},
		{"good, high index without peer messages", ControlMajority, 0, release.RollingOut, false, 5000, func(f *Fleet) { f.Index = EvaluatorCount }, Promote},
		{"bad", ControlMajority, 0, release.RollingOut, true, 2000, nil, Rollback},
		{"bad, timed rollout", ControlTimed, 0, release.RollingOut, true, 2000, nil, Rollback},
		{"bad, released", ControlMajority, 2, release.Released, true, 2000, func(f *Fleet) { f.CandidateBackends = 10 }, Rollback},
		{"bad, rolling back", ControlMajority, 0, release.RollingBack, true, 2000, nil, NoVerdict},
		{"bad, withdrawn", ControlMajority, 0, release.Withdrawn, true, 2000, nil, NoVerdict},
		{"bad, no backends left", ControlMajority, 0, release.RollingOut, true, 2000, func(f *Fleet) { f.CandidateBackends = 0 }, NoVerdict},
		{"bad, stage out of range", ControlMajority, 3, release.RollingOut, true, 2000, nil, NoVerdict},
		{"bad, stage lacks backends", ControlMajority, 1, release.RollingOut, true, 2000, nil, NoVerdict},
		{"bad, stage lacks backends for too long", ControlMajority, 1, release.RollingOut, true, stalledStageAfter, nil, Rollback},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := New(Settings{Classes: 1, Stages: []float64{0.1, 0.5, 1}, Control: c.control, RollbackVotes: 1, VoteLifetime: 4000})
			e.StartRollout(0, 2, true, steadyFleet)
			e.SetState(c.stage, c.phase, 0)
			failEvery := 0
			if c.bad {
				failEvery = 3 // spreads the failures over all four backends
			}
			recordOutcomes(e, 0, c.now, 200, failEvery)
			fleet := steadyFleet
			if c.fleet != nil {
				c.fleet(&fleet)
			}
			e.Evaluate(c.now, fleet)
			expect(t, "desired verdict", e.desired, c.want)
			expect(t, "RollbackReason starts with 'class 0: failures: '", strings.HasPrefix(e.RollbackReason(), "class 0: failures: "), c.want == Rollback)
		})
	}
}

// TestEvaluateUnannounced checks that no verdict is desired before a release is announced.
func TestEvaluateUnannounced(t *testing.T) {
	e := New(Settings{Classes: 1, Stages: []float64{1}, Control: ControlMajority, RollbackVotes: 1})
	e.Evaluate(50000, steadyFleet)
	expect(t, "Announced", e.Announced(), false)
	expect(t, "desired verdict", e.desired, NoVerdict)
}

// A candidate with too few outcomes is still promoted after a wait, which is longer if a single vote decides.
func TestEvaluateFewOutcomes(t *testing.T) {
	for _, c := range []struct {
		control RolloutControl
		count   int
		at      float64 // time of the promotion
	}{
		{ControlMajority, minSample, minStageTime + stageClockMargin},
		{ControlMajority, minSample - 1, maxEvidenceWait},
		{ControlMajority, 0, maxEvidenceWait},
		{ControlSingleVote, minSample, minStageTime + stageClockMargin},
		{ControlSingleVote, minSample - 1, maxEvidenceWait + soloEvaluationDelay},
	} {
		t.Run(fmt.Sprint("control ", c.control, ", outcomes ", c.count), func(t *testing.T) {
			e := New(Settings{Classes: 1, Stages: []float64{0.1, 1}, Control: c.control, RollbackVotes: 1})
			e.StartRollout(0, 2, true, steadyFleet)
			e.SetState(0, release.RollingOut, 0)
			recordOutcomes(e, 0, 1000, c.count, 0)
			e.Evaluate(c.at-1, steadyFleet)
			expect(t, "desired verdict 1 ms before the promotion", e.desired, NoVerdict)
			e.Evaluate(c.at, steadyFleet)
			expect(t, "desired verdict at the time of the promotion", e.desired, Promote)
		})
	}
}

// A desired rollback stays, whatever is observed later, until another stage, the end of the release or the next
// release.
func TestRollbackStays(t *testing.T) {
	for _, c := range []struct {
		name string
		then func(e *Evaluator)
		want Verdict
	}{
		{"no event", func(*Evaluator) {}, Rollback},
		{"good outcomes", func(e *Evaluator) { recordOutcomes(e, 2000, 4000, 2000, 0) }, Rollback},
		{"the same state again", func(e *Evaluator) { e.SetState(0, release.RollingOut, 3000) }, Rollback},
		{"rolling back", func(e *Evaluator) { e.SetState(0, release.RollingBack, 3000) }, NoVerdict},
		{"the next release", func(e *Evaluator) {
			e.StartRollout(3000, 3, false, steadyFleet)
			e.SetState(0, release.RollingOut, 3000)
		}, NoVerdict},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := New(Settings{Classes: 1, Stages: []float64{0.1, 1}, Control: ControlMajority, RollbackVotes: 1})
			e.StartRollout(0, 2, true, steadyFleet)
			e.SetState(0, release.RollingOut, 0)
			recordOutcomes(e, 0, 2000, 100, 3)
			e.Evaluate(2000, steadyFleet)
			expect(t, "desired verdict after failures", e.desired, Rollback)
			c.then(e)
			e.Evaluate(4000, steadyFleet)
			expect(t, "desired verdict afterwards", e.desired, c.want)
		})
	}
}

// A saturated fleet first blocks a promotion and later counts as a regression.
func TestEvaluateSaturated(t *testing.T) {
	e := New(Settings{Classes: 1, Stages: []float64{0.1, 0.2, 1}, Control: ControlMajority, RollbackVotes: 1})
	fleet := steadyFleet
	fleet.ArrivalRate = 1
	e.StartRollout(0, 1, false, fleet)
	e.SetState(2, release.Released, 0)
	record := func(from, to, latency float64) {
		for k := range 200 {
			at := from + (to-from)*float64(k)/200
			e.Record(1, 0, Outcome{EndedAt: at, Latency: latency, Backend: k % 4}, true, true)
			e.Record(2, 0, Outcome{EndedAt: at, Latency: latency, Backend: 4 + k%4}, true, true)
		}
	}
	record(0, 6000, 50)
	e.StartRollout(6000, 2, true, fleet)
	e.SetState(1, release.RollingOut, 6000)
	record(6000, 12000, 150)
	e.Evaluate(12000, fleet)
	expect(t, "desired verdict at the start of the saturation", e.desired, NoVerdict)
	record(12000, 12000+saturationLimit, 150)
	e.Evaluate(12000+saturationLimit, fleet)
	expect(t, "desired verdict after saturationLimit", e.desired, Rollback)
	expect(t, "RollbackReason starts with 'saturation: '", strings.HasPrefix(e.RollbackReason(), "saturation: "), true)
}

// An outcome counts for an arm according to its release, provided that outcomes of the release are evidence at all.
func TestRecordByRelease(t *testing.T) {
	for _, c := range []struct {
		name                string
		release             release.ID
		evaluated           bool
		baseline, candidate int
	}{
		{"newest release", 2, true, 0, 1},
		{"previous release", 1, true, 1, 0},
		{"withdrawn release", 1, false, 0, 0},
		{"unannounced release", 3, false, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := rollingOut(0)
			e.Record(c.release, 0, Outcome{EndedAt: 10, Latency: 5}, true, c.evaluated)
			expect(t, "baseline outcomes", e.OutcomeCount(Baseline), c.baseline)
			expect(t, "candidate outcomes", e.OutcomeCount(Candidate), c.candidate)
		})
	}
}

// The error probability of one instance falls with the number of evaluating instances and grows with the number of
// votes needed.
func TestErrorProbability(t *testing.T) {
	for _, c := range []struct {
		name     string
		votes    int
		fleet    Fleet
		low, top float64
	}{
		{"one vote of one instance", 1, Fleet{Instances: 1}, 0.04, 0.042},
		{"one vote of four", 1, Fleet{Instances: 4}, 0.01, 0.0105},
		{"one vote of hundreds", 1, Fleet{Instances: 400}, 0.0001, 0.00011},
		{"many votes of hundreds: the maximum", 43, Fleet{Instances: 540}, maxErrorProbability, maxErrorProbability},
		{"an evaluator of hundreds: three evaluate", 1, Fleet{Instances: 400, PeerMessages: true}, 0.0133, 0.0137},
		{"not an evaluator", 1, Fleet{Instances: 400, PeerMessages: true, Index: EvaluatorCount}, 0.0001, 0.00011},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := errorProbability(c.votes, c.fleet); got < c.low || got > c.top {
				t.Errorf("errorProbability(%d, %+v) = %v, want %v to %v", c.votes, c.fleet, got, c.low, c.top)
			}
		})
	}
}

// A regression is attributed to the first class that shows it, or to all classes pooled. Any class can show that the
// candidate is not inferior.
func TestCompareClasses(t *testing.T) {
	for _, c := range []struct {
		name        string
		failed      [3]bool // classes in which the candidate fails
		few         [3]bool // classes with too few outcomes to show anything
		nonInferior bool
		want        string
	}{
		{"no failures", [3]bool{}, [3]bool{}, true, ""},
		{"first class fails", [3]bool{true}, [3]bool{}, false, "class 0: failures"},
		{"last class fails", [3]bool{2: true}, [3]bool{}, false, "class 2: failures"},
		{"two classes fail", [3]bool{1: true, 2: true}, [3]bool{}, false, "class 1: failures"},
		{"one class has enough outcomes", [3]bool{}, [3]bool{0: true, 2: true}, true, ""},
		{"only the pooled classes have enough outcomes", [3]bool{}, [3]bool{true, true, true}, true, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := New(Settings{Classes: 3, Stages: []float64{1}, RollbackVotes: 1})
			e.StartRollout(0, 2, true, Fleet{Instances: 2})
			e.SetState(0, release.RollingOut, 0)
			for class := range 3 {
				count := 200
				if c.few[class] {
					count = 15
				}
				for k := range count {
					at := float64(k) / float64(count)
					e.Record(1, class, Outcome{EndedAt: at, Latency: 100 + float64(k*7%11), Backend: k % 4}, true, true)
					e.Record(2, class, Outcome{EndedAt: at, Latency: 100 + float64(k*7%11), Backend: 4 + k%4, Failed: c.failed[class] && k%3 == 0}, true, true)
				}
			}
			got := e.compareClasses(Fleet{Instances: 2})
			expect(t, "NonInferior", got.NonInferior, c.nonInferior)
			if !strings.HasPrefix(got.Regression, c.want) || (got.Regression == "") != (c.want == "") {
				t.Errorf("Regression = %q, want prefix %q", got.Regression, c.want)
			}
		})
	}
}

// A stage may be evaluated once it has its share of the places, from then on even with fewer backends, and in any
// case after ten seconds.
func TestStageStarts(t *testing.T) {
	for _, c := range []struct {
		name     string
		backends int // running the candidate; five of ten places are wanted
		after    float64
		before   bool // the stage had the wanted number earlier
		want     bool
	}{
		{"half of the places", 5, 100, false, true},
		{"one too few", 4, 100, false, false},
		{"one too few, enough earlier", 4, 100, true, true},
		{"one too few, just under ten seconds", 4, 9999, false, false},
		{"one too few, ten seconds", 4, 10000, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := rollingOut(1)
			if c.before {
				e.mayEvaluateStage(50, Fleet{Places: 10, CandidateBackends: 5})
			}
			expect(t, "mayEvaluateStage", e.mayEvaluateStage(c.after, Fleet{Places: 10, CandidateBackends: c.backends}), c.want)
		})
	}
}

// TestEarliestPromotion checks from when (ms) a stage may be promoted, given the starts of the stage and of its last
// backend.
func TestEarliestPromotion(t *testing.T) {
	for _, c := range []struct {
		name        string
		count       int
		nonInferior bool
		control     RolloutControl
		fleet       Fleet
		stage       float64 // start of the stage
		promotes    float64
	}{
		{"enough", 20, false, ControlMajority, Fleet{}, 0, 3550},
		{"enough, stage started last", 20, false, ControlMajority, Fleet{LastCandidateStart: 500}, 1000, 4550},
		{"enough, backend started last", 20, false, ControlMajority, Fleet{LastCandidateStart: 2000}, 1000, 5550},
		{"few", 19, false, ControlMajority, Fleet{}, 0, 4000},
		{"few, not inferior", 19, true, ControlMajority, Fleet{}, 0, 3550},
		{"few, single vote", 19, false, ControlSingleVote, Fleet{}, 0, 6000},
		{"enough, single vote", 20, false, ControlSingleVote, Fleet{}, 0, 3550},
		{"not an evaluator", 20, false, ControlMajority, Fleet{PeerMessages: true, Index: 3}, 0, 5550},
		{"not an evaluator, few, single vote", 19, false, ControlSingleVote, Fleet{PeerMessages: true, Index: 3}, 0, 6000},
		{"third evaluator", 20, false, ControlMajority, Fleet{PeerMessages: true, Index: 2}, 0, 3550},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := rollingOut(0)
			e.settings.Control, e.stateSince = c.control, c.stage
			for range c.count {
				e.evidence.add(Candidate, 0, Outcome{EndedAt: 1, Latency: 1}, true)
			}
			expect(t, "earliestPromotion", e.earliestPromotion(c.fleet, c.nonInferior), c.promotes)
		})
	}
}
