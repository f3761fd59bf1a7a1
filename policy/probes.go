package policy

import (
	"math"
	"slices"
)

// probeBeforePlacement probes some appliances for a txn and gives it to the first that answers. Where many agents see little
// each, own open work tells nothing of the load; what stands still, is slow, unreachable or reports falsely
// loses the race. Where probes fail though txns are served, the pick goes on without them.
func (inst *Instance) probeBeforePlacement(req *request) {
	req.probeRounds++
	for range probesPerRound {
		if backend := inst.pickBackend(req); backend >= 0 && !slices.Contains(inst.loadProbes, loadProbe{req, backend}) {
			inst.loadProbes = append(inst.loadProbes, loadProbe{req, backend})
			inst.port.SendProbe(inst.id[backend])
		}
	}
	inst.schedule(inst.now+probeRoundShare*inst.classes[req.class].LatencyObjective, req)
}

func (inst *Instance) placeAfterProbe(backend int) {
	if req := inst.probedRequest(backend); req != nil && inst.now < req.objectiveAt && inst.maySendTo(req, backend) {
		inst.placeRequest(req, backend)
	}
}

// loadProbe is an appliance that has been probed for a txn.
type loadProbe struct {
	request *request
	backend int
}

// probedRequest is the first txn without a place for which this appliance was probed.
func (inst *Instance) probedRequest(backend int) *request {
	for _, r := range inst.loadProbes {
		if r.backend == backend && !r.request.ended && r.request.openAttempts == 0 {
			return r.request
		}
	}
	return nil
}

// reportLoad notes what a backend tells of its load.
func (inst *Instance) reportLoad(backend int, load LoadReport) {
	if load.Present {
		inst.reportedLoad[backend], inst.reportedAt[backend] = load.Waiting+load.Busy, inst.now
	}
}

// reportedLoadNow is an appliance's load by its last report, txns waiting and how busy it is, fading with its age.
func (inst *Instance) reportedLoadNow(backend int) float64 {
	return inst.reportedLoad[backend] * math.Exp(-(inst.now-inst.reportedAt[backend])/loadReportDecayTime)
}
