package policy

import (
	"slices"

	"onyxgate/policy/balance"
)

const (
	// probesPerRound is how many backends are probed at once for a request, maxProbeRounds how often that is done.
	probesPerRound, maxProbeRounds = 2, 2
	// probeRoundShare is how long a round waits for an answer, as a part of the latency objective.
	probeRoundShare = 0.12
	// maxProbePrice is what a round of probes saves, as a part of one request's value. At a higher price no probes are sent.
	maxProbePrice = 0.045
)

// probing is what load probes cost and how they fare.
type probing struct {
	allowed      bool
	price        float64     // of one probe, as a part of one request's value
	open         []loadProbe // for requests without a place
	failureShare float64     // of the recent probes in the own zone
}

// loadProbe is a backend that has been probed for a request.
type loadProbe struct {
	request *request
	backend int
}

// probeBeforePlacement probes some backends for a request, which goes to the first that answers. Where each of many instances sees little of
// the load, its own open attempts say nothing of it; a backend that stands still, is slow or unreachable or reports a wrong load does
// not answer first.
func (inst *Instance) probeBeforePlacement(req *request) {
	req.probeRounds++
	for range probesPerRound {
		index := inst.pickBackend(req)
		if index >= 0 && !slices.Contains(inst.probing.open, loadProbe{req, index}) {
			inst.probing.open = append(inst.probing.open, loadProbe{req, index})
			inst.port.SendProbe(inst.endpoints.At(index).ID)
		}
	}
	inst.schedule(inst.now+probeRoundShare*inst.classes[req.class].LatencyObjective, req)
}

// endProbe takes a probe's result. Failures in other zones count for nothing: the way there may be at fault.
func (inst *Instance) endProbe(index int, result ProbeResult) {
	if inst.endpoints.At(index).Zone == inst.zone {
		inst.probing.failureShare -= backendSmoothing * inst.probing.failureShare
		if !result.OK {
			inst.probing.failureShare += backendSmoothing
		}
	}
	if result.OK {
		inst.recordLoadReport(index, result.Load)
		inst.placeAfterProbe(index)
	}
}

// placeAfterProbe gives the backend that has answered to the first request that waits for it.
func (inst *Instance) placeAfterProbe(index int) {
	req := inst.probedRequest(index)
	if req != nil && inst.now < req.objectiveDeadline && inst.maySendTo(req, index) {
		inst.placeRequest(req, index)
	}
}

// probedRequest is the first request without a place for which a backend was probed; nil: there is none.
func (inst *Instance) probedRequest(index int) *request {
	for _, probe := range inst.probing.open {
		if probe.backend == index && probe.request.awaitsPlacement() {
			return probe.request
		}
	}
	return nil
}

// reportLoad takes what a backend says of its load.
func (inst *Instance) recordLoadReport(index int, report LoadReport) {
	if report.Present {
		inst.endpoints.At(index).Load = balance.NewLoad(report.Waiting, report.Utilization, inst.now)
	}
}
