package verdict

import (
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// The order of floating-point operations in these functions must not change, because replay tests compare recorded
// decisions byte for byte.

// quantile returns the empirical quantile. It sorts values in place.
func quantile(share float64, values []float64) float64 {
	slices.Sort(values)
	return stat.Quantile(share, stat.Empirical, values, nil)
}

// variationCoefficient returns the standard deviation divided by the mean.
func variationCoefficient(values []float64) float64 {
	mean, deviation := stat.MeanStdDev(values, nil)
	return deviation / max(mean, 1e-9)
}

// interval returns a confidence interval for the mean that extends stdErrors standard errors to each side. minError
// is a lower limit for the standard error.
func interval(values []float64, stdErrors, minError float64) (low, high float64) {
	mean, deviation := stat.MeanStdDev(values, nil)
	half := stdErrors * max(deviation/math.Sqrt(float64(len(values))), minError)
	return mean - half, mean + half
}

// wassersteinDistance approximates the Wasserstein distance between two samples by ten quantiles. It sorts both in
// place.
func wassersteinDistance(x, y []float64) (distance float64) {
	slices.Sort(x)
	slices.Sort(y)
	for share := 0.05; share < 1; share += 0.1 {
		distance += math.Abs(stat.Quantile(share, stat.Empirical, x, nil)-stat.Quantile(share, stat.Empirical, y, nil)) / 10
	}
	return distance
}

// latencyRatioLowerBound returns the lower bound, at the given confidence level, on the ratio of x to y. It compares
// the means of their logarithms, and returns 0 if either has fewer than minCount values.
func latencyRatioLowerBound(x, y []float64, minCount int, level float64) float64 {
	if len(x) < minCount || len(y) < minCount {
		return 0
	}
	meanX, deviationX := stat.MeanStdDev(logarithms(x), nil)
	meanY, deviationY := stat.MeanStdDev(logarithms(y), nil)
	standardError := max(deviationX, deviationY) * math.Sqrt(1/float64(len(x))+1/float64(len(y)))
	return math.Exp(meanX - meanY - standardError*distuv.StudentsT{Sigma: 1, Nu: float64(len(x) - 1)}.Quantile(level))
}

func logarithms(values []float64) []float64 {
	return mapSlice(values, func(value float64) float64 { return math.Log(max(value, 1e-6)) })
}

// countAbove returns the number of values in x that exceed ratio times the median of y. It sorts y in place.
func countAbove(x, y []float64, ratio float64) (count float64) {
	if len(y) == 0 {
		return 0
	}
	bound := ratio * quantile(0.5, y)
	for _, value := range x {
		if value > bound {
			count++
		}
	}
	return count
}

// failurePosterior returns the posterior distribution of a failure share given the numbers of failures and successes:
// a beta distribution, with a prior that also gives meaningful results for few attempts and no failures.
func failurePosterior(failures, successes int) distuv.Beta {
	return distuv.Beta{Alpha: float64(failures) + 0.5, Beta: float64(successes) + 1}
}

// backendVariation returns how much a metric varies among the backends of one release, beyond what is due to chance
// with so few outcomes, as a standard deviation; 0 if too few backends have enough outcomes. It serves as a negative
// control: a difference between releases that also occurs between backends of one release is not caused by the
// release.
func backendVariation(outcomes []Outcome, extract metric) float64 {
	var byBackend [][]float64
	for _, outcome := range outcomes {
		for len(byBackend) <= outcome.Backend {
			byBackend = append(byBackend, nil)
		}
		if value, present := extract(outcome); present {
			byBackend[outcome.Backend] = append(byBackend[outcome.Backend], value)
		}
	}
	var means []float64
	chance := 0.0
	for _, values := range byBackend {
		if len(values) >= minPerBackend {
			mean, deviation := stat.MeanStdDev(values, nil)
			means = append(means, mean)
			chance += deviation * deviation / float64(len(values))
		}
	}
	if len(means) < minPerBackend {
		return 0
	}
	return math.Sqrt(max(stat.Variance(means, nil)-chance/float64(len(means)), 0))
}

// mapSlice applies a function to each element and returns the results.
func mapSlice[X, Y any](elements []X, apply func(X) Y) []Y {
	results := make([]Y, len(elements))
	for i := range elements {
		results[i] = apply(elements[i])
	}
	return results
}

// differences returns x minus y, element by element.
func differences(x, y []float64) []float64 {
	results := make([]float64, len(x))
	for i := range x {
		results[i] = x[i] - y[i]
	}
	return results
}
