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
		{"median of an even number of values: the lower of the two", 0.5, []float64{4, 1, 3, 2}, 2},
		{"median of an odd number of values", 0.5, []float64{3, 1, 2}, 2},
		{"low quantile of ten", 0.3, []float64{10, 9, 8, 7, 6, 5, 4, 3, 2, 1}, 3},
		{"high quantile of ten", 0.9, []float64{10, 9, 8, 7, 6, 5, 4, 3, 2, 1}, 9},
	} {
		t.Run(c.name, func(t *testing.T) {
			expect(t, "quantile", quantile(c.share, c.values), c.want)
			expect(t, "values sorted", slices.IsSorted(c.values), true)
		})
	}
}

func TestInterval(t *testing.T) {
	for _, c := range []struct {
		name      string
		values    []float64
		stdErrors float64
		minError  float64
		low, high float64
	}{
		{"no deviation", []float64{2, 2, 2, 2}, 3, 0, 2, 2},
		{"no deviation, minimum error", []float64{2, 2, 2, 2}, 3, 0.1, 1.7, 2.3},
		{"one standard error", []float64{1, 3, 1, 3}, 1, 0, 2 - math.Sqrt(4.0/3)/2, 2 + math.Sqrt(4.0/3)/2},
		{"minimum error below the standard error", []float64{1, 3, 1, 3}, 1, 0.1, 2 - math.Sqrt(4.0/3)/2, 2 + math.Sqrt(4.0/3)/2},
	} {
		t.Run(c.name, func(t *testing.T) {
			low, high := interval(c.values, c.stdErrors, c.minError)
			expectNear(t, "low", low, c.low)
			expectNear(t, "high", high, c.high)
		})
	}
}

func TestWassersteinDistance(t *testing.T) {
	ten := []float64{1, 2, 3, 4, 5, 6, 7, 8, 9, 10}
	shifted := mapSlice(ten, func(value float64) float64 { return value + 2.5 })
	doubled := mapSlice(ten, func(value float64) float64 { return value * 2 })
	for _, c := range []struct {
		name string
		x, y []float64
		want float64
	}{
		{"equal samples", ten, slices.Clone(ten), 0},
		{"equal samples in different order", ten, []float64{10, 1, 9, 2, 8, 3, 7, 4, 6, 5}, 0},
		{"shifted", ten, shifted, 2.5},
		{"shifted, arguments swapped", shifted, ten, 2.5},
		{"doubled", ten, doubled, 5.5},
		{"samples of different size", []float64{4}, ten, 2.7},
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
		{"equal samples: interval includes 1", sample, sample, 0.95, 0.5, 1},
		{"three times, level 0.5: the ratio itself", tripled, sample, 0.5, 2.999, 3.001},
		{"three times, level 0.95", tripled, sample, 0.95, 1.5, 3},
		{"three times, level 0.999", tripled, sample, 0.999, 0.5, 2},
		{"too few x", sample[:3], sample, 0.95, 0, 0},
		{"too few y", sample, sample[:3], 0.95, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := latencyRatioLowerBound(c.x, c.y, 4, c.level); got < c.least || got > c.atMost {
				t.Errorf("latencyRatioLowerBound = %v, want %v to %v", got, c.least, c.atMost)
			}
		})
	}
}

func TestCountAbove(t *testing.T) {
	for _, c := range []struct {
		name  string
		x, y  []float64
		ratio float64
		want  float64
	}{
		{"no values to compare with", []float64{1, 2}, nil, 1, 0},
		{"all above", []float64{21, 22}, []float64{5, 10, 15}, 2, 2},
		{"value at the bound does not count", []float64{20, 20.1}, []float64{5, 10, 15}, 2, 1},
		{"none above", []float64{1, 19}, []float64{5, 10, 15}, 2, 0},
	} {
		t.Run(c.name, func(t *testing.T) { expect(t, "countAbove", countAbove(c.x, c.y, c.ratio), c.want) })
	}
}

// The posterior of a failure share has the mean (failures+0.5) / (attempts+1.5), and becomes more certain with more
// attempts.
func TestFailurePosterior(t *testing.T) {
	for _, c := range []struct {
		name                string
		failures, successes int
		mean                float64
	}{
		{"no attempts", 0, 0, 1.0 / 3},
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
		t.Errorf("P(failure share > 0.1) = %v after 1 of 4 failures and %v after 25 of 100, want the second to be larger and at least 0.999", few, many)
	}
}

// backendVariation is the variation among the backends of a release that chance does not explain.
func TestBackendVariation(t *testing.T) {
	for _, c := range []struct {
		name     string
		backends [][]float64 // latencies by backend
		want     float64
	}{
		{"no outcomes", nil, 0},
		{"too few backends", [][]float64{{10, 10, 10}, {20, 20, 20}}, 0},
		{"too few outcomes of one of three", [][]float64{{10, 10, 10}, {20, 20, 20}, {30, 30}}, 0},
		{"identical", [][]float64{{10, 10, 10}, {10, 10, 10}, {10, 10, 10}}, 0},
		{"different, no variation within a backend", [][]float64{{10, 10, 10}, {20, 20, 20}, {30, 30, 30}}, 10},
		{"no more different than by chance", [][]float64{{0, 10, 20}, {1, 11, 21}, {2, 12, 22}}, 0},
		{"more different than by chance", [][]float64{{9, 10, 11}, {19, 20, 21}, {29, 30, 31}}, math.Sqrt(100 - 1.0/3)},
	} {
		t.Run(c.name, func(t *testing.T) {
			var outcomes []Outcome
			for backend, latencies := range c.backends {
				for _, latency := range latencies {
					outcomes = append(outcomes, Outcome{Backend: backend, Latency: latency, comparable: true})
				}
				// Outcomes that are not comparable are ignored.
				outcomes = append(outcomes, Outcome{Backend: backend, Latency: 1e6, Failed: true})
			}
			expectNear(t, "backendVariation", backendVariation(outcomes, comparableLatency), c.want)
		})
	}
}

func TestVariationCoefficient(t *testing.T) {
	expectNear(t, "coefficient of equal values", variationCoefficient([]float64{0.5, 0.5, 0.5}), 0)
	expectNear(t, "coefficient of 1, 2, 3", variationCoefficient([]float64{1, 2, 3}), 0.5)
	expect(t, "coefficient of zeros", variationCoefficient([]float64{0, 0, 0}), 0)
}

// Latencies are compared if each arm has at least four.
func TestLatencyRatioMinCount(t *testing.T) {
	four := []float64{10, 11, 12, 13}
	for _, c := range []struct {
		x, y []float64
		want bool
	}{{four, four, true}, {four[:3], four, false}, {four, four[:3], false}} {
		t.Run(fmt.Sprint(len(c.x), " and ", len(c.y)), func(t *testing.T) {
			expect(t, "compared (bound above 0)", latencyRatioLowerBound(c.x, c.y, minSmallSample, 0.5) > 0, c.want)
		})
	}
}
