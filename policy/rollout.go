package policy

import "onyxgate/policy/verdict"

// evaluationInterval (ms) is the time between two evaluations of the newest release.
const evaluationInterval = 200

// rollout is the state of the newest release's rollout.
type rollout struct {
	evaluator    *verdict.Evaluator
	evaluateAt   float64 // ms, time of the next evaluation
	places       int     // backends that the newest release will replace, counted when it was announced
	placesWeight float64 // sum of the weights of these backends
}

// evaluate runs the gates, which set the desired verdict.
func (inst *Instance) evaluate() {
	inst.evaluateAt = inst.now + evaluationInterval
	inst.schedule(inst.evaluateAt, nil)
	inst.evaluator.Evaluate(inst.now, inst.fleetView())
}

// fleetView returns the state of the fleet that an evaluation needs.
func (inst *Instance) fleetView() verdict.Fleet {
	backends, lastStart := inst.newestReleaseBackends()
	return verdict.Fleet{
		Instances:          inst.instances,
		Index:              inst.index,
		PeerMessages:       inst.peerMessages,
		ArrivalRate:        inst.arrivalRate(),
		Places:             inst.places,
		CandidateBackends:  backends,
		LastCandidateStart: lastStart,
		BaselineIdle:       inst.inLastStage(),
	}
}

// newestReleaseBackends counts the running backends of the newest release and returns the time (ms) at which the last
// of them started; 0 means that all started long ago or that there are none.
func (inst *Instance) newestReleaseBackends() (count int, lastStart float64) {
	newest := inst.evaluator.Release()
	for index := range inst.endpoints.Len() {
		if backend := inst.endpoints.At(index); backend.State == EndpointRunning && backend.Release == newest {
			count++
			lastStart = max(lastStart, min(backend.StartedAt, backend.UpSince))
		}
	}
	return count, lastStart
}

// startRollout starts the rollout of a newly announced release. If the previous release was released, its evidence
// becomes the baseline.
func (inst *Instance) startRollout(newest ReleaseID) {
	previousReleased := inst.evaluator.Announced() && inst.releases.Record(inst.evaluator.Release()).Phase == Released
	inst.decayPopularKeys()
	inst.countPlaces(newest)
	inst.evaluator.StartRollout(inst.now, newest, previousReleased, inst.fleetView())
	inst.evaluateAt = inst.now
}

// countPlaces counts the backends that the release will replace: all running ones of earlier releases, and those of the
// prevailing release that are already draining because new backends take their place. Other draining backends were
// replaced by the previous release, or drain because it is rolled back, and are not counted.
func (inst *Instance) countPlaces(newest ReleaseID) {
	inst.places, inst.placesWeight = 0, 0
	prevailing := inst.prevailingRelease(newest)
	for index := range inst.endpoints.Len() {
		backend := inst.endpoints.At(index)
		running := backend.State == EndpointRunning && backend.Release < newest
		replaced := backend.State == EndpointDraining && backend.Release == prevailing
		if running || replaced {
			inst.places++
			inst.placesWeight += backend.Weight
		}
	}
}

// prevailingRelease returns the release that most running backends have, among the releases before the newest. If
// several have the same number of backends, it returns the latest of them.
func (inst *Instance) prevailingRelease(newest ReleaseID) (prevailing ReleaseID) {
	counts, most := map[ReleaseID]int{}, 0
	for index := range inst.endpoints.Len() {
		backend := inst.endpoints.At(index)
		id := backend.Release
		if backend.State != EndpointRunning || id >= newest {
			continue
		}
		counts[id]++
		if counts[id] > most || counts[id] == most && id > prevailing {
			prevailing, most = id, counts[id]
		}
	}
	return prevailing
}
