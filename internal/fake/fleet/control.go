package fleet

// Methods by which a test controls and observes the fleet: listed backends, the stage of the newest release, and
// discovery outages.

import "time"

// SetManualRollout leaves the rollout to the caller: a vote is answered with the stage in force and does not change
// it.
func (f *Fleet) SetManualRollout() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.manualRollout = true
}

// StartBackends adds n warm backends of a release to the endpoint list. Since they are warm, no instance limits their
// load.
func (f *Fleet) StartBackends(release, n, cores int) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for range n {
		if err := f.startBackend(backendOptions{release: release, cores: cores}); err != nil {
			return err
		}
	}
	f.publishEndpoints()
	return nil
}

// DrainBackends lists up to n ready backends of a release as draining.
func (f *Fleet) DrainBackends(release, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, backend := range f.backends {
		if backend.Release == release && backend.state == stateReady && n > 0 {
			n--
			f.drain(backend)
		}
	}
	f.publishEndpoints()
}

// Announce puts a stage in force immediately and sends it on all release streams.
func (f *Fleet) Announce(stage Stage) {
	f.mu.Lock()
	defer f.mu.Unlock()
	stage.At = time.Now()
	if stage.Mode == ModeRollingBack || stage.Mode == ModeRolledBack {
		f.affinity.rollBack(stage.Release)
	}
	f.setStage(stage)
}

// MuteDiscovery starts or ends an outage of an instance's discovery, during which it sends nothing.
func (f *Fleet) MuteDiscovery(instance int, muted bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.muted[instance] = muted
	f.publishEndpoints()
}

// ReadyBackends returns the number of backends of a release that are listed as ready.
func (f *Fleet) ReadyBackends(release int) (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, backend := range f.backends {
		if backend.Release == release && backend.state == stateReady {
			n++
		}
	}
	return n
}

// Attempts returns the number of attempts that have reached backends of a release.
func (f *Fleet) Attempts(release int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.attempts[release]
}

// AffinityAudit returns the result of the key affinity checks so far.
func (f *Fleet) AffinityAudit() AffinityAudit {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.affinity.audit
}

// ClosedReleaseAudit returns the result of the checks on closed releases so far.
func (f *Fleet) ClosedReleaseAudit() ClosedReleaseAudit {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.closedAudit
}
