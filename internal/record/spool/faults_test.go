package spool_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"onyxgate/internal/fake/memfs"
	"onyxgate/internal/record"
	"onyxgate/internal/record/spool"
)

var errDisk = errors.New("no space left")

// faultEntries fill enough segments that each operation fails at least once.
const faultEntries = 100

// failEvery makes each n-th operation of a kind on a segment fail. Of syncs of a directory it is each n-th of the
// incarnation's after the first, with which the incarnation begins.
func failEvery(n int, op string) func(op, name string, bytes int) (int, error) {
	calls, begun := 0, false
	return func(called, name string, bytes int) (int, error) {
		onSegment := strings.HasSuffix(name, spool.SegmentSuffix)
		onIncarnation := called == "syncdir" && strings.Count(name, "/") == 2
		if onIncarnation && !begun {
			begun = true
			return bytes, nil
		}
		if called != op || !onSegment && !onIncarnation {
			return bytes, nil
		}
		if calls++; calls%n == 0 {
			return bytes / 2, errDisk
		}
		return bytes, nil
	}
}

// Whatever fails at whichever moment, and however the power goes, what was durable is read once and nothing else claims
// an end.
func TestFaults(t *testing.T) {
	for _, op := range []string{"none", "create", "write", "sync", "close", "syncdir"} {
		for every := 2; every <= 5; every++ {
			t.Run(fmt.Sprint(op, every), func(t *testing.T) { failAndLosePower(t, failEvery(every, op), op != "none") })
		}
	}
}

func failAndLosePower(t *testing.T, fail func(op, name string, bytes int) (int, error), fails bool) {
	t.Helper()
	files := memfs.New()
	failures := 0
	files.Fail = func(op, name string, bytes int) (int, error) {
		part, err := fail(op, name, bytes)
		if err != nil {
			failures++
		}
		return part, err
	}
	name, durable := writeIncarnation(t, files, faultEntries)
	files.Fail = nil
	if (failures > 0) != fails {
		t.Errorf("%d operations failed", failures)
	}
	crash(t, files, 11) // 11 bytes of what no sync confirmed got to the disk
	reader, states := readAll(t, files, name)
	if len(reader.Replay.Defects) > 0 {
		t.Fatal(reader.Replay.Defects)
	}
	if len(durable) != faultEntries {
		t.Errorf("%d durable", len(durable))
	}
	for i := range faultEntries {
		request, want := fmt.Sprint("x", i), record.StateAnswered
		if i == faultEntries-1 {
			want = record.StateInDoubt
		}
		if state, ok := states[request]; !ok || state != want {
			t.Errorf("%s: %v %v, want %v", request, ok, state, want)
		}
	}
}

// killed is what a script panics with where the process is to be killed.
type killed struct{}

// untilKilled runs f and tells whether it was killed.
func runUntilKilled(f func()) (wasKilled bool) {
	defer func() {
		if x := recover(); x != nil {
			if _, ok := x.(killed); !ok {
				panic(x)
			}
			wasKilled = true
		}
	}()
	f()
	return false
}

// killAt kills at the n-th operation of a kind, or of any where op is empty; the first has number 0.
func killAt(n int, op string) func(op, name string, bytes int) (int, error) {
	calls := 0
	return func(called, _ string, bytes int) (int, error) {
		if op == "" || called == op {
			if calls++; calls-1 == n {
				panic(killed{})
			}
		}
		return bytes, nil
	}
}

// A kill within any of the operations of a life leaves a spool that the next life takes over, and a kill within that
// as well.
func TestKillAnywhere(t *testing.T) {
	for operation := 0; ; operation++ {
		if wasKilled := killTwice(t, operation); !wasKilled {
			if operation < 20 {
				t.Fatalf("only %d operations", operation)
			}
			return
		}
	}
}

// killOnceAndAgain kills a life at its n-th operation, and then each dropping of what it left. It tells whether the life
// had as many operations.
func killTwice(t *testing.T, operation int) (wasKilled bool) {
	t.Helper()
	files := memfs.New()
	var confirmed map[string]bool
	files.Fail = killAt(operation, "")
	wasKilled = runUntilKilled(func() { _, confirmed = writeIncarnation(t, files, 12) })
	files.Fail = nil
	crash(t, files, operation%50)
	opened, err := spool.Open(files, "root", "n1")
	if err != nil {
		t.Fatalf("killed at operation %d: %v", operation, err)
	}
	found := map[string]bool{}
	for _, name := range opened.Incarnations() {
		reader, states := readAll(t, files, name)
		if len(reader.Replay.Defects) > 0 {
			t.Fatalf("killed at operation %d: %v", operation, reader.Replay.Defects)
		}
		for request := range states {
			found[request] = true
		}
		// The second kill: in dropping what has been exported.
		files.Fail = killAt(operation%3, "remove")
		runUntilKilled(func() {
			if _, err := opened.RemoveIncarnation(name); err != nil {
				t.Error(err)
			}
		})
		files.Fail = nil
	}
	for request := range confirmed {
		if !found[request] {
			t.Errorf("killed at operation %d: %s is gone", operation, request)
		}
	}
	crash(t, files, 0)
	if opened, err = spool.Open(files, "root", "n1"); err != nil {
		t.Fatalf("killed at operation %d and again: %v", operation, err)
	}
	if _, err := opened.NewIncarnation(); err != nil {
		t.Fatal(err)
	}
	return wasKilled
}
