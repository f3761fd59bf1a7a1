package verdict

import (
	"fmt"
	"slices"

	"gonum.org/v1/gonum/stat/distuv"

	"onyxgate/policy/release"
)

const (
	// minStageTime (ms) is the minimum time between the start of a stage, or of its last backend, and a promotion.
	// stageClockMargin (ms) is added for the inaccuracy of the clocks that report these starts.
	minStageTime     = 3000
	stageClockMargin = 550
	// maxEvidenceWait (ms) is how long after the start of its last backend a stage with too few outcomes waits for
	// more of them. It may then be promoted unless a regression was found.
	maxEvidenceWait = 4000
	// stalledStageAfter (ms) is how long after its start a stage waits for all of its backends. It is then evaluated
	// with those that are listed.
	stalledStageAfter = 10000
	// stagePlacesMargin is the number of backends by which a stage may fall short of its share of the places. It
	// absorbs rounding errors.
	stagePlacesMargin = 0.01

	// EvaluatorCount is the number of instances, those with the lowest indices, that receive the outcomes of all
	// instances and evaluate on behalf of the fleet if instances may send each other messages.
	EvaluatorCount = 3
	// soloEvaluationDelay (ms) is how long the other instances wait for the evaluators to promote a stage.
	soloEvaluationDelay = 2000

	// fleetErrorProbability is the accepted probability that as many instances as a rollback needs are wrong about a
	// release at the same time.
	fleetErrorProbability = 0.04
	// maxErrorProbability is the upper limit on the error probability of one instance. The errors of instances are
	// not independent, because the same fault can affect many of them.
	maxErrorProbability = 0.05
)

// Settings configure an Evaluator and do not change during its lifetime.
type Settings struct {
	Classes       int       // number of request classes
	Stages        []float64 // share of the places that run the release, for each stage
	Control       RolloutControl
	RollbackVotes int     // votes needed to roll a release back, at least 1
	VoteLifetime  float64 // ms for which an accepted vote counts
}

// Fleet describes the fleet at the time of an evaluation, as seen by this instance.
type Fleet struct {
	Instances    int  // number of instances, at least 1
	Index        int  // index of this instance, from 0
	PeerMessages bool // instances send each other their outcomes

	ArrivalRate        float64 // recent rate of new requests, in any unit that stays the same
	Places             int     // number of running backends when the rollout began
	CandidateBackends  int     // running backends of the newest release
	LastCandidateStart float64 // ms, latest start of a candidate backend
	BaselineIdle       bool    // only the candidate receives traffic, as in the last stage
}

// isEvaluator reports whether this instance evaluates on behalf of the fleet. The evaluators are always the same few
// instances, because the evaluation also needs outcomes from before the rollout. The others evaluate what they
// observe themselves, and step in if the evaluators do not vote.
func (f Fleet) isEvaluator() bool { return !f.PeerMessages || f.Index < EvaluatorCount }

// Evaluator collects the evidence on the newest release and determines this instance's votes on it.
type Evaluator struct {
	settings Settings
	evidence evidence

	release    release.ID // newest announced release; valid if announced
	announced  bool
	stage      int
	phase      release.Phase
	stateSince float64 // ms, time of the last change of stage or phase
	// stageStarted is set once the backends of the current stage have started, so that it may be evaluated.
	stageStarted bool

	baseline   baseline
	saturation saturation

	desired        Verdict
	rollbackReason string // regression found when the gates were last run
	voteState      voteState
}

// New returns an Evaluator for which no release has been announced yet.
func New(settings Settings) *Evaluator {
	return &Evaluator{
		settings:   settings,
		evidence:   newEvidence(settings.Classes),
		baseline:   baseline{lowLatency: make([]float64, settings.Classes)},
		saturation: newSaturation(),
	}
}

// Announced reports whether any release has been announced.
func (e *Evaluator) Announced() bool { return e.announced }

// Release returns the newest announced release, or 0 before the first announcement.
func (e *Evaluator) Release() release.ID { return e.release }

// Stage returns the stage of the newest release, from 0.
func (e *Evaluator) Stage() int { return e.stage }

// RollbackReason returns, for logs, the regression that the gates found when they were last run, or "" if they found
// none. It does not change while no gates are run, for example during a rollback.
func (e *Evaluator) RollbackReason() string { return e.rollbackReason }

// OutcomeCount returns the number of stored outcomes of an arm, over all classes.
func (e *Evaluator) OutcomeCount(arm Arm) int { return e.evidence.count(arm) }

// Record adds the outcome of an attempt at a release to the evidence. warm is set if the backend has finished its
// warm-up. evaluated is set if the release is the newest one or runs without a cap; outcomes of other releases count
// for neither arm.
func (e *Evaluator) Record(id release.ID, class int, outcome Outcome, warm, evaluated bool) {
	arm := Unrelated
	switch {
	case evaluated && id >= e.release:
		arm = Candidate
	case evaluated:
		arm = Baseline
	}
	e.evidence.add(arm, class, outcome, warm)
}

// MarkFailed turns a recorded success into a failure after its answer turned out to be wrong. It marks the latest
// success of the class on the backend that was sent within a millisecond of sentAt, if there is one. The send time of
// an outcome is taken to be its end minus its latency per unit of work.
func (e *Evaluator) MarkFailed(class, backend int, sentAt float64) {
	e.evidence.markFailed(class, backend, sentAt)
}

// ResetBackend handles the start of another process under a backend's index. Outcomes of the previous process remain
// evidence on the release.
func (e *Evaluator) ResetBackend(backend int) { e.evidence.resetBackend(backend) }

// ForgetBackend drops all outcomes of a backend whose index is being reused for another backend.
func (e *Evaluator) ForgetBackend(backend int) { e.evidence.forgetBackend(backend) }

// StartRollout starts the evaluation of a newly announced release. If previousReleased is set, the release that was
// the newest until now has been released, and its outcomes become the baseline. SetState must be called afterwards.
func (e *Evaluator) StartRollout(now float64, newest release.ID, previousReleased bool, fleet Fleet) {
	before := e.evidence.snapshot()
	e.evidence.startCandidate(previousReleased)
	e.startBaseline(now, before, fleet)
	e.saturation = newSaturation()
	e.release, e.announced, e.stage = newest, true, -1
	e.stageStarted, e.desired, e.voteState.accepted = false, NoVerdict, NoVerdict
}

// SetState sets the stage and phase of the newest release and the time (ms) since which both have applied. It does
// nothing if neither has changed. A verdict on one stage does not carry over to the next.
func (e *Evaluator) SetState(stage int, phase release.Phase, since float64) {
	if stage == e.stage && phase == e.phase {
		return
	}
	e.stage, e.phase, e.stateSince = stage, phase, since
	e.voteState.notBefore = 0
	e.stageStarted, e.desired = false, NoVerdict
}

// Evaluate runs the gates and updates the desired verdict. A desired rollback stays until the stage or phase changes
// or another release is announced.
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

// mayEvaluateStage reports whether the stage has, or has had, as many backends as it should, or has waited long
// enough for them. The platform may round the number of backends differently, so a stage may never get as many.
func (e *Evaluator) mayEvaluateStage(now float64, fleet Fleet) bool {
	wantedBackends := e.settings.Stages[e.stage] * float64(fleet.Places)
	e.stageStarted = e.stageStarted || float64(fleet.CandidateBackends) > wantedBackends-stagePlacesMargin
	return e.stageStarted || now >= e.stateSince+stalledStageAfter
}

// earliestPromotion returns the time (ms) from which the stage may be promoted. An inconclusive comparison does not
// block a promotion: once the minimum sample has been observed, only the minimum stage time remains to be waited for.
func (e *Evaluator) earliestPromotion(fleet Fleet, nonInferior bool) float64 {
	at := max(fleet.LastCandidateStart, e.stateSince) + minStageTime + stageClockMargin
	insufficient := !nonInferior && e.evidence.count(Candidate) < minSample
	if insufficient {
		at = max(at, fleet.LastCandidateStart+maxEvidenceWait)
	}
	if !fleet.isEvaluator() || insufficient && e.settings.Control == ControlSingleVote {
		at += soloEvaluationDelay
	}
	return at
}

// compareClasses compares the arms class by class, then all classes together by latency relative to the mean of the
// class, which detects a slow release sooner. It stops at the first regression.
func (e *Evaluator) compareClasses(fleet Fleet) Comparison {
	gateCriteria := criteria{
		compareLatency:   !fleet.BaselineIdle,
		released:         e.phase == release.Released,
		errorProbability: errorProbability(e.settings.RollbackVotes, fleet),
		rollbackVotes:    e.settings.RollbackVotes,
	}
	candidate, baseline := withPooled(e.evidence.outcomes[Candidate]), withPooled(e.evidence.outcomes[Baseline])
	nonInferior := false
	for class := range candidate {
		result := compare(candidate[class], baseline[class], gateCriteria)
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

// withPooled returns the outcomes by class, followed by those of all classes pooled.
func withPooled(classes [][]Outcome) [][]Outcome {
	return append(slices.Clone(classes), poolClasses(classes))
}

// errorProbability returns the accepted probability that an instance wrongly wants a rollback. It is small if
// few votes of many instances suffice for a rollback, and larger if many instances, each of which observes little,
// have to agree.
func errorProbability(rollbackVotes int, fleet Fleet) float64 {
	evaluating := fleet.Instances
	if fleet.PeerMessages && fleet.isEvaluator() {
		evaluating = min(evaluating, EvaluatorCount)
	}
	wrongVotes := distuv.Gamma{Alpha: float64(rollbackVotes), Beta: 1}.Quantile(fleetErrorProbability)
	return min(wrongVotes/float64(evaluating), maxErrorProbability)
}
