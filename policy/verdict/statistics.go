package verdict

import (
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// The functions here keep the order of their floating-point operations: recorded decisions are compared to the byte.

// quantile is the empirical quantile; it sorts its values.
func quantile(share float64, values []float64) float64 {
	slices.Sort(values)
	return stat.Quantile(share, stat.Empirical, values, nil)
}

// variationCoefficient is the standard deviation over the mean.
func variationCoefficient(values []float64) float64 {
	mean, deviation := stat.MeanStdDev(values, nil)
	return deviation / max(mean, 1e-9)
}

// interval is the confidence interval on the mean, so many standard errors to each side; the standard error counts as
// minError at the least.
func interval(values []float64, errors, minError float64) (low, high float64) {
	mean, deviation := stat.MeanStdDev(values, nil)
	half := errors * max(deviation/math.Sqrt(float64(len(values))), minError)
	return mean - half, mean + half
}

// wassersteinDistance is that of two samples, by ten quantiles; it sorts both.
func wassersteinDistance(x, y []float64) (distance float64) {
	slices.Sort(x)
	slices.Sort(y)
	for share := 0.05; share < 1; share += 0.1 {
		distance += math.Abs(stat.Quantile(share, stat.Empirical, x, nil)-stat.Quantile(share, stat.Empirical, y, nil)) / 10
	}
	return distance
}

// latencyRatioLowerBound is the lower bound, at a confidence level, on how many times larger x is than y, by the means of the
// logarithms; 0 where either has fewer than minCount values.
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

// countAbove counts the values of x that are more than so many times the median of y, which it sorts.
func countAbove(x, y []float64, times float64) (count float64) {
	if len(y) == 0 {
		return 0
	}
	bound := times * quantile(0.5, y)
	for _, value := range x {
		if value > bound {
			count++
		}
	}
	return count
}

// failurePosterior is the posterior of a failure share after so many failures and successes: a beta distribution with the
// prior that also tells something of few attempts and of no failures.
func failurePosterior(failures, successes int) distuv.Beta {
	return distuv.Beta{Alpha: float64(failures) + 0.5, Beta: float64(successes) + 1}
}

// backendVariation is how far the backends of one release differ among themselves in a figure, beyond what chance makes of so
// few outcomes: a standard deviation, 0 where too few backends have enough outcomes. It is a negative control: a difference
// between releases that backends of one release show as well does not come from the release.
func backendVariation(outcomes []Outcome, of metric) float64 {
	var byBackend [][]float64
	for _, outcome := range outcomes {
		for len(byBackend) <= outcome.Backend {
			byBackend = append(byBackend, nil)
		}
		if value, present := of(outcome); present {
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

// each applies a function to all elements.
func mapSlice[X, Y any](elements []X, apply func(X) Y) []Y {
	results := make([]Y, len(elements))
	for i := range elements {
		results[i] = apply(elements[i])
	}
	return results
}

// differences are x minus y, element by element.
func differences(x, y []float64) []float64 {
	results := make([]float64, len(x))
	for i := range x {
		results[i] = x[i] - y[i]
	}
	return results
}
