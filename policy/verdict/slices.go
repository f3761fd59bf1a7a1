package verdict

import "slices"

const (
	// sliceCount is into how many slices in order of time the outcomes of an arm are cut; equivalenceErrors goes by it.
	sliceCount = 5
	// minPerSlice is the least number of outcomes in a slice.
	minPerSlice = minSample / sliceCount
	// maxSliceDistance is how many times further apart slices of one arm may be than halves of one slice are: beyond it the
	// arm has not the same latency all the time, and its quantiles compare nothing.
	maxSliceDistance = 2.0
)

// sliceByCount cuts outcomes into slices of equal size.
func sliceByCount(outcomes []Outcome) [][]Outcome {
	parts := make([][]Outcome, 0, sliceCount)
	for i := range sliceCount {
		parts = append(parts, outcomes[i*len(outcomes)/sliceCount:(i+1)*len(outcomes)/sliceCount])
	}
	return parts
}

// sliceByTime cuts outcomes at the times at which sliceByCount cuts the reference, so that what befalls both arms at one time
// falls out of the difference. Where a slice would have too few they are cut by count, and are not paired with the reference's.
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

// slicesAgree is the agreement gate for latency: slices are hardly further apart than halves of one slice. The latencies of each
// slice are in order of time; halves of an order by size would be alike by construction.
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
