package verdict

import (
	"fmt"
	"testing"
)

// outcomesAt returns outcomes that ended at first, first+step and so on.
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
			expect(t, "slice sizes", sizes(sliceByCount(outcomesAt(0, 1, c.count))), c.want)
		})
	}
}

func TestSliceByTime(t *testing.T) {
	reference := outcomesAt(100, 10, 20) // 100 to 290; the slices end at 130, 170, 210, 250 and 290
	for _, c := range []struct {
		name     string
		outcomes []Outcome
		want     string
		paired   bool
	}{
		{"same times as the reference", outcomesAt(100, 10, 20), "[4 4 4 4 4]", true},
		{"twice as many", outcomesAt(100, 5, 39), "[7 8 8 8 8]", true},
		{"outcomes before and after the reference are dropped", outcomesAt(50, 5, 60), "[7 8 8 8 8]", true},
		{"too few in one slice", outcomesAt(100, 13, 20), "[4 4 4 4 4]", false},
		{"all earlier", outcomesAt(0, 1, 25), "[5 5 5 5 5]", false},
		{"no outcomes", nil, "[0 0 0 0 0]", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			parts, paired := sliceByTime(c.outcomes, reference)
			expect(t, "slice sizes", sizes(parts), c.want)
			expect(t, "paired", paired, c.paired)
		})
	}
}

// Slices do not agree if they are much further apart than the halves of one slice.
func TestSlicesAgree(t *testing.T) {
	for _, c := range []struct {
		times float64 // latency factor of the last slice
		want  bool
	}{{1, true}, {1.05, true}, {3, false}, {0.3, false}} {
		t.Run(fmt.Sprint("last slice multiplied by ", c.times), func(t *testing.T) {
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
			expect(t, "slicesAgree", slicesAgree(latencySlices), c.want)
		})
	}
}

// The agreement gate requires at least four latencies in every slice.
func TestAgreementGateMinLatencies(t *testing.T) {
	for _, c := range []struct {
		last int // number of latencies in the last slice
		want bool
	}{{4, true}, {3, false}, {0, false}} {
		t.Run(fmt.Sprint(c.last), func(t *testing.T) {
			latencySlices := [][]float64{{1, 2, 3, 4}, {1, 2, 3, 4}, {1, 2, 3, 4}, {1, 2, 3, 4}, nil}
			latencySlices[4] = []float64{1, 2, 3, 4}[:c.last]
			expect(t, "agreementGate", agreementGate(latencySlices), c.want)
		})
	}
}
