package fleet

// The rollout: the stages of the newest release, and the votes that change them.

import (
	"net/http"
	"time"
)

// minStageTime is the time that a stage must have been in force before a vote can promote it.
const minStageTime = time.Second

// Verdicts of a vote that change the stage, and the error code for a vote on a stage that is no longer in force, as
// in the platform's API.
const (
	voteForPromotion = "promote"
	voteForRollback  = "abort"
	codeStale        = "STALE"
)

// StartRollout begins the rollout of a release whose backends fail the given share of their requests.
func (f *Fleet) StartRollout(release int, failureShare float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.enterStage(canaryStage(release, 0), failureShare)
}

// CurrentStage returns the stage in force.
func (f *Fleet) CurrentStage() Stage {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stage
}

// enterStage puts a stage in force, announces it, starts its backends and drains those that they replace. The caller
// holds f.mu.
func (f *Fleet) enterStage(stage Stage, failureShare float64) {
	f.setStage(stage)
	if stage.Mode == ModeRollingBack {
		f.rollBackBackends(stage.Release)
	} else {
		f.rollOutBackends(stage, failureShare)
	}
	f.publishEndpoints()
}

// setStage puts a stage in force and announces it. The caller holds f.mu.
func (f *Fleet) setStage(stage Stage) {
	f.stage, f.stageEnteredAt = stage, stage.At
	f.Stages = append(f.Stages, stage)
	f.broadcastStage()
}

// rollBackBackends replaces the ready backends of a release with cold backends of the previous release. The caller
// holds f.mu.
func (f *Fleet) rollBackBackends(release int) {
	for _, backend := range f.backends {
		if backend.state != stateReady || backend.Release != release {
			continue
		}
		// If a backend can't be started the fleet runs with one fewer, which the figures of the run show.
		_ = f.startBackend(backendOptions{release: release - 1, cores: backend.cores, startedAt: time.Now()})
		f.drain(backend)
	}
}

// rollOutBackends replaces ready backends of earlier releases with cold ones of the stage's release, until that
// release runs on its share of the fleet. The caller holds f.mu.
func (f *Fleet) rollOutBackends(stage Stage, failureShare float64) {
	share := 1.0
	if stage.Mode == ModeCanary {
		share = stageShares[stage.Stage]
	}
	var earlier []*Backend
	updated := 0
	for _, backend := range f.backends {
		switch {
		case backend.state != stateReady:
		case backend.Release == stage.Release:
			updated++
		default:
			earlier = append(earlier, backend)
		}
	}
	target := int(share*float64(len(earlier)+updated) + 0.5)
	for _, backend := range earlier {
		successor := backendOptions{
			release: stage.Release, cores: backend.cores, startedAt: time.Now(), failureShare: failureShare,
		}
		if updated >= target || f.startBackend(successor) != nil {
			return
		}
		f.drain(backend)
		updated++
	}
}

// handleVote applies a vote and returns the status and error code of its response.
func (f *Fleet) handleVote(release, stage int, verdict string) (status int, code string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	current := f.stage
	onCurrentStage := release == current.Release && stage == current.Stage
	mayMove := current.Mode == ModeCanary || verdict == voteForRollback
	switch {
	case f.manualRollout && release == current.Release:
	case !onCurrentStage || !mayMove:
		return http.StatusBadRequest, codeStale
	case verdict == voteForPromotion && time.Since(f.stageEnteredAt) > minStageTime:
		f.promote()
	case verdict == voteForRollback:
		f.enterStage(Stage{At: time.Now(), Release: current.Release, Stage: current.Stage, Mode: ModeRollingBack}, 0)
	}
	return http.StatusOK, ""
}

// promote enters the next stage, or marks the release as stable after the last one. The caller holds f.mu.
func (f *Fleet) promote() {
	next := Stage{At: time.Now(), Release: f.stage.Release, Stage: f.stage.Stage, Mode: ModeStable, Cap: 1}
	if f.stage.Stage+1 < len(stageShares) {
		next = canaryStage(f.stage.Release, f.stage.Stage+1)
	}
	f.enterStage(next, f.failureShare(f.stage.Release))
}

// failureShare returns the share of requests that backends of a release fail. The caller holds f.mu.
func (f *Fleet) failureShare(release int) float64 {
	for _, backend := range f.backends {
		if backend.Release == release {
			return backend.failureShare
		}
	}
	return 0
}
