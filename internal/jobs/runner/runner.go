// Package runner carries out what sched decides, on a fixed number of goroutines. It must never choose a job itself.
package runner

import (
	"context"
	"sync"
	"time"

	"onyxgate/internal/jobs"
)

// Job does a bounded piece of work; it returns the bytes that it moved and when it wants to run again.
type Job func(ctx context.Context) (bytes int64, again time.Duration)

// Runner runs jobs until it is stopped.
type Runner struct {
	mu    sync.Mutex
	queue jobs.Queue
	jobs  []Job
	from  time.Time
	bell  chan struct{}
}

// New makes one without jobs.
func New() *Runner { return &Runner{from: time.Now(), bell: make(chan struct{}, 1)} }

// Add makes a job of a priority (lower goes first) with budgets of ms of work and bytes a second, 0 for any; before Run
// only. The function returned asks for it to run at once.
func (r *Runner) Add(name string, priority int, msRate, byteRate float64, job Job) (ask func()) {
	i := r.queue.Add(name, priority, msRate, byteRate)
	r.jobs = append(r.jobs, job)
	return func() {
		r.mu.Lock()
		r.queue.Due(i, r.now())
		r.mu.Unlock()
		r.ring()
	}
}

func (r *Runner) now() float64 { return float64(time.Since(r.from))/1e6 + 1 }

func (r *Runner) ring() {
	select {
	case r.bell <- struct{}{}:
	default:
	}
}

// Run works with so many goroutines until ctx ends, and returns once no job runs.
func (r *Runner) Run(ctx context.Context, workers int) {
	var all sync.WaitGroup
	for range workers {
		all.Go(func() {
			for ctx.Err() == nil {
				r.mu.Lock()
				job, wait := r.queue.Next(r.now())
				r.mu.Unlock()
				if job < 0 {
					timer := time.NewTimer(time.Duration(wait * 1e6))
					select {
					case <-ctx.Done():
					case <-r.bell:
					case <-timer.C:
					}
					timer.Stop()
					continue
				}
				from := time.Now()
				bytes, again := r.jobs[job](ctx)
				r.mu.Lock()
				r.queue.Ran(r.now(), job, float64(time.Since(from))/1e6, float64(bytes), float64(again)/1e6)
				r.mu.Unlock()
				r.ring()
			}
		})
	}
	all.Wait()
}
