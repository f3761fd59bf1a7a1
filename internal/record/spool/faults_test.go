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

// faultEntries is large enough that each operation on segments fails at least once.
const faultEntries = 100

// failEvery fails every n-th operation of a kind on segments. For syncs of directories it fails every n-th of the
// incarnation's directory, not counting the one that creates the incarnation.
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

// Whichever operation fails, and whatever a power failure loses, durable entries are read exactly once with the right
// state.
func TestDurableEntriesSurviveFaults(t *testing.T) {
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
		t.Errorf("%d operations failed, want failures: %v", failures, fails)
	}
	crash(t, files, 11) // 11 bytes of the unsynced data survive
	reader, states := readAll(t, files, name)
	if len(reader.Replay.Defects) > 0 {
		t.Fatalf("defects = %v, want none", reader.Replay.Defects)
	}
	if len(durable) != faultEntries {
		t.Errorf("%d entries durable, want %d", len(durable), faultEntries)
	}
	for i := range faultEntries {
		request, want := fmt.Sprint("x", i), record.StateAnswered
		if i == faultEntries-1 {
			want = record.StateInDoubt
		}
		if state, ok := states[request]; !ok || state != want {
			t.Errorf("request %s: found = %v, state = %v, want true, %v", request, ok, state, want)
		}
	}
}

// killed is the value with which a script panics to simulate the death of the process.
type killed struct{}

// runUntilKilled runs f and reports whether it was killed.
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

// killAt kills at the n-th operation of a kind, or of any kind if op is empty, counting from 0.
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

// A kill during any operation of an incarnation leaves a spool that the next incarnation can take over, and so does a
// second kill during the takeover.
func TestKillAnywhere(t *testing.T) {
	for operation := 0; ; operation++ {
		if wasKilled := killTwice(t, operation); !wasKilled {
			if operation < 20 {
				t.Fatalf("an incarnation performed only %d operations, want at least 20", operation)
			}
			return
		}
	}
}

// killTwice kills an incarnation at the given operation and then each removal of the incarnations that it left. It
// reports whether the operation was reached.
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
			t.Fatalf("killed at operation %d: defects = %v, want none", operation, reader.Replay.Defects)
		}
		for request := range states {
			found[request] = true
		}
		// The second kill is during the removal of an exported incarnation.
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
			t.Errorf("killed at operation %d: confirmed request %s was not found", operation, request)
		}
	}
	crash(t, files, 0)
	if opened, err = spool.Open(files, "root", "n1"); err != nil {
		t.Fatalf("killed at operation %d and during the removal: %v", operation, err)
	}
	if _, err := opened.NewIncarnation(); err != nil {
		t.Fatal(err)
	}
	return wasKilled
}
