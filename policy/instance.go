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
func (a *Instance) OnClockStep(now float64) {
	a.advanceClock(now)
	a.clockStepped = true
	a.applyRules()
}

// OnMessage takes another instance's outcome summaries; what it can't read or does not know is ignored.
func (a *Instance) OnMessage(now float64, raw []byte) {
	a.advanceClock(now)
	for _, summary := range gossip.Decode(now, raw) {
		a.mergeSummary(summary)
	}
	a.applyRules()
}

// rules are gone through in order after every input, from the top again after each that fires.
var rules []rule

func init() {
	rules = []rule{
		{"survey", func(a *Instance) bool { return a.now >= a.aggregatesDueAt }, (*Instance).refreshAggregates},
		{"ring", func(a *Instance) bool { return len(a.timers) > 0 && a.timers[0].at <= a.now }, (*Instance).timerFired},
		{"pass over", func(a *Instance) bool { return len(a.pending) > 0 && a.pending[0].ended }, (*Instance).dropPending},
		{"last moment", func(a *Instance) bool {
			return len(a.pending) > 0 && !a.pending[0].streaming && a.now >= a.pending[0].deadline-finalAnswerMargin
		}, func(a *Instance) { a.answerFinally(a.pending[0]) }},
		{"route", func(a *Instance) bool { return len(a.pending) > 0 && a.pending[0].openAttempts == 0 }, (*Instance).route},
		{"recall", func(a *Instance) bool { return a.now >= a.retryQueuedAt && len(a.retryQueue) > 0 }, (*Instance).retryQueued},
		{"overdue", func(a *Instance) bool { return len(a.pending) > 0 }, (*Instance).handleOverdue},
		{"ask", func(a *Instance) bool { return a.discoveryOnDemand && !a.watching && a.now >= a.watchDueAt }, (*Instance).watchEndpoints},
		{"judge", func(a *Instance) bool { return a.now >= a.evaluateAt }, (*Instance).evaluate},
		{"tell", func(a *Instance) bool { return a.summaries.Len() > 0 && a.now >= a.broadcastAt }, (*Instance).broadcastSummaries},
		{"vote", (*Instance).voteDue, (*Instance).sendVote},
		{"arm", func(a *Instance) bool { return len(a.timers) > 0 && a.timers[0].at < a.armedAt }, (*Instance).armTimer},
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
func (a *Instance) advanceClock(now float64) {
	if len(a.timers) > 0 && now-a.timers[0].at > stallThreshold {
		a.resumedAt = now
	}
	a.now = now
	if !a.started {
		a.started = true
		a.allowance.HoldUntil(now + a.exposureWindow)
	}
}

// OnEndpoints takes what discovery tells of the endpoints; a snapshot drops what it no longer names.
func (a *Instance) OnEndpoints(now float64, update EndpointUpdate) {
	a.advanceClock(now)
	if update.Snapshot {
		for i := range a.state {
			if a.state[i] != EndpointRemoved {
				a.state[i], a.removedAt[i] = EndpointRemoved, now
			}
		}
	}
	for _, e := range update.Endpoints {
		i, ok := a.indexOf[e.ID]
		if !ok {
			i = a.allocateIndex()
			a.indexOf[e.ID], a.indexOfHash[gossip.BackendHash(e.ID)], a.id[i] = i, i, e.ID
			a.openAttempts[i], a.recordUpdatedAt[i], a.startedAt[i], a.release[i] = 0, 0, -1, 0
		}
		if a.startedAt[i] != e.StartedAt || a.release[i] != e.Release {
			// A re-used id or a restart: nothing learned of the former process holds, and it is cold.
			a.successes[i], a.failures[i], a.latencyInflation[i], a.recentLatencies[i], a.slowStartBudget[i], a.slowStartBudgetAt[i] = 0, 0, 1, nil, 0, now
			a.consecutiveFailures[i], a.ejectedUntil[i], a.reportedLoad[i], a.reportedAt[i], a.concurrencyLimit[i] = 0, 0, 0, now, initialConcurrencyLimit
			a.upSince[i] = a.believedStart(e.StartedAt)
			if a.instances >= manyInstances && e.StartedAt > 0 { // by chance, or all would start at once, and none soon
				a.slowStartBudget[i] = a.rng.Float64()
			}
		}
		if e.State != EndpointRemoved {
			a.onReleaseListed(e.Release)
		}
		a.release[i], a.zone[i], a.hardwareClass[i], a.cell[i] = e.Release, e.Zone, e.HardwareClass, e.Cell
		a.state[i], a.weight[i], a.startedAt[i], a.removedAt[i] = e.State, max(e.Weight, 0.01), e.StartedAt, now
	}
	if !update.Cached {
		a.watchFailures, a.discoveryHeard = 0, true
	}
	a.aggregatesDueAt = now
	a.applyRules()
}

// OnEndpointsFailed tells that a list call failed or the subscription broke.
func (a *Instance) OnEndpointsFailed(now float64) {
	a.advanceClock(now)
	a.scheduleWatchRetry()
	a.applyRules()
}

// OnStreamStarted: the stream belongs to the client now; no expiry holds.
func (a *Instance) OnStreamStarted(now float64, id string, sub int) {
	a.advanceClock(now)
	if t := a.requests[id]; t != nil {
		t.streaming = true
	}
	a.applyRules()
}

func (a *Instance) OnTimer(now float64, token uint64) {
	a.advanceClock(now)
	if token == a.timerToken {
		a.armedAt = math.Inf(1)
	}
	a.applyRules()
}

// OnProbeResult takes the end of a load probe.
func (a *Instance) OnProbeResult(now float64, result ProbeResult) {
	a.advanceClock(now)
	i, known := a.indexOf[result.Backend]
	if known && a.zone[i] == a.zoneIndex { // else the way may be at fault
		a.probeFailureShare -= backendStep * a.probeFailureShare
		if !result.OK {
			a.probeFailureShare += backendStep
		}
	}
	if known && result.OK {
		a.reportLoad(i, result.Load)
		a.placeAfterProbe(i)
	}
	a.loadProbes = slices.DeleteFunc(a.loadProbes, func(r loadProbe) bool { return r.request.ended || r.request.openAttempts > 0 })
	a.applyRules()
}

// OnPlatformCounts takes the platform's own figures. Votes go by the outcomes that the instance has seen itself, so they decide
// nothing.
func (a *Instance) OnPlatformCounts(now float64) {
	a.advanceClock(now)
}

// OnClientGone: the client has gone; an id no longer held is passed over.
func (a *Instance) OnClientGone(now float64, id string) {
	a.advanceClock(now)
	if t := a.requests[id]; t != nil && !t.ended {
		a.cancelOpenAttempts(t)
	}
	a.applyRules()
}

// OnWrongAnswer corrects the agent's own outcome.
func (a *Instance) OnWrongAnswer(now float64, app string, product int, age float64) {
	a.advanceClock(now)
	i, ok := a.indexOf[app]
	if !ok {
		return
	}
	a.recordAnswer(i, false)
	for arm := range a.evidence {
		e := a.evidence[arm][product]
		for k := len(e) - 1; k >= 0; k-- {
			if e[k].backend == i && !e[k].failed && math.Abs(e[k].at-e[k].latency-(now-age)) < 1 {
				e[k].failed = true
				return
			}
		}
	}
}

// OnRequest takes a request. It ends with SendAttempt and that attempt's result, with Reject or with Fail.
func (a *Instance) OnRequest(now float64, r Request) {
	a.advanceClock(now)
	t := &request{id: r.ID, key: r.Key, class: r.Class, tenant: r.Tenant, arrivedAt: now, deadline: now + r.TimeLeft, relativeWork: 1, workDivisor: 1}
	if a.keyAffinity {
		t.affinityKey = exposure.KeyOf(r.Key)
	}
	if r.Work > 0 {
		if a.meanWork == 0 {
			a.meanWork = r.Work
		}
		a.meanWork += meanStep * (r.Work - a.meanWork)
		t.relativeWork, t.workDivisor = r.Work/a.meanWork, r.Work
	}
	a.requestsTaken++
	if a.keyAffinity && r.Key != "" {
		if a.popularKeys[r.Key]++; len(a.popularKeys) > maxCountedKeys {
			a.decayPopularKeys()
		}
	}
	if !r.Retry {
		a.countArrival(now)
	}
	a.requests[r.ID] = t
	a.admit(t, r)
	a.applyRules()
}

// OnAttemptResult takes the end of one attempt; one that is not open is ignored.
func (a *Instance) OnAttemptResult(now float64, result AttemptResult) {
	a.advanceClock(now)
	sub := result.Attempt
	if t := a.requests[result.RequestID]; t != nil && sub >= 0 && sub < len(t.attempts) && t.attempts[sub].open {
		s, r := &t.attempts[sub], result.Status
		s.open, s.notRun = false, r == StatusRejected || r == StatusConnectFailed || r == StatusNotSent
		t.openAttempts--
		t.ended = t.ended || result.Final
		a.affinity.AttemptEnded(t.affinityKey, s.bindsTo)
		a.openAttempts[s.backend]--
		a.totalOpenAttempts--
		a.retryQueuedAt = now
		a.reportLoad(s.backend, result.Load)
		a.onAttemptEnd(t, s, r, result.Took)
	}
	a.applyRules()
}

// OnReleaseUpdate takes the state of a release, or the response to a vote, which may tell one too.
func (a *Instance) OnReleaseUpdate(now float64, update ReleaseUpdate) {
	a.advanceClock(now)
	if update.Response != NotAVote && a.votePending {
		a.onVoteResponse(update.Response)
	}
	if update.Response == NotAVote || update.Known {
		a.applyReleaseUpdate(release.Update{Release: update.Release, Stage: update.Stage, Phase: update.Phase, Cap: update.Cap}, update.Age,
			update.Response)
	}
	a.applyRules()
}

// OnShutdown: the agent ends, and whatever it holds has its final answer by then.
func (a *Instance) OnShutdown(now, by float64) {
	a.advanceClock(now)
	for _, id := range slices.Sorted(maps.Keys(a.requests)) {
		if t := a.requests[id]; !t.ended && t.deadline > by {
			t.deadline, t.objectiveAt = by, min(t.objectiveAt, by)
			a.schedule(by-finalAnswerMargin, t)
		}
	}
	a.applyRules()
}

// rule is a condition and an effect that makes the condition false.
type rule struct {
	name  string
	when  func(*Instance) bool
	apply func(*Instance)
}

func (a *Instance) applyRules() {
	for i := 0; i < len(rules); i++ {
		if rules[i].when(a) {
			rules[i].apply(a)
			i = -1
		}
	}
}
