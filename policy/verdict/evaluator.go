package verdict

import (
	"fmt"
	"slices"

	"gonum.org/v1/gonum/stat/distuv"

	"onyxgate/policy/release"
)

const (
	// minStageTime (ms) is the least time from the start of a stage, or of its last backend, to a promotion; stageClockMargin
	// (ms) is added for the clocks that tell those starts.
	minStageTime     = 3000
	stageClockMargin = 550
	// maxEvidenceWait (ms) after its last backend's start a stage short of outcomes is promoted, if nothing speaks against it.
	maxEvidenceWait = 4000
	// stalledStageAfter (ms) a stage is evaluated with the backends that are listed, however few.
	stalledStageAfter = 10000
	// stagePlacesMargin is how many backends fewer than its share of the places a stage may have: rounding errors.
	stagePlacesMargin = 0.01

	// EvaluatorCount is how many instances, the first by index, get every instance's outcomes where instances may send each other
	// messages, and evaluate for all.
	EvaluatorCount = 3
	// soloEvaluationDelay (ms) is how long the other instances leave a promotion to the evaluators.
	soloEvaluationDelay = 2000

	// fleetErrorProbability is the probability that as many instances as roll a release back are wrong together.
	fleetErrorProbability = 0.04
	// maxErrorProbability is the greatest probability at which one instance may be wrong: troubles befall many alike.
	maxErrorProbability = 0.05
)

// Settings are what an Evaluator is made with; they stay.
type Settings struct {
	Classes       int       // number of request classes
	Stages        []float64 // share of the places that get the release, for each stage
	Control       RolloutControl
	RollbackVotes int     // votes that roll a release back, at least 1
	VoteLifetime  float64 // ms for which an accepted vote counts
}

// Fleet is what an evaluation needs to know of the instance's surroundings at the time.
type Fleet struct {
	Instances    int  // in the fleet, at least 1
	Index        int  // of this instance, from 0
	PeerMessages bool // instances send each other their outcomes

	ArrivalRate        float64 // new requests of late, in any one unit
	Places             int     // backends that ran when the rollout began
	CandidateBackends  int     // running backends of the newest release
	LastCandidateStart float64 // ms, when the last of them started
	BaselineIdle       bool    // the last stage: only the candidate gets traffic
}

// isEvaluator tells whether this instance evaluates for all. It is always the same few, since what came before a rollout counts
// too. The others evaluate by what they see themselves, and step in where the evaluators stay silent.
func (f Fleet) isEvaluator() bool { return !f.PeerMessages || f.Index < EvaluatorCount }

// Evaluator is what an instance knows and wants of the newest release.
type Evaluator struct {
	settings Settings
	evidence evidence

	release    release.ID // the newest announced one; valid if announced
	announced  bool
	stage      int
	phase      release.Phase
	stateSince float64 // ms, when stage or phase last changed
	// stageStarted tells that the present stage's backends have started, so that it may be evaluated.
	stageStarted bool

	baseline   baseline
	saturation saturation

	desired        Verdict
	rollbackReason string // why the latest evaluation wanted a rollback
	voteState      voteState
}

// New makes an Evaluator that knows of no release.
func New(settings Settings) *Evaluator {
	return &Evaluator{
		settings:   settings,
		evidence:   newEvidence(settings.Classes),
		baseline:   baseline{lowLatency: make([]float64, settings.Classes)},
		saturation: newSaturation(),
	}
}

// Announced tells whether any release has been announced.
func (e *Evaluator) Announced() bool { return e.announced }

// Release is the newest announced release; 0 before any is.
func (e *Evaluator) Release() release.ID { return e.release }

// Stage is the newest release's, from 0.
func (e *Evaluator) Stage() int { return e.stage }

// RollbackReason says why the latest evaluation wants a rollback, for the log; empty: it wants none.
func (e *Evaluator) RollbackReason() string { return e.rollbackReason }

// OutcomeCount is the number of outcomes on record for an arm, in all classes.
func (e *Evaluator) OutcomeCount(arm Arm) int { return e.evidence.count(arm) }

// Record takes an attempt's outcome on a release. warm tells that its backend has ended its warm-up, evaluated that the
// release is the newest one or runs without a cap: outcomes of any other are evidence on neither side.
func (e *Evaluator) Record(of release.ID, class int, outcome Outcome, warm, evaluated bool) {
	arm := Unrelated
	switch {
	case evaluated && of >= e.release:
		arm = Candidate
	case evaluated:
		arm = Baseline
	}
	e.evidence.add(arm, class, outcome, warm)
}

// MarkFailed corrects the latest recorded success of a backend that was sent within a millisecond of sentAt: its answer was
// wrong.
func (e *Evaluator) MarkFailed(class, backend int, sentAt float64) {
	e.evidence.markFailed(class, backend, sentAt)
}

// ResetBackend tells that another process runs as this backend. What its predecessor showed of the release stays.
func (e *Evaluator) ResetBackend(backend int) { e.evidence.resetBackend(backend) }

// ForgetBackend drops all outcomes of a backend whose index goes to another one.
func (e *Evaluator) ForgetBackend(backend int) { e.evidence.forgetBackend(backend) }

// StartRollout begins with a newly announced release. previousReleased tells that the newest one until now was released, so that
// its outcomes become the baseline's. SetState must follow.
func (e *Evaluator) StartRollout(now float64, newest release.ID, previousReleased bool, fleet Fleet) {
	before := e.evidence.snapshot()
	e.evidence.startCandidate(previousReleased)
	e.startBaseline(now, before, fleet)
	e.saturation = newSaturation()
	e.release, e.announced, e.stage = newest, true, -1
	e.stageStarted, e.desired, e.voteState.accepted = false, NoVerdict, NoVerdict
}

// SetState takes the newest release's stage and phase, and since when (ms) it is in both. What was seen of one stage carries no
// vote on the next.
func (e *Evaluator) SetState(stage int, phase release.Phase, since float64) {
	if stage == e.stage && phase == e.phase {
		return
	}
	e.stage, e.phase, e.stateSince = stage, phase, since
	e.voteState.notBefore = 0
	e.stageStarted, e.desired = false, NoVerdict
}

// Evaluate runs the gates and sets the desired verdict. A desired rollback stays until the release is rolling back or another
// stage begins.
func (e *Evaluator) Evaluate(now float64, fleet Fleet) {
	ended := !e.announced || e.phase == release.RollingBack || e.phase == release.Withdrawn
	if e.desired == Rollback && !ended {
		return
	}
	e.desired = NoVerdict
	validStage := e.stage >= 0 && e.stage < len(e.settings.Stages)
	if ended || !validStage || fleet.CandidateBackends == 0 || !e.mayEvaluateStage(now, fleet) {
		return
	}
	saturated, tooLong := e.updateSaturation(now, fleet)
	result := e.compareClasses(fleet)
	if result.Regression == "" && tooLong {
		result.Regression = "saturation: baseline and candidate are slower since the rollout began"
	}
	e.rollbackReason = result.Regression
	byVotes := e.phase == release.RollingOut && e.settings.Control != ControlTimed
	switch {
	case result.Regression != "":
		e.desired = Rollback
	case byVotes && !saturated && now >= e.earliestPromotion(fleet, result.NonInferior):
		e.desired = Promote
	}
}

// mayEvaluateStage tells whether the stage has as many backends as it should, now or before, or has waited long enough for
// them. The platform may round the number of backends otherwise.
func (e *Evaluator) mayEvaluateStage(now float64, fleet Fleet) bool {
	wanted := e.settings.Stages[e.stage] * float64(fleet.Places)
	e.stageStarted = e.stageStarted || float64(fleet.CandidateBackends) > wanted-stagePlacesMargin
	return e.stageStarted || now >= e.stateSince+stalledStageAfter
}

// promoteAt is from when (ms) the stage is promoted. A comparison that shows neither blocks nothing: with the least sample seen
// only the stage's least time is waited for.
func (e *Evaluator) earliestPromotion(fleet Fleet, nonInferior bool) float64 {
	at := max(fleet.LastCandidateStart, e.stateSince) + minStageTime + stageClockMargin
	few := !nonInferior && e.evidence.count(Candidate) < minSample
	if few {
		at = max(at, fleet.LastCandidateStart+maxEvidenceWait)
	}
	if !fleet.isEvaluator() || few && e.settings.Control == ControlSingleVote {
		at += soloEvaluationDelay
	}
	return at
}

// compareClasses compares the arms class by class, and all classes at once by latency relative to the class's mean, which sees a
// slow release sooner. The first regression ends it.
func (e *Evaluator) compareClasses(fleet Fleet) Comparison {
	by := criteria{
		compareLatency:   !fleet.BaselineIdle,
		released:         e.phase == release.Released,
		errorProbability: errorProbability(e.settings.RollbackVotes, fleet),
		rollbackVotes:    e.settings.RollbackVotes,
	}
	candidate, baseline := withPooled(e.evidence.outcomes[Candidate]), withPooled(e.evidence.outcomes[Baseline])
	nonInferior := false
	for class := range candidate {
		result := compare(candidate[class], baseline[class], by)
		if result.Regression != "" {
			name := "all classes"
			if class < e.settings.Classes {
				name = fmt.Sprintf("class %d", class)
			}
			return Comparison{Regression: name + ": " + result.Regression}
		}
		nonInferior = nonInferior || result.NonInferior
	}
	return Comparison{NonInferior: nonInferior}
}

// withPooled is the classes, and after them all of them pooled.
func withPooled(classes [][]Outcome) [][]Outcome {
	return append(slices.Clone(classes), poolClasses(classes))
}

// errorProbability is the probability at which one instance may be wrong in wanting a rollback: small where few of many
// instances roll a release back, larger where many must agree, each of which sees little.
func errorProbability(rollbackVotes int, fleet Fleet) float64 {
	evaluating := fleet.Instances
	if fleet.PeerMessages && fleet.isEvaluator() {
		evaluating = min(evaluating, EvaluatorCount)
	}
	wrongVotes := distuv.Gamma{Alpha: float64(rollbackVotes), Beta: 1}.Quantile(fleetErrorProbability)
	return min(wrongVotes/float64(evaluating), maxErrorProbability)
}
