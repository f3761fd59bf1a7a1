package jobs

import "testing"

// queueTest defines the usage and limits of three jobs, and how often each has to run in ten seconds.
type queueTest struct {
	name              string
	runMs             [3]float64 // running time of each job
	maxMsPerSecond    [3]float64
	maxBytesPerSecond [3]float64
	bytesPerRun       float64
	minRuns, maxRuns  [3]int
}

// Jobs of higher priority run first, budgets are enforced, and no job starves.
func TestQueue(t *testing.T) {
	for _, c := range []queueTest{
		{"short runs of all jobs", [3]float64{1, 1, 1}, [3]float64{}, [3]float64{}, 0, [3]int{900, 900, 900}, [3]int{1001, 1001, 1001}},
		{"the first always busy", [3]float64{20, 1, 1}, [3]float64{}, [3]float64{}, 0, [3]int{400, 4, 2}, [3]int{500, 100, 100}},
		{"the first limited to 100 ms per second", [3]float64{20, 1, 1}, [3]float64{100, 0, 0}, [3]float64{}, 0, [3]int{48, 700, 700}, [3]int{60, 1001, 1001}},
		{"the second limited to 1000 bytes per second", [3]float64{1, 1, 1}, [3]float64{}, [3]float64{0, 1000, 0}, 500, [3]int{900, 18, 900}, [3]int{1001, 24, 1001}},
	} {
		t.Run(c.name, c.run)
	}
	t.Run("single job", testSingleJob)
}

func (c queueTest) run(t *testing.T) {
	var q Queue
	for i := range 3 {
		q.Add(Options{string(rune('a' + i)), i, c.maxMsPerSecond[i], c.maxBytesPerSecond[i]})
	}
	for now := 1.0; now < 10_000; {
		index, wait := q.Next(now)
		if index < 0 {
			if wait <= 0 {
				t.Fatalf("at %v ms: Next returned no job and wait %v, want a positive wait", now, wait)
			}
			now += wait
			continue
		}
		now += c.runMs[index]
		delay := 9.0
		if c.runMs[index] > delay { // a long run is continued immediately
			delay = 0
		}
		q.Completed(now, index, Usage{c.runMs[index], c.bytesPerRun}, delay)
	}
	for i := range 3 {
		if n := int(q.Runs(i)); n < c.minRuns[i] || n > c.maxRuns[i] {
			t.Errorf("job %s ran %d times, want %d to %d", q.Name(i), n, c.minRuns[i], c.maxRuns[i])
		}
	}
}

func testSingleJob(t *testing.T) {
	var q Queue
	index := q.Add(Options{Name: "x"})
	if got, _ := q.Next(1); got != index {
		t.Errorf("Next after Add = %d, want %d", got, index)
	}
	if got, _ := q.Next(1); got != -1 {
		t.Errorf("Next while the job runs = %d, want -1", got)
	}
	q.Completed(1, index, Usage{}, 500)
	if got, wait := q.Next(2); got != -1 || wait != 499 {
		t.Errorf("Next before the job is due = %d, wait %v, want -1, wait 499", got, wait)
	}
	if q.Schedule(index, 2); q.jobs[index].dueAt != 2 {
		t.Errorf("due at %v after Schedule(2), want 2", q.jobs[index].dueAt)
	}
}
