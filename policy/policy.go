package policy

// How to call: New, then each part's own call with its settings (Serve, Hold, Share, Probing, Advise, Zone,
// Watch, Warm, Expose, Judge, Tenants), then one call for each event with its time. Every call ends by going
// through the ordered rules below until none fires; they act through Port (port.go). Time and seed come only
// from outside.

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

const (
	maxEvidenceWait       = 4000  // short of outcomes, 'on' comes after this barring a regression
	minSample             = 20    // outcomes by build and product
	equivalenceQuantile   = 2.13  // Student's t, four degrees: 90%
	fleetErrorProbability = 0.04  // chance that so many agents as undo a build do so wrongly, a quarter of it for latency
	maxErrorProbability   = 0.05  // the chance for one agent at the most: troubles befall many alike
	usualBreakShare       = 0.02  // connections of the earlier build that break: beyond, breaks are no word on a build
	manyVotes             = 4     // outcomes below the least sample that may yet tell of slowness, where many must agree
	minSlowerPercentiles  = 2     // that must be wholly slower: one of many looked at so often is by chance
	stalledStageAfter     = 10000 // after which a stage is judged with the machines that are listed
	releaseSettleTime     = 500   // after a release, by which all traffic has moved over
	comparableArrivals    = 1.3   // times the txns before the build: the cause of any heat
	minSamplePerBackend   = 3     // machines, of so many outcomes each, that tell how machines of one build differ

	throughputTime           = 4000  // over which the load that warm appliances bear is averaged
	healthDecayTime          = 5000  // over which an appliance's record fades
	healthThreshold          = 0.7   // a drawn chance below this part of the fleet's: the appliance is passed over
	maxQueueShare            = 0.45  // of a try's time, for a txn that was never sent
	openRequestsBeforeReject = 0.6   // of the txns that an agent can bear: beyond it one that finds no place is declined
	minAttemptShare          = 0.25  // of the SLA time: an answer within it is no fault of the appliance
	limitUseThreshold        = 0.6   // part of the limit from which it is taken to bind
	fullAdmission            = 0.75  // from which all are taken on: a late answer now and then is no shortage
	admissionRecoveryTime    = 20000 // within which a shortage is forgotten
	timeoutOverloadSignal    = 0.3   // of a shortage: an answer may as well be lost
	quotaBurstTime           = 2000  // over which a tenant's share may be used unevenly
	crossZonePenalty         = 1.5   // times the load it has: an appliance in another zone, where crossing is priced
	loadReportDecayTime      = 1500  // over which a load report fades: it was late and noisy when it came
	manyInstances            = 10    // from which own open work tells too little of an appliance's load
	stallThreshold           = 60    // a timer this late: the agent itself stood still
	lowValueLimitShare       = 0.6   // part of the limit that is for any revenue
	maxQueueMisses           = 4     // held txns in a row that find no place before the rest wait on
	queueRetryInterval       = 25    // between looks for a place
	finalAnswerMargin        = 12    // the final answer leaves so long before the expiry
	evaluationInterval       = 200   // between looks at the evidence and sums over the fleet
	maxExpectedLatencyShare  = 0.5   // of the SLA time: what an answer is taken to need at the most
	maxLatencyInflation      = 10    // times the usual: what one answer counts at the most
	lowQuantile              = 0.3   // the quantile that is taken for a low latency
	steadySample             = 12    // outcomes of a machine whose halves are compared
	capUtilization           = 0.9   // of the cap: the trial share that is aimed at
	maxKeyShareOfCap         = 0.2   // of the cap: a key with more of the txns is not taken into a trial

	maxSliceVariation, maxSliceDistance  = 0.15, 2.0  // gate two: bound on slices; times more than halves of one differ
	latencyZone, shareZone               = 0.10, 0.05 // per latency percentile, for single figures
	smallSampleMargin, shiftMargin       = 0.4, 0.15  // wider zone: where many decide on little; few
	minStageTime, stageClockMargin       = 3000, 550  // no 'on' sooner after a stage's listed start times, and its clock's
	evaluators, soloEvaluationDelay      = 3, 2000    // told of all outcomes; others leave it so long to them
	inflationWindow, saturationLimit     = 3000, 7000
	slowStartMargin, slowStartBurst      = 0.7, 0.25 // of the cold budget; of its window at once, against bursts
	admissionDecrease, admissionIncrease = 0.4, 0.1  // of the txns taken on: fewer for each that tells of a shortage, more
	probesPerRound, probeRoundShare      = 2, 0.12   // probed at once, rounds; of the SLA time, without an answer
	maxProbePrice                        = 0.045     // of the worth: what races save; none are run at a higher price

	minRetryAfterShare, retryAfterSpread      = 0.25, 0.5 // of the longest wait that clients follow, and up to more
	tailQuantile, tailMultiple                = 0.97, 1.5 // of the answers stay under the tail; hope ends at so many times it
	cancellationsPerRequest, maxCancellations = 0.1, 20   // submissions given up: for each txn, and at once

	choicesCompared, maxDraws                    = 6, 40     // random appliances compared: an agent sees but its part of the load
	voteRetryPause, outdatedVotePause            = 300, 3000 // before a vote is sent again that did not count, or did not fit
	sliceCount, maxEvidence                      = 5, 400    // slices; outcomes kept by build and product
	broadcastInterval, maxMessageBytes           = 500, 250  // and bytes in a message
	initialConcurrencyLimit, minConcurrencyLimit = 4, 2      // by appliance; the least is for all agents together
	saturatedFrom, saturatedUntil                = 1.6, 1.35 // times the latency before the build: hot, and no longer so
	limitIncrease, limitDecrease                 = 0.20, 4.0 // open submissions more for an answer in time, fewer for a late one
	firstEjection, maxEjection                   = 20, 1000  // an appliance's rest after a quick failure, and after many
	renewalShare, renewalSpread                  = 0.7, 0.2  // of a vote's life, and up to this later: renewals scatter
	meanStep, backendStep                        = 0.02, 0.1 // weight of one answer in a usual figure, and in one appliance's
	tailUpdateStep                               = 0.2       // and in the tail
	firstWatchRetry, maxWatchRetry               = 0.02, 0.3 // of the time in which the list must be asked for: pauses after failures
)

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
		{"tell", func(a *Instance) bool { return len(a.summaries) > 0 && a.now >= a.broadcastAt }, (*Instance).broadcastSummaries},
		{"vote", (*Instance).voteDue, (*Instance).sendVote},
		{"arm", func(a *Instance) bool { return len(a.timers) > 0 && a.timers[0].at < a.armedAt }, (*Instance).armTimer},
	}
}

// scheduleWatchRetry: a failure does not say which call it was, so the subscription is asked for again, later each
// time and scattered, yet well before the agent would be taken to know what it was not told.
func (a *Instance) scheduleWatchRetry() {
	part := min(firstWatchRetry*math.Pow(2, a.watchFailures), maxWatchRetry) * (1 + a.rng.Float64())
	a.watching, a.watchDueAt, a.watchFailures = false, a.now+a.refreshInterval*part, a.watchFailures+1
	a.schedule(a.watchDueAt, nil)
}

// ---- guards: every submission passes mayGo and send, every final answer passes end

// maySendTo guards rules 2 to 5 for one submission of t to appliance i.
func (a *Instance) maySendTo(t *request, i int) bool {
	if t.ended || a.now >= t.deadline || len(t.attempts) >= a.maxAttempts || t.openAttempts > 1 || t.openAttempts == 1 && !a.concurrentAttempts ||
		a.state[i] != EndpointRunning { // stricter than the grace: nothing goes where the list shows a drain
		return false
	}
	p := &a.classes[t.class]
	for _, s := range t.attempts {
		if s.notRun || p.Semantics == Safe {
			continue
		}
		if p.Semantics == NonIdempotent || a.now >= s.sentAt+p.DedupWindow ||
			p.DedupScope == DedupZone && a.zone[s.backend] != a.zone[i] ||
			p.DedupScope == DedupCell && a.cell[s.backend] != a.cell[i] {
			return false
		}
		break // the first that may have run binds
	}
	return a.withinExposureCap(t, i) && a.allowsWarmingUp(t, i)
}

// allowsWarmingUp keeps the cold budget: a part, by the least warmth, of what warm appliances are seen to serve.
func (a *Instance) allowsWarmingUp(t *request, i int) bool {
	c := a.warmUpProgress(i)
	if c >= 1 {
		return true
	}
	pace := a.throughput / throughputTime / max(1-math.Exp(-a.throughputAge/throughputTime), 0.05) * a.weight[i]
	// One core at the least bears one txn per latency, shared by all: the floor where nothing warm is seen.
	mean := cmp.Or(a.overallMeanLatency, a.classes[t.class].LatencyObjective)
	rate := slowStartMargin * a.overloadFactor * c * max(pace, 1/(mean*float64(a.instances)))
	a.slowStartBudget[i] = min(a.slowStartBudget[i]+rate*(a.now-a.slowStartBudgetAt[i]), max(rate*a.overloadWindow*slowStartBurst, 1))
	a.slowStartBudgetAt[i] = a.now
	return a.slowStartBudget[i] >= 1
}

// answerFinally gives the one final answer: a decline where nothing can have run or a repeat does no harm, else a void.
func (a *Instance) answerFinally(t *request) {
	if t.ended {
		return
	}
	t.ended = true
	p := &a.classes[t.class]
	mayHaveRun := slices.ContainsFunc(t.attempts, func(s attempt) bool { return !s.notRun })
	if !mayHaveRun || p.Semantics == Safe || p.Semantics == Idempotent && p.DedupScope == DedupAll {
		a.port.Reject(t.id, a.maxRetryAfter*(minRetryAfterShare+retryAfterSpread*a.rng.Float64()))
	} else {
		a.port.Fail(t.id)
	}
	a.cancelOpenAttempts(t)
}

// admit sets a new txn's SLA time and counts it where the cap, the reserve for the dear and the heat need it.
func (a *Instance) admit(t *request, r Request) {
	p := &a.classes[t.class]
	t.objectiveAt = t.arrivedAt + p.LatencyObjective + p.ObjectivePerWork*r.Work
	// A repeat's SLA time began with the first try: what is left of the expiry tells, once less than usual.
	a.longestTimeLeft[t.class] = max(a.longestTimeLeft[t.class], r.TimeLeft)
	if r.Retry && r.TimeLeft < a.longestTimeLeft[t.class]-1 {
		t.objectiveAt -= p.Timeout - r.TimeLeft
	}
	t.objectiveAt = min(t.objectiveAt, t.deadline)
	t.value = p.Value
	if t.tenant < len(a.quotas) && a.overQuota(t) {
		t.value *= a.overQuotaValue
	}
	a.meanValue += (t.value - a.meanValue) * max(meanStep, 1/a.requestsTaken)
	a.allowance.OnRequest(a.exposureLane(t.class), a.releases)
	a.pending, a.cancellationBudget = append(a.pending, t), min(a.cancellationBudget+cancellationsPerRequest, maxCancellations)
	a.schedule(t.deadline-finalAnswerMargin, t)
}

// hasCapacity tells that own open submissions, at the appliance and in all, are fewer than those lately answered in
// time: it keeps queues short where agents are few. The dear may use the last of them.
func (a *Instance) hasCapacity(t *request, i int) bool {
	part := [2]float64{1, lowValueLimitShare}[boolIndex(t.value < a.meanValue)]
	here, all := max(a.concurrencyLimit[i]*part, 1), max(a.totalConcurrencyLimit*part, 2)
	return a.now >= a.ejectedUntil[i] && float64(a.openAttempts[i]) < here && float64(a.totalOpenAttempts) < all
}

// latencyDeadline is when an answer is late by its appliance's doing. What the txn waited here is not: where few machines
// may serve a key all come to them at the last moment, and limits would fall until nothing gets there.
func (a *Instance) latencyDeadline(t *request) float64 {
	return max(t.objectiveAt, a.now+minAttemptShare*a.classes[t.class].LatencyObjective)
}

// onSample moves the limit: up while answers are in time and it binds, down for late ones.
func (a *Instance) onSample(i int, good bool) {
	was := a.concurrencyLimit[i]
	if good && float64(a.openAttempts[i])+1 > limitUseThreshold*a.concurrencyLimit[i] {
		a.concurrencyLimit[i] += limitIncrease
	} else if !good {
		a.concurrencyLimit[i] = max(a.concurrencyLimit[i]-limitDecrease, minConcurrencyLimit/float64(a.instances))
	}
	a.totalConcurrencyLimit += a.concurrencyLimit[i] - was
}

// updateEjection lets an appliance be after a quick failure, longer for each in a row. One that fails at once never has
// much open and would draw all work to it: a dead process, a full one, a build that breaks, a list that lags.
func (a *Instance) updateEjection(i int, r AttemptStatus) {
	switch r {
	case StatusServed:
		a.consecutiveFailures[i] = 0
	case StatusRejected, StatusConnectFailed, StatusErrored, StatusReset:
		pause := min(firstEjection*math.Pow(2, a.consecutiveFailures[i]), maxEjection) * (0.5 + a.rng.Float64())
		a.consecutiveFailures[i], a.ejectedUntil[i] = a.consecutiveFailures[i]+1, max(a.ejectedUntil[i], a.now+pause)
	}
}

// onOverloadSignal moves the part of the txns that is taken on, and of those whose probes went unanswered: down for late
// answers, up for good ones and with time. Limits on open work bind nothing where each agent has little.
func (a *Instance) onOverloadSignal(blind bool, short float64) {
	for k := range a.admission {
		if k == 0 || blind {
			flow := a.admissionProbability(k) * (1 - admissionDecrease*short)
			if short == 0 {
				flow += admissionIncrease
			}
			a.admission[k], a.admissionAt[k] = min(flow, 1), a.now
		}
	}
}

// admits draws whether a txn goes on, the dear sooner.
func (a *Instance) admits(k int, t *request) bool {
	return a.rng.Float64() < math.Pow(a.admissionProbability(k)/fullAdmission, a.meanValue/max(t.value, 1e-9))
}

func (a *Instance) route() {
	t := a.pending[0]
	a.dropPending()
	inTime := a.now+a.expectedLatency(t) < t.objectiveAt || a.classes[t.class].LateValue > 0 && len(t.attempts) > 0
	many := a.instances >= manyInstances && !t.queued
	mute := many && a.admissionProbability(1) >= fullAdmission && a.rng.Float64() < 2*a.probeFailureShare-1 // probes fail, txns do not
	racing := many && a.probesAllowed && probesPerRound*a.probePrice <= maxProbePrice && t.probeRounds < probesPerRound && !mute
	// Probes lost or waiting in queues alike: only those who went on without them can tell which.
	t.unprobed = t.unprobed || many && !racing
	late := len(t.attempts) == 0 && a.now >= a.queueDeadline(t) // a client with its time half gone has nowhere else to go
	if len(t.attempts) >= a.maxAttempts || !inTime || late || many && t.probeRounds == 0 && !a.admits(0, t) ||
		t.unprobed && !t.queued && !a.admits(1, t) {
		a.answerFinally(t) // given up: answered at once
		return
	}
	if racing {
		a.probeBeforePlacement(t)
		return
	}
	if i := a.pickBackend(t); i >= 0 {
		a.placeRequest(t, i)
	} else if a.now <= t.arrivedAt && float64(len(a.requests)) > openRequestsBeforeReject*a.maxOpenRequests {
		a.answerFinally(t) // more would take the agent's last connections, and then nobody is even declined
	} else if !t.queued {
		t.queued = true
		a.retryQueue = append(a.retryQueue, t)
		a.schedule(max(min(t.objectiveAt-a.expectedLatency(t), a.queueDeadline(t)), a.now+queueRetryInterval), t)
	}
}

func (a *Instance) queueDeadline(t *request) float64 {
	return t.arrivedAt + maxQueueShare*(t.deadline-t.arrivedAt)
}

// expectedLatency: what an answer takes. Bounded, or a product sent no more would keep its worst hour's for ever.
func (a *Instance) expectedLatency(t *request) float64 {
	return min(a.meanLatency[t.class], maxExpectedLatencyShare*a.classes[t.class].LatencyObjective)
}

// probeBeforePlacement probes some appliances for a txn and gives it to the first that answers. Where many agents see little
// each, own open work tells nothing of the load; what stands still, is slow, unreachable or reports falsely
// loses the race. Where probes fail though txns are served, the pick goes on without them.
func (a *Instance) probeBeforePlacement(t *request) {
	t.probeRounds++
	for range probesPerRound {
		if i := a.pickBackend(t); i >= 0 && !slices.Contains(a.loadProbes, loadProbe{t, i}) {
			a.loadProbes = append(a.loadProbes, loadProbe{t, i})
			a.port.SendProbe(a.id[i])
		}
	}
	a.schedule(a.now+probeRoundShare*a.classes[t.class].LatencyObjective, t)
}

func (a *Instance) placeAfterProbe(i int) {
	if t := a.probedRequest(i); t != nil && a.now < t.objectiveAt && a.maySendTo(t, i) {
		a.placeRequest(t, i)
	}
}

// retryQueued lets the longest-held txns try again once an outcome, the list or the passing of a little time may
// have made room: oldest first, or newer ones would starve them past their SLA time.
func (a *Instance) retryQueued() {
	a.retryQueuedAt = math.Inf(1)
	held, misses := a.retryQueue, 0
	a.retryQueue = nil
	for len(held) > 0 && misses < maxQueueMisses {
		t := held[0]
		if held = held[1:]; t.ended || !t.queued {
			continue
		}
		t.queued = false
		a.pending = append([]*request{t}, a.pending...)
		if a.route(); t.queued {
			misses++
		}
	}
	a.retryQueue = slices.Insert(held, 0, a.retryQueue...)
	if len(a.retryQueue) > 0 {
		a.retryQueuedAt = a.now + queueRetryInterval
		a.schedule(a.retryQueuedAt, nil)
	}
}

// handleOverdue holds a late submission against its appliance at once, and gives up one past hope to try elsewhere:
// answers get lost on any way. No second copy goes out, and only a part is given up: both feed shortages.
func (a *Instance) handleOverdue() {
	t := a.pending[0]
	a.dropPending()
	for k := range t.attempts {
		s := &t.attempts[k]
		hopeless := a.now >= s.sentAt+tailMultiple*a.tailLatency[t.class] && len(t.attempts) < a.maxAttempts && a.cancellationBudget >= 1
		if !s.open || s.countedLate || a.now < s.dueAt && !(hopeless && a.now+a.expectedLatency(t) < t.objectiveAt) {
			continue
		}
		s.countedLate = true
		a.recordAnswer(s.backend, false)
		if a.now >= s.dueAt {
			a.onSample(s.backend, false)
		} else {
			s.canceled, a.cancellationBudget = true, a.cancellationBudget-1
			a.port.CancelAttempt(t.id, k)
		}
	}
}

// rolloutShare is the part of the txns for the newest build: its machines' share, within the cap.
func (a *Instance) rolloutShare() float64 {
	limit, all := a.rolloutCap*capUtilization, a.capacity[0]+a.capacity[1]
	if limit >= capUtilization {
		limit = 1
	}
	// Where the earlier machines stay, the last stage's get what their places would, at no more load a machine.
	if a.inLastStage() {
		all = min(all, a.placesWeight)
	}
	return min(a.capacity[1]/max(all, 1e-9), limit)
}

// inLastStage: earlier machines that stay are idle in a stage over all places, and latencies are not compared.
func (a *Instance) inLastStage() bool {
	return a.stage == len(a.stages)-1 && a.placesWeight > 0 && a.rolloutRelease <= a.newest
}

// pickBackend chooses the arm, then of some random appliances in it the one with least to do for its size.
func (a *Instance) pickBackend(t *request) int {
	// What failed on the trial build is tried elsewhere.
	failed := len(t.attempts) > 0 && a.underCap(t.attempts[len(t.attempts)-1].release)
	trial := !failed && a.rolloutDraw(t) < a.rolloutShare()
	untied := t.affinityKey != 0 && a.rolloutCap < 1 && a.oldestAllowedRelease(t) < a.rolloutRelease
	if untied && a.popularKeys[t.key] > 2+maxKeyShareOfCap*a.rolloutCap*a.requestsTaken {
		trial = false // a popular key, once tied, could need more than the allowance
	}
	if i := a.pickCandidate(t, trial); i >= 0 || !trial && untied {
		return i
	}
	return a.pickCandidate(t, !trial)
}

// rolloutDraw is a txn's place in [0,1): by key where keys stay with a release. The trial's keys are the same ones from the first
// listing of its release on, before its news, after it and in a process that starts anew.
func (a *Instance) rolloutDraw(t *request) float64 {
	if t.affinityKey != 0 {
		return keyPosition(t.key, a.salt^uint64(max(a.rolloutRelease, a.newest)))
	}
	return a.rng.Float64()
}

// pickCandidate draws appliances of one arm by what each can bear, compared by own open work: agents that see little
// would else all find the same few best. Drawn first, tested after: cost must not grow with the fleet.
func (a *Instance) pickCandidate(t *request, trial bool) int {
	in := a.candidates[boolIndex(trial)]
	best, bestLoad := -1, math.Inf(1)
	for n, tries := 0, 0; n < choicesCompared && tries < maxDraws && len(in) > 0; tries++ {
		i := in[a.rng.IntN(len(in))]
		if a.rng.Float64()*a.maxCapacity > a.capacityOf(i) || a.tried(t, i) || !a.hasCapacity(t, i) || !a.maySendTo(t, i) ||
			a.drawsUnhealthy(i) {
			continue
		}
		n++
		load := float64(a.openAttempts[i])
		if a.instances < manyInstances { // else reports are old, and false ones would draw all racers
			load += a.reportedLoadNow(i)
		}
		if load /= a.capacityOf(i); load < bestLoad {
			best, bestLoad = i, load
		}
	}
	if best >= 0 || len(in) == 0 {
		return best
	}
	// Hardly any will do: the first that may go is taken.
	from := a.rng.IntN(len(in))
	for k := range in {
		if i := in[(from+k)%len(in)]; a.hasCapacity(t, i) && a.maySendTo(t, i) {
			return i
		}
	}
	return -1
}

// capacityOf is what an appliance can bear, as far as is known.
func (a *Instance) capacityOf(i int) float64 {
	w := a.weight[i] * a.warmUpProgress(i) / a.latencyInflation[i]
	if a.crossZonePrice && a.zone[i] != a.zoneIndex {
		w /= crossZonePenalty
	}
	return w
}

// drawsUnhealthy draws an appliance's chance of an answer in time from its posterior, held against the fleet's.
func (a *Instance) drawsUnhealthy(i int) bool {
	f, all := math.Exp(-(a.now-a.recordUpdatedAt[i])/healthDecayTime), math.Exp(-(a.now-a.totalUpdatedAt)/healthDecayTime)
	good, poor := a.totalSuccesses*all, a.totalFailures*all
	if a.failures[i]*f < 0.5 {
		return false
	}
	drawn := distuv.Beta{Alpha: 1 + a.successes[i]*f, Beta: 1 + a.failures[i]*f, Src: a.rng}.Rand()
	return drawn < healthThreshold*(good+1)/(good+poor+1)
}

// onAttemptEnd draws the conclusions from one submission's end.
func (a *Instance) onAttemptEnd(t *request, s *attempt, r AttemptStatus, took float64) {
	good := r == StatusServed && a.now <= s.dueAt
	a.updateEjection(s.backend, r)
	if a.now == a.resumedAt && r == StatusServed {
		// What took so long may be the agent's own pause: no word on the appliance, the load or the build.
		took, good = math.Inf(1), true
	}
	switch {
	case a.zone[s.backend] != a.zoneIndex: // the way there may be at fault
	case r == StatusRejected || r == StatusServed && !good:
		a.onOverloadSignal(t.unprobed, 1)
	case r == StatusServed:
		a.onOverloadSignal(t.unprobed, 0)
	case r == StatusTimedOut:
		a.onOverloadSignal(t.unprobed, timeoutOverloadSignal)
	}
	if r != StatusCanceled && r != StatusNotSent && !s.countedLate {
		a.recordAnswer(s.backend, good)
		if r != StatusConnectFailed && r != StatusErrored && r != StatusReset { // what breaks on the way is no word on the load
			a.onSample(s.backend, good)
		}
	}
	if r == StatusServed {
		a.learnLatency(s.backend, t, took)
	}
	// An answer that was spoilt on its way, or came when nobody read it, has bound its key all the same.
	if r != StatusErrored && !s.notRun {
		a.bindKey(t, s)
	}
	// Proven not run, called off: no word on the build.
	if a.announced && !math.IsInf(took, 1) && !s.notRun && r != StatusCanceled {
		a.recordEvidence(s, t, r, took)
	}
	switch {
	case t.ended:
		a.cancelOpenAttempts(t)
	case t.openAttempts == 0 && (s.notRun || a.classes[t.class].Semantics != NonIdempotent):
		t.probeRounds, t.unprobed = 0, false
		a.pending = append(a.pending, t)
	case t.openAttempts == 0:
		a.answerFinally(t)
	}
}

// ---- the trial: evidence, gates, votes

// onVoteResponse reads the platform's answer to the vote that is out. What was asked of a release before the newest one says nothing
// of votes on that.
func (a *Instance) onVoteResponse(reply VoteResponse) {
	a.votePending = false
	if a.pendingRelease != a.newest {
		return
	}
	if reply == VoteCounted {
		a.acceptedVerdict, a.acceptedStage = a.pendingVerdict, a.pendingStage
		a.renewAt = a.now + a.voteLifetime*(renewalShare+renewalSpread*a.rng.Float64())
		return
	}
	// Idle: the stage has moved on and the news is late, asking again tells nothing.
	pause := [2]float64{voteRetryPause, outdatedVotePause}[boolIndex(reply == VoteOutdated)]
	a.voteNotBefore = a.now + pause*(0.5+a.rng.Float64())
	a.schedule(a.voteNotBefore, nil)
}

// isSteady is gate one's check of a machine: halves of its recent outcomes agree, or its told warm-up is over.
func (a *Instance) isSteady(i int, rel float64) bool {
	a.recentLatencies[i] = append(a.recentLatencies[i], rel)
	if len(a.recentLatencies[i]) > steadySample {
		a.recentLatencies[i] = a.recentLatencies[i][1:]
	}
	if a.warmUpProgress(i) >= 1 || len(a.recentLatencies[i]) < steadySample {
		return a.warmUpProgress(i) >= 1
	}
	x, y := stat.Mean(a.recentLatencies[i][:steadySample/2], nil), stat.Mean(a.recentLatencies[i][steadySample/2:], nil)
	return math.Abs(x-y) <= latencyZone*max(x, y)
}

// evaluate runs the gates and says what the agent wants.
func (a *Instance) evaluate() {
	a.evaluateAt = a.now + evaluationInterval
	a.schedule(a.evaluateAt, nil)
	gone := !a.announced || a.phase == RollingBack || a.phase == Withdrawn
	if a.desiredVerdict == Rollback && !gone { // stands until the news says that the build goes
		return
	}
	a.desiredVerdict = NoVerdict
	neu := a.newestReleaseBackends()
	if gone || a.stage < 0 || a.stage >= len(a.stages) || neu == 0 {
		return
	}
	// Rounded up; a platform that rounds otherwise is followed after a while.
	a.stageStarted = a.stageStarted || float64(neu) > a.stages[a.stage]*float64(a.places)-0.01
	if !a.stageStarted && a.now < a.stateSince+stalledStageAfter {
		return
	}
	hot, long := a.trackSaturation()
	earned, worse := a.evaluateGates()
	if worse == "" && long {
		worse = "old and new alike are slower since it came"
	}
	if a.rollbackReason = worse; worse != "" {
		a.desiredVerdict = Rollback
	}
	// An inconclusive comparison blocks nothing: with the least sample seen the floor alone is waited for.
	ready := max(a.lastBackendStart, a.stateSince) + minStageTime + stageClockMargin
	few := !earned && len(slices.Concat(a.evidence[1]...)) < minSample
	if few {
		ready = max(ready, a.lastBackendStart+maxEvidenceWait)
	}
	if !a.isEvaluator() || few && a.control == ControlSingleVote {
		ready += soloEvaluationDelay
	}
	if a.desiredVerdict != Rollback && a.phase == RollingOut && a.control != ControlTimed && a.now >= ready && !hot {
		a.desiredVerdict = Promote
	}
}

// evaluateGates compares the builds product by product, and all products at once by latency over the product's usual
// one, which sees a slow build sooner and hides no single product.
func (a *Instance) evaluateGates() (earned bool, worse string) {
	arms := [2][][]outcome{}
	for k := range arms {
		arms[k] = append(slices.Clone(a.evidence[k]), poolClasses(a.evidence[k]))
	}
	for p, neu := range arms[1] {
		e, w := compareReleases(neu, arms[0][p], !a.inLastStage(), a.phase == Released, a.errorBudget(), a.rollbackVotes)
		if w != "" {
			return false, fmt.Sprintf("product %d: %s", p, w)
		}
		earned = earned || e
	}
	return earned, ""
}

// isEvaluator: where agents may send messages, all tell their outcomes to a few, always the same, since what came
// before a build counts too. These go through the same gates; the others step in where they stay silent.
func (a *Instance) isEvaluator() bool { return !a.peerMessages || a.index < evaluators }

// errorBudget is the chance to be wrong that one agent may take: small where few of many undo a build, larger where
// many must agree, each of whom sees little.
func (a *Instance) errorBudget() float64 {
	looking := a.instances
	if a.peerMessages && a.isEvaluator() {
		looking = min(looking, evaluators)
	}
	return min(distuv.Gamma{Alpha: float64(a.rollbackVotes), Beta: 1}.Quantile(fleetErrorProbability)/float64(looking), maxErrorProbability)
}

// fleetLatencyInflation is the whole fleet's latency of late over what it was before the build came: it stands in for a
// comparison where a build slows old and new alike. 0 where too little is seen, or more is asked than before.
func (a *Instance) fleetLatencyInflation() float64 {
	if a.baseline.typical == 0 || a.arrivalRate() > comparableArrivals*a.baseline.demand {
		return 0
	}
	return a.typicalLatency(a.evidence, inflationWindow) / a.baseline.typical
}

// trackSaturation follows the heat. What began before the build had a share worth the name, or after its release, is
// not its doing and counts only for what it grows by: a build's own heat grows by stage. Heat holds 'on' back
// and earns 'back' once it has outlasted most outside trouble. It may hurt a good build in a long slowness.
func (a *Instance) trackSaturation() (hot, long bool) {
	h := a.fleetLatencyInflation()
	outside := a.stage < 1 || a.phase == Released && a.now > a.stateSince+releaseSettleTime
	switch {
	case h < saturatedUntil*a.baselineCorrection:
		a.saturatedSince = math.Inf(1)
		if h < saturatedUntil {
			a.baselineCorrection = 1
		}
	case outside && math.IsInf(a.saturatedSince, 1):
		a.baselineCorrection = max(a.baselineCorrection, h)
	case h >= saturatedFrom*a.baselineCorrection && math.IsInf(a.saturatedSince, 1):
		a.saturatedSince = a.now
	}
	return a.now >= a.saturatedSince, a.now >= a.saturatedSince+saturationLimit
}

// compareReleases is gates two and three for one product.
func compareReleases(neu, old []outcome, alike, released bool, err float64, backs int) (earned bool, worse string) {
	if failsMore(neu, old, released, err, backs) {
		return false, fmt.Sprintf("failures %d of %d against %d of %d", failureCount(neu), len(neu), failureCount(old), len(old))
	}
	if len(neu) < minSample || len(old) < minSample {
		// With hundreds of agents none may ever have the least sample; the many that agree know enough.
		if backs >= manyVotes && alike && backendCount(neu) >= minSamplePerBackend &&
			latencyRatioLowerBound(latencies(neu), latencies(outcomesSince(old, neu)), manyVotes, 1-err/4) > 1+latencyZone+smallSampleMargin {
			worse = "few outcomes, slower"
		}
		return false, worse
	}
	// Percentiles by slices need hundreds of outcomes to see a build twice as slow; its stage is over by then.
	// Most of the outcomes beyond what machines of one build differ by are enough. One bad slice is not most.
	x, y := latencies(neu), latencies(outcomesSince(old, neu))
	apart := 2 * backendVariation(old, minSamplePerBackend, minSamplePerBackend, outcome.comparableLogLatency) / math.Sqrt(backendCount(neu))
	apart += 1 + latencyZone + shiftMargin
	if over := countAbove(x, y, apart); alike && backendCount(neu) >= minSamplePerBackend && len(y) >= minSample &&
		(distuv.Beta{Alpha: over + 0.5, Beta: float64(len(x)) - over + 0.5}).CDF(0.5) < err/4 {
		return false, fmt.Sprintf("latency: %.0f of %d beyond %.2f times the usual", over, len(x), apart)
	}
	ns, paired := timeSlices(neu, nil, sliceCount, minSample/sliceCount)
	os, paired := timeSlices(old, neu, sliceCount, minSample/sliceCount)
	if sn, so := each(ns, successShare), each(os, successShare); variationCoefficient(sn) <= maxSliceVariation && variationCoefficient(so) <= maxSliceVariation {
		noise := math.Sqrt(float64(failureCount(neu)+1) / float64(len(neu)+2) / float64(len(neu)))
		lo, hi := interval(differences(sn, so), equivalenceQuantile, noise)
		earned = lo > -shareZone && hi < shareZone || lo > shareZone
	}
	nl, ol := each(ns, latencies), each(os, latencies)
	few := func(x []float64) bool { return len(x) < minSample/sliceCount }
	if slices.ContainsFunc(nl, few) || slices.ContainsFunc(ol, few) || !alike || !paired ||
		!slicesAgree(nl, maxSliceDistance) || !slicesAgree(ol, maxSliceDistance) {
		return earned, ""
	}
	slow, sure := 0, distuv.StudentsT{Sigma: 1, Nu: sliceCount - 1}.Quantile(1-err/4)
	room := 2 * backendVariation(old, minSamplePerBackend, minSamplePerBackend, outcome.comparableLatency) / math.Sqrt(backendCount(neu))
	for _, q := range []float64{0.5, 0.75, 0.9} {
		at := func(x []float64) float64 { return quantile(q, x) }
		d, base := differences(each(nl, at), each(ol, at)), quantile(q, latencies(old))
		lo, hi := interval(d, equivalenceQuantile, 0)
		earned = earned || lo > -latencyZone*base && hi < latencyZone*base || hi < -latencyZone*base
		if lo, _ = interval(d, sure, 0); lo > latencyZone*base+room {
			slow++
			worse = fmt.Sprintf("latency quantile %.2f: at least %.0f%% more", q, 100*lo/base)
		}
	}
	if slow < minSlowerPercentiles {
		return earned, ""
	}
	return false, worse
}

// failsMore is the interval on a failure share: a posterior, for it also speaks below the least sample and at
// no failures.
func failsMore(neu, old []outcome, released bool, err float64, backs int) bool {
	if backs < manyVotes && backendCount(neu) >= minSamplePerBackend { // no single machine's trouble is the build's
		neu = withoutWorst(neu)
	}
	f, g := failureCount(neu), failureCount(old)
	if f < 3 || float64(breakCount(old)) > usualBreakShare*float64(len(old)) { // breaks speak of the way or a machine
		f, g = f-breakCount(neu), g-breakCount(old)
	}
	base := (float64(g) + 0.1) / (float64(len(old)) + 1)
	// Released, it has no other machines beside it: trouble of a few of its own must not pass for its doing.
	uneven := backendVariation(old, minSamplePerBackend, minSamplePerBackend, outcome.failureIndicator)
	if released {
		uneven = max(uneven, backendVariation(neu, minSamplePerBackend, minSamplePerBackend, outcome.failureIndicator))
	}
	edge := min(base+shareZone+2*uneven/math.Sqrt(backendCount(neu)), 1)
	beyond := 1 - distuv.Beta{Alpha: float64(f) + 0.5, Beta: float64(len(neu)-f) + 1}.CDF(edge)
	return f >= max(4-backs, 1) && beyond > 1-err
}

func (a *Instance) voteDue() bool {
	if a.votePending || a.now < a.voteNotBefore || a.desiredVerdict == NoVerdict {
		return false
	}
	same := a.acceptedVerdict == a.desiredVerdict && (a.desiredVerdict == Rollback || a.acceptedStage == a.stage)
	return !same || a.now >= a.renewAt
}

func (a *Instance) sendVote() {
	a.votePending, a.pendingVerdict, a.pendingStage, a.pendingRelease = true, a.desiredVerdict, a.stage, a.newest
	a.port.SendVote(a.newest, a.desiredVerdict, a.stage)
	if a.desiredVerdict == Rollback { // many agents that say 'on' would fill any log
		a.port.Log(fmt.Sprintf("vote back on build %d stage %d: %s", a.newest, a.stage, a.rollbackReason))
	}
}
