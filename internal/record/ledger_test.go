package record

import (
	"fmt"
	"testing"
)

// What was confirmed is there whatever fails, once, in order, and its end with it.
func TestFailures(t *testing.T) {
	for _, c := range []struct {
		name string
		fail func(k int, next IO) (int, bool) // k counts the steps
	}{
		{"nothing", func(_ int, next IO) (int, bool) { return len(next.Bytes), true }},
		{"every third write is short", func(k int, next IO) (int, bool) {
			if k%3 == 2 {
				return len(next.Bytes) / 2, false
			}
			return len(next.Bytes), true
		}},
		{"every second sync fails and the pages are lost", func(k int, next IO) (int, bool) {
			if next.Sync && k%2 == 1 {
				return 0, false
			}
			return len(next.Bytes), true
		}},
		{"a sync fails and the pages are there", func(k int, next IO) (int, bool) { return len(next.Bytes), k%4 != 1 }},
		{"no segment can be made at times", func(k int, next IO) (int, bool) {
			if next.NewSegment && k%2 == 0 {
				return 0, false
			}
			return len(next.Bytes), true
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			k := 0
			checkDurability(t, &disk{fail: func(next IO) (int, bool) { k++; return c.fail(k, next) }})
		})
	}
}

// checkSixty writes entries to a disk that may fail, and reads what was synced.
func checkDurability(t *testing.T, d *disk) {
	t.Helper()
	l := testLedger(largeOptions())
	ordinals, confirmed := writeEntries(t, l, d)
	replay, rows := d.replay(true)
	if len(replay.Defects) > 0 {
		t.Fatal(replay.Defects)
	}
	states := uniqueStates(t, rows)
	for i, n := range ordinals {
		want := []State{StateAnswered, StateInDoubt, StateUndelivered, StateInDoubt}[i%4]
		if !confirmed[n] || states[n] != want {
			t.Errorf("entry %d (ordinal %d): confirmed %v, %v, want %v", i, n, confirmed[n], states[n], want)
		}
	}
	if l.Pending() || l.QueuedBytes() != 0 {
		t.Errorf("pending %v, %d bytes queued", l.Pending(), l.QueuedBytes())
	}
}

// writeSixty writes entries: of four the first is delivered, the third is not, and the others have no end. It returns their
// ordinals and which were confirmed while more followed.
func writeEntries(t *testing.T, l *Ledger, d *disk) (ordinals []uint64, confirmed map[uint64]bool) {
	t.Helper()
	confirmed = map[uint64]bool{}
	now := 0.0
	for i := range 60 {
		ordinal, ok := l.AddEntry(now, testEntry(fmt.Sprint(i)))
		if !ok {
			t.Fatalf("entry %d finds no room", i)
		}
		ordinals = append(ordinals, ordinal)
		for range 20 {
			now += 100
			d.drain(l, now)
		}
		for _, n := range ordinals {
			if l.Confirmed() >= n {
				confirmed[n] = true
			}
		}
		if i%2 == 0 {
			l.AddCompletion(now, ordinal, i%4 == 0)
		}
	}
	for range 50 {
		now += 300
		d.drain(l, now)
	}
	return ordinals, confirmed
}

// statesOnce is the state of each entry, which must be there once.
func uniqueStates(t *testing.T, rows []Row) map[uint64]State {
	t.Helper()
	states := map[uint64]State{}
	for _, row := range rows {
		if _, twice := states[row.Entry.Ordinal]; twice {
			t.Errorf("entry %d twice", row.Entry.Ordinal)
		}
		states[row.Entry.Ordinal] = row.State
	}
	return states
}

// Nothing is confirmed before its sync, and a group is one sync.
func TestGroups(t *testing.T) {
	l, d := testLedger(largeOptions()), &disk{}
	for range 5 {
		l.AddEntry(1, testEntry("x"))
	}
	next := l.NextIO(1)
	if !next.NewSegment || !next.Sync || next.frames != 5 || l.Confirmed() != 0 {
		t.Fatalf("%+v, confirmed %d", next, l.Confirmed())
	}
	if l.AddEntry(1, testEntry("y")); !l.NextIO(1).Idle() {
		t.Error("a second work while one is under way")
	}
	l.Completed(2, len(next.Bytes), true)
	if l.Confirmed() != 5 || l.Counts().Syncs != 1 {
		t.Errorf("confirmed %d with %d syncs", l.Confirmed(), l.Counts().Syncs)
	}
	l.Completed(2, 0, true) // of none: nothing changes
	d.segments, d.synced = [][]byte{nil}, []int{0}
	d.drain(l, 3)
	if l.Confirmed() != 6 {
		t.Errorf("confirmed %d", l.Confirmed())
	}
	// An end alone is written after 2 ms, and not synced before 200.
	if l.AddCompletion(10, 1, true); !l.NextIO(10.5).Idle() || l.NextIO(10.5).Wait > 2 {
		t.Errorf("an end is written at once, or not soon: %+v", l.NextIO(10.5))
	}
	if next := l.NextIO(13); next.Idle() || next.Sync {
		t.Errorf("%+v", next)
	}
	l.Completed(13, 100, true)
	if next := l.NextIO(100); !next.Idle() {
		t.Errorf("%+v", next)
	}
	if next := l.NextIO(214); !next.Sync || len(next.Bytes) > 0 {
		t.Errorf("%+v", next)
	}
	// A group wait holds the write back.
	options := largeOptions()
	options.GroupWait = 5
	l = testLedger(options)
	if l.AddEntry(1, testEntry("x")); !l.NextIO(2).Idle() || l.NextIO(2).Wait != 4 || l.NextIO(6).Idle() {
		t.Error("the group's wait is not kept")
	}
}

// A spool at its limit, a disk that stalls and one that fails: what holds is what was set, and everything is counted.
func TestFull(t *testing.T) {
	fails := func(IO) (int, bool) { return 0, false }
	for _, c := range []struct {
		name   string
		policy FullPolicy
		fail   func(IO) (int, bool)
		health Health
	}{
		{"budget", KeepServing, nil, HealthFull},
		{"budget, rejecting", RejectRequests, nil, HealthFull},
		{"failing", KeepServing, fails, HealthFailing},
		{"failing, rejecting", RejectRequests, fails, HealthFailing},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := testLedger(LedgerOptions{Sync: true, MaxSpoolBytes: 8192, MaxQueuedBytes: 2048, FullPolicy: c.policy})
			checkFull(t, l, &disk{fail: c.fail}, c.health, c.policy == RejectRequests)
		})
	}
	t.Run("a write that takes longer than the stall", func(t *testing.T) {
		options := largeOptions()
		options.FullPolicy = RejectRequests
		l := testLedger(options)
		l.AddEntry(1, testEntry("x"))
		l.NextIO(1)
		if l.RejectsRequests(50) || !l.RejectsRequests(52) || l.Health(52) != HealthStalled {
			t.Error("it is not seen")
		}
	})
}

// checkFull answers 200 requests while a spool gets into a state and then lets it recover.
func checkFull(t *testing.T, l *Ledger, d *disk, health Health, rejects bool) {
	t.Helper()
	now, recorded, unrecorded := 0.0, 0, 0
	for i := range 200 {
		now += 10
		if _, ok := l.AddEntry(now, testEntry(fmt.Sprint(i))); ok {
			recorded++
		} else {
			unrecorded++
		}
		d.drain(l, now)
	}
	if l.Health(now) != health || l.RejectsRequests(now) != rejects || l.CommitDelay(now) != 0 {
		t.Errorf("%v, rejects %v, commit delay %v", l.Health(now), l.RejectsRequests(now), l.CommitDelay(now))
	}
	if unrecorded == 0 || l.SpoolBytes() > 8192 {
		t.Errorf("%d unrecorded, %d bytes used", unrecorded, l.SpoolBytes())
	}
	d.fail = nil
	l.ReleaseBytes(1 << 20)
	for range 20 {
		now += 1000
		d.drain(l, now)
	}
	if l.Health(now) != HealthGood || l.RejectsRequests(now) || l.CommitDelay(now) != 100 {
		t.Errorf("mended: %v", l.Health(now))
	}
	_, rows := d.replay(true)
	expectAllCounted(t, rows, recorded, unrecorded, health)
}

// expectAllCounted: each answer is an entry, or counted in a gap with the cause.
func expectAllCounted(t *testing.T, rows []Row, recorded, unrecorded int, cause Health) {
	t.Helper()
	entries, inGaps := 0, 0
	for _, row := range rows {
		if row.Gap == nil {
			entries++
			continue
		}
		inGaps += int(row.Gap.Total())
		if row.Gap.From >= row.Gap.To || row.Gap.Cause != cause.String() {
			t.Errorf("gap %+v", row.Gap)
		}
	}
	if entries != recorded || inGaps != unrecorded {
		t.Errorf("%d entries of %d, gaps stand for %d of %d", entries, recorded, inGaps, unrecorded)
	}
}

// In memory what is written is confirmed, and nothing waits.
func TestUnsynced(t *testing.T) {
	options := largeOptions()
	options.Sync = false
	l, d := testLedger(options), &disk{}
	l.AddEntry(1, testEntry("x"))
	if d.drain(l, 1); l.Confirmed() != 1 || l.CommitDelay(1) != 0 || l.Counts().Syncs != 0 {
		t.Errorf("confirmed %d, patience %v", l.Confirmed(), l.CommitDelay(1))
	}
}

// A clock that is set back neither hides an entry nor makes work wait for ever.
func TestClock(t *testing.T) {
	l, d := testLedger(largeOptions()), &disk{}
	n, _ := l.AddEntry(1e6, testEntry("x"))
	d.drain(l, 1e6)
	l.AddCompletion(5, n, true)
	l.AddEntry(5, testEntry("y"))
	d.drain(l, 5)
	if replay, rows := d.replay(true); len(replay.Defects) > 0 || len(rows) != 2 || rows[0].State != StateAnswered {
		t.Errorf("%v %v", replay.Defects, rows)
	}
}
