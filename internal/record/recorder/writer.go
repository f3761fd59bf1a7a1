package recorder

// This file owns the writer: it does what the ledger says, one step at a time, until the instance ends.

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"onyxgate/internal/failpoint"
	"onyxgate/internal/record"
)

const (
	// shutdownWait bounds the writing of what is left at the end.
	shutdownWait = 500 * time.Millisecond
	// gatherPause lets completions gather that come one by one: they are written 2 ms after the first, or with the next
	// entry.
	gatherPause = 50 * time.Microsecond
	// minIdleWait (ms) keeps a wait that is all but over from spinning.
	minIdleWait = 0.2
	// slowDiskDelay is what a defect of the end-to-end tests has a write take.
	slowDiskDelay = 40 * time.Millisecond
)

// Run writes and exports until ctx ends, then writes what is left; no request may follow. It returns when all that it
// started has ended.
func (r *Recorder) Run(ctx context.Context) {
	var exporting sync.WaitGroup
	exporting.Go(func() { r.exporter.run(ctx) })
	r.write(ctx)
	exporting.Wait()
	if r.exporter.store != nil {
		if r.config.Mode == "memory" { // what does not go now is lost
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

// perform does one step and tells the ledger and those who wait for it.
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

// wakeWriter tells the writer to look again; it never blocks.
func (r *Recorder) wakeWriter() {
	select {
	case r.wake <- struct{}{}:
	default: // it has been woken already
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
