package sources

// This file owns when a source is believed in what it leaves out.

import "fmt"

const (
	// minKeptShare: a source that names less than this part of what it named before is not believed in what it leaves out
	// until it has said so shrinkConfirmations times in a row.
	minKeptShare        = 0.5
	shrinkConfirmations = 3
)

// acceptsOmissions reports whether a source that names n backends where it named `before` may be believed in what it leaves
// out; it marks the source as doubtful, or no longer so.
func (m *Merger) acceptsOmissions(source Source, n, before int) bool {
	shrankTooMuch := float64(n) < minKeptShare*float64(before)
	lostAll := n == 0 && before != 0
	if !shrankTooMuch && !lostAll {
		m.consecutiveShrinks[source], m.Doubt[source] = 0, ""
		return true
	}
	m.consecutiveShrinks[source]++
	m.Doubt[source] = fmt.Sprintf("names %d of %d", n, before)
	// An empty answer is never believed: no fleet is empty, and a source that lost its own sources answers so.
	return n > 0 && m.consecutiveShrinks[source] >= shrinkConfirmations
}
