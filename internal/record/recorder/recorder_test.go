package recorder

import (
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"onyxgate/internal/core"
	"onyxgate/internal/fake/memfs"
	"onyxgate/internal/record"
	"onyxgate/internal/record/spool"
)

// newOnFake returns a recorder on a file system whose failures are scripted.
func newOnFake(t *testing.T, files *memfs.FS, config Config) *Recorder {
	t.Helper()
	r, err := newOn(files, "root", testOptions(config))
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// A response waits for its entry to be synced, but no longer than CommitDelay or its remaining time, and no longer once
// the sync has failed.
func TestBeforeResponseWait(t *testing.T) {
	for _, c := range []struct {
		name             string
		sync             time.Duration // duration of a sync
		err              error
		timeLeft         float64 // ms
		minWait, maxWait time.Duration
		unsynced         uint64
	}{
		{"fast disk", time.Millisecond, nil, 1000, time.Millisecond, 3 * time.Millisecond, 0},
		{"slow disk", 80 * time.Millisecond, nil, 1000, 80 * time.Millisecond, 85 * time.Millisecond, 0},
		{"hanging disk", 10 * time.Second, nil, 1000, 249 * time.Millisecond, 251 * time.Millisecond, 1},
		{"little time left", 80 * time.Millisecond, nil, 20, 19 * time.Millisecond, 21 * time.Millisecond, 1},
		{"no time left", 80 * time.Millisecond, nil, -5, 0, time.Millisecond, 1},
		{"failing sync", time.Millisecond, errors.New("injected sync failure"), 1000, time.Millisecond, 3 * time.Millisecond, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				files := memfs.New()
				var failing atomic.Bool
				files.Fail = func(op, name string, bytes int) (int, error) {
					if op == "sync" && strings.HasSuffix(name, ".seg") && failing.Load() {
						time.Sleep(c.sync)
						return 0, c.err
					}
					return bytes, nil
				}
				config := DefaultConfig()
				config.Mode, config.StallAfter = "spool", span(5*time.Second)
				r := newOnFake(t, files, config)
				stop := start(r)
				failing.Store(true)
				from, now := time.Now(), r.now()
				completion := core.Completion{RequestID: "t", Kind: core.ActionServe, Now: now, Body: []byte("b")}
				ordinal := r.BeforeResponse(completion, now+c.timeLeft)
				if took := time.Since(from); took < c.minWait || took > c.maxWait {
					t.Errorf("BeforeResponse took %v, want %v to %v", took, c.minWait, c.maxWait)
				}
				if n := r.Status().Unsynced; n != c.unsynced {
					t.Errorf("Unsynced = %d, want %d", n, c.unsynced)
				}
				failing.Store(false)
				r.AfterResponse(ordinal, r.now(), true)
				time.Sleep(20 * time.Second)
				stop()
				expectOneAnswered(t, files, r.writer.Incarnation)
			})
		})
	}
}

// expectOneAnswered checks that the entry is read exactly once, with its completion.
func expectOneAnswered(t *testing.T, files spool.FS, incarnation string) {
	t.Helper()
	reader := spool.OpenReadOnly(files, "root", "n1").NewReader(incarnation, true)
	rows := rowsOfIncarnation(t, reader)
	if defects := reader.Replay.Defects; len(defects) > 0 {
		t.Errorf("defects = %v, want none", defects)
	}
	if len(rows) != 1 || rows[0].State != record.StateAnswered || rows[0].Entry.Class != "p" {
		t.Errorf("rows = %v, want one row of class p in state %v", rows, record.StateAnswered)
	}
}

// While the disk fails, requests are handled as configured, unrecorded responses are counted in a gap, and no request
// waits.
func TestWhenFull(t *testing.T) {
	for _, policy := range []string{"keep-serving", "decline"} {
		t.Run(policy, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { whileDiskFails(t, policy) })
		})
	}
}

func whileDiskFails(t *testing.T, policy string) {
	t.Helper()
	files := memfs.New()
	var failing atomic.Bool
	files.Fail = func(op, _ string, bytes int) (int, error) {
		if op == "write" && failing.Load() {
			return bytes / 3, errors.New("no space left on device")
		}
		return bytes, nil
	}
	config := DefaultConfig()
	config.Mode, config.MaxQueuedBytes, config.WhenFull = "spool", 64<<10, policy
	r := newOnFake(t, files, config)
	stop := start(r)
	failing.Store(true)
	const all = 2000
	from := time.Now()
	unrecorded, rejected := answer(r, all)
	if took := time.Since(from); took > 3*time.Second {
		t.Errorf("%d responses took %v, want at most 3s", all, took)
	}
	if policy == "decline" && rejected < all-10 || policy == "keep-serving" && rejected > 0 {
		t.Errorf("policy %s: %d of %d requests rejected, want almost all with decline, none with keep-serving",
			policy, rejected, all)
	}
	failing.Store(false)
	time.Sleep(5 * time.Second)
	if _, reason := r.Admit(r.now()); reason != "" {
		t.Errorf("Admit after the disk has recovered: reason = %q, want none", reason)
	}
	stop()
	reader := spool.OpenReadOnly(files, "root", "n1").NewReader(r.writer.Incarnation, true)
	recorded, gaps := 0, 0
	for _, row := range rowsOfIncarnation(t, reader) {
		if row.Gap != nil {
			gaps += int(row.Gap.Counts[record.OutcomeRejected])
			continue
		}
		if recorded++; row.State != record.StateAnswered {
			t.Errorf("request %v: state = %v, want %v", row.Entry.RequestID, row.State, record.StateAnswered)
		}
	}
	if unrecorded == 0 || recorded != all-unrecorded || gaps != unrecorded || len(reader.Replay.Defects) > 0 {
		t.Errorf("of %d responses %d recorded, %d in gaps, %d unrecorded, defects = %v, want recorded and unrecorded "+
			"to add up, gaps to count the unrecorded, no defects",
			all, recorded, gaps, unrecorded, reader.Replay.Defects)
	}
}

// answer handles n requests at intervals of 1 ms, whether or not they are admitted.
func answer(r *Recorder, n int) (unrecorded, rejected int) {
	for i := range n {
		if _, reason := r.Admit(r.now()); reason == "unrecorded" {
			rejected++
		}
		completion := core.Completion{RequestID: fmt.Sprint(i), Kind: core.ActionReject, Now: r.now()}
		ordinal := r.BeforeResponse(completion, r.now()+1000)
		if ordinal == nil {
			unrecorded++
		}
		r.AfterResponse(ordinal, r.now(), true)
		time.Sleep(time.Millisecond)
	}
	return unrecorded, rejected
}
