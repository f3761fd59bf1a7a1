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
			release = 2 // on trial
		}
		fleet = append(fleet, Entry{Endpoint: policy.Endpoint{ID: fmt.Sprint("s-", i), Release: release, Zone: i % 2}})
	}
	return fleet
}

// The subsets that the tests look at.
const instances, subsetSize, minPerGroup = 50, 40, 3

// subsetsOf returns every instance's subset.
func subsetsOf(instances int, fleet []Entry) (subsets []map[string]bool) {
	for i := range instances {
		subsets = append(subsets, Subset(SubsetOptions{i, instances, subsetSize, minPerGroup}, fleet))
	}
	return subsets
}

// countIn returns how many of a fleet are in a subset, of one release.
func countIn(subset map[string]bool, fleet []Entry, release policy.ReleaseID) (n int) {
	for _, e := range fleet {
		if subset[e.ID] && e.Release == release {
			n++
		}
	}
	return n
}

// The load is even, every release and zone is there, what drains is in, and little moves when a backend or an instance comes or goes.
func TestSubset(t *testing.T) {
	fleet := newFleet(1000)
	fleet[7].State = policy.EndpointDraining
	before := subsetsOf(instances, fleet)
	t.Run("size and groups", func(t *testing.T) {
		for i, subset := range before {
			trial := countIn(subset, fleet, 2)
			if len(subset) < subsetSize || len(subset) > subsetSize+2*minPerGroup+1 || trial < minPerGroup || !subset["s-7"] {
				t.Errorf("instance %d has %d, %d of them on trial", i, len(subset), trial)
			}
		}
	})
	t.Run("even load", func(t *testing.T) { checkLoad(t, fleet, before) })
	for _, c := range []struct {
		name      string
		instances int
		fleet     []Entry
		most      float64 // share of the subsets that changes
	}{
		{"an endpoint goes", instances, append(slices.Clone(fleet[:500]), fleet[501:]...), 0.05},
		{"ten come", instances, append(slices.Clone(fleet), newFleet(1010)[1000:]...), 0.2},
		{"an instance comes", instances + 1, fleet, 0.5},
	} {
		t.Run(c.name, func(t *testing.T) {
			if share := movedShare(before, subsetsOf(c.instances, c.fleet)[:instances]); share > c.most {
				t.Errorf("%s: %.3f of the subsets change", c.name, share)
			}
		})
	}
	for _, size := range []int{0, 1000, 2000} {
		t.Run(fmt.Sprint("size ", size, " leaves nothing out"), func(t *testing.T) {
			if subset := Subset(SubsetOptions{1, instances, size, minPerGroup}, fleet); len(subset) != 1000 {
				t.Errorf("size %d: %d", size, len(subset))
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
			t.Errorf("%s has %d instances, due are 2", e.ID, load[e.ID])
		}
	}
}

// movedShare returns the share of the subsets after that was not in those before.
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

// A filter's changes, applied in order, give the subset of the fleet as it is.
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
			t.Fatalf("step %d: %d applied, the subset has %d", step, len(applied), len(want))
		}
		for id, state := range applied {
			if e, _ := m.Fleet().Get(id); !want[id] || e.State != state {
				t.Fatalf("step %d: %s is %v, the fleet has %+v, in the subset: %v", step, id, state, e, want[id])
			}
		}
	}
}

// The fleet that BenchmarkSubset measures.
const benchInstances, benchBackends, benchSize = 1000, 10_000, 50

// BenchmarkSubset also measures balance, the most instances over the mean, and churn when one instance more comes, against
// random subsets and rendezvous hashing.
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
