package endpoints

import (
	"fmt"
	"testing"

	"onyxgate/policy/concurrency"
)

// list adds a backend where it is new and updates it.
func list(table *Table, listed Endpoint, now float64) (index int, reused bool) {
	index, found := table.Find(listed.ID)
	if !found {
		index, reused = table.Add(listed.ID, now)
	}
	table.At(index).Update(listed, now)
	return index, reused
}

// What makes a listed endpoint a new process.
func TestIsNewProcess(t *testing.T) {
	for _, tc := range []struct {
		name   string
		listed Endpoint
		want   bool
	}{
		{"the same", Endpoint{ID: "a", Release: 1, StartedAt: 500}, false},
		{"it drains, in another zone, with another weight", Endpoint{ID: "a", Release: 1, StartedAt: 500, State: Draining, Zone: 1, Weight: 2}, false},
		{"it was restarted", Endpoint{ID: "a", Release: 1, StartedAt: 600}, true},
		{"it has another release", Endpoint{ID: "a", Release: 2, StartedAt: 500}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			table := NewTable()
			index, _ := table.Add("a", 1)
			if !table.At(index).IsNewProcess(Endpoint{ID: "a"}) {
				t.Error("an entry that was just added has a process")
			}
			list(table, Endpoint{ID: "a", Release: 1, StartedAt: 500}, 1000)
			if got := table.At(index).IsNewProcess(tc.listed); got != tc.want {
				t.Errorf("new process %v, want %v", got, tc.want)
			}
		})
	}
}

// Nothing that was learned of a process is believed of the next one.
func TestStartProcess(t *testing.T) {
	table := NewTable()
	index, _ := table.Add("a", 1)
	b := table.At(index)
	b.ResetForNewProcess(0, 1)
	b.Health.Add(500, false)
	b.Limit.OnSample(false, 3, 1)
	b.LatencyInflation = 4
	b.ResetForNewProcess(900, 1000)
	if b.Limit != concurrency.InitialLimit || b.LatencyInflation != 1 || b.UpSince != 900 {
		t.Errorf("after a restart: limit %v, inflation %v, up since %v", b.Limit, b.LatencyInflation, b.UpSince)
	}
	var fresh Backend
	if b.Health != fresh.Health {
		t.Errorf("after a restart: answers %v", b.Health)
	}
}

// A snapshot removes what it does not name, and a weight is never 0.
func TestRemoveAll(t *testing.T) {
	table := NewTable()
	a, _ := list(table, Endpoint{ID: "a", Weight: 2}, 1)
	b, _ := list(table, Endpoint{ID: "b"}, 1)
	table.RemoveAll(2)
	list(table, Endpoint{ID: "b"}, 2)
	if table.At(a).State != Removed || table.At(b).State != Running {
		t.Errorf("a is in state %d and b in %d", table.At(a).State, table.At(b).State)
	}
	if table.At(a).Weight != 2 || table.At(b).Weight != minWeight {
		t.Errorf("weights %v and %v", table.At(a).Weight, table.At(b).Weight)
	}
}

// When the entry of a removed backend is used again.
func TestReuse(t *testing.T) {
	for _, tc := range []struct {
		name         string
		backends     int
		openAttempts int
		after        float64 // ms since it was removed
		want         bool
	}{
		{"long gone", minBackendsForReuse, 0, reuseAfter + 1, true},
		{"just gone", minBackendsForReuse, 0, reuseAfter, false},
		{"an attempt is still open", minBackendsForReuse, 1, reuseAfter + 1, false},
		{"few entries", minBackendsForReuse - 1, 0, reuseAfter + 1, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			table := NewTable()
			for k := range tc.backends {
				list(table, Endpoint{ID: fmt.Sprint("b", k)}, 1)
			}
			gone, _ := list(table, Endpoint{ID: "b7", State: Removed}, 1000)
			table.At(gone).OpenAttempts = tc.openAttempts
			index, reused := list(table, Endpoint{ID: "new"}, 1000+tc.after)
			if reused != tc.want || (index == gone) != tc.want {
				t.Errorf("index %d, reused %v, want %v", index, reused, tc.want)
			}
			_, found := table.Find("b7")
			if ids, hashes := table.IndexSizes(); found == tc.want || ids != table.Len() || hashes != table.Len() {
				t.Errorf("the old id is found: %v; %d ids and %d hashes of %d entries", found, ids, hashes, table.Len())
			}
		})
	}
}
