// Package jobs schedules background jobs. It picks the next job by priority, within each job's budget of time and
// bytes, and ages waiting jobs so that none starves. The package starts no goroutines and reads no clock;
// internal/jobs/runner runs the jobs.
package jobs

const (
	// ageingMs is the waiting time that raises a due job's priority by one level.
	ageingMs = 1000.0
	// burstMs limits how much unused budget a job accumulates: the budget of this many milliseconds.
	burstMs = 1000.0
)

// Options are the priority and the limits of a job.
type Options struct {
	Name              string
	Priority          int     // lower values run first
	MaxMsPerSecond    float64 // running time in ms per second; 0 means no limit
	MaxBytesPerSecond float64 // 0 means no limit
}

// budget is a token bucket for one of a job's limits.
type budget struct {
	perSecond float64 // 0 means no limit
	remaining float64 // negative after a run that used more than was available
}

func newBudget(perSecond float64) budget { return budget{perSecond, perSecond * burstMs / 1000} }

// refill adds the budget of the elapsed time (ms), up to the burst limit.
func (b *budget) refill(elapsed float64) {
	b.remaining = min(b.remaining+elapsed*b.perSecond/1000, b.perSecond*burstMs/1000)
}

// wait returns the time (ms) until the budget is no longer negative.
func (b *budget) wait() float64 {
	if b.perSecond <= 0 || b.remaining >= 0 {
		return 0
	}
	return -b.remaining / b.perSecond * 1000
}

// job is one job with its state. Times are in ms, by the clock that the callers of Queue use.
type job struct {
	Options
	workBudget, byteBudget budget
	refilledAt             float64 // 0 if never
	dueAt                  float64
	running                bool
	runs                   uint64
}

// allowedAt refills the budgets and returns the time at which they allow the job to run.
func (j *job) allowedAt(now float64) float64 {
	elapsed := 0.0
	if j.refilledAt != 0 {
		elapsed = max(now-j.refilledAt, 0)
	}
	j.refilledAt = now
	j.workBudget.refill(elapsed)
	j.byteBudget.refill(elapsed)
	return now + max(j.workBudget.wait(), j.byteBudget.wait())
}

// Queue holds the jobs. A job is identified by the index that Add returned. The zero value is an empty queue. A Queue
// is not safe for concurrent use.
type Queue struct{ jobs []job }

// Add adds a job that is due immediately.
func (q *Queue) Add(o Options) (index int) {
	q.jobs = append(q.jobs, job{Options: o, workBudget: newBudget(o.MaxMsPerSecond), byteBudget: newBudget(o.MaxBytesPerSecond)})
	return len(q.jobs) - 1
}

// Name returns a job's name.
func (q *Queue) Name(index int) string { return q.jobs[index].Name }

// Runs returns the number of completed runs of a job.
func (q *Queue) Runs(index int) uint64 { return q.jobs[index].runs }

// Schedule makes a job due at the given time (ms) unless it is due earlier already. While the job runs, Schedule has no
// lasting effect, because Completed sets the next due time.
func (q *Queue) Schedule(index int, at float64) { q.jobs[index].dueAt = min(q.jobs[index].dueAt, at) }

// Next returns the job to run now and marks it as running. If no job can run, it returns -1 and the time (ms) after
// which to call Next again.
func (q *Queue) Next(now float64) (index int, wait float64) {
	index, wait = -1, burstMs
	bestRank := 0.0
	for i := range q.jobs {
		j := &q.jobs[i]
		if j.running {
			continue
		}
		if at := max(j.dueAt, j.allowedAt(now)); at > now {
			wait = min(wait, at-now)
			continue
		}
		rank := float64(j.Priority) - (now-j.dueAt)/ageingMs
		if index < 0 || rank < bestRank {
			index, bestRank = i, rank
		}
	}
	if index < 0 {
		return -1, wait
	}
	q.jobs[index].running = true
	return index, 0
}

// Usage is the running time and the bytes that one run used.
type Usage struct{ Ms, Bytes float64 }

// Completed records the end of a job's run and subtracts what it used from its budgets. The job is due again after the
// given delay (ms).
func (q *Queue) Completed(now float64, index int, used Usage, delay float64) {
	j := &q.jobs[index]
	j.running = false
	j.runs++
	j.workBudget.remaining -= used.Ms
	j.byteBudget.remaining -= used.Bytes
	j.dueAt = now + delay
}
