package policy

import "math"

// fleetLatencyInflation is the whole fleet's latency of late over what it was before the build came: it stands in for a
// comparison where a build slows old and new alike. 0 where too little is seen, or more is asked than before.
func (a *Instance) fleetLatencyInflation() float64 {
	if a.baseline.typical == 0 || a.arrivalRate() > comparableArrivals*a.baseline.demand {
		return 0
	}
	return a.typicalLatency(a.evidence, inflationWindow) / a.baseline.typical
}

// trackSaturation follows the heat. What began before the build had a share worth the name, or after its release, is
// not its doing and counts only for what it grows by: a build's own heat grows by stage. Heat holds 'on' back
// and earns 'back' once it has outlasted most outside trouble. It may hurt a good build in a long slowness.
func (a *Instance) trackSaturation() (hot, long bool) {
	h := a.fleetLatencyInflation()
	outside := a.stage < 1 || a.phase == Released && a.now > a.stateSince+releaseSettleTime
	switch {
	case h < saturatedUntil*a.baselineCorrection:
		a.saturatedSince = math.Inf(1)
		if h < saturatedUntil {
			a.baselineCorrection = 1
		}
	case outside && math.IsInf(a.saturatedSince, 1):
		a.baselineCorrection = max(a.baselineCorrection, h)
	case h >= saturatedFrom*a.baselineCorrection && math.IsInf(a.saturatedSince, 1):
		a.saturatedSince = a.now
	}
	return a.now >= a.saturatedSince, a.now >= a.saturatedSince+saturationLimit
}
