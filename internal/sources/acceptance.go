package sources

import "fmt"

const (
	// A snapshot or answer with fewer than minKeptShare of the entries of the source's previous view does not remove
	// anything until the source has reported such a reduced list shrinkConfirmations times in a row.
	minKeptShare        = 0.5
	shrinkConfirmations = 3
)

// acceptsOmissions reports whether the entries missing from a snapshot or answer of the source may be removed, where
// n is the number of entries it has and before the number in the source's view. It also sets or clears the doubt
// about the source.
func (m *Merger) acceptsOmissions(source Source, n, before int) bool {
	shrankTooMuch := float64(n) < minKeptShare*float64(before)
	lostAll := n == 0 && before != 0
	if !shrankTooMuch && !lostAll {
		m.consecutiveShrinks[source], m.Doubt[source] = 0, ""
		return true
	}
	m.consecutiveShrinks[source]++
	m.Doubt[source] = fmt.Sprintf("names %d of %d", n, before)
	// An empty list is never accepted: no fleet is empty, and a source that has lost its own data returns one.
	return n > 0 && m.consecutiveShrinks[source] >= shrinkConfirmations
}
