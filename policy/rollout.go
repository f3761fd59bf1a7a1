package policy

import "onyxgate/policy/verdict"

// This file owns what the instance tells package verdict of a rollout, when it has the gates run, and the places of the fleet
// when the rollout began.

// evaluationInterval (ms) goes between two evaluations of the newest release.
const evaluationInterval = 200

// rollout is what is known of the newest release's way into the fleet.
type rollout struct {
	evaluator    *verdict.Evaluator
	evaluateAt   float64
	places       int     // running backends when the newest release was announced
	placesWeight float64 // and their weight
}

// evaluate runs the gates, which set the desired verdict.
func (inst *Instance) evaluate() {
	inst.evaluateAt = inst.now + evaluationInterval
	inst.schedule(inst.evaluateAt, nil)
	inst.evaluator.Evaluate(inst.now, inst.fleetView())
}

// surroundings is the instance's surroundings as an evaluation needs them.
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

// newestReleaseBackends counts the running backends of the newest release, and when (ms) the last of them started; 0: all did
// long ago.
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

// startRollout begins with a newly announced release: what a released predecessor has shown becomes the baseline.
func (inst *Instance) startRollout(newest ReleaseID) {
	previousReleased := inst.evaluator.Announced() && inst.releases.Record(inst.evaluator.Release()).Phase == Released
	inst.decayPopularKeys()
	inst.countPlaces(newest)
	inst.evaluator.StartRollout(inst.now, newest, previousReleased, inst.fleetView())
	inst.evaluateAt = inst.now
}

// countPlaces counts the backends that the release will replace: all running ones of earlier releases, and those of the
// prevailing one that its own backends already push out. What the release before it, or that one's withdrawal, has replaced
// is none.
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

// prevailingRelease is the one that most running backends have, of the releases before the newest; of several such the latest.
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
