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
	wait        = 4000  // short of outcomes, 'on' comes after this barring a regression
	leastSample = 20    // outcomes by build and product
	onLevel     = 2.13  // Student's t, four degrees: 90%
	erring      = 0.04  // chance that so many agents as undo a build do so wrongly, a quarter of it for latency
	errMost     = 0.05  // the chance for one agent at the most: troubles befall many alike
	breakUsual  = 0.02  // connections of the earlier build that break: beyond, breaks are no word on a build
	fewSlow     = 4     // outcomes below the least sample that may yet tell of slowness, where many must agree
	percentiles = 2     // that must be wholly slower: one of many looked at so often is by chance
	stalled     = 10000 // after which a stage is judged with the machines that are listed
	releaseTail = 500   // after a release, by which all traffic has moved over
	demandMore  = 1.3   // times the txns before the build: the cause of any heat
	fewestEach  = 3     // machines, of so many outcomes each, that tell how machines of one build differ

	paceTime     = 4000  // over which the load that warm appliances bear is averaged
	doubtTime    = 5000  // over which an appliance's record fades
	doubtBar     = 0.7   // a drawn chance below this part of the fleet's: the appliance is passed over
	holdMost     = 0.45  // of a try's time, for a txn that was never sent
	holdPart     = 0.6   // of the txns that an agent can bear: beyond it one that finds no place is declined
	blameFrom    = 0.25  // of the SLA time: an answer within it is no fault of the appliance
	limitBinds   = 0.6   // part of the limit from which it is taken to bind
	flowFull     = 0.75  // from which all are taken on: a late answer now and then is no shortage
	flowTime     = 20000 // within which a shortage is forgotten
	unanswered   = 0.3   // of a shortage: an answer may as well be lost
	purseTime    = 2000  // over which a tenant's share may be used unevenly
	crossZone    = 1.5   // times the load it has: an appliance in another zone, where crossing is priced
	reportTime   = 1500  // over which a load report fades: it was late and noisy when it came
	manyAgents   = 10    // from which own open work tells too little of an appliance's load
	stoodStill   = 60    // a timer this late: the agent itself stood still
	dearOnly     = 0.6   // part of the limit that is for any revenue
	recallTries  = 4     // held txns in a row that find no place before the rest wait on
	retryPause   = 25    // between looks for a place
	endGuard     = 12    // the final answer leaves so long before the expiry
	judgePause   = 200   // between looks at the evidence and sums over the fleet
	usualMost    = 0.5   // of the SLA time: what an answer is taken to need at the most
	relMost      = 10    // times the usual: what one answer counts at the most
	lowPart      = 0.3   // the quantile that is taken for a low latency
	steadyLeast  = 12    // outcomes of a machine whose halves are compared
	capPart      = 0.9   // of the cap: the trial share that is aimed at
	popularShare = 0.2   // of the cap: a key with more of the txns is not taken into a trial

	agreeCV, farMore        = 0.15, 2.0  // gate two: bound on slices; times more than halves of one differ
	zoneLatency, zoneSingle = 0.10, 0.05 // per latency percentile, for single figures
	fewRoom, slowRoom       = 0.4, 0.15  // wider zone: where many decide on little; few
	floorOn, floorRoom      = 3000, 550  // no 'on' sooner after a stage's listed start times, and its clock's
	judges, alone           = 3, 2000    // told of all outcomes; others leave it so long to them
	heatTime, hotLong       = 3000, 7000
	coldMargin, coldDepth   = 0.7, 0.25 // of the cold budget; of its window at once, against bursts
	flowDown, flowUp        = 0.4, 0.1  // of the txns taken on: fewer for each that tells of a shortage, more
	racers, raceTime        = 2, 0.12   // probed at once, rounds; of the SLA time, without an answer
	raceGain                = 0.045     // of the worth: what races save; none are run at a higher price

	adviseLeast, adviseSpread = 0.25, 0.5 // of the longest wait that clients follow, and up to more
	tailPart, tailTimes       = 0.97, 1.5 // of the answers stay under the tail; hope ends at so many times it
	giveUp, giveUpMost        = 0.1, 20   // submissions given up: for each txn, and at once

	choices, mostTries     = 6, 40     // random appliances compared: an agent sees but its part of the load
	votePause, idlePause   = 300, 3000 // before a vote is sent again that did not count, or did not fit
	cut, keep              = 5, 400    // slices; outcomes kept by build and product
	tellPause, noteMost    = 500, 250  // and bytes in a message
	limitFirst, limitLeast = 4, 2      // by appliance; the least is for all agents together
	hotAt, hotEnds         = 1.6, 1.35 // times the latency before the build: hot, and no longer so
	limitUp, limitDown     = 0.20, 4.0 // open submissions more for an answer in time, fewer for a late one
	restFirst, restMost    = 20, 1000  // an appliance's rest after a quick failure, and after many
	renewAt, renewSpread   = 0.7, 0.2  // of a vote's life, and up to this later: renewals scatter
	usualStep, relStep     = 0.02, 0.1 // weight of one answer in a usual figure, and in one appliance's
	tailStep               = 0.2       // and in the tail
	askFirst, askMost      = 0.02, 0.3 // of the time in which the list must be asked for: pauses after failures
)

// rules are gone through in order after every input, from the top again after each that fires.
var rules []rule

func init() {
	rules = []rule{
		{"survey", func(a *Instance) bool { return a.now >= a.surveyAt }, (*Instance).survey},
		{"ring", func(a *Instance) bool { return len(a.alarms) > 0 && a.alarms[0].at <= a.now }, (*Instance).ring},
		{"pass over", func(a *Instance) bool { return len(a.todo) > 0 && a.todo[0].ended }, (*Instance).next},
		{"last moment", func(a *Instance) bool {
			return len(a.todo) > 0 && !a.todo[0].took && a.now >= a.todo[0].expiry-endGuard
		}, func(a *Instance) { a.end(a.todo[0]) }},
		{"route", func(a *Instance) bool { return len(a.todo) > 0 && a.todo[0].out == 0 }, (*Instance).route},
		{"recall", func(a *Instance) bool { return a.now >= a.recallAt && len(a.held) > 0 }, (*Instance).recall},
		{"overdue", func(a *Instance) bool { return len(a.todo) > 0 }, (*Instance).overdue},
		{"ask", func(a *Instance) bool { return a.asked && !a.subscribed && a.now >= a.askAt }, (*Instance).ask},
		{"judge", func(a *Instance) bool { return a.now >= a.judgeAt }, (*Instance).judge},
		{"tell", func(a *Instance) bool { return len(a.notes) > 0 && a.now >= a.tellAt }, (*Instance).tell},
		{"vote", (*Instance).voteDue, (*Instance).vote},
		{"arm", func(a *Instance) bool { return len(a.alarms) > 0 && a.alarms[0].at < a.armed }, (*Instance).arm},
	}
}

// retryList: a failure does not say which call it was, so the subscription is asked for again, later each
// time and scattered, yet well before the agent would be taken to know what it was not told.
func (a *Instance) retryList() {
	part := min(askFirst*math.Pow(2, a.failures), askMost) * (1 + a.rnd.Float64())
	a.subscribed, a.askAt, a.failures = false, a.now+a.within*part, a.failures+1
	a.look(a.askAt, nil)
}

// ---- guards: every submission passes mayGo and send, every final answer passes end

// mayGo guards rules 2 to 5 for one submission of t to appliance i.
func (a *Instance) mayGo(t *txn, i int) bool {
	if t.ended || a.now >= t.expiry || len(t.subs) >= a.maxSubs || t.out > 1 || t.out == 1 && !a.copies ||
		a.state[i] != EndpointRunning { // stricter than the grace: nothing goes where the list shows a drain
		return false
	}
	p := &a.products[t.product]
	for _, s := range t.subs {
		if s.unrun || p.Semantics == Safe {
			continue
		}
		if p.Semantics == NonIdempotent || a.now >= s.at+p.DedupWindow ||
			p.DedupScope == DedupZone && a.zones[s.app] != a.zones[i] ||
			p.DedupScope == DedupCell && a.cells[s.app] != a.cells[i] {
			return false
		}
		break // the first that may have run binds
	}
	return a.exposed(t, i) && a.warmEnough(t, i)
}

// warmEnough keeps the cold budget: a part, by the least warmth, of what warm appliances are seen to serve.
func (a *Instance) warmEnough(t *txn, i int) bool {
	c := a.coldness(i)
	if c >= 1 {
		return true
	}
	pace := a.pace / paceTime / max(1-math.Exp(-a.paceAge/paceTime), 0.05) * a.rating[i]
	// One core at the least bears one txn per latency, shared by all: the floor where nothing warm is seen.
	mean := cmp.Or(a.meanMs, a.products[t.product].LatencyObjective)
	rate := coldMargin * a.multiple * c * max(pace, 1/(mean*float64(a.agents)))
	a.level[i] = min(a.level[i]+rate*(a.now-a.levelAt[i]), max(rate*a.fall*coldDepth, 1))
	a.levelAt[i] = a.now
	return a.level[i] >= 1
}

// end gives the one final answer: a decline where nothing can have run or a repeat does no harm, else a void.
func (a *Instance) end(t *txn) {
	if t.ended {
		return
	}
	t.ended = true
	p := &a.products[t.product]
	mayHaveRun := slices.ContainsFunc(t.subs, func(s submission) bool { return !s.unrun })
	if !mayHaveRun || p.Semantics == Safe || p.Semantics == Idempotent && p.DedupScope == DedupAll {
		a.port.Reject(t.id, a.maxWait*(adviseLeast+adviseSpread*a.rnd.Float64()))
	} else {
		a.port.Fail(t.id)
	}
	a.drop(t)
}

// admit sets a new txn's SLA time and counts it where the cap, the reserve for the dear and the heat need it.
func (a *Instance) admit(t *txn, r Request) {
	p := &a.products[t.product]
	t.sla = t.came + p.LatencyObjective + p.ObjectivePerWork*r.Work
	// A repeat's SLA time began with the first try: what is left of the expiry tells, once less than usual.
	a.longest[t.product] = max(a.longest[t.product], r.TimeLeft)
	if r.Retry && r.TimeLeft < a.longest[t.product]-1 {
		t.sla -= p.Timeout - r.TimeLeft
	}
	t.sla = min(t.sla, t.expiry)
	t.revenue = p.Value
	if t.tenant < len(a.quotas) && a.overQuota(t) {
		t.revenue *= a.overWorth
	}
	a.worth += (t.revenue - a.worth) * max(usualStep, 1/a.taken)
	a.allowance.OnRequest(a.lane(t.product), a.book)
	a.todo, a.spares = append(a.todo, t), min(a.spares+giveUp, giveUpMost)
	a.look(t.expiry-endGuard, t)
}

// room tells that own open submissions, at the appliance and in all, are fewer than those lately answered in
// time: it keeps queues short where agents are few. The dear may use the last of them.
func (a *Instance) room(t *txn, i int) bool {
	part := [2]float64{1, dearOnly}[index(t.revenue < a.worth)]
	here, all := max(a.limit[i]*part, 1), max(a.limitAll*part, 2)
	return a.now >= a.restUntil[i] && float64(a.open[i]) < here && float64(a.openAll) < all
}

// due is when an answer is late by its appliance's doing. What the txn waited here is not: where few machines
// may serve a key all come to them at the last moment, and limits would fall until nothing gets there.
func (a *Instance) due(t *txn) float64 {
	return max(t.sla, a.now+blameFrom*a.products[t.product].LatencyObjective)
}

// press moves the limit: up while answers are in time and it binds, down for late ones.
func (a *Instance) press(i int, good bool) {
	was := a.limit[i]
	if good && float64(a.open[i])+1 > limitBinds*a.limit[i] {
		a.limit[i] += limitUp
	} else if !good {
		a.limit[i] = max(a.limit[i]-limitDown, limitLeast/float64(a.agents))
	}
	a.limitAll += a.limit[i] - was
}

// rest lets an appliance be after a quick failure, longer for each in a row. One that fails at once never has
// much open and would draw all work to it: a dead process, a full one, a build that breaks, a list that lags.
func (a *Instance) rest(i int, r AttemptStatus) {
	switch r {
	case StatusServed:
		a.inRow[i] = 0
	case StatusRejected, StatusConnectFailed, StatusErrored, StatusReset:
		pause := min(restFirst*math.Pow(2, a.inRow[i]), restMost) * (0.5 + a.rnd.Float64())
		a.inRow[i], a.restUntil[i] = a.inRow[i]+1, max(a.restUntil[i], a.now+pause)
	}
}

// feel moves the part of the txns that is taken on, and of those whose probes went unanswered: down for late
// answers, up for good ones and with time. Limits on open work bind nothing where each agent has little.
func (a *Instance) feel(blind bool, short float64) {
	for k := range a.flow {
		if k == 0 || blind {
			flow := a.flowNow(k) * (1 - flowDown*short)
			if short == 0 {
				flow += flowUp
			}
			a.flow[k], a.flowAt[k] = min(flow, 1), a.now
		}
	}
}

// flows draws whether a txn goes on, the dear sooner.
func (a *Instance) flows(k int, t *txn) bool {
	return a.rnd.Float64() < math.Pow(a.flowNow(k)/flowFull, a.worth/max(t.revenue, 1e-9))
}

func (a *Instance) route() {
	t := a.todo[0]
	a.next()
	inTime := a.now+a.least(t) < t.sla || a.products[t.product].LateValue > 0 && len(t.subs) > 0
	many := a.agents >= manyAgents && !t.held
	mute := many && a.flowNow(1) >= flowFull && a.rnd.Float64() < 2*a.mute-1 // probes fail, txns do not
	racing := many && a.probes && racers*a.probePrice <= raceGain && t.races < racers && !mute
	// Probes lost or waiting in queues alike: only those who went on without them can tell which.
	t.blind = t.blind || many && !racing
	late := len(t.subs) == 0 && a.now >= a.lastHold(t) // a client with its time half gone has nowhere else to go
	if len(t.subs) >= a.maxSubs || !inTime || late || many && t.races == 0 && !a.flows(0, t) ||
		t.blind && !t.held && !a.flows(1, t) {
		a.end(t) // given up: answered at once
		return
	}
	if racing {
		a.race(t)
		return
	}
	if i := a.pick(t); i >= 0 {
		a.place(t, i)
	} else if a.now <= t.came && float64(len(a.txns)) > holdPart*a.most {
		a.end(t) // more would take the agent's last connections, and then nobody is even declined
	} else if !t.held {
		t.held = true
		a.held = append(a.held, t)
		a.look(max(min(t.sla-a.least(t), a.lastHold(t)), a.now+retryPause), t)
	}
}

func (a *Instance) lastHold(t *txn) float64 { return t.came + holdMost*(t.expiry-t.came) }

// least: what an answer takes. Bounded, or a product sent no more would keep its worst hour's for ever.
func (a *Instance) least(t *txn) float64 {
	return min(a.usual[t.product], usualMost*a.products[t.product].LatencyObjective)
}

// race probes some appliances for a txn and gives it to the first that answers. Where many agents see little
// each, own open work tells nothing of the load; what stands still, is slow, unreachable or reports falsely
// loses the race. Where probes fail though txns are served, the pick goes on without them.
func (a *Instance) race(t *txn) {
	t.races++
	for range racers {
		if i := a.pick(t); i >= 0 && !slices.Contains(a.racing, racer{t, i}) {
			a.racing = append(a.racing, racer{t, i})
			a.port.SendProbe(a.id[i])
		}
	}
	a.look(a.now+raceTime*a.products[t.product].LatencyObjective, t)
}

func (a *Instance) raced(i int) {
	if t := a.waiting(i); t != nil && a.now < t.sla && a.mayGo(t, i) {
		a.place(t, i)
	}
}

// recall lets the longest-held txns try again once an outcome, the list or the passing of a little time may
// have made room: oldest first, or newer ones would starve them past their SLA time.
func (a *Instance) recall() {
	a.recallAt = math.Inf(1)
	held, misses := a.held, 0
	a.held = nil
	for len(held) > 0 && misses < recallTries {
		t := held[0]
		if held = held[1:]; t.ended || !t.held {
			continue
		}
		t.held = false
		a.todo = append([]*txn{t}, a.todo...)
		if a.route(); t.held {
			misses++
		}
	}
	a.held = slices.Insert(held, 0, a.held...)
	if len(a.held) > 0 {
		a.recallAt = a.now + retryPause
		a.look(a.recallAt, nil)
	}
}

// overdue holds a late submission against its appliance at once, and gives up one past hope to try elsewhere:
// answers get lost on any way. No second copy goes out, and only a part is given up: both feed shortages.
func (a *Instance) overdue() {
	t := a.todo[0]
	a.next()
	for k := range t.subs {
		s := &t.subs[k]
		hopeless := a.now >= s.at+tailTimes*a.tail[t.product] && len(t.subs) < a.maxSubs && a.spares >= 1
		if !s.out || s.late || a.now < s.due && !(hopeless && a.now+a.least(t) < t.sla) {
			continue
		}
		s.late = true
		a.note(s.app, false)
		if a.now >= s.due {
			a.press(s.app, false)
		} else {
			s.called, a.spares = true, a.spares-1
			a.port.CancelAttempt(t.id, k)
		}
	}
}

// share is the part of the txns for the newest build: its machines' share, within the cap.
func (a *Instance) share() float64 {
	limit, all := a.trialCap*capPart, a.bear[0]+a.bear[1]
	if limit >= capPart {
		limit = 1
	}
	// Where the earlier machines stay, the last stage's get what their places would, at no more load a machine.
	if a.last() {
		all = min(all, a.placed)
	}
	return min(a.bear[1]/max(all, 1e-9), limit)
}

// last: earlier machines that stay are idle in a stage over all places, and latencies are not compared.
func (a *Instance) last() bool {
	return a.stage == len(a.stages)-1 && a.placed > 0 && a.trialRelease <= a.newest
}

// pick chooses the arm, then of some random appliances in it the one with least to do for its size.
func (a *Instance) pick(t *txn) int {
	// What failed on the trial build is tried elsewhere.
	failed := len(t.subs) > 0 && a.limited(t.subs[len(t.subs)-1].build)
	trial := !failed && a.draw(t) < a.share()
	untied := t.affinity != 0 && a.trialCap < 1 && a.floor(t) < a.trialRelease
	if untied && a.sightings[t.key] > 2+popularShare*a.trialCap*a.taken {
		trial = false // a popular key, once tied, could need more than the allowance
	}
	if i := a.pickIn(t, trial); i >= 0 || !trial && untied {
		return i
	}
	return a.pickIn(t, !trial)
}

// draw is a txn's place in [0,1): by key where keys stay with a release. The trial's keys are the same ones from the first
// listing of its release on, before its news, after it and in a process that starts anew.
func (a *Instance) draw(t *txn) float64 {
	if t.affinity != 0 {
		return spot(t.key, a.salt^uint64(max(a.trialRelease, a.newest)))
	}
	return a.rnd.Float64()
}

// pickIn draws appliances of one arm by what each can bear, compared by own open work: agents that see little
// would else all find the same few best. Drawn first, tested after: cost must not grow with the fleet.
func (a *Instance) pickIn(t *txn, trial bool) int {
	in := a.members[index(trial)]
	best, bestLoad := -1, math.Inf(1)
	for n, tries := 0, 0; n < choices && tries < mostTries && len(in) > 0; tries++ {
		i := in[a.rnd.IntN(len(in))]
		if a.rnd.Float64()*a.heaviest > a.bears(i) || a.tried(t, i) || !a.room(t, i) || !a.mayGo(t, i) ||
			a.doubted(i) {
			continue
		}
		n++
		load := float64(a.open[i])
		if a.agents < manyAgents { // else reports are old, and false ones would draw all racers
			load += a.reported(i)
		}
		if load /= a.bears(i); load < bestLoad {
			best, bestLoad = i, load
		}
	}
	if best >= 0 || len(in) == 0 {
		return best
	}
	// Hardly any will do: the first that may go is taken.
	from := a.rnd.IntN(len(in))
	for k := range in {
		if i := in[(from+k)%len(in)]; a.room(t, i) && a.mayGo(t, i) {
			return i
		}
	}
	return -1
}

// bears is what an appliance can bear, as far as is known.
func (a *Instance) bears(i int) float64 {
	w := a.rating[i] * a.coldness(i) / a.rel[i]
	if a.zonePriced && a.zones[i] != a.home {
		w /= crossZone
	}
	return w
}

// doubted draws an appliance's chance of an answer in time from its posterior, held against the fleet's.
func (a *Instance) doubted(i int) bool {
	f, all := math.Exp(-(a.now-a.seenAt[i])/doubtTime), math.Exp(-(a.now-a.notedAt)/doubtTime)
	good, poor := a.goodAll*all, a.poorAll*all
	if a.poor[i]*f < 0.5 {
		return false
	}
	drawn := distuv.Beta{Alpha: 1 + a.good[i]*f, Beta: 1 + a.poor[i]*f, Src: a.rnd}.Rand()
	return drawn < doubtBar*(good+1)/(good+poor+1)
}

// ended draws the conclusions from one submission's end.
func (a *Instance) ended(t *txn, s *submission, r AttemptStatus, took float64) {
	good := r == StatusServed && a.now <= s.due
	a.rest(s.app, r)
	if a.now == a.wokeAt && r == StatusServed {
		// What took so long may be the agent's own pause: no word on the appliance, the load or the build.
		took, good = math.Inf(1), true
	}
	switch {
	case a.zones[s.app] != a.home: // the way there may be at fault
	case r == StatusRejected || r == StatusServed && !good:
		a.feel(t.blind, 1)
	case r == StatusServed:
		a.feel(t.blind, 0)
	case r == StatusTimedOut:
		a.feel(t.blind, unanswered)
	}
	if r != StatusCanceled && r != StatusNotSent && !s.late {
		a.note(s.app, good)
		if r != StatusConnectFailed && r != StatusErrored && r != StatusReset { // what breaks on the way is no word on the load
			a.press(s.app, good)
		}
	}
	if r == StatusServed {
		a.learn(s.app, t, took)
	}
	// An answer that was spoilt on its way, or came when nobody read it, has bound its key all the same.
	if r != StatusErrored && !s.unrun {
		a.bind(t, s)
	}
	// Proven not run, called off: no word on the build.
	if a.known && !math.IsInf(took, 1) && !s.unrun && r != StatusCanceled {
		a.witness(s, t, r, took)
	}
	switch {
	case t.ended:
		a.drop(t)
	case t.out == 0 && (s.unrun || a.products[t.product].Semantics != NonIdempotent):
		t.races, t.blind = 0, false
		a.todo = append(a.todo, t)
	case t.out == 0:
		a.end(t)
	}
}

// ---- the trial: evidence, gates, votes

// answered reads the platform's answer to the vote that is out. What was asked of a release before the newest one says nothing
// of votes on that.
func (a *Instance) answered(reply VoteResponse) {
	a.pending = false
	if a.askingRelease != a.newest {
		return
	}
	if reply == VoteCounted {
		a.stands, a.standsStage = a.asking, a.askingStage
		a.renew = a.now + a.life*(renewAt+renewSpread*a.rnd.Float64())
		return
	}
	// Idle: the stage has moved on and the news is late, asking again tells nothing.
	pause := [2]float64{votePause, idlePause}[index(reply == VoteOutdated)]
	a.voteAt = a.now + pause*(0.5+a.rnd.Float64())
	a.look(a.voteAt, nil)
}

// steady is gate one's check of a machine: halves of its recent outcomes agree, or its told warm-up is over.
func (a *Instance) steady(i int, rel float64) bool {
	a.recent[i] = append(a.recent[i], rel)
	if len(a.recent[i]) > steadyLeast {
		a.recent[i] = a.recent[i][1:]
	}
	if a.coldness(i) >= 1 || len(a.recent[i]) < steadyLeast {
		return a.coldness(i) >= 1
	}
	x, y := stat.Mean(a.recent[i][:steadyLeast/2], nil), stat.Mean(a.recent[i][steadyLeast/2:], nil)
	return math.Abs(x-y) <= zoneLatency*max(x, y)
}

// judge runs the gates and says what the agent wants.
func (a *Instance) judge() {
	a.judgeAt = a.now + judgePause
	a.look(a.judgeAt, nil)
	gone := !a.known || a.phase == RollingBack || a.phase == Withdrawn
	if a.want == Rollback && !gone { // stands until the news says that the build goes
		return
	}
	a.want = NoVerdict
	neu := a.newMachines()
	if gone || a.stage < 0 || a.stage >= len(a.stages) || neu == 0 {
		return
	}
	// Rounded up; a platform that rounds otherwise is followed after a while.
	a.begun = a.begun || float64(neu) > a.stages[a.stage]*float64(a.places)-0.01
	if !a.begun && a.now < a.phaseAt+stalled {
		return
	}
	hot, long := a.burning()
	earned, worse := a.gates()
	if worse == "" && long {
		worse = "old and new alike are slower since it came"
	}
	if a.reason = worse; worse != "" {
		a.want = Rollback
	}
	// An inconclusive comparison blocks nothing: with the least sample seen the floor alone is waited for.
	ready := max(a.lastStart, a.phaseAt) + floorOn + floorRoom
	few := !earned && len(slices.Concat(a.evidence[1]...)) < leastSample
	if few {
		ready = max(ready, a.lastStart+wait)
	}
	if !a.judging() || few && a.control == ControlSingleVote {
		ready += alone
	}
	if a.want != Rollback && a.phase == RollingOut && a.control != ControlTimed && a.now >= ready && !hot {
		a.want = Promote
	}
}

// gates compares the builds product by product, and all products at once by latency over the product's usual
// one, which sees a slow build sooner and hides no single product.
func (a *Instance) gates() (earned bool, worse string) {
	arms := [2][][]outcome{}
	for k := range arms {
		arms[k] = append(slices.Clone(a.evidence[k]), pooled(a.evidence[k]))
	}
	for p, neu := range arms[1] {
		e, w := compare(neu, arms[0][p], !a.last(), a.phase == Released, a.err(), a.backs)
		if w != "" {
			return false, fmt.Sprintf("product %d: %s", p, w)
		}
		earned = earned || e
	}
	return earned, ""
}

// judging: where agents may send messages, all tell their outcomes to a few, always the same, since what came
// before a build counts too. These go through the same gates; the others step in where they stay silent.
func (a *Instance) judging() bool { return !a.peers || a.me < judges }

// err is the chance to be wrong that one agent may take: small where few of many undo a build, larger where
// many must agree, each of whom sees little.
func (a *Instance) err() float64 {
	looking := a.agents
	if a.peers && a.judging() {
		looking = min(looking, judges)
	}
	return min(distuv.Gamma{Alpha: float64(a.backs), Beta: 1}.Quantile(erring)/float64(looking), errMost)
}

// heat is the whole fleet's latency of late over what it was before the build came: it stands in for a
// comparison where a build slows old and new alike. 0 where too little is seen, or more is asked than before.
func (a *Instance) heat() float64 {
	if a.before.typical == 0 || a.demandNow() > demandMore*a.before.demand {
		return 0
	}
	return a.typical(a.evidence, heatTime) / a.before.typical
}

// burning follows the heat. What began before the build had a share worth the name, or after its release, is
// not its doing and counts only for what it grows by: a build's own heat grows by stage. Heat holds 'on' back
// and earns 'back' once it has outlasted most outside trouble. It may hurt a good build in a long slowness.
func (a *Instance) burning() (hot, long bool) {
	h := a.heat()
	outside := a.stage < 1 || a.phase == Released && a.now > a.phaseAt+releaseTail
	switch {
	case h < hotEnds*a.excuse:
		a.hotSince = math.Inf(1)
		if h < hotEnds {
			a.excuse = 1
		}
	case outside && math.IsInf(a.hotSince, 1):
		a.excuse = max(a.excuse, h)
	case h >= hotAt*a.excuse && math.IsInf(a.hotSince, 1):
		a.hotSince = a.now
	}
	return a.now >= a.hotSince, a.now >= a.hotSince+hotLong
}

// compare is gates two and three for one product.
func compare(neu, old []outcome, alike, released bool, err float64, backs int) (earned bool, worse string) {
	if failing(neu, old, released, err, backs) {
		return false, fmt.Sprintf("failures %d of %d against %d of %d", fails(neu), len(neu), fails(old), len(old))
	}
	if len(neu) < leastSample || len(old) < leastSample {
		// With hundreds of agents none may ever have the least sample; the many that agree know enough.
		if backs >= fewSlow && alike && machines(neu) >= fewestEach &&
			ratio(latencies(neu), latencies(since(old, neu)), fewSlow, 1-err/4) > 1+zoneLatency+fewRoom {
			worse = "few outcomes, slower"
		}
		return false, worse
	}
	// Percentiles by slices need hundreds of outcomes to see a build twice as slow; its stage is over by then.
	// Most of the outcomes beyond what machines of one build differ by are enough. One bad slice is not most.
	x, y := latencies(neu), latencies(since(old, neu))
	apart := 2 * spread(old, fewestEach, fewestEach, outcome.logged) / math.Sqrt(machines(neu))
	apart += 1 + zoneLatency + slowRoom
	if over := above(x, y, apart); alike && machines(neu) >= fewestEach && len(y) >= leastSample &&
		(distuv.Beta{Alpha: over + 0.5, Beta: float64(len(x)) - over + 0.5}).CDF(0.5) < err/4 {
		return false, fmt.Sprintf("latency: %.0f of %d beyond %.2f times the usual", over, len(x), apart)
	}
	ns, paired := slice(neu, nil, cut, leastSample/cut)
	os, paired := slice(old, neu, cut, leastSample/cut)
	if sn, so := each(ns, kept), each(os, kept); cv(sn) <= agreeCV && cv(so) <= agreeCV {
		noise := math.Sqrt(float64(fails(neu)+1) / float64(len(neu)+2) / float64(len(neu)))
		lo, hi := interval(minus(sn, so), onLevel, noise)
		earned = lo > -zoneSingle && hi < zoneSingle || lo > zoneSingle
	}
	nl, ol := each(ns, latencies), each(os, latencies)
	few := func(x []float64) bool { return len(x) < leastSample/cut }
	if slices.ContainsFunc(nl, few) || slices.ContainsFunc(ol, few) || !alike || !paired ||
		!agree(nl, farMore) || !agree(ol, farMore) {
		return earned, ""
	}
	slow, sure := 0, distuv.StudentsT{Sigma: 1, Nu: cut - 1}.Quantile(1-err/4)
	room := 2 * spread(old, fewestEach, fewestEach, outcome.latency) / math.Sqrt(machines(neu))
	for _, q := range []float64{0.5, 0.75, 0.9} {
		at := func(x []float64) float64 { return quantile(q, x) }
		d, base := minus(each(nl, at), each(ol, at)), quantile(q, latencies(old))
		lo, hi := interval(d, onLevel, 0)
		earned = earned || lo > -zoneLatency*base && hi < zoneLatency*base || hi < -zoneLatency*base
		if lo, _ = interval(d, sure, 0); lo > zoneLatency*base+room {
			slow++
			worse = fmt.Sprintf("latency quantile %.2f: at least %.0f%% more", q, 100*lo/base)
		}
	}
	if slow < percentiles {
		return earned, ""
	}
	return false, worse
}

// failing is the interval on a failure share: a posterior, for it also speaks below the least sample and at
// no failures.
func failing(neu, old []outcome, released bool, err float64, backs int) bool {
	if backs < fewSlow && machines(neu) >= fewestEach { // no single machine's trouble is the build's
		neu = withoutWorst(neu)
	}
	f, g := fails(neu), fails(old)
	if f < 3 || float64(breaks(old)) > breakUsual*float64(len(old)) { // breaks speak of the way or a machine
		f, g = f-breaks(neu), g-breaks(old)
	}
	base := (float64(g) + 0.1) / (float64(len(old)) + 1)
	// Released, it has no other machines beside it: trouble of a few of its own must not pass for its doing.
	uneven := spread(old, fewestEach, fewestEach, outcome.failed)
	if released {
		uneven = max(uneven, spread(neu, fewestEach, fewestEach, outcome.failed))
	}
	edge := min(base+zoneSingle+2*uneven/math.Sqrt(machines(neu)), 1)
	beyond := 1 - distuv.Beta{Alpha: float64(f) + 0.5, Beta: float64(len(neu)-f) + 1}.CDF(edge)
	return f >= max(4-backs, 1) && beyond > 1-err
}

func (a *Instance) voteDue() bool {
	if a.pending || a.now < a.voteAt || a.want == NoVerdict {
		return false
	}
	same := a.stands == a.want && (a.want == Rollback || a.standsStage == a.stage)
	return !same || a.now >= a.renew
}

func (a *Instance) vote() {
	a.pending, a.asking, a.askingStage, a.askingRelease = true, a.want, a.stage, a.newest
	a.port.SendVote(a.newest, a.want, a.stage)
	if a.want == Rollback { // many agents that say 'on' would fill any log
		a.port.Log(fmt.Sprintf("vote back on build %d stage %d: %s", a.newest, a.stage, a.reason))
	}
}
