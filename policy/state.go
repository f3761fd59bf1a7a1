package policy

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"

	"onyxgate/policy/exposure"
	"onyxgate/policy/release"
)

// attempt is one try of a txn at an appliance.
type attempt struct {
	backend       int
	release       ReleaseID
	bindsTo       ReleaseID // the release to which its answer may bind the key
	sentAt, dueAt float64
	open          bool // no outcome yet
	notRun        bool // proven not to have run
	countedLate   bool // already held against the appliance
	canceled      bool // off
}

type request struct {
	id, key                string
	affinityKey            exposure.Key // 0: any release may serve it
	oldestRelease          ReleaseID    // the earliest release that may, as of so many changes
	oldestReleaseAsOf      uint64
	class                  int
	arrivedAt, objectiveAt float64
	deadline               float64
	tenant                 int
	value                  float64
	relativeWork           float64 // told cost against the mean, 1 where none is told
	workDivisor            float64 // told cost, the same
	attempts               []attempt
	openAttempts           int
	ended                  bool
	queued                 bool
	probeRounds            int  // times that probes for it have been sent
	unprobed               bool // placed without an answered one
	streaming              bool // a stream has begun: no expiry holds any more
}

// loadProbe is an appliance that has been probed for a txn.
type loadProbe struct {
	request *request
	backend int
}

// outcome is one submission's end as evidence on a build.
type outcome struct {
	at, latency      float64
	relativeLatency  float64 // latency over the product's usual one
	failed           bool
	connectionBroken bool // its connection
	backend          int
	comparable       bool // its latency counts
}

const (
	maxCountedKeys      = 1 << 14 // bound on the keys that are counted
	minBackendsForReuse = 64      // appliances from which places of those long gone are used again
	reuseAfter          = 60000   // no txn still knows it then
)

// endpointTable holds what is known of each appliance, in parallel arrays under a small index.
type endpointTable struct {
	indexOf                                        map[string]int
	indexOfHash                                    map[uint32]int
	id                                             []string
	release                                        []ReleaseID
	zone, hardwareClass, cell                      []int
	state                                          []EndpointState
	weight, startedAt                              []float64
	upSince                                        []float64 // since when, at the latest, it has been up; 0: long ago
	clockStepped                                   bool      // the wall clock, since the start
	discoveryHeard                                 bool      // a list other than the one that the process started with has come
	openAttempts                                   []int
	concurrencyLimit                               []float64 // own open submissions that it may have
	successes, failures, recordUpdatedAt           []float64 // fading record of answers within the SLA time and others
	latencyInflation                               []float64 // latency against the product's usual
	consecutiveFailures, ejectedUntil              []float64 // quick failures in a row, and the rest after them
	reportedLoad, reportedAt                       []float64 // load by the last report
	slowStartBudget, slowStartBudgetAt             []float64 // cold budget
	recentLatencies                                [][]float64
	totalSuccesses, totalFailures, totalUpdatedAt  float64 // the record of all
	totalOpenAttempts                              int
	removedAt                                      []float64
	candidates                                     [2][]int // running appliances, of earlier builds and on trial
	capacity                                       [2]float64
	totalConcurrencyLimit, warmWeight, maxCapacity float64
	rolloutCap, aggregatesDueAt                    float64
	rolloutRelease                                 ReleaseID // the newest running release under a cap; 0: none
	discoveryOnDemand, watching                    bool
	watchFailures                                  float64 // of list calls in a row
	refreshInterval, watchDueAt                    float64
}

// rollout is what is known of the newest build.
type rollout struct {
	newest                 ReleaseID
	stage                  int
	phase                  Phase
	announced              bool
	places                 int     // running appliances when the newest build was first heard of
	placesWeight           float64 // and their rating
	stageStarted           bool    // this stage's window has begun
	lastBackendStart       float64
	evidence               [2][][]outcome // earlier and newest build, by product
	evaluateAt             float64
	desiredVerdict         Verdict
	acceptedVerdict        Verdict
	acceptedStage          int
	renewAt, voteNotBefore float64
	rollbackReason         string  // why the last 'back' was wanted
	stateSince             float64 // when its stage or phase last changed
	saturatedSince         float64
	baselineCorrection     float64 // heat that is not the build's doing
	baseline               struct {
		usual           []float64 // latency by product
		demand, typical float64
	}
	votePending    bool
	pendingVerdict Verdict
	pendingStage   int
	pendingRelease ReleaseID
}

// Instance is one instance of the decisions.
type Instance struct {
	port                              Port
	now                               float64
	rng                               *rand.Rand
	salt                              uint64
	index, instances                  int
	peerMessages                      bool // messages between agents
	summaries                         [][]byte
	summaryTimes                      []float64
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

func boolIndex(second bool) int {
	if second {
		return 1
	}
	return 0
}

// newestReleaseBackends counts the newest build's and tells when the last of them started.
func (a *Instance) newestReleaseBackends() (n int) {
	a.lastBackendStart = 0
	for i := range a.id {
		if a.state[i] == EndpointRunning && a.release[i] == a.newest {
			n++
			a.lastBackendStart = max(a.lastBackendStart, min(a.startedAt[i], a.upSince[i]))
		}
	}
	return n
}

// probedRequest is the first txn without a place for which this appliance was probed.
func (a *Instance) probedRequest(i int) *request {
	for _, r := range a.loadProbes {
		if r.backend == i && !r.request.ended && r.request.openAttempts == 0 {
			return r.request
		}
	}
	return nil
}

func (a *Instance) watchEndpoints() {
	a.port.WatchEndpoints()
	a.watching = true // until a failure is told
}

// refreshAggregates sums over the fleet what choosing a place needs.
func (a *Instance) refreshAggregates() {
	a.aggregatesDueAt = a.now + evaluationInterval
	a.candidates[0], a.candidates[1] = a.candidates[0][:0], a.candidates[1][:0]
	a.capacity, a.totalConcurrencyLimit, a.warmWeight, a.maxCapacity, a.rolloutCap, a.rolloutRelease = [2]float64{}, 0, 0, 0, 0, 0
	a.inferReleasedReleases()
	for i := range a.id {
		if a.state[i] != EndpointRunning {
			continue
		}
		arm, w := 0, a.weight[i]*a.warmUpProgress(i)
		if limit, limited := a.releases.Cap(a.release[i]); limited && limit <= 0 {
			continue // nothing may go there
		} else if limited {
			arm, a.rolloutCap = 1, max(a.rolloutCap, limit)
			if a.release[i] != release.Unknown {
				a.rolloutRelease = max(a.rolloutRelease, a.release[i])
			}
		}
		a.candidates[arm] = append(a.candidates[arm], i)
		a.capacity[arm] += w
		a.totalConcurrencyLimit += a.concurrencyLimit[i]
		a.maxCapacity = max(a.maxCapacity, a.capacityOf(i))
		if a.warmUpProgress(i) >= 1 {
			a.warmWeight += a.weight[i]
		}
	}
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

// sendAttempt submits; the caller has asked mayGo.
func (a *Instance) sendAttempt(t *request, i int) {
	if a.underCap(a.release[i]) {
		a.allowance.Use(a.release[i], a.exposureLane(t.class), a.now)
	}
	if a.warmUpProgress(i) < 1 {
		a.slowStartBudget[i] -= t.relativeWork
	}
	binds := a.releases.BindsAs(a.release[i])
	t.attempts = append(t.attempts, attempt{backend: i, release: a.release[i], bindsTo: binds, sentAt: a.now, dueAt: a.latencyDeadline(t), open: true})
	t.openAttempts++
	if !a.releases.IsClosed(binds) {
		a.affinity.AttemptStarted(t.affinityKey, binds)
	}
	a.openAttempts[i]++
	a.totalOpenAttempts++
	a.port.SendAttempt(t.id, a.id[i], 0)
}

func (a *Instance) placeRequest(t *request, i int) {
	t.queued = false
	a.sendAttempt(t, i)
	a.schedule(t.attempts[len(t.attempts)-1].dueAt, t)
	if hope := a.now + tailMultiple*a.tailLatency[t.class]; hope < t.objectiveAt {
		a.schedule(hope, t)
	}
}

func (a *Instance) tried(t *request, i int) bool {
	return slices.ContainsFunc(t.attempts, func(s attempt) bool { return s.backend == i })
}

func (a *Instance) admissionProbability(k int) float64 {
	return 1 - (1-a.admission[k])*math.Exp(-(a.now-a.admissionAt[k])/admissionRecoveryTime)
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
			a.indexOf[e.ID], a.indexOfHash[backendHash(e.ID)], a.id[i] = i, i, e.ID
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

// allocateIndex is a place in the arrays: a new one, or where there are many that of an appliance long gone.
func (a *Instance) allocateIndex() int {
	for i := range a.id {
		if len(a.id) >= minBackendsForReuse && a.state[i] == EndpointRemoved && a.openAttempts[i] == 0 && a.now > a.removedAt[i]+reuseAfter {
			delete(a.indexOf, a.id[i])
			delete(a.indexOfHash, backendHash(a.id[i]))
			for arm := range a.evidence {
				for p, e := range a.evidence[arm] {
					a.evidence[arm][p] = slices.DeleteFunc(e, func(o outcome) bool { return o.backend == i })
				}
			}
			return i
		}
	}
	a.release = append(a.release, 0)
	for _, x := range []*[]int{&a.zone, &a.hardwareClass, &a.cell, &a.openAttempts} {
		*x = append(*x, 0)
	}
	for _, x := range []*[]float64{&a.weight, &a.startedAt, &a.successes, &a.failures, &a.recordUpdatedAt, &a.latencyInflation, &a.slowStartBudget, &a.slowStartBudgetAt, &a.concurrencyLimit,
		&a.upSince, &a.reportedLoad, &a.reportedAt, &a.consecutiveFailures, &a.ejectedUntil, &a.removedAt} {
		*x = append(*x, 0)
	}
	a.id, a.state, a.recentLatencies = append(a.id, ""), append(a.state, EndpointRemoved), append(a.recentLatencies, nil)
	return len(a.id) - 1
}

func (a *Instance) exposureLane(product int) int {
	if a.exposurePerClass {
		return product
	}
	return 0
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

// cancelOpenAttempts calls off what is still out for an ended txn and forgets it once nothing is.
func (a *Instance) cancelOpenAttempts(t *request) {
	t.ended = true
	if t.openAttempts == 0 {
		delete(a.requests, t.id)
		return
	}
	for k := range t.attempts {
		if s := &t.attempts[k]; s.open && a.cancelAllowed && !s.canceled {
			s.countedLate, s.canceled = true, true
			a.port.CancelAttempt(t.id, k)
		}
	}
}

func (a *Instance) recordAnswer(i int, good bool) {
	f := math.Exp(-(a.now - a.totalUpdatedAt) / healthDecayTime)
	a.totalSuccesses, a.totalFailures, a.totalUpdatedAt = a.totalSuccesses*f, a.totalFailures*f, a.now
	f = math.Exp(-(a.now - a.recordUpdatedAt[i]) / healthDecayTime)
	a.successes[i], a.failures[i], a.recordUpdatedAt[i] = a.successes[i]*f, a.failures[i]*f, a.now
	if good {
		a.successes[i]++
		a.totalSuccesses++
	} else {
		a.failures[i]++
		a.totalFailures++
	}
}

// OnClientGone: the client has gone; an id no longer held is passed over.
func (a *Instance) OnClientGone(now float64, id string) {
	a.advanceClock(now)
	if t := a.requests[id]; t != nil && !t.ended {
		a.cancelOpenAttempts(t)
	}
	a.applyRules()
}

// learnLatency keeps the usual latencies and the load that warm appliances bear.
func (a *Instance) learnLatency(i int, t *request, took float64) {
	if math.IsInf(took, 1) {
		return
	}
	u := &a.meanLatency[t.class]
	if *u == 0 {
		*u = took
	}
	*u += meanStep * (took - *u)
	// Up by each answer beyond it and down by the others, so that tailPart of them stay under it.
	q := &a.tailLatency[t.class]
	if math.IsInf(*q, 1) && a.cancelAllowed && a.classes[t.class].Semantics != NonIdempotent { // else nothing is ever past hope
		*q = maxLatencyInflation * took
	}
	if took > *q {
		*q *= math.Exp(tailUpdateStep * tailQuantile)
	} else {
		*q *= math.Exp(-tailUpdateStep * (1 - tailQuantile))
	}
	if a.overallMeanLatency == 0 {
		a.overallMeanLatency = took
	}
	a.overallMeanLatency += meanStep * (took - a.overallMeanLatency)
	a.latencyInflation[i] += backendStep * (min(took/max(*u, 1), maxLatencyInflation) - a.latencyInflation[i])
	if a.warmWeight > 0 && a.warmUpProgress(i) >= 1 {
		if a.throughputAt > 0 {
			dt := a.now - a.throughputAt
			a.throughput, a.throughputAge = a.throughput*math.Exp(-dt/throughputTime), a.throughputAge+dt
		}
		a.throughput, a.throughputAt = a.throughput+t.relativeWork/a.warmWeight, a.now
	}
}

// startRollout turns the page: what a released build has shown becomes the earlier build's record.
func (a *Instance) startRollout(build ReleaseID) {
	was := [2][][]outcome{slices.Clone(a.evidence[0]), slices.Clone(a.evidence[1])}
	if a.announced && a.releases.Record(a.newest).Phase == Released {
		a.evidence[0], a.evidence[1] = a.evidence[1], a.evidence[0]
	}
	for p := range a.evidence[1] {
		a.evidence[1][p] = nil
	}
	a.decayPopularKeys()
	a.places, a.placesWeight = 0, 0
	base := a.prevailingRelease(build)
	for i := range a.id {
		// Also what its successor already drains, but nothing that the build before it, or its withdrawal, has replaced.
		if a.state[i] == EndpointRunning && a.release[i] < build || a.state[i] == EndpointDraining && a.release[i] == base {
			a.places++
			a.placesWeight += a.weight[i]
		}
	}
	a.stageStarted, a.desiredVerdict, a.acceptedVerdict, a.stage, a.saturatedSince, a.baselineCorrection = false, NoVerdict, NoVerdict, -1, math.Inf(1), 1
	a.baseline.demand = a.arrivalRate()
	for p := range a.baseline.usual {
		var lat []float64
		for _, arm := range was {
			for _, o := range arm[p] {
				if o.comparable && o.at > a.now-2*inflationWindow {
					lat = append(lat, o.latency)
				}
			}
		}
		a.baseline.usual[p] = 0
		if len(lat) >= minSample {
			a.baseline.usual[p] = quantile(lowQuantile, lat)
		}
	}
	a.baseline.typical = a.typicalLatency(was, 2*inflationWindow)
	a.evaluateAt = a.now
}

// prevailingRelease is the build that most of the running appliances have, of those before a build; the newest of such.
func (a *Instance) prevailingRelease(build ReleaseID) (base ReleaseID) {
	counts, most := map[ReleaseID]int{}, 0
	for i := range a.id {
		if b := a.release[i]; a.state[i] == EndpointRunning && b < build {
			if counts[b]++; counts[b] > most || counts[b] == most && b > base {
				base, most = b, counts[b]
			}
		}
	}
	return base
}

// decayPopularKeys forgets keys seen long ago: popularity is of late, and the record must not grow for ever.
func (a *Instance) decayPopularKeys() {
	for k, n := range a.popularKeys {
		if a.popularKeys[k] = n / 2; n < 2 {
			delete(a.popularKeys, k)
		}
	}
	a.requestsTaken /= 2
}

// recordEvidence files a submission's end as evidence.
func (a *Instance) recordEvidence(s *attempt, t *request, r AttemptStatus, took float64) {
	o := outcome{at: a.now, latency: took / t.workDivisor, failed: r == StatusErrored || r == StatusReset, connectionBroken: r == StatusReset, backend: s.backend}
	a.addEvidence(s.release, t.class, o)
	if a.peerMessages {
		a.queueSummary(o, s.release, t.class)
	}
}

// typicalLatency is a low latency of a machine of the faster part, over the usual of each product: low, since queues
// touch it least, and of the faster part, so that trouble of some machines does not pass for trouble of all.
func (a *Instance) typicalLatency(evidence [2][][]outcome, span float64) float64 {
	by := make([][]float64, len(a.id))
	for _, arm := range evidence {
		for p, e := range arm {
			for k := len(e) - 1; k >= 0 && e[k].at > a.now-span && a.baseline.usual[p] > 0; k-- {
				if e[k].comparable {
					by[e[k].backend] = append(by[e[k].backend], e[k].latency/a.baseline.usual[p])
				}
			}
		}
	}
	var each []float64
	for _, lat := range by {
		if len(lat) >= minSamplePerBackend {
			each = append(each, quantile(lowQuantile, lat))
		}
	}
	if all := slices.Concat(by...); len(all) >= minSample && a.instances >= manyInstances && !a.peerMessages {
		return quantile(lowQuantile, all) // too few of each machine: those of all machines together
	}
	if len(each) < minSamplePerBackend {
		return 0
	}
	return quantile(lowQuantile, each)
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

// countArrival counts what is asked for.
func (a *Instance) countArrival(now float64) {
	a.arrivals = a.arrivals*math.Exp(-(now-a.arrivalsAt)/inflationWindow) + 1
	a.arrivalsAt = now
	if a.arrivalsSince == 0 {
		a.arrivalsSince = now
	}
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

// overQuota tells that a tenant asks for more than its share, of which an agent takes its part to be like
// others'.
func (a *Instance) overQuota(t *request) bool {
	rate := a.quotas[t.tenant] / float64(a.instances)
	a.quotaTokens[t.tenant] = min(a.quotaTokens[t.tenant]+rate*(t.arrivedAt-a.quotaTokensAt[t.tenant]), rate*quotaBurstTime) - 1
	a.quotaTokensAt[t.tenant] = t.arrivedAt
	if a.quotaTokens[t.tenant] < 0 {
		a.quotaTokens[t.tenant]++
		return true
	}
	return false
}

// arrivalRate is the first tries of late, right also soon after the start, when few can have been counted.
func (a *Instance) arrivalRate() float64 {
	return a.arrivals * math.Exp(-(a.now-a.arrivalsAt)/inflationWindow) / max(1-math.Exp(-(a.now-a.arrivalsSince)/inflationWindow), 0.05)
}

// reportLoad notes what a backend tells of its load.
func (a *Instance) reportLoad(i int, load LoadReport) {
	if load.Present {
		a.reportedLoad[i], a.reportedAt[i] = load.Waiting+load.Busy, a.now
	}
}

// reportedLoadNow is an appliance's load by its last report, txns waiting and how busy it is, fading with its age.
func (a *Instance) reportedLoadNow(i int) float64 {
	return a.reportedLoad[i] * math.Exp(-(a.now-a.reportedAt[i])/loadReportDecayTime)
}
