package sources

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"onyxgate/policy"
)

func address(i int) string { return fmt.Sprint("10.0.0.", i, ":1") }

func entry(id, at int, state policy.EndpointState) Entry {
	return Entry{Endpoint: policy.Endpoint{ID: fmt.Sprint("a", id), Release: 1, State: state, Weight: 1}, Address: address(at)}
}

func observations(which ...int) (out []Observation) {
	for _, i := range which {
		out = append(out, Observation{address(i), 0, 1})
	}
	return out
}

// formatFleet returns the fleet as text: id, address, state and the rule that decided.
func formatFleet(m *Merger) string {
	var all []string
	for id, e := range m.Fleet().All() {
		all = append(all, fmt.Sprintf("%s@%s %d %s", id, e.Address[len("10.0.0."):], e.State, e.Rule))
	}
	slices.Sort(all)
	return strings.Join(all, ", ")
}

func BenchmarkMerge(b *testing.B) {
	for _, n := range []int{100, 1_000, 10_000} {
		m := New()
		var list []Entry
		var named []Observation
		for i := range n {
			e := Entry{Endpoint: policy.Endpoint{ID: fmt.Sprint("a", i), Release: 1, Weight: 1}, Address: fmt.Sprint("10.1.0.1:", i)}
			list, named = append(list, e), append(named, Observation{e.Address, 0, 1})
		}
		m.UpdateDiscovered(1, list, true)
		m.UpdateResolved(1, named)
		b.Run(fmt.Sprint("one change of ", n), func(b *testing.B) {
			for k := 0; b.Loop(); k++ {
				e := list[k%n]
				e.State = policy.EndpointState(k / n % 2)
				m.UpdateDiscovered(2, []Entry{e}, false)
			}
		})
		m.UpdateDiscovered(1, list, true)
		b.Run(fmt.Sprint("whole refresh of ", n), func(b *testing.B) {
			for b.Loop() {
				m.UpdateResolved(2, named)
				m.UpdateDiscovered(2, list, true)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/backend")
		})
	}
}
