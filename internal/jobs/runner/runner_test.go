package runner

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"onyxgate/internal/jobs"
)

// start runs r with two workers. The returned function stops it and waits until Run has returned.
func start(t *testing.T, r *Runner) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan bool)
	go func() { r.Run(ctx, 2); close(ended) }()
	return func() { cancel(); <-ended }
}

// A job runs again after the delay that it returned, or immediately when requested. Runs of one job never overlap.
func TestRunner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := New()
		var runs, running atomic.Int32
		runNow := r.Add(jobs.Options{Name: "a"}, func(context.Context) (int64, time.Duration) {
			if running.Add(1) > 1 {
				t.Errorf("%d runs of the job overlap, want 1 at a time", running.Load())
			}
			time.Sleep(10 * time.Millisecond)
			running.Add(-1)
			runs.Add(1)
			return 0, time.Hour
		})
		stop := start(t, r)
		time.Sleep(time.Second)
		if n := runs.Load(); n != 1 {
			t.Errorf("%d runs in the first second, want 1", n)
		}
		runNow()
		time.Sleep(time.Second)
		if n := runs.Load(); n != 2 {
			t.Errorf("%d runs after runNow, want 2", n)
		}
		time.Sleep(time.Hour)
		if n := runs.Load(); n != 3 {
			t.Errorf("%d runs after the returned delay, want 3", n)
		}
		stop()
	})
}

// A job that exceeds its byte budget is delayed; a job without a limit is not.
func TestBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := New()
		var limited, free atomic.Int32
		count := func(n *atomic.Int32, bytes int64) Job {
			return func(context.Context) (int64, time.Duration) {
				n.Add(1)
				return bytes, 100 * time.Millisecond
			}
		}
		r.Add(jobs.Options{Name: "limited", MaxBytesPerSecond: 1000}, count(&limited, 1000))
		r.Add(jobs.Options{Name: "free", Priority: 1}, count(&free, 1000))
		stop := start(t, r)
		time.Sleep(10 * time.Second)
		stop()
		if limited.Load() < 9 || limited.Load() > 12 || free.Load() < 90 {
			t.Errorf("%d runs at 1,000 bytes per second, want 9 to 12; %d without a limit, want at least 90", limited.Load(), free.Load())
		}
	})
}

// Run returns only after a running job has finished.
func TestRunWaitsForRunningJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := New()
		var ended atomic.Bool
		r.Add(jobs.Options{Name: "slow"}, func(ctx context.Context) (int64, time.Duration) {
			<-ctx.Done()
			time.Sleep(time.Second)
			ended.Store(true)
			return 0, 0
		})
		stop := start(t, r)
		synctest.Wait()
		if stop(); !ended.Load() {
			t.Error("Run returned before the running job had finished")
		}
	})
}
