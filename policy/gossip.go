package policy

import "onyxgate/policy/gossip"

// This file owns whom the instance tells what it sees of releases, and what a summary received from another one does. The
// first few instances evaluate for the fleet (isEvaluator); all send their outcomes to those.

const (
	broadcastInterval = 500 // ms, between two rounds of messages
	maxMessageBytes   = 250 // in one message
)

// queueSummary queues an attempt's outcome for the evaluators.
func (a *Instance) queueSummary(o outcome, release ReleaseID, class int) {
	a.summaries.Add(gossip.Summary{
		BackendHash:      gossip.BackendHash(a.endpoints.At(o.backend).ID),
		Release:          int(release),
		Class:            class,
		Failed:           o.failed,
		ConnectionBroken: o.connectionBroken,
		Latency:          o.latency,
		EndedAt:          o.at,
	})
}

// broadcastSummaries sends the queued outcomes to the evaluators.
func (a *Instance) broadcastSummaries() {
	a.broadcastAt = a.now + broadcastInterval
	for _, message := range a.summaries.Encode(a.now, maxMessageBytes) {
		for evaluator := range min(evaluators, a.instances) {
			if evaluator != a.index {
				a.port.SendMessage(evaluator, message)
			}
		}
	}
}

// mergeSummary takes another instance's outcome as if it were an own one. One of a backend or class that is not known here,
// or that comes before any release is announced, is ignored.
func (a *Instance) mergeSummary(s gossip.Summary) {
	backend, known := a.endpoints.FindHash(s.BackendHash)
	if !known || s.Class >= len(a.classes) || !a.announced {
		return
	}
	a.arrivals.Add(a.now)
	a.addEvidence(ReleaseID(s.Release), s.Class,
		outcome{at: s.EndedAt, latency: s.Latency, failed: s.Failed, connectionBroken: s.ConnectionBroken, backend: backend})
}
