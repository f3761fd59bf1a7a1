package recorder

// The writer, which performs the I/O that the ledger asks for until the instance ends.

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"onyxgate/internal/failpoint"
	"onyxgate/internal/record"
)

const (
	// shutdownWait bounds, at shutdown, the time for writing the remaining frames and, in memory mode, the time for the
	// final export.
	shutdownWait = 500 * time.Millisecond
	// gatherPause lets completions that arrive one by one accumulate. They are written 2 ms after the first of them, or
	// with the next entry.
	gatherPause = 50 * time.Microsecond
	// minIdleWait (ms) prevents busy waiting when a wait is almost over.
	minIdleWait = 0.2
	// slowDiskDelay is the duration of a write under the answer-before-sync defect of the end-to-end tests.
	slowDiskDelay = 40 * time.Millisecond
)

// Run writes and exports until ctx is done, then writes the remaining frames and closes spool and store. No requests
// may be handled once ctx is done. Run returns when everything that it started has ended.
func (r *Recorder) Run(ctx context.Context) {
	var exporting sync.WaitGroup
	exporting.Go(func() { r.exporter.run(ctx) })
	r.write(ctx)
	exporting.Wait()
	if r.exporter.store != nil {
		if r.config.Mode == "memory" { // entries that are not exported now are lost
			last, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownWait)
			r.exporter.drain(last)
			cancel()
		}
		logClose("store", r.exporter.store.Close())
	}
	logClose("segment", r.writer.Close())
	logClose("spool", r.spool.Close())
}

func logClose(what string, err error) {
	if err != nil {
		logrus.WithField("what", what).WithError(err).Warn("record can't be closed")
	}
}

func (r *Recorder) write(ctx context.Context) {
	stopping := ctx.Done()
	var stoppedAt time.Time
	for {
		next, pending := r.nextIO()
		if !next.Idle() {
			r.execute(next)
			continue
		}
		stopped := !stoppedAt.IsZero()
		if stopped && (!pending || time.Since(stoppedAt) > shutdownWait) {
			return
		}
		timer := time.NewTimer(duration(max(next.Wait, minIdleWait)))
		select {
		case <-r.wake:
			timer.Stop()
			if pending {
				time.Sleep(gatherPause)
			}
		case <-timer.C:
		case <-stopping:
			timer.Stop()
			stopping, stoppedAt = nil, time.Now()
		}
	}
}

func (r *Recorder) nextIO() (next record.IO, pending bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next = r.ledger.NextIO(r.now())
	return next, r.ledger.Pending()
}

// execute performs the I/O and reports its result to the ledger and to waiting responses.
func (r *Recorder) execute(next record.IO) {
	if failpoint.Defect("answer-before-sync") {
		time.Sleep(slowDiskDelay)
	}
	wrote, err := r.writer.Execute(next)
	r.mu.Lock()
	r.ledger.Completed(r.now(), wrote, err == nil)
	health := r.ledger.Health(r.now())
	close(r.confirmed)
	r.confirmed = make(chan struct{})
	changed := health != r.health
	r.health = health
	r.mu.Unlock()
	if changed {
		r.logHealth(health, err)
	}
}

// wakeWriter wakes the writer without blocking.
func (r *Recorder) wakeWriter() {
	select {
	case r.wake <- struct{}{}:
	default: // already woken
	}
}

func (r *Recorder) logHealth(health record.Health, err error) {
	line := logrus.WithFields(logrus.Fields{"spool": health.String(), "when_full": r.config.WhenFull}).WithError(err)
	if health == record.HealthGood {
		line.Info("record is written again")
	} else {
		line.Error("record can't be written")
	}
}
