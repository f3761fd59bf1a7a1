// Package runner carries out what the queue of jobs decides, on a fixed number of goroutines. It chooses no job itself.
package runner

import (
	"context"
	"sync"
	"time"

	"onyxgate/internal/jobs"
)

// Job does a bounded piece of work; it returns the bytes that it moved and in how long it wants to run again. It should end
// soon after its context does.
type Job func(ctx context.Context) (bytes int64, again time.Duration)

// Runner runs jobs until it is stopped. Its methods may be called by any goroutine, but Add before Run only.
type Runner struct {
	startedAt time.Time
	wakeup    chan struct{} // makes one waiting worker look at the queue again
	jobs      []Job         // by index in the queue

	mu    sync.Mutex
	queue jobs.Queue // times in ms since just before start
}

// New returns a runner without jobs.
func New() *Runner { return &Runner{startedAt: time.Now(), wakeup: make(chan struct{}, 1)} }

// Add adds a job. The function returned asks for it to run at once.
func (r *Runner) Add(o jobs.Options, job Job) (ask func()) {
	index := r.queue.Add(o)
	r.jobs = append(r.jobs, job)
	return func() {
		r.mu.Lock()
		r.queue.Schedule(index, r.now())
		r.mu.Unlock()
		r.wake()
	}
}

// now is never 0, which the queue takes for never.
func (r *Runner) now() float64 { return milliseconds(time.Since(r.startedAt)) + 1 }

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func (r *Runner) wake() {
	select {
	case r.wakeup <- struct{}{}:
	default: // one is under way already
	}
}

// Run works with so many goroutines until the context ends, and returns once no job runs.
func (r *Runner) Run(ctx context.Context, workers int) {
	var all sync.WaitGroup
	for range workers {
		all.Go(func() { r.work(ctx) })
	}
	all.Wait()
}

// work runs what the queue says, one job after the other, until the context ends.
func (r *Runner) work(ctx context.Context) {
	for ctx.Err() == nil {
		r.mu.Lock()
		index, waitMs := r.queue.Next(r.now())
		r.mu.Unlock()
		if index < 0 {
			r.wait(ctx, waitMs)
			continue
		}
		r.runJob(ctx, index)
	}
}

// wait returns after some time, or sooner: when the context ends or a job was asked for.
func (r *Runner) wait(ctx context.Context, ms float64) {
	timer := time.NewTimer(time.Duration(ms * float64(time.Millisecond)))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-r.wakeup:
	case <-timer.C:
	}
}

func (r *Runner) runJob(ctx context.Context, index int) {
	from := time.Now()
	bytes, again := r.jobs[index](ctx)
	used := jobs.Usage{Ms: milliseconds(time.Since(from)), Bytes: float64(bytes)}
	r.mu.Lock()
	r.queue.Completed(r.now(), index, used, milliseconds(again))
	r.mu.Unlock()
	r.wake()
}
