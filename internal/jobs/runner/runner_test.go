package runner

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"onyxgate/internal/jobs"
)

// start runs a runner of two workers; the function returned ends it and waits for it.
func start(t *testing.T, r *Runner) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan bool)
	go func() { r.Run(ctx, 2); close(ended) }()
	return func() { cancel(); <-ended }
}

// A job runs again when it said, or at once when it is asked for; it never runs beside itself.
func TestRunner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := New()
		var runs, running atomic.Int32
		ask := r.Add(jobs.Options{Name: "a"}, func(context.Context) (int64, time.Duration) {
			if running.Add(1) > 1 {
				t.Error("it runs beside itself")
			}
			time.Sleep(10 * time.Millisecond)
			running.Add(-1)
			runs.Add(1)
			return 0, time.Hour
		})
		stop := start(t, r)
		time.Sleep(time.Second)
		if n := runs.Load(); n != 1 {
			t.Errorf("%d runs in the first second", n)
		}
		ask()
		time.Sleep(time.Second)
		if n := runs.Load(); n != 2 {
			t.Errorf("%d runs after it was asked for", n)
		}
		time.Sleep(time.Hour)
		if n := runs.Load(); n != 3 {
			t.Errorf("%d runs after the time that it said", n)
		}
		stop()
	})
}

// A job that moves more bytes than it may is kept waiting; another one is not.
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
			t.Errorf("%d runs at 1,000 bytes a second, %d without a limit", limited.Load(), free.Load())
		}
	})
}

// Run returns once no job runs, and no job starts after its context has ended.
func TestStop(t *testing.T) {
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
			t.Error("it returned while a job ran")
		}
	})
}
