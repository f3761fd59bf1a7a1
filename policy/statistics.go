package policy

import (
	"cmp"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

func failureCount(s []outcome) (n int) {
	for _, o := range s {
		if o.failed {
			n++
		}
	}
	return n
}

// withoutWorst leaves out the machine with most failures.
func withoutWorst(s []outcome) []outcome {
	count, worst := map[int]int{}, -1
	for _, o := range s {
		if o.failed {
			if count[o.backend]++; worst < 0 || count[o.backend] > count[worst] {
				worst = o.backend
			}
		}
	}
	return slices.DeleteFunc(slices.Clone(s), func(o outcome) bool { return o.backend == worst })
}

func breakCount(s []outcome) (n int) {
	for _, o := range s {
		if o.connectionBroken {
			n++
		}
	}
	return n
}

func successShare(s []outcome) float64 {
	if len(s) == 0 {
		return 1
	}
	return 1 - float64(failureCount(s))/float64(len(s))
}

func variationCoefficient(x []float64) float64 {
	m, sd := stat.MeanStdDev(x, nil)
	return sd / max(m, 1e-9)
}

func interval(d []float64, level, least float64) (lo, hi float64) {
	m, sd := stat.MeanStdDev(d, nil)
	h := level * max(sd/math.Sqrt(float64(len(d))), least)
	return m - h, m + h
}

// timeSlices cuts by count, or by the times at which by is cut, so that what befalls both arms falls out of the
// difference.
func timeSlices(s, by []outcome, cut, least int) (out [][]outcome, paired bool) {
	if by == nil {
		for k := 0; k < cut; k++ {
			out = append(out, s[k*len(s)/cut:(k+1)*len(s)/cut])
		}
		return out, true
	}
	from := 0
	for from < len(s) && s[from].at < by[0].at {
		from++
	}
	for k := 0; k < cut; k++ {
		end := by[(k+1)*len(by)/cut-1].at
		to := from
		for to < len(s) && s[to].at <= end {
			to++
		}
		out = append(out, s[from:to])
		if to-from < least {
			out, _ = timeSlices(s, nil, cut, least)
			return out, false
		}
		from = to
	}
	return out, true
}

// distance is Wasserstein's, by quantiles.
func distance(x, y []float64) (d float64) {
	slices.Sort(x)
	slices.Sort(y)
	for q := 0.05; q < 1; q += 0.1 {
		d += math.Abs(stat.Quantile(q, stat.Empirical, x, nil)-stat.Quantile(q, stat.Empirical, y, nil)) / 10
	}
	return d
}

// backendVariation is how far machines of one build differ among themselves, beyond what chance makes of so few outcomes: a
// negative control. A difference between builds that machines of one build show too is no word on the build.
func backendVariation(s []outcome, least int, fewest int, figure func(outcome) (float64, bool)) float64 {
	var by [][]float64
	for _, o := range s {
		for len(by) <= o.backend {
			by = append(by, nil)
		}
		if v, ok := figure(o); ok {
			by[o.backend] = append(by[o.backend], v)
		}
	}
	var means []float64
	chance := 0.0
	for _, v := range by {
		if len(v) >= least {
			m, sd := stat.MeanStdDev(v, nil)
			means = append(means, m)
			chance += sd * sd / float64(len(v))
		}
	}
	if len(means) < fewest {
		return 0
	}
	return math.Sqrt(max(stat.Variance(means, nil)-chance/float64(len(means)), 0))
}

func backendCount(s []outcome) float64 {
	seen := map[int]bool{}
	for _, o := range s {
		seen[o.backend] = true
	}
	return max(float64(len(seen)), 1)
}

func quantile(q float64, x []float64) float64 {
	slices.Sort(x)
	return stat.Quantile(q, stat.Empirical, x, nil)
}

// slicesAgree is gate two for latency: the distance between slices against that between halves of one.
func slicesAgree(s [][]float64, farMore float64) bool {
	// Halves are taken from the order of time: from an order of size they would be alike by construction.
	var between, within float64
	n := 0.0
	for i := range s {
		var h [2][]float64
		for k, v := range s[i] {
			h[k%2] = append(h[k%2], v)
		}
		within += distance(h[0], h[1]) / float64(len(s))
		for j := range i {
			between += distance(slices.Clone(s[i]), slices.Clone(s[j]))
			n++
		}
	}
	return between/n <= farMore*within
}

func (o outcome) comparableLatency() (float64, bool) { return o.latency, o.comparable }

func (o outcome) comparableLogLatency() (float64, bool) {
	return math.Log(max(o.latency, 1e-6)), o.comparable
}

func (o outcome) failureIndicator() (float64, bool) {
	if o.failed {
		return 1, true
	}
	return 0, true
}

// latencies are those that count, in order of time.
func latencies(s []outcome) []float64 {
	var out []float64
	for _, o := range s {
		if o.comparable {
			out = append(out, o.latency)
		}
	}
	return out
}

// countAbove counts the values of x beyond so many times the median of y.
func countAbove(x, y []float64, times float64) (n float64) {
	if len(y) == 0 {
		return 0
	}
	edge := times * quantile(0.5, y)
	for _, v := range x {
		if v > edge {
			n++
		}
	}
	return n
}

// latencyRatioLowerBound is the lower end of an interval on how many times larger x is than y, by the mean of logarithms.
func latencyRatioLowerBound(x, y []float64, least int, level float64) float64 {
	if len(x) < least || len(y) < least {
		return 0
	}
	m, sx := stat.MeanStdDev(logarithms(x), nil)
	n, sy := stat.MeanStdDev(logarithms(y), nil)
	h := max(sx, sy) * math.Sqrt(1/float64(len(x))+1/float64(len(y)))
	return math.Exp(m - n - h*distuv.StudentsT{Sigma: 1, Nu: float64(len(x) - 1)}.Quantile(level))
}

func each[X, Y any](s []X, f func(X) Y) []Y {
	out := make([]Y, len(s))
	for k := range s {
		out[k] = f(s[k])
	}
	return out
}

func differences(x, y []float64) []float64 {
	out := make([]float64, len(x))
	for k := range x {
		out[k] = x[k] - y[k]
	}
	return out
}

// outcomesSince leaves out what ended before the first of by.
func outcomesSince(s, by []outcome) []outcome {
	from := 0
	for from < len(s) && len(by) > 0 && s[from].at < by[0].at {
		from++
	}
	return s[from:]
}

// poolClasses joins products in order of time, by latency over each product's usual one.
func poolClasses(products [][]outcome) []outcome {
	all := slices.Concat(products...)
	slices.SortStableFunc(all, func(x, y outcome) int { return cmp.Compare(x.at, y.at) })
	for k := range all {
		all[k].latency = all[k].relativeLatency
	}
	return all
}

func logarithms(x []float64) []float64 {
	return each(x, func(v float64) float64 { return math.Log(max(v, 1e-6)) })
}
