package record

import (
	"fmt"
	"testing"
)

// Whatever I/O fails, confirmed entries are read back exactly once and in the right state.
func TestConfirmedEntriesSurviveFailures(t *testing.T) {
	for _, c := range []struct {
		name string
		fail func(k int, next IO) (int, bool) // k is the number of the I/O
	}{
		{"no failures", func(_ int, next IO) (int, bool) { return len(next.Bytes), true }},
		{"every third write is short", func(k int, next IO) (int, bool) {
			if k%3 == 2 {
				return len(next.Bytes) / 2, false
			}
			return len(next.Bytes), true
		}},
		{"every second sync fails and its data is lost", func(k int, next IO) (int, bool) {
			if next.Sync && k%2 == 1 {
				return 0, false
			}
			return len(next.Bytes), true
		}},
		{"every fourth I/O fails but its data is written", func(k int, next IO) (int, bool) { return len(next.Bytes), k%4 != 1 }},
		{"every second segment can't be created", func(k int, next IO) (int, bool) {
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

// checkDurability writes entries to a disk that may fail, and checks what is read back from the synced data.
func checkDurability(t *testing.T, d *disk) {
	t.Helper()
	l := testLedger(largeOptions())
	ordinals, confirmed := writeEntries(t, l, d)
	replay, rows := d.replay(true)
	if len(replay.Defects) > 0 {
		t.Fatalf("defects = %v, want none", replay.Defects)
	}
	states := uniqueStates(t, rows)
	for i, n := range ordinals {
		want := []State{StateAnswered, StateInDoubt, StateUndelivered, StateInDoubt}[i%4]
		if !confirmed[n] || states[n] != want {
			t.Errorf("entry %d (ordinal %d): confirmed = %v, state = %v, want true, %v",
				i, n, confirmed[n], states[n], want)
		}
	}
	if l.Pending() || l.QueuedBytes() != 0 {
		t.Errorf("Pending = %v, QueuedBytes = %d, want false, 0", l.Pending(), l.QueuedBytes())
	}
}

// writeEntries writes 60 entries. Of every four, the first is delivered, the third is not, and the others have no
// completion. It returns their ordinals and which of them were confirmed during writing.
func writeEntries(t *testing.T, l *Ledger, d *disk) (ordinals []uint64, confirmed map[uint64]bool) {
	t.Helper()
	confirmed = map[uint64]bool{}
	now := 0.0
	for i := range 60 {
		ordinal, ok := l.AddEntry(now, testEntry(fmt.Sprint(i)))
		if !ok {
			t.Fatalf("entry %d was not recorded, %d bytes queued", i, l.QueuedBytes())
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

// uniqueStates returns the state of each entry, and fails the test if an entry occurs twice.
func uniqueStates(t *testing.T, rows []Row) map[uint64]State {
	t.Helper()
	states := map[uint64]State{}
	for _, row := range rows {
		if _, twice := states[row.Entry.Ordinal]; twice {
			t.Errorf("entry %d was read more than once", row.Entry.Ordinal)
		}
		states[row.Entry.Ordinal] = row.State
	}
	return states
}

// Nothing is confirmed before its sync, and entries that are queued together share one sync.
func TestEntriesShareSync(t *testing.T) {
	l, d := testLedger(largeOptions()), &disk{}
	for range 5 {
		l.AddEntry(1, testEntry("x"))
	}
	next := l.NextIO(1)
	if !next.NewSegment || !next.Sync || next.frames != 5 || l.Confirmed() != 0 {
		t.Fatalf("NextIO after 5 entries = %+v, Confirmed = %d, want 5 frames in a new segment with sync, 0",
			next, l.Confirmed())
	}
	if l.AddEntry(1, testEntry("y")); !l.NextIO(1).Idle() {
		t.Error("NextIO while I/O is in progress is not idle, want idle")
	}
	l.Completed(2, len(next.Bytes), true)
	if l.Confirmed() != 5 || l.Counts().Syncs != 1 {
		t.Errorf("Confirmed = %d after %d syncs, want 5 after 1", l.Confirmed(), l.Counts().Syncs)
	}
	l.Completed(2, 0, true) // no I/O is in progress: nothing changes
	d.segments, d.synced = [][]byte{nil}, []int{0}
	d.drain(l, 3)
	if l.Confirmed() != 6 {
		t.Errorf("Confirmed = %d, want 6", l.Confirmed())
	}
	// A completion alone is written after 2 ms and synced after 200 ms.
	if l.AddCompletion(10, 1, true); !l.NextIO(10.5).Idle() || l.NextIO(10.5).Wait > 2 {
		t.Errorf("NextIO 0.5 ms after a completion = %+v, want idle with a wait of at most 2", l.NextIO(10.5))
	}
	if next := l.NextIO(13); next.Idle() || next.Sync {
		t.Errorf("NextIO 3 ms after a completion = %+v, want a write without sync", next)
	}
	l.Completed(13, 100, true)
	if next := l.NextIO(100); !next.Idle() {
		t.Errorf("NextIO 87 ms after the completion was written = %+v, want idle", next)
	}
	if next := l.NextIO(214); !next.Sync || len(next.Bytes) > 0 {
		t.Errorf("NextIO 201 ms after the completion was written = %+v, want a sync alone", next)
	}
	// GroupWait delays the write.
	options := largeOptions()
	options.GroupWait = 5
	l = testLedger(options)
	if l.AddEntry(1, testEntry("x")); !l.NextIO(2).Idle() || l.NextIO(2).Wait != 4 || l.NextIO(6).Idle() {
		t.Errorf("with a GroupWait of %v: want NextIO idle after 1 ms with a wait of 4, and a write after 5 ms",
			options.GroupWait)
	}
}

// While the spool is full, stalled or failing, requests are handled as configured, and every response is recorded or
// counted in a gap.
func TestUnwritableSpool(t *testing.T) {
	fails := func(IO) (int, bool) { return 0, false }
	for _, c := range []struct {
		name   string
		policy FullPolicy
		fail   func(IO) (int, bool)
		health Health
	}{
		{"full, serving", KeepServing, nil, HealthFull},
		{"full, rejecting", RejectRequests, nil, HealthFull},
		{"failing, serving", KeepServing, fails, HealthFailing},
		{"failing, rejecting", RejectRequests, fails, HealthFailing},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := testLedger(LedgerOptions{Sync: true, MaxSpoolBytes: 8192, MaxQueuedBytes: 2048, FullPolicy: c.policy})
			checkFull(t, l, &disk{fail: c.fail}, c.health, c.policy == RejectRequests)
		})
	}
	t.Run("write longer than StallAfter", func(t *testing.T) {
		options := largeOptions()
		options.FullPolicy = RejectRequests
		l := testLedger(options)
		l.AddEntry(1, testEntry("x"))
		l.NextIO(1)
		if l.RejectsRequests(50) || !l.RejectsRequests(52) || l.Health(52) != HealthStalled {
			t.Errorf("write started at 1, StallAfter 50: RejectsRequests at 50, 52 = %v, %v, Health at 52 = %v, want "+
				"false, true, %v", l.RejectsRequests(50), l.RejectsRequests(52), l.Health(52), HealthStalled)
		}
	})
}

// checkFull adds 200 entries while the spool gets into the given state, and then lets it recover.
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
		t.Errorf("Health = %v, RejectsRequests = %v, CommitDelay = %v, want %v, %v, 0",
			l.Health(now), l.RejectsRequests(now), l.CommitDelay(now), health, rejects)
	}
	if unrecorded == 0 || l.SpoolBytes() > 8192 {
		t.Errorf("%d entries unrecorded, SpoolBytes = %d, want more than 0, at most 8192", unrecorded, l.SpoolBytes())
	}
	d.fail = nil
	l.ReleaseBytes(1 << 20)
	for range 20 {
		now += 1000
		d.drain(l, now)
	}
	if l.Health(now) != HealthGood || l.RejectsRequests(now) || l.CommitDelay(now) != 100 {
		t.Errorf("after recovery: Health = %v, RejectsRequests = %v, CommitDelay = %v, want %v, false, 100",
			l.Health(now), l.RejectsRequests(now), l.CommitDelay(now), HealthGood)
	}
	_, rows := d.replay(true)
	expectAllCounted(t, rows, recorded, unrecorded, health)
}

// expectAllCounted checks that each response has an entry or is counted in a gap with the given cause.
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
			t.Errorf("gap = %+v, want From before To and cause %q", row.Gap, cause)
		}
	}
	if entries != recorded || inGaps != unrecorded {
		t.Errorf("read %d entries and %d responses in gaps, want %d, %d", entries, inGaps, recorded, unrecorded)
	}
}

// Without syncs, written entries are confirmed immediately and responses don't wait.
func TestConfirmWithoutSync(t *testing.T) {
	options := largeOptions()
	options.Sync = false
	l, d := testLedger(options), &disk{}
	l.AddEntry(1, testEntry("x"))
	if d.drain(l, 1); l.Confirmed() != 1 || l.CommitDelay(1) != 0 || l.Counts().Syncs != 0 {
		t.Errorf("Confirmed = %d, CommitDelay = %v, syncs = %d, want 1, 0, 0",
			l.Confirmed(), l.CommitDelay(1), l.Counts().Syncs)
	}
}

// A clock that is set back neither loses an entry nor delays I/O indefinitely.
func TestClockSetBack(t *testing.T) {
	l, d := testLedger(largeOptions()), &disk{}
	n, _ := l.AddEntry(1e6, testEntry("x"))
	d.drain(l, 1e6)
	l.AddCompletion(5, n, true)
	l.AddEntry(5, testEntry("y"))
	d.drain(l, 5)
	if replay, rows := d.replay(true); len(replay.Defects) > 0 || len(rows) != 2 || rows[0].State != StateAnswered {
		t.Errorf("defects = %v, rows = %v, want no defects and 2 rows, the first %v",
			replay.Defects, rows, StateAnswered)
	}
}
