package policy

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"

	"onyxgate/policy/exposure"
	"onyxgate/policy/release"
)

// submission is one try of a txn at an appliance.
type submission struct {
	app     int
	build   ReleaseID
	binds   ReleaseID // the release to which its answer may bind the key
	at, due float64
	out     bool // no outcome yet
	unrun   bool // proven not to have run
	late    bool // already held against the appliance
	called  bool // off
}

type txn struct {
	id, key   string
	affinity  exposure.Key // 0: any release may serve it
	floor     ReleaseID    // the earliest release that may, as of so many changes
	floorOf   uint64
	product   int
	came, sla float64
	expiry    float64
	tenant    int
	revenue   float64
	work      float64 // told cost against the mean, 1 where none is told
	cost      float64 // told cost, the same
	subs      []submission
	out       int
	ended     bool
	held      bool
	races     int  // times that probes for it have been sent
	blind     bool // placed without an answered one
	took      bool // a stream has begun: no expiry holds any more
}

// racer is an appliance that has been probed for a txn.
type racer struct {
	t   *txn
	app int
}

// outcome is one submission's end as evidence on a build.
type outcome struct {
	at, lat float64
	rel     float64 // latency over the product's usual one
	bad     bool
	broken  bool // its connection
	app     int
	steady  bool // its latency counts
}

const (
	keysMost = 1 << 14 // bound on the keys that are counted
	appsMost = 64      // appliances from which places of those long gone are used again
	longGone = 60000   // no txn still knows it then
)

// fleet holds what is known of each appliance, in parallel arrays under a small index.
type fleet struct {
	index                     map[string]int
	hashes                    map[uint32]int
	id                        []string
	builds                    []ReleaseID
	zones, kinds, cells       []int
	state                     []EndpointState
	rating, start             []float64
	up                        []float64 // since when, at the latest, it has been up; 0: long ago
	clockStepped              bool      // the wall clock, since the start
	listed                    bool      // a list other than the one that the process started with has come
	open                      []int
	limit                     []float64 // own open submissions that it may have
	good, poor, seenAt        []float64 // fading record of answers within the SLA time and others
	rel                       []float64 // latency against the product's usual
	inRow, restUntil          []float64 // quick failures in a row, and the rest after them
	told, toldAt              []float64 // load by the last report
	level, levelAt            []float64 // cold budget
	recent                    [][]float64
	goodAll, poorAll, notedAt float64 // the record of all
	openAll                   int
	goneAt                    []float64
	members                   [2][]int // running appliances, of earlier builds and on trial
	bear                      [2]float64
	limitAll, warm, heaviest  float64
	trialCap, surveyAt        float64
	trialRelease              ReleaseID // the newest running release under a cap; 0: none
	asked, subscribed         bool
	failures                  float64 // of list calls in a row
	within, askAt             float64
}

// trial is what is known of the newest build.
type trial struct {
	newest        ReleaseID
	stage         int
	phase         Phase
	known         bool
	places        int     // running appliances when the newest build was first heard of
	placed        float64 // and their rating
	begun         bool    // this stage's window has begun
	lastStart     float64
	evidence      [2][][]outcome // earlier and newest build, by product
	judgeAt       float64
	want          Verdict
	stands        Verdict
	standsStage   int
	renew, voteAt float64
	reason        string  // why the last 'back' was wanted
	phaseAt       float64 // when its stage or phase last changed
	hotSince      float64
	excuse        float64 // heat that is not the build's doing
	before        struct {
		usual           []float64 // latency by product
		demand, typical float64
	}
	pending       bool
	asking        Verdict
	askingStage   int
	askingRelease ReleaseID
}

// Instance is one instance of the decisions.
type Instance struct {
	port           Port
	now            float64
	rnd            *rand.Rand
	salt           uint64
	me, agents     int
	peers          bool // messages between agents
	notes          [][]byte
	notedTimes     []float64
	tellAt         float64
	products       []RequestClass
	most           float64 // txns that the agent can bear at once
	maxSubs        int
	copies, revoke bool
	maxWait        float64
	home           int // the agent's zone
	zonePriced     bool

	coldFrom, warmTime, multiple, fall float64
	guarded                            int
	perProduct, keysStay               bool
	book                               *release.Book
	allowance                          *exposure.Allowance
	affinity                           *exposure.Affinity
	withheld                           SkippedBackends
	window                             float64 // over which attempts are counted
	started                            bool    // an event has come
	sightings                          map[string]float64
	taken                              float64

	stages  []float64
	control RolloutControl
	backs   int
	life    float64

	fleet
	trial
	txns                         map[string]*txn
	todo                         []*txn
	racing                       []racer
	mute                         float64 // part of the probes of late that failed
	probes                       bool
	probePrice                   float64
	held                         []*txn // waiting for a place, oldest first
	recallAt, wokeAt             float64
	alarms                       alarms
	armed                        float64
	token                        uint64
	usual                        []float64 // mean latency by product
	tail                         []float64 // latency under which tailPart of the answers stay, by product
	spares                       float64   // submissions that may be given up
	usualLat                     []float64 // the same as evidence has it, for its told cost
	pace, paceAt                 float64
	paceAge                      float64
	demand, demandAt, demandFrom float64 // first tries of late, and since when they are counted
	meanMs                       float64
	quotas, purse, purseAt       []float64 // by tenant
	overWorth                    float64
	worth                        float64    // mean revenue
	flow, flowAt                 [2]float64 // part of the txns of mean revenue that goes on: all, and blind ones
	longest                      []float64  // by product: the longest time of a try
	workMean                     float64
}

func index(second bool) int {
	if second {
		return 1
	}
	return 0
}

// newMachines counts the newest build's and tells when the last of them started.
func (a *Instance) newMachines() (n int) {
	a.lastStart = 0
	for i := range a.id {
		if a.state[i] == EndpointRunning && a.builds[i] == a.newest {
			n++
			a.lastStart = max(a.lastStart, min(a.start[i], a.up[i]))
		}
	}
	return n
}

// waiting is the first txn without a place for which this appliance was probed.
func (a *Instance) waiting(i int) *txn {
	for _, r := range a.racing {
		if r.app == i && !r.t.ended && r.t.out == 0 {
			return r.t
		}
	}
	return nil
}

func (a *Instance) ask() {
	a.port.WatchEndpoints()
	a.subscribed = true // until a failure is told
}

// survey sums over the fleet what choosing a place needs.
func (a *Instance) survey() {
	a.surveyAt = a.now + judgePause
	a.members[0], a.members[1] = a.members[0][:0], a.members[1][:0]
	a.bear, a.limitAll, a.warm, a.heaviest, a.trialCap, a.trialRelease = [2]float64{}, 0, 0, 0, 0, 0
	a.concluded()
	for i := range a.id {
		if a.state[i] != EndpointRunning {
			continue
		}
		arm, w := 0, a.rating[i]*a.coldness(i)
		if limit, limited := a.book.Cap(a.builds[i]); limited && limit <= 0 {
			continue // nothing may go there
		} else if limited {
			arm, a.trialCap = 1, max(a.trialCap, limit)
			if a.builds[i] != release.Unknown {
				a.trialRelease = max(a.trialRelease, a.builds[i])
			}
		}
		a.members[arm] = append(a.members[arm], i)
		a.bear[arm] += w
		a.limitAll += a.limit[i]
		a.heaviest = max(a.heaviest, a.bears(i))
		if a.coldness(i) >= 1 {
			a.warm += a.rating[i]
		}
	}
}

// at sets the time of an input and sees whether the agent stood still before it: its own timers tell.
func (a *Instance) at(now float64) {
	if len(a.alarms) > 0 && now-a.alarms[0].at > stoodStill {
		a.wokeAt = now
	}
	a.now = now
	if !a.started {
		a.started = true
		a.allowance.HoldUntil(now + a.window)
	}
}

// send submits; the caller has asked mayGo.
func (a *Instance) send(t *txn, i int) {
	if a.limited(a.builds[i]) {
		a.allowance.Use(a.builds[i], a.lane(t.product), a.now)
	}
	if a.coldness(i) < 1 {
		a.level[i] -= t.work
	}
	binds := a.book.BindsAs(a.builds[i])
	t.subs = append(t.subs, submission{app: i, build: a.builds[i], binds: binds, at: a.now, due: a.due(t), out: true})
	t.out++
	if !a.book.IsClosed(binds) {
		a.affinity.AttemptStarted(t.affinity, binds)
	}
	a.open[i]++
	a.openAll++
	a.port.SendAttempt(t.id, a.id[i], 0)
}

func (a *Instance) place(t *txn, i int) {
	t.held = false
	a.send(t, i)
	a.look(t.subs[len(t.subs)-1].due, t)
	if hope := a.now + tailTimes*a.tail[t.product]; hope < t.sla {
		a.look(hope, t)
	}
}

func (a *Instance) tried(t *txn, i int) bool {
	return slices.ContainsFunc(t.subs, func(s submission) bool { return s.app == i })
}

func (a *Instance) flowNow(k int) float64 {
	return 1 - (1-a.flow[k])*math.Exp(-(a.now-a.flowAt[k])/flowTime)
}

// OnEndpoints takes what discovery tells of the endpoints; a snapshot drops what it no longer names.
func (a *Instance) OnEndpoints(now float64, update EndpointUpdate) {
	a.at(now)
	if update.Snapshot {
		for i := range a.state {
			if a.state[i] != EndpointRemoved {
				a.state[i], a.goneAt[i] = EndpointRemoved, now
			}
		}
	}
	for _, e := range update.Endpoints {
		i, ok := a.index[e.ID]
		if !ok {
			i = a.spare()
			a.index[e.ID], a.hashes[hash(e.ID)], a.id[i] = i, i, e.ID
			a.open[i], a.seenAt[i], a.start[i], a.builds[i] = 0, 0, -1, 0
		}
		if a.start[i] != e.StartedAt || a.builds[i] != e.Release {
			// A re-used id or a restart: nothing learned of the former process holds, and it is cold.
			a.good[i], a.poor[i], a.rel[i], a.recent[i], a.level[i], a.levelAt[i] = 0, 0, 1, nil, 0, now
			a.inRow[i], a.restUntil[i], a.told[i], a.toldAt[i], a.limit[i] = 0, 0, 0, now, limitFirst
			a.up[i] = a.upSince(e.StartedAt)
			if a.agents >= manyAgents && e.StartedAt > 0 { // by chance, or all would start at once, and none soon
				a.level[i] = a.rnd.Float64()
			}
		}
		if e.State != EndpointRemoved {
			a.releaseListed(e.Release)
		}
		a.builds[i], a.zones[i], a.kinds[i], a.cells[i] = e.Release, e.Zone, e.HardwareClass, e.Cell
		a.state[i], a.rating[i], a.start[i], a.goneAt[i] = e.State, max(e.Weight, 0.01), e.StartedAt, now
	}
	if !update.Cached {
		a.failures, a.listed = 0, true
	}
	a.surveyAt = now
	a.settle()
}

// spare is a place in the arrays: a new one, or where there are many that of an appliance long gone.
func (a *Instance) spare() int {
	for i := range a.id {
		if len(a.id) >= appsMost && a.state[i] == EndpointRemoved && a.open[i] == 0 && a.now > a.goneAt[i]+longGone {
			delete(a.index, a.id[i])
			delete(a.hashes, hash(a.id[i]))
			for arm := range a.evidence {
				for p, e := range a.evidence[arm] {
					a.evidence[arm][p] = slices.DeleteFunc(e, func(o outcome) bool { return o.app == i })
				}
			}
			return i
		}
	}
	a.builds = append(a.builds, 0)
	for _, x := range []*[]int{&a.zones, &a.kinds, &a.cells, &a.open} {
		*x = append(*x, 0)
	}
	for _, x := range []*[]float64{&a.rating, &a.start, &a.good, &a.poor, &a.seenAt, &a.rel, &a.level, &a.levelAt, &a.limit,
		&a.up, &a.told, &a.toldAt, &a.inRow, &a.restUntil, &a.goneAt} {
		*x = append(*x, 0)
	}
	a.id, a.state, a.recent = append(a.id, ""), append(a.state, EndpointRemoved), append(a.recent, nil)
	return len(a.id) - 1
}

func (a *Instance) lane(product int) int {
	if a.perProduct {
		return product
	}
	return 0
}

// OnEndpointsFailed tells that a list call failed or the subscription broke.
func (a *Instance) OnEndpointsFailed(now float64) {
	a.at(now)
	a.retryList()
	a.settle()
}

// OnStreamStarted: the stream belongs to the client now; no expiry holds.
func (a *Instance) OnStreamStarted(now float64, id string, sub int) {
	a.at(now)
	if t := a.txns[id]; t != nil {
		t.took = true
	}
	a.settle()
}

func (a *Instance) OnTimer(now float64, token uint64) {
	a.at(now)
	if token == a.token {
		a.armed = math.Inf(1)
	}
	a.settle()
}

// OnProbeResult takes the end of a load probe.
func (a *Instance) OnProbeResult(now float64, result ProbeResult) {
	a.at(now)
	i, known := a.index[result.Backend]
	if known && a.zones[i] == a.home { // else the way may be at fault
		a.mute -= relStep * a.mute
		if !result.OK {
			a.mute += relStep
		}
	}
	if known && result.OK {
		a.reportLoad(i, result.Load)
		a.raced(i)
	}
	a.racing = slices.DeleteFunc(a.racing, func(r racer) bool { return r.t.ended || r.t.out > 0 })
	a.settle()
}

// OnPlatformCounts takes the platform's own figures. Votes go by the outcomes that the instance has seen itself, so they decide
// nothing.
func (a *Instance) OnPlatformCounts(now float64) {
	a.at(now)
}

// drop calls off what is still out for an ended txn and forgets it once nothing is.
func (a *Instance) drop(t *txn) {
	t.ended = true
	if t.out == 0 {
		delete(a.txns, t.id)
		return
	}
	for k := range t.subs {
		if s := &t.subs[k]; s.out && a.revoke && !s.called {
			s.late, s.called = true, true
			a.port.CancelAttempt(t.id, k)
		}
	}
}

func (a *Instance) note(i int, good bool) {
	f := math.Exp(-(a.now - a.notedAt) / doubtTime)
	a.goodAll, a.poorAll, a.notedAt = a.goodAll*f, a.poorAll*f, a.now
	f = math.Exp(-(a.now - a.seenAt[i]) / doubtTime)
	a.good[i], a.poor[i], a.seenAt[i] = a.good[i]*f, a.poor[i]*f, a.now
	if good {
		a.good[i]++
		a.goodAll++
	} else {
		a.poor[i]++
		a.poorAll++
	}
}

// OnClientGone: the client has gone; an id no longer held is passed over.
func (a *Instance) OnClientGone(now float64, id string) {
	a.at(now)
	if t := a.txns[id]; t != nil && !t.ended {
		a.drop(t)
	}
	a.settle()
}

// learn keeps the usual latencies and the load that warm appliances bear.
func (a *Instance) learn(i int, t *txn, took float64) {
	if math.IsInf(took, 1) {
		return
	}
	u := &a.usual[t.product]
	if *u == 0 {
		*u = took
	}
	*u += usualStep * (took - *u)
	// Up by each answer beyond it and down by the others, so that tailPart of them stay under it.
	q := &a.tail[t.product]
	if math.IsInf(*q, 1) && a.revoke && a.products[t.product].Semantics != NonIdempotent { // else nothing is ever past hope
		*q = relMost * took
	}
	if took > *q {
		*q *= math.Exp(tailStep * tailPart)
	} else {
		*q *= math.Exp(-tailStep * (1 - tailPart))
	}
	if a.meanMs == 0 {
		a.meanMs = took
	}
	a.meanMs += usualStep * (took - a.meanMs)
	a.rel[i] += relStep * (min(took/max(*u, 1), relMost) - a.rel[i])
	if a.warm > 0 && a.coldness(i) >= 1 {
		if a.paceAt > 0 {
			dt := a.now - a.paceAt
			a.pace, a.paceAge = a.pace*math.Exp(-dt/paceTime), a.paceAge+dt
		}
		a.pace, a.paceAt = a.pace+t.work/a.warm, a.now
	}
}

// offered turns the page: what a released build has shown becomes the earlier build's record.
func (a *Instance) offered(build ReleaseID) {
	was := [2][][]outcome{slices.Clone(a.evidence[0]), slices.Clone(a.evidence[1])}
	if a.known && a.book.Record(a.newest).Phase == Released {
		a.evidence[0], a.evidence[1] = a.evidence[1], a.evidence[0]
	}
	for p := range a.evidence[1] {
		a.evidence[1][p] = nil
	}
	a.fade()
	a.places, a.placed = 0, 0
	base := a.prevailing(build)
	for i := range a.id {
		// Also what its successor already drains, but nothing that the build before it, or its withdrawal, has replaced.
		if a.state[i] == EndpointRunning && a.builds[i] < build || a.state[i] == EndpointDraining && a.builds[i] == base {
			a.places++
			a.placed += a.rating[i]
		}
	}
	a.begun, a.want, a.stands, a.stage, a.hotSince, a.excuse = false, NoVerdict, NoVerdict, -1, math.Inf(1), 1
	a.before.demand = a.demandNow()
	for p := range a.before.usual {
		var lat []float64
		for _, arm := range was {
			for _, o := range arm[p] {
				if o.steady && o.at > a.now-2*heatTime {
					lat = append(lat, o.lat)
				}
			}
		}
		a.before.usual[p] = 0
		if len(lat) >= leastSample {
			a.before.usual[p] = quantile(lowPart, lat)
		}
	}
	a.before.typical = a.typical(was, 2*heatTime)
	a.judgeAt = a.now
}

// prevailing is the build that most of the running appliances have, of those before a build; the newest of such.
func (a *Instance) prevailing(build ReleaseID) (base ReleaseID) {
	counts, most := map[ReleaseID]int{}, 0
	for i := range a.id {
		if b := a.builds[i]; a.state[i] == EndpointRunning && b < build {
			if counts[b]++; counts[b] > most || counts[b] == most && b > base {
				base, most = b, counts[b]
			}
		}
	}
	return base
}

// fade forgets keys seen long ago: popularity is of late, and the record must not grow for ever.
func (a *Instance) fade() {
	for k, n := range a.sightings {
		if a.sightings[k] = n / 2; n < 2 {
			delete(a.sightings, k)
		}
	}
	a.taken /= 2
}

// witness files a submission's end as evidence.
func (a *Instance) witness(s *submission, t *txn, r AttemptStatus, took float64) {
	o := outcome{at: a.now, lat: took / t.cost, bad: r == StatusErrored || r == StatusReset, broken: r == StatusReset, app: s.app}
	a.file(s.build, t.product, o)
	if a.peers {
		a.jot(o, s.build, t.product)
	}
}

// typical is a low latency of a machine of the faster part, over the usual of each product: low, since queues
// touch it least, and of the faster part, so that trouble of some machines does not pass for trouble of all.
func (a *Instance) typical(evidence [2][][]outcome, span float64) float64 {
	by := make([][]float64, len(a.id))
	for _, arm := range evidence {
		for p, e := range arm {
			for k := len(e) - 1; k >= 0 && e[k].at > a.now-span && a.before.usual[p] > 0; k-- {
				if e[k].steady {
					by[e[k].app] = append(by[e[k].app], e[k].lat/a.before.usual[p])
				}
			}
		}
	}
	var each []float64
	for _, lat := range by {
		if len(lat) >= fewestEach {
			each = append(each, quantile(lowPart, lat))
		}
	}
	if all := slices.Concat(by...); len(all) >= leastSample && a.agents >= manyAgents && !a.peers {
		return quantile(lowPart, all) // too few of each machine: those of all machines together
	}
	if len(each) < fewestEach {
		return 0
	}
	return quantile(lowPart, each)
}

// OnWrongAnswer corrects the agent's own outcome.
func (a *Instance) OnWrongAnswer(now float64, app string, product int, age float64) {
	a.at(now)
	i, ok := a.index[app]
	if !ok {
		return
	}
	a.note(i, false)
	for arm := range a.evidence {
		e := a.evidence[arm][product]
		for k := len(e) - 1; k >= 0; k-- {
			if e[k].app == i && !e[k].bad && math.Abs(e[k].at-e[k].lat-(now-age)) < 1 {
				e[k].bad = true
				return
			}
		}
	}
}

// OnRequest takes a request. It ends with SendAttempt and that attempt's result, with Reject or with Fail.
func (a *Instance) OnRequest(now float64, r Request) {
	a.at(now)
	t := &txn{id: r.ID, key: r.Key, product: r.Class, tenant: r.Tenant, came: now, expiry: now + r.TimeLeft, work: 1, cost: 1}
	if a.keysStay {
		t.affinity = exposure.KeyOf(r.Key)
	}
	if r.Work > 0 {
		if a.workMean == 0 {
			a.workMean = r.Work
		}
		a.workMean += usualStep * (r.Work - a.workMean)
		t.work, t.cost = r.Work/a.workMean, r.Work
	}
	a.taken++
	if a.keysStay && r.Key != "" {
		if a.sightings[r.Key]++; len(a.sightings) > keysMost {
			a.fade()
		}
	}
	if !r.Retry {
		a.asks(now)
	}
	a.txns[r.ID] = t
	a.admit(t, r)
	a.settle()
}

// asks counts what is asked for.
func (a *Instance) asks(now float64) {
	a.demand = a.demand*math.Exp(-(now-a.demandAt)/heatTime) + 1
	a.demandAt = now
	if a.demandFrom == 0 {
		a.demandFrom = now
	}
}

// OnAttemptResult takes the end of one attempt; one that is not open is ignored.
func (a *Instance) OnAttemptResult(now float64, result AttemptResult) {
	a.at(now)
	sub := result.Attempt
	if t := a.txns[result.RequestID]; t != nil && sub >= 0 && sub < len(t.subs) && t.subs[sub].out {
		s, r := &t.subs[sub], result.Status
		s.out, s.unrun = false, r == StatusRejected || r == StatusConnectFailed || r == StatusNotSent
		t.out--
		t.ended = t.ended || result.Final
		a.affinity.AttemptEnded(t.affinity, s.binds)
		a.open[s.app]--
		a.openAll--
		a.recallAt = now
		a.reportLoad(s.app, result.Load)
		a.ended(t, s, r, result.Took)
	}
	a.settle()
}

// OnReleaseUpdate takes the state of a release, or the response to a vote, which may tell one too.
func (a *Instance) OnReleaseUpdate(now float64, update ReleaseUpdate) {
	a.at(now)
	if update.Response != NotAVote && a.pending {
		a.answered(update.Response)
	}
	if update.Response == NotAVote || update.Known {
		a.releaseTold(release.Update{Release: update.Release, Stage: update.Stage, Phase: update.Phase, Cap: update.Cap}, update.Age,
			update.Response)
	}
	a.settle()
}

// OnShutdown: the agent ends, and whatever it holds has its final answer by then.
func (a *Instance) OnShutdown(now, by float64) {
	a.at(now)
	for _, id := range slices.Sorted(maps.Keys(a.txns)) {
		if t := a.txns[id]; !t.ended && t.expiry > by {
			t.expiry, t.sla = by, min(t.sla, by)
			a.look(by-endGuard, t)
		}
	}
	a.settle()
}

// overQuota tells that a tenant asks for more than its share, of which an agent takes its part to be like
// others'.
func (a *Instance) overQuota(t *txn) bool {
	rate := a.quotas[t.tenant] / float64(a.agents)
	a.purse[t.tenant] = min(a.purse[t.tenant]+rate*(t.came-a.purseAt[t.tenant]), rate*purseTime) - 1
	a.purseAt[t.tenant] = t.came
	if a.purse[t.tenant] < 0 {
		a.purse[t.tenant]++
		return true
	}
	return false
}

// demandNow is the first tries of late, right also soon after the start, when few can have been counted.
func (a *Instance) demandNow() float64 {
	return a.demand * math.Exp(-(a.now-a.demandAt)/heatTime) / max(1-math.Exp(-(a.now-a.demandFrom)/heatTime), 0.05)
}

// reportLoad notes what a backend tells of its load.
func (a *Instance) reportLoad(i int, load LoadReport) {
	if load.Present {
		a.told[i], a.toldAt[i] = load.Waiting+load.Busy, a.now
	}
}

// reported is an appliance's load by its last report, txns waiting and how busy it is, fading with its age.
func (a *Instance) reported(i int) float64 {
	return a.told[i] * math.Exp(-(a.now-a.toldAt[i])/reportTime)
}
