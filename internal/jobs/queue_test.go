package jobs

import "testing"

// queueTest is what three jobs use, and how often each of them runs in ten seconds.
type queueTest struct {
	name              string
	runMs             [3]float64 // ms of each job's run
	maxMsPerSecond    [3]float64
	maxBytesPerSecond [3]float64
	bytesPerRun       float64
	minRuns, maxRuns  [3]int
}

// Priorities hold, budgets bind, and nothing waits for ever.
func TestQueue(t *testing.T) {
	for _, c := range []queueTest{
		{"all idle enough", [3]float64{1, 1, 1}, [3]float64{}, [3]float64{}, 0, [3]int{900, 900, 900}, [3]int{1001, 1001, 1001}},
		{"the first wants all", [3]float64{20, 1, 1}, [3]float64{}, [3]float64{}, 0, [3]int{400, 4, 2}, [3]int{500, 100, 100}},
		{"the first within 100 ms a second", [3]float64{20, 1, 1}, [3]float64{100, 0, 0}, [3]float64{}, 0, [3]int{48, 700, 700}, [3]int{60, 1001, 1001}},
		{"the second within 1000 bytes a second", [3]float64{1, 1, 1}, [3]float64{}, [3]float64{0, 1000, 0}, 500, [3]int{900, 18, 900}, [3]int{1001, 24, 1001}},
	} {
		t.Run(c.name, c.run)
	}
	t.Run("one job", testSingleJob)
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
				t.Fatalf("at %v nothing runs and nothing is waited for", now)
			}
			now += wait
			continue
		}
		now += c.runMs[index]
		again := 9.0
		if c.runMs[index] > again { // it wants to run on
			again = 0
		}
		q.Completed(now, index, Usage{c.runMs[index], c.bytesPerRun}, again)
	}
	for i := range 3 {
		if n := int(q.Runs(i)); n < c.minRuns[i] || n > c.maxRuns[i] {
			t.Errorf("%s ran %d times, not %d to %d", q.Name(i), n, c.minRuns[i], c.maxRuns[i])
		}
	}
}

func testSingleJob(t *testing.T) {
	var q Queue
	index := q.Add(Options{Name: "x"})
	if got, _ := q.Next(1); got != index {
		t.Error("it is not due at once")
	}
	if got, _ := q.Next(1); got != -1 {
		t.Error("it runs beside itself")
	}
	q.Completed(1, index, Usage{}, 500)
	if got, wait := q.Next(2); got != -1 || wait != 499 {
		t.Errorf("it runs too soon: %d, %v", got, wait)
	}
	if q.Schedule(index, 2); q.jobs[index].dueAt != 2 {
		t.Error("it can't be asked for")
	}
}
