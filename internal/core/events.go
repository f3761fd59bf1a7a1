package core

// This file owns the one way by which an event reaches the decisions, and the events that belong to no request.

import (
	"runtime/debug"

	"onyxgate/internal/invariant"
	"onyxgate/policy"
)

// handleEvent runs one event under the lock, with the time read under it. The event must not block and must not call a method
// of Core that takes the lock. A panic in it is counted as a violated invariant: it must cost one event, not all the requests
// that the instance holds.
func (c *Core) handleEvent(name string, event func(now float64)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inEvent = true
	handled := false
	defer func() {
		c.inEvent = false
		if !handled {
			invariant.Check(false, "the decisions handle every event", name, recover(), string(debug.Stack()))
		}
	}()
	event(c.Now())
	handled = true
}

// UpdateEndpoints passes on a change of the endpoint list, or a snapshot of it. The clock is checked first, for the start times
// of the backends are read against it.
func (c *Core) UpdateEndpoints(update policy.EndpointUpdate) {
	c.CheckClock()
	c.recordReleases(update)
	c.handleEvent("endpoint update", func(now float64) { c.instance.OnEndpoints(now, update) })
}

// recordReleases keeps the release that each backend runs, for the attempts that go to it.
func (c *Core) recordReleases(update policy.EndpointUpdate) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if update.Snapshot {
		clear(c.releases)
	}
	for _, endpoint := range update.Endpoints {
		if endpoint.State == policy.EndpointRemoved {
			delete(c.releases, endpoint.ID)
		} else {
			c.releases[endpoint.ID] = endpoint.Release
		}
	}
}

// EndpointsFailed tells that the endpoint stream has ended, or that the list could not be read.
func (c *Core) EndpointsFailed() {
	c.handleEvent("endpoints failed", func(now float64) { c.instance.OnDiscoveryFailed(now) })
}

// UpdateRelease passes on the state of a release, or the platform's response to a vote.
func (c *Core) UpdateRelease(update policy.ReleaseUpdate) {
	c.handleEvent("release update", func(now float64) { c.instance.OnReleaseUpdate(now, update) })
}

// ReportProbe passes on the end of a load probe that Transport.SendProbe began.
func (c *Core) ReportProbe(result policy.ProbeResult) {
	c.handleEvent("probe result", func(now float64) { c.instance.OnProbeResult(now, result) })
}
