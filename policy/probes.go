package policy

import (
	"slices"

	"onyxgate/policy/balance"
)

const (
	// probesPerRound is the number of backends probed at once for a request, and maxProbeRounds is the number of such
	// rounds.
	probesPerRound, maxProbeRounds = 2, 2
	// probeRoundShare is the time that a round waits for an answer, as a share of the latency objective.
	probeRoundShare = 0.12
	// maxProbePrice is the benefit of a round of probes, as a share of the value of one request. No probes are sent if
	// a round costs more.
	maxProbePrice = 0.045
)

// probing holds the cost of load probes and the state of those in flight.
type probing struct {
	allowed      bool
	price        float64     // cost of one probe, as a share of the value of one request
	open         []loadProbe // for requests that have not been placed
	failureShare float64     // share of failed probes among the recent ones in the instance's own zone
}

// loadProbe is a probe of a backend on behalf of a request.
type loadProbe struct {
	request *request
	backend int
}

// probeBeforePlacement probes some backends for a request, which is sent to the first one that answers. In a large
// fleet, an instance's own open attempts are no estimate of the load. A backend that is stalled, slow or unreachable
// does not answer first, and a false load report does not attract requests.
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

// endProbe handles the result of a probe. Failures in other zones are not counted, because the path there may be at
// fault.
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

// placeAfterProbe sends the first request that is waiting for the probe of a backend to that backend, if it may be sent
// there and still has its objective ahead.
func (inst *Instance) placeAfterProbe(index int) {
	req := inst.probedRequest(index)
	if req != nil && inst.now < req.objectiveDeadline && inst.maySendTo(req, index) {
		inst.placeRequest(req, index)
	}
}

// probedRequest returns the first unplaced request for which a backend was probed, or nil.
func (inst *Instance) probedRequest(index int) *request {
	for _, probe := range inst.probing.open {
		if probe.backend == index && probe.request.awaitsPlacement() {
			return probe.request
		}
	}
	return nil
}

// recordLoadReport stores the load reported by a backend.
func (inst *Instance) recordLoadReport(index int, report LoadReport) {
	if report.Present {
		inst.endpoints.At(index).Load = balance.NewLoad(report.Waiting, report.Utilization, inst.now)
	}
}
