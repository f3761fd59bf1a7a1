// Package runner executes background jobs on a fixed number of goroutines, in the order chosen by package jobs.
package runner

import (
	"context"
	"sync"
	"time"

	"onyxgate/internal/jobs"
)

// Job does a bounded piece of work. It returns the number of bytes that it transferred and the delay until its next
// run. It should return soon after its context is canceled.
type Job func(ctx context.Context) (bytes int64, delay time.Duration)

// Runner runs jobs until its context is canceled. All calls of Add must be made before Run; the functions that Add
// returns may be called from any goroutine.
type Runner struct {
	startedAt time.Time
	wakeup    chan struct{} // makes one waiting worker check the queue again
	jobs      []Job         // by index in the queue

	mu    sync.Mutex
	queue jobs.Queue // times are those of now
}

// New returns a runner without jobs.
func New() *Runner { return &Runner{startedAt: time.Now(), wakeup: make(chan struct{}, 1)} }

// Add adds a job. The returned function makes the job due immediately. It has no effect while the job is running.
func (r *Runner) Add(o jobs.Options, job Job) (runNow func()) {
	index := r.queue.Add(o)
	r.jobs = append(r.jobs, job)
	return func() {
		r.mu.Lock()
		r.queue.Schedule(index, r.now())
		r.mu.Unlock()
		r.wake()
	}
}

// now returns the time (ms) for the queue. It is never 0, because the queue uses 0 for "never".
func (r *Runner) now() float64 { return milliseconds(time.Since(r.startedAt)) + 1 }

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func (r *Runner) wake() {
	select {
	case r.wakeup <- struct{}{}:
	default: // a wakeup is pending already
	}
}

// Run runs the jobs on the given number of goroutines until the context is canceled, and returns when the running jobs
// have finished.
func (r *Runner) Run(ctx context.Context, workers int) {
	var wg sync.WaitGroup
	for range workers {
		wg.Go(func() { r.work(ctx) })
	}
	wg.Wait()
}

// work runs the jobs that the queue returns, one at a time, until the context is canceled.
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

// wait returns after the given time, or earlier if the context is canceled or a wakeup is received.
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
	start := time.Now()
	bytes, delay := r.jobs[index](ctx)
	used := jobs.Usage{Ms: milliseconds(time.Since(start)), Bytes: float64(bytes)}
	r.mu.Lock()
	r.queue.Completed(r.now(), index, used, milliseconds(delay))
	r.mu.Unlock()
	r.wake()
}
