// Package jobs decides which background job runs next: by priority, within each job's budget of time and bytes, and so
// that none waits for ever. It must never run anything, read a clock or hold a goroutine; internal/jobs/runner does.
package jobs

// ageing (ms): a job that has been due for so long goes ahead of those one priority above it.
const ageing = 1000.0

// burst (ms): what a job has not used of its budget is kept for so long.
const burst = 1000.0

// Queue holds the jobs under a dense index.
type Queue struct {
	name     []string
	priority []int     // lower goes first
	msRate   []float64 // ms of work a second; 0: any
	byteRate []float64 // bytes a second; 0: any
	msLeft   []float64
	left     []float64
	filled   []float64 // when the budgets were last filled
	due      []float64
	running  []bool
	Runs     []uint64
}

// Add makes a job, due at once.
func (q *Queue) Add(name string, priority int, msRate, byteRate float64) (job int) {
	q.name, q.priority = append(q.name, name), append(q.priority, priority)
	q.msRate, q.byteRate = append(q.msRate, msRate), append(q.byteRate, byteRate)
	q.msLeft, q.left = append(q.msLeft, msRate*burst/1000), append(q.left, byteRate*burst/1000)
	q.filled, q.due = append(q.filled, 0), append(q.due, 0)
	q.running, q.Runs = append(q.running, false), append(q.Runs, 0)
	return len(q.name) - 1
}

// Name is a job's.
func (q *Queue) Name(job int) string { return q.name[job] }

// Due asks for a job to run from `at` (ms) on, if it would not sooner.
func (q *Queue) Due(job int, at float64) { q.due[job] = min(q.due[job], at) }

// Next is the job to run now, which then counts as running; -1: none before wait (ms) is over.
func (q *Queue) Next(now float64) (job int, wait float64) {
	job, wait = -1, burst
	best := 0.0
	for i := range q.name {
		if q.running[i] {
			continue
		}
		if at := max(q.due[i], q.paid(now, i)); at > now {
			wait = min(wait, at-now)
			continue
		}
		rank := float64(q.priority[i]) - (now-q.due[i])/ageing
		if job < 0 || rank < best {
			job, best = i, rank
		}
	}
	if job >= 0 {
		q.running[job] = true
		return job, 0
	}
	return -1, wait
}

// paid fills a job's budgets and tells when they allow it to run.
func (q *Queue) paid(now float64, job int) float64 {
	passed := max(now-q.filled[job], 0)
	if q.filled[job] == 0 {
		passed = 0
	}
	q.filled[job] = now
	at := now
	for _, b := range []struct {
		left *float64
		rate float64
	}{{&q.msLeft[job], q.msRate[job]}, {&q.left[job], q.byteRate[job]}} {
		if b.rate <= 0 {
			continue
		}
		*b.left = min(*b.left+passed*b.rate/1000, b.rate*burst/1000)
		if *b.left < 0 {
			at = max(at, now-*b.left/b.rate*1000)
		}
	}
	return at
}

// Ran tells that a job ended: what it used, and when (ms from now) it wants to run again.
func (q *Queue) Ran(now float64, job int, tookMs, bytes, again float64) {
	q.running[job] = false
	q.Runs[job]++
	q.msLeft[job] -= tookMs
	q.left[job] -= bytes
	q.due[job] = now + again
}
