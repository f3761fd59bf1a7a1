package policy

import "math"

// rolloutShare is the part of the txns for the newest build: its machines' share, within the cap.
func (inst *Instance) rolloutShare() float64 {
	limit, all := inst.rolloutCap*capUtilization, inst.capacity[0]+inst.capacity[1]
	if limit >= capUtilization {
		limit = 1
	}
	// Where the earlier machines stay, the last stage's get what their places would, at no more load a machine.
	if inst.inLastStage() {
		all = min(all, inst.placesWeight)
	}
	return min(inst.capacity[1]/max(all, 1e-9), limit)
}

// inLastStage: earlier machines that stay are idle in a stage over all places, and latencies are not compared.
func (inst *Instance) inLastStage() bool {
	return inst.stage == len(inst.stages)-1 && inst.placesWeight > 0 && inst.rolloutRelease <= inst.newest
}

// pickBackend chooses the arm, then of some random appliances in it the one with least to do for its size.
func (inst *Instance) pickBackend(req *request) int {
	// What failed on the trial build is tried elsewhere.
	failed := len(req.attempts) > 0 && inst.underCap(req.attempts[len(req.attempts)-1].release)
	trial := !failed && inst.rolloutDraw(req) < inst.rolloutShare()
	untied := req.affinityKey != 0 && inst.rolloutCap < 1 && inst.oldestAllowedRelease(req) < inst.rolloutRelease
	if untied && inst.popularKeys[req.key] > 2+maxKeyShareOfCap*inst.rolloutCap*inst.requestsTaken {
		trial = false // a popular key, once tied, could need more than the allowance
	}
	if backend := inst.pickCandidate(req, trial); backend >= 0 || !trial && untied {
		return backend
	}
	return inst.pickCandidate(req, !trial)
}

// rolloutDraw is a txn's place in [0,1): by key where keys stay with a release. The trial's keys are the same ones from the first
// listing of its release on, before its news, after it and in a process that starts anew.
func (inst *Instance) rolloutDraw(req *request) float64 {
	if req.affinityKey != 0 {
		return keyPosition(req.key, inst.salt^uint64(max(inst.rolloutRelease, inst.newest)))
	}
	return inst.rng.Float64()
}

// pickCandidate draws appliances of one arm by what each can bear, compared by own open work: agents that see little
// would else all find the same few best. Drawn first, tested after: cost must not grow with the fleet.
func (inst *Instance) pickCandidate(req *request, trial bool) int {
	in := inst.candidates[boolIndex(trial)]
	best, bestLoad := -1, math.Inf(1)
	for n, tries := 0, 0; n < choicesCompared && tries < maxDraws && len(in) > 0; tries++ {
		i := in[inst.rng.IntN(len(in))]
		if inst.rng.Float64()*inst.maxCapacity > inst.capacityOf(i) || inst.tried(req, i) || !inst.hasCapacity(req, i) || !inst.maySendTo(req, i) ||
			inst.drawsUnhealthy(i) {
			continue
		}
		n++
		load := float64(inst.openAttempts[i])
		if inst.instances < manyInstances { // else reports are old, and false ones would draw all racers
			load += inst.reportedLoadNow(i)
		}
		if load /= inst.capacityOf(i); load < bestLoad {
			best, bestLoad = i, load
		}
	}
	if best >= 0 || len(in) == 0 {
		return best
	}
	// Hardly any will do: the first that may go is taken.
	from := inst.rng.IntN(len(in))
	for k := range in {
		if backend := in[(from+k)%len(in)]; inst.hasCapacity(req, backend) && inst.maySendTo(req, backend) {
			return backend
		}
	}
	return -1
}

// capacityOf is what an appliance can bear, as far as is known.
func (inst *Instance) capacityOf(backend int) float64 {
	w := inst.weight[backend] * inst.warmUpProgress(backend) / inst.latencyInflation[backend]
	if inst.crossZonePrice && inst.zone[backend] != inst.zoneIndex {
		w /= crossZonePenalty
	}
	return w
}
