package verdict

import "slices"

const (
	// sliceCount is the number of time slices into which the outcomes of an arm are divided. equivalenceStdErrors
	// depends on it.
	sliceCount = 5
	// minPerSlice is the minimum number of outcomes in a slice.
	minPerSlice = minSample / sliceCount
	// maxSliceDistance is the maximum distance between slices of an arm, as a multiple of the distance between halves
	// of a slice. Beyond it, the arm's latency changes over time and its quantiles cannot be compared.
	maxSliceDistance = 2.0
)

// sliceByCount divides outcomes into slices of equal size.
func sliceByCount(outcomes []Outcome) [][]Outcome {
	parts := make([][]Outcome, 0, sliceCount)
	for i := range sliceCount {
		parts = append(parts, outcomes[i*len(outcomes)/sliceCount:(i+1)*len(outcomes)/sliceCount])
	}
	return parts
}

// sliceByTime divides outcomes at the times at which sliceByCount divides the reference, so that anything that
// affects both arms at the same time cancels out in the difference. Outcomes before the first or after the last of
// the reference, which must have at least sliceCount, are dropped. If a slice would be too small, it divides all
// outcomes by count instead, and the slices are not paired with those of the reference.
func sliceByTime(outcomes, reference []Outcome) (parts [][]Outcome, paired bool) {
	rest := outcomesSince(outcomes, reference)
	for i := range sliceCount {
		end := reference[(i+1)*len(reference)/sliceCount-1].EndedAt
		count := 0
		for count < len(rest) && rest[count].EndedAt <= end {
			count++
		}
		if count < minPerSlice {
			return sliceByCount(outcomes), false
		}
		parts = append(parts, rest[:count])
		rest = rest[count:]
	}
	return parts, true
}

// slicesAgree reports whether the mean distance between slices is at most maxSliceDistance times that between the
// halves of a slice. The latencies of each slice must be in order of time, because the halves of sorted latencies
// would always be similar.
func slicesAgree(latencySlices [][]float64) bool {
	var between, within float64
	pairs := 0.0
	for i := range latencySlices {
		var halves [2][]float64
		for k, latency := range latencySlices[i] {
			halves[k%2] = append(halves[k%2], latency)
		}
		within += wassersteinDistance(halves[0], halves[1]) / float64(len(latencySlices))
		for j := range i {
			between += wassersteinDistance(slices.Clone(latencySlices[i]), slices.Clone(latencySlices[j]))
			pairs++
		}
	}
	return between/pairs <= maxSliceDistance*within
}
