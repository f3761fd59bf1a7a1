package policy

import "math"

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
