package policy

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"

	"onyxgate/policy/exposure"
	"onyxgate/policy/gossip"
	"onyxgate/policy/release"
)

// OnClockStep tells that the wall clock was stepped since this process started.
func (inst *Instance) OnClockStep(now float64) {
	inst.advanceClock(now)
	inst.clockStepped = true
	inst.applyRules()
}

// OnMessage takes another instance's outcome summaries; what it can't read or does not know is ignored.
func (inst *Instance) OnMessage(now float64, raw []byte) {
	inst.advanceClock(now)
	for _, summary := range gossip.Decode(now, raw) {
		inst.mergeSummary(summary)
	}
	inst.applyRules()
}

// rules are gone through in order after every input, from the top again after each that fires.
var rules []rule

func init() {
	rules = []rule{
		{"survey", func(inst *Instance) bool { return inst.now >= inst.aggregatesDueAt }, (*Instance).refreshAggregates},
		{"ring", func(inst *Instance) bool { return len(inst.timers) > 0 && inst.timers[0].at <= inst.now }, (*Instance).timerFired},
		{"pass over", func(inst *Instance) bool { return len(inst.pending) > 0 && inst.pending[0].ended }, (*Instance).dropPending},
		{"last moment", func(inst *Instance) bool {
			return len(inst.pending) > 0 && !inst.pending[0].streaming && inst.now >= inst.pending[0].deadline-finalAnswerMargin
		}, func(inst *Instance) { inst.answerFinally(inst.pending[0]) }},
		{"route", func(inst *Instance) bool { return len(inst.pending) > 0 && inst.pending[0].openAttempts == 0 }, (*Instance).route},
		{"recall", func(inst *Instance) bool { return inst.now >= inst.retryQueuedAt && len(inst.retryQueue) > 0 }, (*Instance).retryQueued},
		{"overdue", func(inst *Instance) bool { return len(inst.pending) > 0 }, (*Instance).handleOverdue},
		{"ask", func(inst *Instance) bool {
			return inst.discoveryOnDemand && !inst.watching && inst.now >= inst.watchDueAt
		}, (*Instance).watchEndpoints},
		{"judge", func(inst *Instance) bool { return inst.now >= inst.evaluateAt }, (*Instance).evaluate},
		{"tell", func(inst *Instance) bool { return inst.summaries.Len() > 0 && inst.now >= inst.broadcastAt }, (*Instance).broadcastSummaries},
		{"vote", (*Instance).voteDue, (*Instance).sendVote},
		{"arm", func(inst *Instance) bool { return len(inst.timers) > 0 && inst.timers[0].at < inst.armedAt }, (*Instance).armTimer},
	}
}

// Instance is one instance of the decisions.
type Instance struct {
	port                              Port
	now                               float64
	rng                               *rand.Rand
	salt                              uint64
	index, instances                  int
	peerMessages                      bool // messages between agents
	summaries                         gossip.Queue
	broadcastAt                       float64
	classes                           []RequestClass
	maxOpenRequests                   float64 // txns that the agent can bear at once
	maxAttempts                       int
	concurrentAttempts, cancelAllowed bool
	maxRetryAfter                     float64
	zoneIndex                         int // the agent's zone
	crossZonePrice                    bool

	initialCapacity, warmUpTime, overloadFactor, overloadWindow float64
	guardedStages                                               int
	exposurePerClass, keyAffinity                               bool
	releases                                                    *release.Book
	allowance                                                   *exposure.Allowance
	affinity                                                    *exposure.Affinity
	skipped                                                     SkippedBackends
	exposureWindow                                              float64 // over which attempts are counted
	started                                                     bool    // an event has come
	popularKeys                                                 map[string]float64
	requestsTaken                                               float64

	stages        []float64
	control       RolloutControl
	rollbackVotes int
	voteLifetime  float64

	endpointTable
	rollout
	requests                            map[string]*request
	pending                             []*request
	loadProbes                          []loadProbe
	probeFailureShare                   float64 // part of the probes of late that failed
	probesAllowed                       bool
	probePrice                          float64
	retryQueue                          []*request // waiting for a place, oldest first
	retryQueuedAt, resumedAt            float64
	timers                              timerQueue
	armedAt                             float64
	timerToken                          uint64
	meanLatency                         []float64 // mean latency by product
	tailLatency                         []float64 // latency under which tailPart of the answers stay, by product
	cancellationBudget                  float64   // submissions that may be given up
	meanLatencyPerWork                  []float64 // the same as evidence has it, for its told cost
	throughput, throughputAt            float64
	throughputAge                       float64
	arrivals, arrivalsAt, arrivalsSince float64 // first tries of late, and since when they are counted
	overallMeanLatency                  float64
	quotas, quotaTokens, quotaTokensAt  []float64 // by tenant
	overQuotaValue                      float64
	meanValue                           float64    // mean revenue
	admission, admissionAt              [2]float64 // part of the txns of mean revenue that goes on: all, and blind ones
	longestTimeLeft                     []float64  // by product: the longest time of a try
	meanWork                            float64
}

// advanceClock sets the time of an input and sees whether the agent stood still before it: its own timers tell.
func (inst *Instance) advanceClock(now float64) {
	if len(inst.timers) > 0 && now-inst.timers[0].at > stallThreshold {
		inst.resumedAt = now
	}
	inst.now = now
	if !inst.started {
		inst.started = true
		inst.allowance.HoldUntil(now + inst.exposureWindow)
	}
}

// OnEndpoints takes what discovery tells of the endpoints; a snapshot drops what it no longer names.
func (inst *Instance) OnEndpoints(now float64, update EndpointUpdate) {
	inst.advanceClock(now)
	if update.Snapshot {
		for i := range inst.state {
			if inst.state[i] != EndpointRemoved {
				inst.state[i], inst.removedAt[i] = EndpointRemoved, now
			}
		}
	}
	for _, e := range update.Endpoints {
		backend, ok := inst.indexOf[e.ID]
		if !ok {
			backend = inst.allocateIndex()
			inst.indexOf[e.ID], inst.indexOfHash[gossip.BackendHash(e.ID)], inst.id[backend] = backend, backend, e.ID
			inst.openAttempts[backend], inst.recordUpdatedAt[backend], inst.startedAt[backend], inst.release[backend] = 0, 0, -1, 0
		}
		if inst.startedAt[backend] != e.StartedAt || inst.release[backend] != e.Release {
			// A re-used id or a restart: nothing learned of the former process holds, and it is cold.
			inst.successes[backend], inst.failures[backend], inst.latencyInflation[backend], inst.recentLatencies[backend], inst.slowStartBudget[backend], inst.slowStartBudgetAt[backend] = 0, 0, 1, nil, 0, now
			inst.consecutiveFailures[backend], inst.ejectedUntil[backend], inst.reportedLoad[backend], inst.reportedAt[backend], inst.concurrencyLimit[backend] = 0, 0, 0, now, initialConcurrencyLimit
			inst.upSince[backend] = inst.believedStart(e.StartedAt)
			if inst.instances >= manyInstances && e.StartedAt > 0 { // by chance, or all would start at once, and none soon
				inst.slowStartBudget[backend] = inst.rng.Float64()
			}
		}
		if e.State != EndpointRemoved {
			inst.onReleaseListed(e.Release)
		}
		inst.release[backend], inst.zone[backend], inst.hardwareClass[backend], inst.cell[backend] = e.Release, e.Zone, e.HardwareClass, e.Cell
		inst.state[backend], inst.weight[backend], inst.startedAt[backend], inst.removedAt[backend] = e.State, max(e.Weight, 0.01), e.StartedAt, now
	}
	if !update.Cached {
		inst.watchFailures, inst.discoveryHeard = 0, true
	}
	inst.aggregatesDueAt = now
	inst.applyRules()
}

// OnEndpointsFailed tells that a list call failed or the subscription broke.
func (inst *Instance) OnEndpointsFailed(now float64) {
	inst.advanceClock(now)
	inst.scheduleWatchRetry()
	inst.applyRules()
}

// OnStreamStarted: the stream belongs to the client now; no expiry holds.
func (inst *Instance) OnStreamStarted(now float64, id string, sub int) {
	inst.advanceClock(now)
	if req := inst.requests[id]; req != nil {
		req.streaming = true
	}
	inst.applyRules()
}

func (inst *Instance) OnTimer(now float64, token uint64) {
	inst.advanceClock(now)
	if token == inst.timerToken {
		inst.armedAt = math.Inf(1)
	}
	inst.applyRules()
}

// OnProbeResult takes the end of a load probe.
func (inst *Instance) OnProbeResult(now float64, result ProbeResult) {
	inst.advanceClock(now)
	backend, known := inst.indexOf[result.Backend]
	if known && inst.zone[backend] == inst.zoneIndex { // else the way may be at fault
		inst.probeFailureShare -= backendStep * inst.probeFailureShare
		if !result.OK {
			inst.probeFailureShare += backendStep
		}
	}
	if known && result.OK {
		inst.reportLoad(backend, result.Load)
		inst.placeAfterProbe(backend)
	}
	inst.loadProbes = slices.DeleteFunc(inst.loadProbes, func(r loadProbe) bool { return r.request.ended || r.request.openAttempts > 0 })
	inst.applyRules()
}

// OnPlatformCounts takes the platform's own figures. Votes go by the outcomes that the instance has seen itself, so they decide
// nothing.
func (inst *Instance) OnPlatformCounts(now float64) {
	inst.advanceClock(now)
}

// OnClientGone: the client has gone; an id no longer held is passed over.
func (inst *Instance) OnClientGone(now float64, id string) {
	inst.advanceClock(now)
	if req := inst.requests[id]; req != nil && !req.ended {
		inst.cancelOpenAttempts(req)
	}
	inst.applyRules()
}

// OnWrongAnswer corrects the agent's own outcome.
func (inst *Instance) OnWrongAnswer(now float64, app string, class int, age float64) {
	inst.advanceClock(now)
	backend, ok := inst.indexOf[app]
	if !ok {
		return
	}
	inst.recordAnswer(backend, false)
	for arm := range inst.evidence {
		e := inst.evidence[arm][class]
		for k := len(e) - 1; k >= 0; k-- {
			if e[k].backend == backend && !e[k].failed && math.Abs(e[k].at-e[k].latency-(now-age)) < 1 {
				e[k].failed = true
				return
			}
		}
	}
}

// OnRequest takes a request. It ends with SendAttempt and that attempt's result, with Reject or with Fail.
func (inst *Instance) OnRequest(now float64, r Request) {
	inst.advanceClock(now)
	req := &request{id: r.ID, key: r.Key, class: r.Class, tenant: r.Tenant, arrivedAt: now, deadline: now + r.TimeLeft, relativeWork: 1, workDivisor: 1}
	if inst.keyAffinity {
		req.affinityKey = exposure.KeyOf(r.Key)
	}
	if r.Work > 0 {
		if inst.meanWork == 0 {
			inst.meanWork = r.Work
		}
		inst.meanWork += meanStep * (r.Work - inst.meanWork)
		req.relativeWork, req.workDivisor = r.Work/inst.meanWork, r.Work
	}
	inst.requestsTaken++
	if inst.keyAffinity && r.Key != "" {
		if inst.popularKeys[r.Key]++; len(inst.popularKeys) > maxCountedKeys {
			inst.decayPopularKeys()
		}
	}
	if !r.Retry {
		inst.countArrival(now)
	}
	inst.requests[r.ID] = req
	inst.admit(req, r)
	inst.applyRules()
}

// OnAttemptResult takes the end of one attempt; one that is not open is ignored.
func (inst *Instance) OnAttemptResult(now float64, result AttemptResult) {
	inst.advanceClock(now)
	sub := result.Attempt
	if req := inst.requests[result.RequestID]; req != nil && sub >= 0 && sub < len(req.attempts) && req.attempts[sub].open {
		s, r := &req.attempts[sub], result.Status
		s.open, s.notRun = false, r == StatusRejected || r == StatusConnectFailed || r == StatusNotSent
		req.openAttempts--
		req.ended = req.ended || result.Final
		inst.affinity.AttemptEnded(req.affinityKey, s.bindsTo)
		inst.openAttempts[s.backend]--
		inst.totalOpenAttempts--
		inst.retryQueuedAt = now
		inst.reportLoad(s.backend, result.Load)
		inst.onAttemptEnd(req, s, r, result.Took)
	}
	inst.applyRules()
}

// OnReleaseUpdate takes the state of a release, or the response to a vote, which may tell one too.
func (inst *Instance) OnReleaseUpdate(now float64, update ReleaseUpdate) {
	inst.advanceClock(now)
	if update.Response != NotAVote && inst.votePending {
		inst.onVoteResponse(update.Response)
	}
	if update.Response == NotAVote || update.Known {
		inst.applyReleaseUpdate(release.Update{Release: update.Release, Stage: update.Stage, Phase: update.Phase, Cap: update.Cap}, update.Age,
			update.Response)
	}
	inst.applyRules()
}

// OnShutdown: the agent ends, and whatever it holds has its final answer by then.
func (inst *Instance) OnShutdown(now, by float64) {
	inst.advanceClock(now)
	for _, id := range slices.Sorted(maps.Keys(inst.requests)) {
		if req := inst.requests[id]; !req.ended && req.deadline > by {
			req.deadline, req.objectiveAt = by, min(req.objectiveAt, by)
			inst.schedule(by-finalAnswerMargin, req)
		}
	}
	inst.applyRules()
}

// rule is a condition and an effect that makes the condition false.
type rule struct {
	name  string
	when  func(*Instance) bool
	apply func(*Instance)
}

func (inst *Instance) applyRules() {
	for i := 0; i < len(rules); i++ {
		if rules[i].when(inst) {
			rules[i].apply(inst)
			i = -1
		}
	}
}
