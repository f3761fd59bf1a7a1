package policy

import (
	"math"
	"slices"
)

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

// isEvaluator: where agents may send messages, all tell their outcomes to a few, always the same, since what came
// before a build counts too. These go through the same gates; the others step in where they stay silent.
func (a *Instance) isEvaluator() bool { return !a.peerMessages || a.index < evaluators }

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

// newestReleaseBackends counts the newest build's and tells when the last of them started.
func (a *Instance) newestReleaseBackends() (n int) {
	a.lastBackendStart = 0
	for i := range a.endpoints.Len() {
		if b := a.endpoints.At(i); b.State == EndpointRunning && b.Release == a.newest {
			n++
			a.lastBackendStart = max(a.lastBackendStart, min(b.StartedAt, b.UpSince))
		}
	}
	return n
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
	for i := range a.endpoints.Len() {
		b := a.endpoints.At(i)
		// Also what its successor already drains, but nothing that the build before it, or its withdrawal, has replaced.
		if b.State == EndpointRunning && b.Release < build || b.State == EndpointDraining && b.Release == base {
			a.places++
			a.placesWeight += b.Weight
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
	for i := range a.endpoints.Len() {
		if b := a.endpoints.At(i).Release; a.endpoints.At(i).State == EndpointRunning && b < build {
			if counts[b]++; counts[b] > most || counts[b] == most && b > base {
				base, most = b, counts[b]
			}
		}
	}
	return base
}
