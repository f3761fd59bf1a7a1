// Package jobs decides which background job runs next: by priority, within each job's budget of time and bytes, and so
// that none waits for ever. It runs nothing, reads no clock and holds no goroutine; internal/jobs/runner does.
package jobs

const (
	// ageingMs: a job that has been due for so long goes ahead of those one priority above it.
	ageingMs = 1000.0
	// burstMs: what a job has not used of its budget is kept for so long.
	burstMs = 1000.0
)

// Options say how a job may run.
type Options struct {
	Name              string
	Priority          int     // lower goes first
	MaxMsPerSecond    float64 // ms of work in each second; 0: any
	MaxBytesPerSecond float64 // 0: any
}

// budget is what is left to a job of what it may use.
type budget struct {
	perSecond float64 // 0: any
	remaining float64 // below zero after a run that used more than there was
}

func newBudget(perSecond float64) budget { return budget{perSecond, perSecond * burstMs / 1000} }

// refill adds what a time (ms) brings, up to the burst.
func (b *budget) refill(passed float64) {
	b.remaining = min(b.remaining+passed*b.perSecond/1000, b.perSecond*burstMs/1000)
}

// wait returns how long (ms) it takes until nothing is owed.
func (b *budget) wait() float64 {
	if b.perSecond <= 0 || b.remaining >= 0 {
		return 0
	}
	return -b.remaining / b.perSecond * 1000
}

// job is one job with its state. Times are in ms of the callers' clock.
type job struct {
	Options
	workBudget, byteBudget budget
	refilledAt             float64 // 0: never
	dueAt                  float64
	running                bool
	runs                   uint64
}

// allowedAt refills the budgets and returns when they allow the job to run.
func (j *job) allowedAt(now float64) float64 {
	passed := 0.0
	if j.refilledAt != 0 {
		passed = max(now-j.refilledAt, 0)
	}
	j.refilledAt = now
	j.workBudget.refill(passed)
	j.byteBudget.refill(passed)
	return now + max(j.workBudget.wait(), j.byteBudget.wait())
}

// Queue holds the jobs, each under the index that Add returned. It is used by one goroutine at a time; the zero value is
// empty.
type Queue struct{ jobs []job }

// Add makes a job, due at once.
func (q *Queue) Add(o Options) (index int) {
	q.jobs = append(q.jobs, job{Options: o, workBudget: newBudget(o.MaxMsPerSecond), byteBudget: newBudget(o.MaxBytesPerSecond)})
	return len(q.jobs) - 1
}

// Name returns a job's name.
func (q *Queue) Name(index int) string { return q.jobs[index].Name }

// Runs returns how often a job has ended.
func (q *Queue) Runs(index int) uint64 { return q.jobs[index].runs }

// Schedule makes a job due at a time (ms), if it would not be sooner.
func (q *Queue) Schedule(index int, at float64) { q.jobs[index].dueAt = min(q.jobs[index].dueAt, at) }

// Next returns the job to run now, which then counts as running; -1: none before wait (ms) is over.
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

// Usage is what a run used.
type Usage struct{ Ms, Bytes float64 }

// Completed notes that a job's run ended: what it used, and in how long (ms) it wants to run again.
func (q *Queue) Completed(now float64, index int, used Usage, again float64) {
	j := &q.jobs[index]
	j.running = false
	j.runs++
	j.workBudget.remaining -= used.Ms
	j.byteBudget.remaining -= used.Bytes
	j.dueAt = now + again
}
