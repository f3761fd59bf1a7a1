package main

// The figures of the srv scenario and the claims about them.

import (
	"time"

	"onyxgate/internal/fake/fleet"
)

const (
	maxLateMs       = 2000 // from notifying an instance of a drain to the last arrival of an attempt from it
	minDrains       = 8
	minQueries      = 10   // to the name servers; a run needs more than this
	minFaultKinds   = 3    // failure modes of the resolver, including normal operation; a run needs more than this
	minServedOfCalm = 0.95 // share served with SRV records alone, relative to the calm phase

	// restartAllowance is the time after a restart during which an instance may reach no backend.
	restartAllowance = time.Second
	// killMargin is the time before a kill in which a broken response is attributed to the kill.
	killMargin = time.Second
)

// srvFigures are the figures of a run. The JSON keys are read by scripts.
type srvFigures struct {
	Seed                 uint64         `json:"seed"`
	Defect               string         `json:"defect,omitempty"`
	Drains               int            `json:"drains"`
	LateAfterDrainMax    float64        `json:"late_after_drain_ms_max"`
	FleetMin             int            `json:"fleet_min"`      // smallest number of backends reached by an instance in a second
	FleetTrueMin         int            `json:"fleet_true_min"` // smallest number of ready backends
	ServedSilentResolver float64        `json:"settled_share"`  // of the instance with the silent resolver
	ServedDiscoveryOnly  float64        `json:"settled_share_discovery_only"`
	ServedResolverFaults float64        `json:"settled_share_resolver_faults"`
	ServedCalm           float64        `json:"settled_share_calm"`
	ServedDNSOnly        float64        `json:"settled_share_dns_only"`
	ServedBothSilent     float64        `json:"settled_share_both_dead"`
	ReachedBySRVOnly     int            `json:"met_by_srv_alone"` // backends reached by attempts though only SRV records listed them
	Lost                 int            `json:"lost"`
	Exposure             int            `json:"exposure_breaks"`
	ColdOverloaded       int            `json:"cold_breaks"`
	DuplicateEffects     int            `json:"twice"`
	Queries              int64          `json:"dns_queries"`
	Faults               map[string]int `json:"dns_faults"`
	LongestOutage        float64        `json:"outage_ms"`
	DurationSeconds      float64        `json:"took_s"`
}

// count computes the figures from the clients' log, the fleet and the name servers.
func (s *srvScenario) count(bed *testbed) {
	f, log := &s.figures, bed.clients.Log()
	s.countServed(log)
	s.countReached(bed.fleet)
	f.Lost = s.countLost(log)
	f.LongestOutage = longestOutage(log).Seconds() * 1000
	violations := bed.fleet.Audit()
	f.Exposure, f.ColdOverloaded, f.DuplicateEffects = violations.Exposure, violations.ColdOverloaded, violations.DuplicateEffects
	f.Drains, f.LateAfterDrainMax = bed.fleet.DrainsNotified, bed.fleet.LatestAfterDrain.Seconds()*1000
	f.Queries = s.servers[silentResolver].Queries.Load() + s.servers[faultyResolver].Queries.Load()
	f.DurationSeconds = time.Since(bed.startedAt).Seconds()
}

// countServed computes the shares of requests served, by instance and phase.
func (s *srvScenario) countServed(log []fleet.Response) {
	share := func(instance int, from, to time.Time) float64 {
		var own []fleet.Response
		for _, response := range log {
			if response.Instance == instance && response.Outcome != fleet.OutcomeUnreachable {
				own = append(own, response)
			}
		}
		return servedBetween(own, from, to).share
	}
	f, p := &s.figures, s.phases
	f.ServedDiscoveryOnly = share(discoveryOnly, p.rollout, p.end)
	f.ServedSilentResolver = share(silentResolver, p.rollout, p.end)
	f.ServedResolverFaults = share(faultyResolver, p.rollout, p.killed)
	f.ServedCalm = share(faultyResolver, p.calm, p.discoveryMuted)
	f.ServedDNSOnly = share(faultyResolver, p.discoveryMuted, p.bothSilent)
	f.ServedBothSilent = share(faultyResolver, p.bothSilent, p.end)
}

// countReached computes how many backends the instances reached.
func (s *srvScenario) countReached(f *fleet.Fleet) {
	p := s.phases
	s.figures.ReachedBySRVOnly = f.CountBackendsReached(faultyResolver, s.replacementIDs, p.discoveryMuted, p.end)
	s.figures.FleetMin = min(
		f.MinBackendsReached(faultyResolver, p.rollout, p.killed),
		f.MinBackendsReached(faultyResolver, p.killed.Add(restartAllowance), p.rolloutEnded),
		f.MinBackendsReached(faultyResolver, p.rolloutEnded, p.end),
		f.MinBackendsReached(silentResolver, p.rollout, p.end),
	)
}

// countLost counts the requests whose response was broken or never came, except for those broken by the kill of an
// instance.
func (s *srvScenario) countLost(log []fleet.Response) (lost int) {
	killed := s.phases.killed
	for _, response := range log {
		byKill := response.Instance == faultyResolver && !response.Sent.After(killed) &&
			!response.Done.Before(killed.Add(-killMargin))
		broken := response.Outcome == fleet.OutcomeBroken && !byKill
		if broken || response.Outcome == fleet.OutcomeSilent {
			lost++
		}
	}
	return lost
}

// longestOutage returns the longest time between two consecutive served requests of the same instance.
func longestOutage(log []fleet.Response) (outage time.Duration) {
	last := map[int]time.Time{}
	for _, response := range log {
		before, seen := last[response.Instance]
		if response.Outcome != fleet.OutcomeServed || !response.Done.After(before) {
			continue
		}
		if seen {
			outage = max(outage, response.Done.Sub(before))
		}
		last[response.Instance] = response.Done
	}
	return outage
}

// checkClaims checks the figures against the claims. A short run checks only those that a slow host cannot violate.
func (s *srvScenario) checkClaims(result *verdict) {
	f := s.figures
	tested := f.Drains >= minDrains && f.Queries > minQueries && len(f.Faults) > minFaultKinds
	result.require(tested, "not put to the test: %d drains, %d queries, faults %v", f.Drains, f.Queries, f.Faults)
	result.require(f.LateAfterDrainMax <= maxLateMs,
		"an attempt reached a draining backend %.0f ms after its instance was notified", f.LateAfterDrainMax)
	result.require(f.Lost == 0, "lost requests: %d", f.Lost)
	result.require(f.DuplicateEffects == 0, "duplicate effects: %d", f.DuplicateEffects)
	if s.Short {
		return
	}
	result.require(f.ReachedBySRVOnly > 0, "not put to the test: no attempt reached a backend listed only in SRV records")
	result.require(f.FleetMin > 0, "an instance reached no backend for a second, with at least %d running", f.FleetTrueMin)
	result.require(f.ServedSilentResolver >= f.ServedDiscoveryOnly-maxServedLoss,
		"share served with a silent resolver: %.4f, with discovery alone: %.4f", f.ServedSilentResolver, f.ServedDiscoveryOnly)
	result.require(f.ServedDNSOnly >= minServedOfCalm*f.ServedCalm,
		"share served with SRV records alone: %.4f, in the calm phase: %.4f", f.ServedDNSOnly, f.ServedCalm)
	result.require(f.Exposure == 0, "windows above the exposure cap: %d", f.Exposure)
	result.require(f.ColdOverloaded == 0, "overloaded cold backends: %d", f.ColdOverloaded)
	result.require(f.DurationSeconds <= maxRunTime.Seconds(), "the run took %.0f s, longer than allowed", f.DurationSeconds)
}
