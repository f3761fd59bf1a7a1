package main

// This file owns the figures of the sources' scenario and the claims on them.

import (
	"time"

	"onyxgate/internal/fake/fleet"
)

const (
	maxLateMs       = 2000 // of an attempt at a backend, after its instance was told that it drains
	minDrains       = 8
	minQueries      = 10   // to the name servers, and more
	minFaultKinds   = 3    // of the resolver, and more
	minServedOfCalm = 0.95 // with SRV alone, of the share that is served in calm times

	// readmission is how long after its restart an instance may reach no backend.
	readmission = time.Second
	// beforeKill is how long before the kill a response may have broken off by it.
	beforeKill = time.Second
)

// srvFigures are the figures of a run. The JSON keys are read by scripts.
type srvFigures struct {
	Seed         uint64         `json:"seed"`
	Defect       string         `json:"defect,omitempty"`
	Drains       int            `json:"drains"`
	LateMax      float64        `json:"late_after_drain_ms_max"`
	FleetMin     int            `json:"fleet_min"`
	FleetTrueMin int            `json:"fleet_true_min"`
	ServedDead   float64        `json:"settled_share"` // with the resolver dead throughout
	ServedAlone  float64        `json:"settled_share_discovery_only"`
	ServedFaults float64        `json:"settled_share_resolver_faults"`
	ServedCalm   float64        `json:"settled_share_calm"`
	ServedDNS    float64        `json:"settled_share_dns_only"`
	ServedNone   float64        `json:"settled_share_both_dead"`
	Reached      int            `json:"met_by_srv_alone"` // backends of which only SRV told, reached by requests
	Lost         int            `json:"lost"`
	Exposure     int            `json:"exposure_breaks"`
	Cold         int            `json:"cold_breaks"`
	Twice        int            `json:"twice"`
	Queries      int64          `json:"dns_queries"`
	Faults       map[string]int `json:"dns_faults"`
	Outage       float64        `json:"outage_ms"`
	Took         float64        `json:"took_s"`
}

// count takes the figures from the clients' log, the fleet and the name servers.
func (s *srvScenario) count(bed *testbed) {
	f, log := &s.figures, bed.clients.Log()
	s.countServed(log)
	s.countReached(bed.fleet)
	f.Lost = s.countLost(log)
	f.Outage = longestOutage(log).Seconds() * 1000
	rules := bed.fleet.Audit()
	f.Exposure, f.Cold, f.Twice = rules.Exposure, rules.ColdOverloaded, rules.DuplicateEffects
	f.Drains, f.LateMax = bed.fleet.DrainsNotified, bed.fleet.LatestAfterDrain.Seconds()*1000
	f.Queries = s.servers[deadResolver].Queries.Load() + s.servers[faultyDNS].Queries.Load()
	f.Took = time.Since(bed.began).Seconds()
}

// countServed takes the shares of served requests, by instance and phase.
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
	f.ServedAlone = share(discoveryOnly, p.wave, p.end)
	f.ServedDead = share(deadResolver, p.wave, p.end)
	f.ServedFaults = share(faultyDNS, p.wave, p.killed)
	f.ServedCalm = share(faultyDNS, p.calm, p.muted)
	f.ServedDNS = share(faultyDNS, p.muted, p.none)
	f.ServedNone = share(faultyDNS, p.none, p.end)
}

// countReached takes how many backends the instances reached.
func (s *srvScenario) countReached(f *fleet.Fleet) {
	p := s.phases
	s.figures.Reached = f.CountReached(faultyDNS, s.replaced, p.muted, p.end)
	s.figures.FleetMin = min(
		f.MinReached(faultyDNS, p.wave, p.killed),
		f.MinReached(faultyDNS, p.killed.Add(readmission), p.waveEnded),
		f.MinReached(faultyDNS, p.waveEnded, p.end),
		f.MinReached(deadResolver, p.wave, p.end),
	)
}

// countLost counts the requests that got no whole response, less those that the kill of an instance broke off.
func (s *srvScenario) countLost(log []fleet.Response) (lost int) {
	killed := s.phases.killed
	for _, response := range log {
		byKill := response.Instance == faultyDNS && !response.Sent.After(killed) &&
			!response.Done.Before(killed.Add(-beforeKill))
		broken := response.Outcome == fleet.OutcomeBroken && !byKill
		if broken || response.Outcome == fleet.OutcomeSilent {
			lost++
		}
	}
	return lost
}

// longestOutage is the longest time between two served requests of an instance.
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

// judge holds the figures against the claims. A short run is judged by those alone that no slow host can
// violate.
func (s *srvScenario) judge(found *claims) {
	f := s.figures
	tested := f.Drains >= minDrains && f.Queries > minQueries && len(f.Faults) > minFaultKinds
	found.require(tested, "not put to the test: %d drains, %d queries, faults %v", f.Drains, f.Queries, f.Faults)
	found.require(f.LateMax <= maxLateMs, "attempts reached a draining backend %.0f ms after its instance was told", f.LateMax)
	found.require(f.Lost == 0, "lost: %d", f.Lost)
	found.require(f.Twice == 0, "effects twice: %d", f.Twice)
	if s.Short {
		return
	}
	found.require(f.Reached > 0, "not put to the test: no attempt reached a backend of which only SRV told")
	found.require(f.FleetMin > 0, "for a second no backend was reached, with %d running", f.FleetTrueMin)
	found.require(f.ServedDead >= f.ServedAlone-maxServedLoss,
		"served with the resolver dead %.4f, with discovery alone %.4f", f.ServedDead, f.ServedAlone)
	found.require(f.ServedDNS >= minServedOfCalm*f.ServedCalm, "served with SRV alone %.4f, calm %.4f", f.ServedDNS, f.ServedCalm)
	found.require(f.Exposure == 0, "windows with too much exposure: %d", f.Exposure)
	found.require(f.Cold == 0, "cold backends overloaded: %d", f.Cold)
	found.require(f.Took <= maxTook.Seconds(), "took %.0f s", f.Took)
}
