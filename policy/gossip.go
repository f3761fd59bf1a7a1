package policy

import (
	"onyxgate/policy/gossip"
	"onyxgate/policy/verdict"
)

// Outcomes are sent to the first instances of the fleet, which evaluate releases on behalf of all instances.

const (
	broadcastInterval = 500 // ms between two rounds of messages
	maxMessageBytes   = 250 // per message
)

// queueSummary queues the outcome of an attempt for the evaluators.
func (inst *Instance) queueSummary(outcome verdict.Outcome, id ReleaseID, class int) {
	inst.summaries.Add(gossip.Summary{
		BackendHash:      gossip.BackendHash(inst.endpoints.At(outcome.Backend).ID),
		Release:          int(id),
		Class:            class,
		Failed:           outcome.Failed,
		ConnectionBroken: outcome.ConnectionBroken,
		Latency:          outcome.Latency,
		EndedAt:          outcome.EndedAt,
	})
}

// broadcastSummaries sends the queued outcomes to the evaluators.
func (inst *Instance) broadcastSummaries() {
	inst.broadcastAt = inst.now + broadcastInterval
	for _, message := range inst.summaries.Encode(inst.now, maxMessageBytes) {
		for evaluator := range min(verdict.EvaluatorCount, inst.instances) {
			if evaluator != inst.index {
				inst.port.SendMessage(evaluator, message)
			}
		}
	}
}
