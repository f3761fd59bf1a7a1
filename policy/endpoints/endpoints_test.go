package endpoints

import (
	"fmt"
	"testing"

	"onyxgate/policy/concurrency"
)

// list updates a backend, adding it to the table if it is new.
func list(table *Table, listed Endpoint, now float64) (index int, reused bool) {
	index, found := table.Find(listed.ID)
	if !found {
		index, reused = table.Add(listed.ID, now)
	}
	table.At(index).Update(listed, now)
	return index, reused
}

// Only a changed start time or release makes a listed endpoint a new process.
func TestIsNewProcess(t *testing.T) {
	for _, tc := range []struct {
		name   string
		listed Endpoint
		want   bool
	}{
		{"unchanged", Endpoint{ID: "a", Release: 1, StartedAt: 500}, false},
		{"only state, zone and weight changed", Endpoint{ID: "a", Release: 1, StartedAt: 500, State: Draining, Zone: 1, Weight: 2}, false},
		{"restarted", Endpoint{ID: "a", Release: 1, StartedAt: 600}, true},
		{"another release", Endpoint{ID: "a", Release: 2, StartedAt: 500}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			table := NewTable()
			index, _ := table.Add("a", 1)
			if !table.At(index).IsNewProcess(Endpoint{ID: "a"}) {
				t.Error("IsNewProcess = false for a newly added entry, want true")
			}
			list(table, Endpoint{ID: "a", Release: 1, StartedAt: 500}, 1000)
			if got := table.At(index).IsNewProcess(tc.listed); got != tc.want {
				t.Errorf("IsNewProcess = %v, want %v", got, tc.want)
			}
		})
	}
}

// Measurements of a process are not carried over to the next one.
func TestResetForNewProcess(t *testing.T) {
	table := NewTable()
	index, _ := table.Add("a", 1)
	b := table.At(index)
	b.ResetForNewProcess(0, 1)
	b.Health.Add(500, false)
	b.Limit.OnSample(false, 3, 1)
	b.LatencyInflation = 4
	b.ResetForNewProcess(900, 1000)
	if b.Limit != concurrency.InitialLimit || b.LatencyInflation != 1 || b.UpSince != 900 {
		t.Errorf("after a restart: limit %v, inflation %v, up since %v; want %v, 1, 900", b.Limit, b.LatencyInflation, b.UpSince, concurrency.InitialLimit)
	}
	var fresh Backend
	if b.Health != fresh.Health {
		t.Errorf("after a restart: health record %+v, want an empty one", b.Health)
	}
}

// A snapshot removes the backends that it does not list, and a weight of 0 is raised to minWeight.
func TestRemoveAll(t *testing.T) {
	table := NewTable()
	a, _ := list(table, Endpoint{ID: "a", Weight: 2}, 1)
	b, _ := list(table, Endpoint{ID: "b"}, 1)
	table.RemoveAll(2)
	list(table, Endpoint{ID: "b"}, 2)
	if table.At(a).State != Removed || table.At(b).State != Running {
		t.Errorf("states of a and b: %d and %d, want %d and %d", table.At(a).State, table.At(b).State, Removed, Running)
	}
	if table.At(a).Weight != 2 || table.At(b).Weight != minWeight {
		t.Errorf("weights of a and b: %v and %v, want 2 and %v", table.At(a).Weight, table.At(b).Weight, minWeight)
	}
}

// An entry is reused only in a large table, a minute after its backend was removed, and with no attempt open.
func TestReuse(t *testing.T) {
	for _, tc := range []struct {
		name         string
		backends     int
		openAttempts int
		after        float64 // ms since the backend was removed
		want         bool
	}{
		{"removed over a minute ago", minBackendsForReuse, 0, reuseAfter + 1, true},
		{"removed a minute ago", minBackendsForReuse, 0, reuseAfter, false},
		{"an attempt is still open", minBackendsForReuse, 1, reuseAfter + 1, false},
		{"few entries", minBackendsForReuse - 1, 0, reuseAfter + 1, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			table := NewTable()
			for k := range tc.backends {
				list(table, Endpoint{ID: fmt.Sprint("b", k)}, 1)
			}
			removed, _ := list(table, Endpoint{ID: "b7", State: Removed}, 1000)
			table.At(removed).OpenAttempts = tc.openAttempts
			index, reused := list(table, Endpoint{ID: "new"}, 1000+tc.after)
			if reused != tc.want || (index == removed) != tc.want {
				t.Errorf("index %d (removed entry: %d), reused = %v, want %v", index, removed, reused, tc.want)
			}
			_, found := table.Find("b7")
			if ids, hashes := table.IndexSizes(); found == tc.want || ids != table.Len() || hashes != table.Len() {
				t.Errorf("old id found: %v, want %v; %d ids and %d hashes, want %d of each", found, !tc.want, ids, hashes, table.Len())
			}
		})
	}
}
