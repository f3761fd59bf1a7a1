package sources

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"

	"onyxgate/policy"
)

func newFleet(n int) (fleet []Entry) {
	for i := range n {
		release := policy.ReleaseID(1)
		if i%50 == 0 {
			release = 2 // rolling out
		}
		fleet = append(fleet, Entry{Endpoint: policy.Endpoint{ID: fmt.Sprint("s-", i), Release: release, Zone: i % 2}})
	}
	return fleet
}

// Dimensions of the subsets in the tests.
const instances, subsetSize, minPerGroup = 50, 40, 3

// subsetsOf returns the subset of every instance.
func subsetsOf(instances int, fleet []Entry) (subsets []map[string]bool) {
	for i := range instances {
		subsets = append(subsets, Subset(SubsetOptions{i, instances, subsetSize, minPerGroup}, fleet))
	}
	return subsets
}

// countIn returns the number of backends of the fleet that have the release and are in the subset.
func countIn(subset map[string]bool, fleet []Entry, release policy.ReleaseID) (n int) {
	for _, e := range fleet {
		if subset[e.ID] && e.Release == release {
			n++
		}
	}
	return n
}

// The load is balanced, every release and zone is represented, and draining backends are included. Only a small share
// of the subsets' entries changes when a backend or an instance is added or removed.
func TestSubset(t *testing.T) {
	fleet := newFleet(1000)
	fleet[7].State = policy.EndpointDraining
	before := subsetsOf(instances, fleet)
	t.Run("size and groups", func(t *testing.T) {
		for i, subset := range before {
			candidates := countIn(subset, fleet, 2)
			if len(subset) < subsetSize || len(subset) > subsetSize+2*minPerGroup+1 || candidates < minPerGroup || !subset["s-7"] {
				t.Errorf("instance %d: subset of %d backends, %d of release 2, draining included: %v; want %d to %d, at least %d, true",
					i, len(subset), candidates, subset["s-7"], subsetSize, subsetSize+2*minPerGroup+1, minPerGroup)
			}
		}
	})
	t.Run("balanced load", func(t *testing.T) { checkLoad(t, fleet, before) })
	for _, c := range []struct {
		name      string
		instances int
		fleet     []Entry
		most      float64 // maximum share of the subsets' entries that changes
	}{
		{"a backend is removed", instances, append(slices.Clone(fleet[:500]), fleet[501:]...), 0.05},
		{"ten backends are added", instances, append(slices.Clone(fleet), newFleet(1010)[1000:]...), 0.2},
		{"an instance is added", instances + 1, fleet, 0.5},
	} {
		t.Run(c.name, func(t *testing.T) {
			if share := movedShare(before, subsetsOf(c.instances, c.fleet)[:instances]); share > c.most {
				t.Errorf("%s: a share of %.3f of the subsets' entries changes, want at most %v", c.name, share, c.most)
			}
		})
	}
	for _, size := range []int{0, 1000, 2000} {
		t.Run(fmt.Sprint("size ", size, " selects the whole fleet"), func(t *testing.T) {
			if subset := Subset(SubsetOptions{1, instances, size, minPerGroup}, fleet); len(subset) != 1000 {
				t.Errorf("size %d: subset of %d backends, want 1000", size, len(subset))
			}
		})
	}
}

func checkLoad(t *testing.T, fleet []Entry, subsets []map[string]bool) {
	load := map[string]int{}
	for _, subset := range subsets {
		for id := range subset {
			load[id]++
		}
	}
	for _, e := range fleet {
		inStable := e.Release == 1 && e.State == policy.EndpointRunning
		if inStable && (load[e.ID] < 2 || load[e.ID] > 3) {
			t.Errorf("%s is in the subsets of %d instances, want 2 or 3", e.ID, load[e.ID])
		}
	}
}

// movedShare returns the fraction of the entries of all subsets in after that the same subset in before did not have.
func movedShare(before, after []map[string]bool) float64 {
	moved, all := 0, 0
	for i, subset := range after {
		for id := range subset {
			if all++; !before[i][id] {
				moved++
			}
		}
	}
	return float64(moved) / float64(all)
}

// Applying the changes returned by a filter in order yields the subset of the current fleet.
func TestSubsetFilter(t *testing.T) {
	m := New()
	options := SubsetOptions{Instance: 1, Instances: 4, Size: 10, MinPerGroup: 2}
	filter, applied := NewSubsetFilter(options), map[string]policy.EndpointState{}
	random := rand.New(rand.NewPCG(5, 5))
	for step := range 500 {
		id, state := random.IntN(60), policy.EndpointState(random.IntN(3))
		changes := m.UpdateDiscovered(float64(step), []Entry{entry(id, id, state)}, false)
		for _, e := range filter.Apply(m.Fleet(), changes) {
			if applied[e.ID] = e.State; e.State == policy.EndpointRemoved {
				delete(applied, e.ID)
			}
		}
		var fleet []Entry
		for _, e := range m.Fleet().All() {
			fleet = append(fleet, e)
		}
		want := Subset(options, fleet)
		if len(applied) != len(want) {
			t.Fatalf("step %d: %d backends after applying the changes, want %d", step, len(applied), len(want))
		}
		for id, state := range applied {
			if e, _ := m.Fleet().Get(id); !want[id] || e.State != state {
				t.Fatalf("step %d: %s has state %v after applying the changes, want %v (in the subset: %v)", step, id, state, e.State, want[id])
			}
		}
	}
}

// Dimensions of the fleet in BenchmarkSubset.
const benchInstances, benchBackends, benchSize = 1000, 10_000, 50

// BenchmarkSubset compares the ring with random subsets and rendezvous hashing. Besides the run time it reports the
// balance (maximum instances per backend over the mean) and the churn when one instance is added.
func BenchmarkSubset(b *testing.B) {
	fleet := newFleet(benchBackends)
	for _, c := range []struct {
		name string
		pick func(instance, instances int) map[string]bool
	}{
		{"ring", func(instance, instances int) map[string]bool {
			return Subset(SubsetOptions{instance, instances, benchSize, 0}, fleet)
		}},
		{"random", func(instance, _ int) map[string]bool { return randomSubset(instance, fleet) }},
		{"rendezvous", func(instance, _ int) map[string]bool { return rendezvousSubset(instance, fleet) }},
	} {
		b.Run(c.name, func(b *testing.B) {
			for b.Loop() {
				c.pick(1, benchInstances)
			}
			reportBalance(b, c.pick)
		})
	}
}

func reportBalance(b *testing.B, pick func(instance, instances int) map[string]bool) {
	load, most := map[string]int{}, 0
	var before, after []map[string]bool // of every tenth instance
	for instance := range benchInstances {
		subset := pick(instance, benchInstances)
		for id := range subset {
			load[id]++
			most = max(most, load[id])
		}
		if instance%10 == 0 {
			before, after = append(before, subset), append(after, pick(instance, benchInstances+1))
		}
	}
	b.ReportMetric(float64(most)*benchBackends/benchInstances/benchSize, "max/mean")
	b.ReportMetric(movedShare(before, after), "moved")
}

func randomSubset(instance int, fleet []Entry) map[string]bool {
	subset, random := map[string]bool{}, rand.New(rand.NewPCG(uint64(instance), 1))
	for len(subset) < benchSize {
		subset[fleet[random.IntN(len(fleet))].ID] = true
	}
	return subset
}

func rendezvousSubset(instance int, fleet []Entry) map[string]bool {
	type scored struct {
		score uint64
		id    string
	}
	all := make([]scored, len(fleet))
	for i, e := range fleet {
		all[i] = scored{xxhash.Sum64String(fmt.Sprint(instance, "/", e.ID)), e.ID}
	}
	slices.SortFunc(all, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	subset := map[string]bool{}
	for _, s := range all[:benchSize] {
		subset[s.id] = true
	}
	return subset
}
