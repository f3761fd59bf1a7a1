package verdict

import (
	"fmt"
	"math"
	"slices"
	"testing"
)

func TestQuantile(t *testing.T) {
	for _, c := range []struct {
		name   string
		share  float64
		values []float64
		want   float64
	}{
		{"one value", 0.5, []float64{7}, 7},
		{"median of an even number: the lower one", 0.5, []float64{4, 1, 3, 2}, 2},
		{"median of an odd number", 0.5, []float64{3, 1, 2}, 2},
		{"low quantile of ten", 0.3, []float64{10, 9, 8, 7, 6, 5, 4, 3, 2, 1}, 3},
		{"high quantile of ten", 0.9, []float64{10, 9, 8, 7, 6, 5, 4, 3, 2, 1}, 9},
	} {
		t.Run(c.name, func(t *testing.T) {
			expect(t, "quantile", quantile(c.share, c.values), c.want)
			expect(t, "sorted", slices.IsSorted(c.values), true)
		})
	}
}

func TestInterval(t *testing.T) {
	for _, c := range []struct {
		name      string
		values    []float64
		errors    float64
		minError  float64
		low, high float64
	}{
		{"no deviation", []float64{2, 2, 2, 2}, 3, 0, 2, 2},
		{"no deviation, least error", []float64{2, 2, 2, 2}, 3, 0.1, 1.7, 2.3},
		{"one standard error", []float64{1, 3, 1, 3}, 1, 0, 2 - math.Sqrt(4.0/3)/2, 2 + math.Sqrt(4.0/3)/2},
		{"the least error is below", []float64{1, 3, 1, 3}, 1, 0.1, 2 - math.Sqrt(4.0/3)/2, 2 + math.Sqrt(4.0/3)/2},
	} {
		t.Run(c.name, func(t *testing.T) {
			low, high := interval(c.values, c.errors, c.minError)
			expectNear(t, "low", low, c.low)
			expectNear(t, "high", high, c.high)
		})
	}
}

func TestWassersteinDistance(t *testing.T) {
	ten := []float64{1, 2, 3, 4, 5, 6, 7, 8, 9, 10}
	moved := mapSlice(ten, func(value float64) float64 { return value + 2.5 })
	doubled := mapSlice(ten, func(value float64) float64 { return value * 2 })
	for _, c := range []struct {
		name string
		x, y []float64
		want float64
	}{
		{"the same", ten, slices.Clone(ten), 0},
		{"the same in another order", ten, []float64{10, 1, 9, 2, 8, 3, 7, 4, 6, 5}, 0},
		{"moved", ten, moved, 2.5},
		{"moved, the other way", moved, ten, 2.5},
		{"doubled", ten, doubled, 5.5},
		{"samples of two sizes", []float64{4}, ten, 2.7},
	} {
		t.Run(c.name, func(t *testing.T) {
			expectNear(t, "distance", wassersteinDistance(slices.Clone(c.x), slices.Clone(c.y)), c.want)
		})
	}
}

func TestLatencyRatioLowerBound(t *testing.T) {
	sample := []float64{50, 60, 70, 80, 90, 100}
	tripled := mapSlice(sample, func(value float64) float64 { return 3 * value })
	for _, c := range []struct {
		name          string
		x, y          []float64
		level         float64
		least, atMost float64
	}{
		{"the same: the ratio 1 is inside", sample, sample, 0.95, 0.5, 1},
		{"three times, at the median: the ratio itself", tripled, sample, 0.5, 2.999, 3.001},
		{"three times, surely", tripled, sample, 0.95, 1.5, 3},
		{"three times, more surely", tripled, sample, 0.999, 0.5, 2},
		{"too few of one", sample[:3], sample, 0.95, 0, 0},
		{"too few of the other", sample, sample[:3], 0.95, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := latencyRatioLowerBound(c.x, c.y, 4, c.level); got < c.least || got > c.atMost {
				t.Errorf("got %v, want %v to %v", got, c.least, c.atMost)
			}
		})
	}
}

func TestCountAbove(t *testing.T) {
	for _, c := range []struct {
		name  string
		x, y  []float64
		times float64
		want  float64
	}{
		{"nothing to compare with", []float64{1, 2}, nil, 1, 0},
		{"all above", []float64{21, 22}, []float64{5, 10, 15}, 2, 2},
		{"at the bound is not above", []float64{20, 20.1}, []float64{5, 10, 15}, 2, 1},
		{"none above", []float64{1, 19}, []float64{5, 10, 15}, 2, 0},
	} {
		t.Run(c.name, func(t *testing.T) { expect(t, "above", countAbove(c.x, c.y, c.times), c.want) })
	}
}

// The posterior of a share: its mean is (failures+0.5) / (attempts+1.5), and more attempts make it surer.
func TestFailurePosterior(t *testing.T) {
	for _, c := range []struct {
		name                string
		failures, successes int
		mean                float64
	}{
		{"no attempt", 0, 0, 1.0 / 3},
		{"no failure of 8", 0, 8, 0.5 / 9.5},
		{"half of 10", 5, 5, 5.5 / 11.5},
		{"all of 9", 9, 0, 9.5 / 10.5},
	} {
		t.Run(c.name, func(t *testing.T) {
			expectNear(t, "mean", failurePosterior(c.failures, c.successes).Mean(), c.mean)
		})
	}
	few, many := 1-failurePosterior(1, 3).CDF(0.1), 1-failurePosterior(25, 75).CDF(0.1)
	if few >= many || many < 0.999 {
		t.Errorf("a share above 0.1: probability %v after 1 of 4, %v after 25 of 100", few, many)
	}
}

// Backends of one release differ by what chance does not explain, or not at all.
func TestBackendVariation(t *testing.T) {
	for _, c := range []struct {
		name     string
		backends [][]float64 // latencies by backend
		want     float64
	}{
		{"none", nil, 0},
		{"too few backends", [][]float64{{10, 10, 10}, {20, 20, 20}}, 0},
		{"too few outcomes of one of three", [][]float64{{10, 10, 10}, {20, 20, 20}, {30, 30}}, 0},
		{"alike", [][]float64{{10, 10, 10}, {10, 10, 10}, {10, 10, 10}}, 0},
		{"apart, steady", [][]float64{{10, 10, 10}, {20, 20, 20}, {30, 30, 30}}, 10},
		{"no further apart than chance", [][]float64{{0, 10, 20}, {1, 11, 21}, {2, 12, 22}}, 0},
		{"further apart than chance", [][]float64{{9, 10, 11}, {19, 20, 21}, {29, 30, 31}}, math.Sqrt(100 - 1.0/3)},
	} {
		t.Run(c.name, func(t *testing.T) {
			var outcomes []Outcome
			for backend, latencies := range c.backends {
				for _, latency := range latencies {
					outcomes = append(outcomes, Outcome{Backend: backend, Latency: latency, comparable: true})
				}
				// What is not comparable has no part in it.
				outcomes = append(outcomes, Outcome{Backend: backend, Latency: 1e6, Failed: true})
			}
			expectNear(t, "variation", backendVariation(outcomes, comparableLatency), c.want)
		})
	}
}

func TestVariationCoefficient(t *testing.T) {
	expectNear(t, "none", variationCoefficient([]float64{0.5, 0.5, 0.5}), 0)
	expectNear(t, "some", variationCoefficient([]float64{1, 2, 3}), 0.5)
	expect(t, "of nothing but 0", variationCoefficient([]float64{0, 0, 0}), 0)
}

// Few latencies are compared from four of each arm on.
func TestLatencyRatioMinCount(t *testing.T) {
	four := []float64{10, 11, 12, 13}
	for _, c := range []struct {
		x, y []float64
		want bool
	}{{four, four, true}, {four[:3], four, false}, {four, four[:3], false}} {
		t.Run(fmt.Sprint(len(c.x), " and ", len(c.y)), func(t *testing.T) {
			expect(t, "compared", latencyRatioLowerBound(c.x, c.y, minSmallSample, 0.5) > 0, c.want)
		})
	}
}
