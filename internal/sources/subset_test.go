package sources

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"

	"onyxgate/policy"
)

func fleetOf(n int) (out []Entry) {
	for i := range n {
		build := policy.ReleaseID(1)
		if i%50 == 0 {
			build = 2 // on trial
		}
		out = append(out, Entry{Endpoint: policy.Endpoint{ID: fmt.Sprint("s-", i), Release: build, Zone: i % 2}})
	}
	return out
}

// The load is even, every build and zone is there, what drains is in, and little moves when somebody comes or goes.
func TestSubset(t *testing.T) {
	const agents, size, least = 50, 40, 3
	fleet := fleetOf(1000)
	fleet[7].State = policy.EndpointDraining
	load, before := map[string]int{}, make([]map[string]bool, agents)
	for me := range agents {
		in := Subset(SubsetOptions{me, agents, size, least}, fleet)
		before[me] = in
		trial := 0
		for _, e := range fleet {
			if in[e.ID] {
				load[e.ID]++
				if e.Release == 2 {
					trial++
				}
			}
		}
		if len(in) < size || len(in) > size+2*least+1 || trial < least || !in["s-7"] {
			t.Errorf("agent %d has %d, %d of them on trial", me, len(in), trial)
		}
	}
	for _, e := range fleet {
		if e.Release == 1 && e.State == policy.EndpointRunning && (load[e.ID] < 2 || load[e.ID] > 3) {
			t.Errorf("%s has %d agents, due are 2", e.ID, load[e.ID])
		}
	}
	for _, c := range []struct {
		name   string
		agents int
		fleet  []Entry
		most   float64 // of a subset that changes
	}{
		{"an appliance goes", agents, append(slices.Clone(fleet[:500]), fleet[501:]...), 0.05},
		{"ten come", agents, append(slices.Clone(fleet), fleetOf(1010)[1000:]...), 0.2},
		{"an agent comes", agents + 1, fleet, 0.5},
	} {
		moved, all := 0, 0
		for me := range agents {
			for id := range Subset(SubsetOptions{me, c.agents, size, least}, c.fleet) {
				if all++; !before[me][id] {
					moved++
				}
			}
		}
		if share := float64(moved) / float64(all); share > c.most {
			t.Errorf("%s: %.3f of the subsets change", c.name, share)
		}
	}
	for _, size := range []int{0, 1000, 2000} {
		if in := Subset(SubsetOptions{1, agents, size, least}, fleet); len(in) != 1000 {
			t.Errorf("size %d: %d", size, len(in))
		}
	}
}

// BenchmarkSubset also measures balance, the most agents over the mean, and churn when one agent more comes, against
// random subsets and rendezvous hashing.
func BenchmarkSubset(b *testing.B) {
	const agents, appliances, size = 1000, 10_000, 50
	fleet := fleetOf(appliances)
	for _, c := range []struct {
		name string
		pick func(me, agents int) map[string]bool
	}{
		{"ring", func(me, agents int) map[string]bool { return Subset(SubsetOptions{me, agents, size, 0}, fleet) }},
		{"random", func(me, _ int) map[string]bool {
			in, r := map[string]bool{}, rand.New(rand.NewPCG(uint64(me), 1))
			for len(in) < size {
				in[fleet[r.IntN(appliances)].ID] = true
			}
			return in
		}},
		{"rendezvous", func(me, _ int) map[string]bool {
			type scored struct {
				score uint64
				id    string
			}
			all := make([]scored, appliances)
			for i, e := range fleet {
				all[i] = scored{xxhash.Sum64String(fmt.Sprint(me, "/", e.ID)), e.ID}
			}
			slices.SortFunc(all, func(a, b scored) int {
				if a.score > b.score {
					return -1
				}
				return 1
			})
			in := map[string]bool{}
			for _, s := range all[:size] {
				in[s.id] = true
			}
			return in
		}},
	} {
		b.Run(c.name, func(b *testing.B) {
			for b.Loop() {
				c.pick(1, agents)
			}
			load, most, moved, all := map[string]int{}, 0, 0, 0
			for me := range agents {
				in := c.pick(me, agents)
				for id := range in {
					load[id]++
					most = max(most, load[id])
				}
				if me%10 == 0 {
					for id := range c.pick(me, agents+1) {
						if all++; !in[id] {
							moved++
						}
					}
				}
			}
			b.ReportMetric(float64(most)*appliances/agents/size, "max/mean")
			b.ReportMetric(float64(moved)/float64(all), "moved")
		})
	}
}
