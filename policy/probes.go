package policy

import (
	"math"
	"slices"
)

// probeBeforePlacement probes some appliances for a txn and gives it to the first that answers. Where many agents see little
// each, own open work tells nothing of the load; what stands still, is slow, unreachable or reports falsely
// loses the race. Where probes fail though txns are served, the pick goes on without them.
func (a *Instance) probeBeforePlacement(t *request) {
	t.probeRounds++
	for range probesPerRound {
		if i := a.pickBackend(t); i >= 0 && !slices.Contains(a.loadProbes, loadProbe{t, i}) {
			a.loadProbes = append(a.loadProbes, loadProbe{t, i})
			a.port.SendProbe(a.id[i])
		}
	}
	a.schedule(a.now+probeRoundShare*a.classes[t.class].LatencyObjective, t)
}

func (a *Instance) placeAfterProbe(i int) {
	if t := a.probedRequest(i); t != nil && a.now < t.objectiveAt && a.maySendTo(t, i) {
		a.placeRequest(t, i)
	}
}

// loadProbe is an appliance that has been probed for a txn.
type loadProbe struct {
	request *request
	backend int
}

// probedRequest is the first txn without a place for which this appliance was probed.
func (a *Instance) probedRequest(i int) *request {
	for _, r := range a.loadProbes {
		if r.backend == i && !r.request.ended && r.request.openAttempts == 0 {
			return r.request
		}
	}
	return nil
}

// reportLoad notes what a backend tells of its load.
func (a *Instance) reportLoad(i int, load LoadReport) {
	if load.Present {
		a.reportedLoad[i], a.reportedAt[i] = load.Waiting+load.Busy, a.now
	}
}

// reportedLoadNow is an appliance's load by its last report, txns waiting and how busy it is, fading with its age.
func (a *Instance) reportedLoadNow(i int) float64 {
	return a.reportedLoad[i] * math.Exp(-(a.now-a.reportedAt[i])/loadReportDecayTime)
}
