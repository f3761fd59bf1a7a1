package fleet

// This file owns what a test does to the fleet by hand: which backends of which release are listed, what the platform says of
// the newest release, and which instance hears nothing.

import "time"

// SetManualRollout leaves the rollout to the caller: votes are answered with the stage in force and move nothing.
func (f *Fleet) SetManualRollout() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.manualRollout = true
}

// StartBackends lists n more backends of a release, warm ones: no instance limits them for their start.
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

// Announce puts a stage in force from now on and notifies of it on every stream of notices.
func (f *Fleet) Announce(stage Stage) {
	f.mu.Lock()
	defer f.mu.Unlock()
	stage.At = time.Now()
	if stage.Mode == ModeRollingBack || stage.Mode == ModeRolledBack {
		f.affinity.rollBack(stage.Release)
	}
	f.setStage(stage)
}

// MuteDiscovery silences an instance's discovery, or lets it speak again.
func (f *Fleet) MuteDiscovery(instance int, muted bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.muted[instance] = muted
	f.publishEndpoints()
}

// ReadyBackends is how many backends of a release are listed as ready.
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

// Attempts is how many attempts have reached backends of a release.
func (f *Fleet) Attempts(release int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.attempts[release]
}

// AffinityAudit is what was seen of the rule on keys so far.
func (f *Fleet) AffinityAudit() AffinityAudit {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.affinity.audit
}

// ClosedReleaseAudit is what was seen of closed releases so far.
func (f *Fleet) ClosedReleaseAudit() ClosedReleaseAudit {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.closedAudit
}
