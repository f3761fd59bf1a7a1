package core

import (
	"runtime/debug"

	"onyxgate/internal/invariant"
	"onyxgate/policy"
)

// handleEvent runs one event with the lock held; the event's time is read under the lock. The event must not block
// and must not call methods of Core that take the lock. A panic is counted as an invariant violation, which ends only a
// debug build: a panic must cost only the event, not every request that the instance holds.
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

// UpdateEndpoints passes on a snapshot or a change of the endpoint list. The clock is checked first, because the
// start times of backends are compared with it.
func (c *Core) UpdateEndpoints(update policy.EndpointUpdate) {
	c.CheckClock()
	c.recordReleases(update)
	c.handleEvent("endpoint update", func(now float64) { c.instance.OnEndpoints(now, update) })
}

// recordReleases stores the release of each backend, for the attempts sent to it.
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

// EndpointsFailed reports that the endpoint stream has ended, or that the endpoint list could not be read.
func (c *Core) EndpointsFailed() {
	c.handleEvent("endpoints failed", func(now float64) { c.instance.OnDiscoveryFailed(now) })
}

// UpdateRelease passes on the state of a release, or the platform's response to a vote.
func (c *Core) UpdateRelease(update policy.ReleaseUpdate) {
	c.handleEvent("release update", func(now float64) { c.instance.OnReleaseUpdate(now, update) })
}

// ReportProbe passes on the result of a load probe started by Transport.SendProbe.
func (c *Core) ReportProbe(result policy.ProbeResult) {
	c.handleEvent("probe result", func(now float64) { c.instance.OnProbeResult(now, result) })
}
