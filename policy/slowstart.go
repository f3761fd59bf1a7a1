package policy

// This file owns how long a backend has been up, and by that what part of its capacity it has at the least.

// upSince is since when a backend has been up for certain, told its start by others' wall clock (0: long ago). That clock, or
// ours, may have been stepped since this process started, by an hour or by seconds: a fresh backend would then pass for a warm one. So one
// that comes while the process runs has been up since it was listed, which is later than its start by the list's delay and never
// too soon. One in the first list has its start believed, for there is nothing else to go by, but none in the future.
func (a *Agent) upSince(start float64) float64 {
	if start <= 0 {
		return 0
	}
	if a.listed {
		return a.now
	}
	return min(start, a.now)
}

// coldness is the part of its capacity that a backend has at the least.
func (a *Agent) coldness(i int) float64 {
	up := a.now - a.up[i]
	if a.up[i] <= 0 || a.warmTime <= 0 || up >= a.warmTime {
		return 1
	}
	return a.coldFrom + (1-a.coldFrom)*max(up, 0)/a.warmTime
}
