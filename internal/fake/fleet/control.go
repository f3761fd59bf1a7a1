package fleet

// This file owns what a test does to the world by hand: which backends of which release are listed, and what the platform says
// of the newest release. Without it votes move the roll-out.

import "time"

// Manual leaves the roll-out to the caller: votes are answered with the state as it is and move nothing.
func (w *Fleet) Manual() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.manual = true
}

// StartBackends lists n more backends of a release, warm ones: none of them is limited by its start.
func (w *Fleet) StartBackends(release, n, cores int) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	for range n {
		if err := w.startBackend(release, cores, time.Time{}); err != nil {
			return err
		}
	}
	w.publishEndpoints()
	return nil
}

// DrainBackends lists n backends of a release as draining.
func (w *Fleet) DrainBackends(release, n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range w.backends {
		if a.Release == release && a.state == "Ready" && n > 0 {
			n--
			w.drain(a)
		}
	}
	w.publishEndpoints()
}

// Announce makes a state the newest release's, and tells it on every stream of notices.
func (w *Fleet) Announce(s Stage) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s.At = time.Now()
	w.stage, w.stageBegan = s, s.At
	w.Stages = append(w.Stages, s)
	if s.Mode == "reverting" || s.Mode == "reverted" {
		w.affinity.rolledBackRelease(s.Release)
	}
	w.broadcastStage()
}

// ReadyBackends is how many backends of a release are listed as ready.
func (w *Fleet) ReadyBackends(release int) (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range w.backends {
		if a.Release == release && a.state == "Ready" {
			n++
		}
	}
	return n
}

// Attempts is how many attempts have reached backends of a release.
func (w *Fleet) Attempts(release int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.attempts[release]
}

// Affinity is what was seen of the rule on keys so far.
func (w *Fleet) Affinity() Affinity {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.affinity.seen
}
