package verdict

import (
	"fmt"
	"testing"
)

// outcomesAt are outcomes that ended at the times first, first+step and so on.
func outcomesAt(first, step float64, count int) (outcomes []Outcome) {
	for i := range count {
		outcomes = append(outcomes, Outcome{EndedAt: first + float64(i)*step, Latency: 10, comparable: true})
	}
	return outcomes
}

func sizes(parts [][]Outcome) []int {
	return mapSlice(parts, func(part []Outcome) int { return len(part) })
}

func TestSliceByCount(t *testing.T) {
	for _, c := range []struct {
		count int
		want  string
	}{{0, "[0 0 0 0 0]"}, {4, "[0 1 1 1 1]"}, {20, "[4 4 4 4 4]"}, {23, "[4 5 4 5 5]"}} {
		t.Run(fmt.Sprint(c.count), func(t *testing.T) {
			expect(t, "sizes", sizes(sliceByCount(outcomesAt(0, 1, c.count))), c.want)
		})
	}
}

func TestSliceByTime(t *testing.T) {
	reference := outcomesAt(100, 10, 20) // 100 to 290; slices end at 130, 170, 210, 250 and 290
	for _, c := range []struct {
		name     string
		outcomes []Outcome
		want     string
		paired   bool
	}{
		{"at the same times", outcomesAt(100, 10, 20), "[4 4 4 4 4]", true},
		{"twice as many", outcomesAt(100, 5, 39), "[7 8 8 8 8]", true},
		{"what ended before or after the reference is left out", outcomesAt(50, 5, 60), "[7 8 8 8 8]", true},
		{"too few in one slice", outcomesAt(100, 13, 20), "[4 4 4 4 4]", false},
		{"all earlier", outcomesAt(0, 1, 25), "[5 5 5 5 5]", false},
		{"none", nil, "[0 0 0 0 0]", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			parts, paired := sliceByTime(c.outcomes, reference)
			expect(t, "sizes", sizes(parts), c.want)
			expect(t, "paired", paired, c.paired)
		})
	}
}

// The agreement gate for latency: slices further apart than a slice is from itself do not agree.
func TestSlicesAgree(t *testing.T) {
	for _, c := range []struct {
		times float64 // the last slice against the others
		want  bool
	}{{1, true}, {1.05, true}, {3, false}, {0.3, false}} {
		t.Run(fmt.Sprint("last slice times ", c.times), func(t *testing.T) {
			var latencySlices [][]float64
			for k := range 5 {
				var latencies []float64
				for n := range 40 {
					latency := 50 + float64((n*37+k*11)%101)
					if k == 4 {
						latency *= c.times
					}
					latencies = append(latencies, latency)
				}
				latencySlices = append(latencySlices, latencies)
			}
			expect(t, "agree", slicesAgree(latencySlices), c.want)
		})
	}
}

// Every slice needs its least number of latencies, four.
func TestAgreementGateMinLatencies(t *testing.T) {
	for _, c := range []struct {
		last int // latencies in the last slice
		want bool
	}{{4, true}, {3, false}, {0, false}} {
		t.Run(fmt.Sprint(c.last), func(t *testing.T) {
			latencySlices := [][]float64{{1, 2, 3, 4}, {1, 2, 3, 4}, {1, 2, 3, 4}, {1, 2, 3, 4}, nil}
			latencySlices[4] = []float64{1, 2, 3, 4}[:c.last]
			expect(t, "agree", agreementGate(latencySlices), c.want)
		})
	}
}
