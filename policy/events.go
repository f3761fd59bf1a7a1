package policy

import (
	"maps"
	"math"
	"slices"

	"onyxgate/policy/exposure"
	"onyxgate/policy/gossip"
	"onyxgate/policy/release"
)

// The On methods handle one event each: they update the state and then apply the rules. OnWrongAnswer and
// OnPlatformCounts do not apply the rules.

// stallThreshold (ms) is the delay of a timer above which the instance itself is assumed to have stalled.
const stallThreshold = 60

// beginEvent sets the time of the current event. An overdue timer shows that the instance stalled before the event. For
// one window after the first event, new allowances start empty.
func (inst *Instance) beginEvent(now float64) {
	if len(inst.timers.queue) > 0 && now-inst.timers.queue[0].at > stallThreshold {
		inst.resumedAt = now
	}
	inst.now = now
	if !inst.started {
		inst.started = true
		inst.allowance.StartEmptyUntil(now + inst.exposureConfig.Window)
	}
}

// OnClockStep handles a step of the wall clock since the process started.
func (inst *Instance) OnClockStep(now float64) {
	inst.beginEvent(now)
	inst.discovery.clockStepped = true
	inst.applyRules()
}

// OnEndpoints handles an update of the endpoint list. A snapshot removes the backends that it does not contain.
func (inst *Instance) OnEndpoints(now float64, update EndpointUpdate) {
	inst.beginEvent(now)
	if update.Snapshot {
		inst.endpoints.RemoveAll(now)
	}
	for _, listed := range update.Endpoints {
		inst.applyEndpoint(listed)
	}
	if !update.Cached {
		inst.discovery.consecutiveFailures, inst.discovery.listReceived = 0, true
	}
	inst.fleet.refreshAt = now
	inst.applyRules()
}

// OnDiscoveryFailed handles a failed request for the endpoint list or a broken subscription.
func (inst *Instance) OnDiscoveryFailed(now float64) {
	inst.beginEvent(now)
	inst.scheduleWatchRetry()
	inst.applyRules()
}

// OnMessage handles outcome summaries from another instance. Malformed summaries and those of unknown backends or
// classes are ignored, and so are all summaries before a release has been announced.
func (inst *Instance) OnMessage(now float64, message []byte) {
	inst.beginEvent(now)
	for _, summary := range gossip.Decode(now, message) {
		inst.mergeSummary(summary)
	}
	inst.applyRules()
}

// OnRequest handles a new request. The request ends with the final result of an attempt, with OnClientGone, or with a
// call of Port.Reject or Port.Fail.
func (inst *Instance) OnRequest(now float64, incoming Request) {
	inst.beginEvent(now)
	req := &request{
		id: incoming.ID, key: incoming.Key, class: incoming.Class, tenant: incoming.Tenant,
		arrivedAt: now, deadline: now + incoming.TimeLeft, relativeWork: 1, workDivisor: 1,
	}
	if incoming.Work > 0 {
		inst.recordWork(req, incoming.Work)
	}
	inst.requestCount++
	if inst.exposureConfig.KeyAffinity {
		req.affinityKey = exposure.KeyOf(incoming.Key)
		inst.countKey(req.affinityKey)
	}
	if !incoming.Retry {
		inst.arrivals.Add(now)
	}
	inst.requests[incoming.ID] = req
	inst.prepareRequest(req, incoming)
	inst.applyRules()
}

// OnStreamStarted handles the start of a streamed response to the client. From then on the request is not ended at its
// deadline, whichever of its attempts is streaming. Requests that are not open are ignored.
func (inst *Instance) OnStreamStarted(now float64, id string, _ int) {
	inst.beginEvent(now)
	if req := inst.requests[id]; req != nil {
		req.streaming = true
	}
	inst.applyRules()
}

// OnAttemptResult handles the end of one attempt. Attempts that are not open are ignored.
func (inst *Instance) OnAttemptResult(now float64, result AttemptResult) {
	inst.beginEvent(now)
	if req := inst.requests[result.RequestID]; req != nil && req.isOpen(result.Attempt) {
		inst.endAttempt(req, &req.attempts[result.Attempt], result)
	}
	inst.applyRules()
}

// OnWrongAnswer handles a report that a backend's response was wrong. The request was of the given class and was sent
// age ms ago. The response counts as a failure in the backend's health, and its outcome in the evidence, if there is
// one, becomes a failure. Unknown backends are ignored.
func (inst *Instance) OnWrongAnswer(now float64, backendID string, class int, age float64) {
	inst.beginEvent(now)
	index, known := inst.endpoints.Find(backendID)
	if !known {
		return
	}
	inst.recordHealth(inst.endpoints.At(index), false)
	inst.evaluator.MarkFailed(class, index, now-age)
}

// OnClientGone handles a client that disconnected. Requests that are not open are ignored.
func (inst *Instance) OnClientGone(now float64, id string) {
	inst.beginEvent(now)
	if req := inst.requests[id]; req != nil && !req.ended {
		inst.cancelOpenAttempts(req)
	}
	inst.applyRules()
}

// OnProbeResult handles the end of a load probe. Unknown backends are ignored.
func (inst *Instance) OnProbeResult(now float64, result ProbeResult) {
	inst.beginEvent(now)
	if index, known := inst.endpoints.Find(result.Backend); known {
		inst.endProbe(index, result)
	}
	inst.probing.open = slices.DeleteFunc(inst.probing.open, func(probe loadProbe) bool { return !probe.request.awaitsPlacement() })
	inst.applyRules()
}

// OnReleaseUpdate handles the state of a release, or the response to a vote, which may contain such a state too.
func (inst *Instance) OnReleaseUpdate(now float64, update ReleaseUpdate) {
	inst.beginEvent(now)
	if update.Response != NotAVote {
		inst.onVoteResponse(update.Response)
	}
	if update.Response == NotAVote || update.HasState {
		state := release.Update{Release: update.Release, Stage: update.Stage, Phase: update.Phase, Cap: update.Cap}
		inst.applyReleaseUpdate(state, update.Age, update.Response)
	}
	inst.applyRules()
}

// OnPlatformCounts handles the platform's own counts. They have no effect, because votes are based on the outcomes that
// the instance has seen itself.
func (inst *Instance) OnPlatformCounts(now float64) {
	inst.beginEvent(now)
}

// OnTimer handles a timer that was set through the Port; token identifies it. An unknown or outdated token only causes
// the rules to be applied.
func (inst *Instance) OnTimer(now float64, token uint64) {
	inst.beginEvent(now)
	if token == inst.timers.token {
		inst.timers.armedAt = math.Inf(1)
	}
	inst.applyRules()
}

// OnShutdown announces that the instance shuts down at shutdownAt (ms). Later deadlines of open requests are moved to
// that time, so that each request gets its final answer before it, unless its response is being streamed.
func (inst *Instance) OnShutdown(now, shutdownAt float64) {
	inst.beginEvent(now)
	for _, id := range slices.Sorted(maps.Keys(inst.requests)) {
		if req := inst.requests[id]; !req.ended && req.deadline > shutdownAt {
			req.deadline, req.objectiveDeadline = shutdownAt, min(req.objectiveDeadline, shutdownAt)
			inst.schedule(shutdownAt-finalAnswerMargin, req)
		}
	}
	inst.applyRules()
}
