package recorder

// Background jobs of a running instance: exporting, pruning the spool and checkpointing the store.

import (
	"context"
	"math"
	"time"

	"github.com/sirupsen/logrus"

	"onyxgate/internal/jobs"
	"onyxgate/internal/jobs/runner"
)

const (
	pruneInterval      = 500 * time.Millisecond
	checkpointInterval = 2 * time.Second
	// jobWorkers is 2 so that a slow checkpoint does not delay batches.
	jobWorkers = 2
)

// run runs the background jobs until ctx is done, and returns when all of them have ended.
func (e *exporter) run(ctx context.Context) {
	if e.store == nil {
		return
	}
	background := runner.New()
	pruneNow := func() {}
	export := jobs.Options{Name: "ship", MaxBytesPerSecond: float64(e.config.BytesPerSecond)}
	background.Add(export, func(ctx context.Context) (int64, time.Duration) {
		sent, wait, _ := e.step(ctx)
		if sent > 0 {
			pruneNow()
		}
		return sent, wait
	})
	prune := jobs.Options{Name: "prune", Priority: 1, MaxMsPerSecond: 200}
	pruneNow = background.Add(prune, func(context.Context) (int64, time.Duration) {
		e.prune()
		return 0, pruneInterval
	})
	checkpoint := jobs.Options{Name: "checkpoint", Priority: 2, MaxMsPerSecond: 100}
	background.Add(checkpoint, func(ctx context.Context) (int64, time.Duration) {
		e.checkpoint(ctx)
		return 0, checkpointInterval
	})
	background.Run(ctx, jobWorkers)
}

// prune removes segments whose contents are all in the store.
func (e *exporter) prune() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.earlier) > 0 {
		e.pruneIncarnation(e.earlier[0], math.MaxUint64)
	}
	if e.running != nil {
		e.pruneIncarnation(e.running, e.currentSegment())
	}
}

// pruneIncarnation removes fully stored segments with numbers below `until`.
func (e *exporter) pruneIncarnation(from *incarnationReader, until uint64) {
	freed, err := e.spool.Prune(from.incarnation, min(until, from.reader.Segment()), from.storedThrough())
	if err != nil {
		logrus.WithError(err).Warn("record can't be pruned")
	}
	if freed > 0 {
		e.onFreed(freed)
	}
}

func (e *exporter) checkpoint(ctx context.Context) {
	e.mu.Lock()
	ready := e.migrated && !e.scheduler.CircuitOpen()
	e.mu.Unlock()
	if !ready {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(e.config.BatchTimeout))
	defer cancel()
	if err := e.store.Checkpoint(ctx); err != nil {
		logrus.WithError(err).Debug("no checkpoint")
	}
}
