package policy

import (
	"onyxgate/policy/gossip"
	"onyxgate/policy/verdict"
)

// recordEvidence records the end of one of this instance's attempts as evidence. If instances may send messages, it also
// queues the outcome for the evaluators.
func (inst *Instance) recordEvidence(attempt *attempt, req *request, status AttemptStatus, elapsed float64) {
	outcome := verdict.Outcome{
		EndedAt:          inst.now,
		Latency:          elapsed / req.workDivisor,
		Failed:           status == StatusErrored || status == StatusReset,
		ConnectionBroken: status == StatusReset,
		Backend:          attempt.backend,
	}
	inst.addEvidence(attempt.release, req.class, outcome)
	if inst.peerMessages {
		inst.queueSummary(outcome, attempt.release, req.class)
	}
}

// mergeSummary records an outcome received from another instance like those of this instance. Outcomes of unknown
// backends or classes are ignored, and so are all outcomes before a release has been announced.
func (inst *Instance) mergeSummary(summary gossip.Summary) {
	index, known := inst.endpoints.FindHash(summary.BackendHash)
	if !known || summary.Class >= len(inst.classes) || !inst.evaluator.Announced() {
		return
	}
	inst.arrivals.Add(inst.now)
	inst.addEvidence(ReleaseID(summary.Release), summary.Class, verdict.Outcome{
		EndedAt:          summary.EndedAt,
		Latency:          summary.Latency,
		Failed:           summary.Failed,
		ConnectionBroken: summary.ConnectionBroken,
		Backend:          index,
	})
}

func (inst *Instance) addEvidence(id ReleaseID, class int, outcome verdict.Outcome) {
	warm := inst.warmUpProgress(inst.endpoints.At(outcome.Backend)) >= 1
	inst.evaluator.Record(id, class, outcome, warm, inst.releases.IsEvaluated(id))
}
