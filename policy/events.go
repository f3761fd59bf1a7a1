package policy

import (
	"maps"
	"math"
	"slices"

	"onyxgate/policy/exposure"
	"onyxgate/policy/gossip"
	"onyxgate/policy/release"
)

// This file owns the events: one method for each, which notes what came and then applies the rules.

// stallThreshold (ms): a timer that comes this late shows that the instance itself stood still.
const stallThreshold = 60

// beginEvent sets the time of an event. The instance's own timers show whether it stood still before it.
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

// OnClockStep takes notice that the wall clock was stepped since this process started.
func (inst *Instance) OnClockStep(now float64) {
	inst.beginEvent(now)
	inst.discovery.clockStepped = true
	inst.applyRules()
}

// OnEndpoints takes a watch event; a snapshot removes the backends that it does not name.
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

// OnDiscoveryFailed takes notice that a call for the endpoint list failed or the subscription broke.
func (inst *Instance) OnDiscoveryFailed(now float64) {
	inst.beginEvent(now)
	inst.scheduleWatchRetry()
	inst.applyRules()
}

// OnMessage takes another instance's outcome summaries; what it can't read or does not know is ignored.
func (inst *Instance) OnMessage(now float64, message []byte) {
	inst.beginEvent(now)
	for _, summary := range gossip.Decode(now, message) {
		inst.mergeSummary(summary)
	}
	inst.applyRules()
}

// OnRequest takes a request. It ends with SendAttempt and that attempt's final result, with Reject or with Fail.
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
		inst.countKey(incoming.Key)
	}
	if !incoming.Retry {
		inst.arrivals.Add(now)
	}
	inst.requests[incoming.ID] = req
	inst.admit(req, incoming)
	inst.applyRules()
}

// OnStreamStarted takes notice that an attempt's answer streams to the client. No deadline ends the request any more, whichever of its
// attempts streams. An id that is not open is ignored.
func (inst *Instance) OnStreamStarted(now float64, id string, _ int) {
	inst.beginEvent(now)
	if req := inst.requests[id]; req != nil {
		req.streaming = true
	}
	inst.applyRules()
}

// OnAttemptResult takes the end of one attempt; one that is not open is ignored.
func (inst *Instance) OnAttemptResult(now float64, result AttemptResult) {
	inst.beginEvent(now)
	if req := inst.requests[result.RequestID]; req != nil && req.isOpen(result.Attempt) {
		inst.endAttempt(req, &req.attempts[result.Attempt], result)
	}
	inst.applyRules()
}

// OnWrongAnswer takes notice that an answer of a backend to a request of a class was wrong, age ms after it was sent: the outcome that was
// seen here is corrected. A backend that is not known is ignored.
func (inst *Instance) OnWrongAnswer(now float64, backendID string, class int, age float64) {
	inst.beginEvent(now)
	index, known := inst.endpoints.Find(backendID)
	if !known {
		return
	}
	inst.recordHealth(inst.endpoints.At(index), false)
	inst.evaluator.MarkFailed(class, index, now-age)
}

// OnClientGone takes notice that a request's client has gone; an id that is not open is ignored.
func (inst *Instance) OnClientGone(now float64, id string) {
	inst.beginEvent(now)
	if req := inst.requests[id]; req != nil && !req.ended {
		inst.cancelOpenAttempts(req)
	}
	inst.applyRules()
}

// OnProbeResult takes the end of a load probe.
func (inst *Instance) OnProbeResult(now float64, result ProbeResult) {
	inst.beginEvent(now)
	if index, known := inst.endpoints.Find(result.Backend); known {
		inst.endProbe(index, result)
	}
	inst.probing.open = slices.DeleteFunc(inst.probing.open, func(probe loadProbe) bool { return !probe.request.awaitsPlacement() })
	inst.applyRules()
}

// OnReleaseUpdate takes the state of a release, or the response to a vote, which may hold one too.
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

// OnPlatformCounts takes the platform's own figures. Votes go by the outcomes that the instance has seen itself, so these figures decide
// nothing.
func (inst *Instance) OnPlatformCounts(now float64) {
	inst.beginEvent(now)
}

// OnTimer takes a timer that was set through the Port, by its token.
func (inst *Instance) OnTimer(now float64, token uint64) {
	inst.beginEvent(now)
	if token == inst.timers.token {
		inst.timers.armedAt = math.Inf(1)
	}
	inst.applyRules()
}

// OnShutdown takes notice that the instance ends at a time (ms): every open request has its final answer by then.
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
