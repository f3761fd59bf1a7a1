package recorder

import (
	"context"
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"onyxgate/internal/core"
	"onyxgate/internal/fake/memfs"
	"onyxgate/internal/record"
	"onyxgate/internal/record/spool"
	"onyxgate/internal/record/sqlstore"
	"onyxgate/internal/units"
)

func init() { logrus.SetOutput(io.Discard) }

func clock() func() float64 {
	from := time.Now()
	return func() float64 { return float64(time.Since(from))/1e6 + 1 }
}

func span(d time.Duration) units.Span { return units.Span(d) }

// An answer waits for its sync, not for longer than patience or its time, and not at all where none is to be expected.
func TestWaits(t *testing.T) {
	bad := errors.New("told to fail")
	for _, c := range []struct {
		name     string
		sync     time.Duration // that a sync takes
		err      error
		left     float64 // ms
		low, top time.Duration
		unsynced uint64
	}{
		{"a quick disk", time.Millisecond, nil, 1000, time.Millisecond, 3 * time.Millisecond, 0},
		{"a slow disk", 80 * time.Millisecond, nil, 1000, 80 * time.Millisecond, 85 * time.Millisecond, 0},
		{"a disk that stands still", 10 * time.Second, nil, 1000, 249 * time.Millisecond, 251 * time.Millisecond, 1},
		{"no time left", 80 * time.Millisecond, nil, 20, 19 * time.Millisecond, 21 * time.Millisecond, 1},
		{"no time at all", 80 * time.Millisecond, nil, -5, 0, time.Millisecond, 1},
		{"a sync that fails", time.Millisecond, bad, 1000, time.Millisecond, 3 * time.Millisecond, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := memfs.New()
				var failing atomic.Bool
				m.Fail = func(op, name string, bytes int) (int, error) {
					if op == "sync" && strings.HasSuffix(name, ".seg") && failing.Load() {
						time.Sleep(c.sync)
						return 0, c.err
					}
					return bytes, nil
				}
				table := Default()
				table.Mode, table.Stall = "spool", span(5*time.Second)
				k, err := newOn(m, "root", table, "n1", []string{"p"}, clock(), 1)
				if err != nil {
					t.Fatal(err)
				}
				ctx, stop := context.WithCancel(context.Background())
				ended := make(chan bool)
				go func() { k.Run(ctx); close(ended) }()
				failing.Store(true)
				from, now := time.Now(), k.now()
				kept := k.BeforeResponse(core.Completion{RequestID: "t", Kind: core.ActionServe, Now: now, Body: []byte("b")}, now+c.left)
				if took := time.Since(from); took < c.low || took > c.top {
					t.Errorf("it waited %v, not %v to %v", took, c.low, c.top)
				}
				if n := k.Status().Unsynced; n != c.unsynced {
					t.Errorf("%d unsynced, want %d", n, c.unsynced)
				}
				failing.Store(false)
				k.AfterResponse(kept, k.now(), true)
				time.Sleep(20 * time.Second)
				stop()
				<-ended
				// However it went: the entry is there, once, with its end.
				r := spool.View(m, "root", "n1").Read(k.writer.Incarnation, true)
				var rows []record.Row
				for more := true; more && err == nil; {
					var next []record.Row
					next, more, err = r.Next()
					rows = append(rows, next...)
				}
				if err != nil || len(r.Replay.Defects) > 0 || len(rows) != 1 || rows[0].State != record.StateAnswered || rows[0].Entry.Class != "p" {
					t.Errorf("%v %v %v", rows, r.Replay.Defects, err)
				}
			})
		})
	}
}

// While the disk fails, what holds is what was set; what had no room is in a gap, and nothing waits.
func TestWhenFull(t *testing.T) {
	for _, decline := range []bool{false, true} {
		t.Run(fmt.Sprint("decline ", decline), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := memfs.New()
				var failing atomic.Bool
				m.Fail = func(op, name string, bytes int) (int, error) {
					if op == "write" && failing.Load() {
						return bytes / 3, errors.New("no space left on device")
					}
					return bytes, nil
				}
				table := Default()
				table.Mode, table.Room = "spool", 64<<10
				if decline {
					table.WhenFull = "decline"
				}
				k, err := newOn(m, "root", table, "n1", []string{"p"}, clock(), 1)
				if err != nil {
					t.Fatal(err)
				}
				ctx, stop := context.WithCancel(context.Background())
				ended := make(chan bool)
				go func() { k.Run(ctx); close(ended) }()
				failing.Store(true)
				const all = 2000
				missed, refused := 0, 0
				from := time.Now()
				for i := range all {
					if _, why := k.Admit(k.now()); why == "unrecorded" {
						refused++
					}
					kept := k.BeforeResponse(core.Completion{RequestID: fmt.Sprint(i), Kind: core.ActionReject, Now: k.now()}, k.now()+1000)
					if kept == nil {
						missed++
					}
					k.AfterResponse(kept, k.now(), true)
					time.Sleep(time.Millisecond)
				}
				if took := time.Since(from); took > 3*time.Second {
					t.Errorf("%d answers took %v", all, took)
				}
				if decline && refused < all-10 || !decline && refused > 0 {
					t.Errorf("%d of %d refused", refused, all)
				}
				failing.Store(false)
				time.Sleep(5 * time.Second)
				if _, why := k.Admit(k.now()); why != "" {
					t.Error("refused after the disk is back")
				}
				stop()
				<-ended
				r, in, gaps := spool.View(m, "root", "n1").Read(k.writer.Incarnation, true), 0, 0
				for more := true; more; {
					var rows []record.Row
					if rows, more, err = r.Next(); err != nil {
						t.Fatal(err)
					}
					for _, row := range rows {
						if row.Gap != nil {
							gaps += int(row.Gap.Counts[record.OutcomeRejected])
						} else if in++; row.State != record.StateAnswered {
							t.Errorf("%v is %v", row.Entry.RequestID, row.State)
						}
					}
				}
				if missed == 0 || in != all-missed || gaps != missed || len(r.Replay.Defects) > 0 {
					t.Errorf("%d in, %d in gaps, %d missed of %d, %v", in, gaps, missed, all, r.Replay.Defects)
				}
			})
		})
	}
}

// What earlier lives left goes to the store once, however many shippers come and wherever they were killed.
func TestShip(t *testing.T) {
	dir := t.TempDir()
	table := Default()
	table.Mode, table.Directory, table.Segment, table.GroupBytes = "spool", filepath.Join(dir, "spool"), 64<<10, 4<<10
	table.Store.Kind, table.Store.Path, table.Store.Batch = "sqlite", filepath.Join(dir, "r.db"), 70
	answers := 0
	for life := range 3 {
		quiet := table
		quiet.Store.Kind = "none"
		k, err := New(quiet, "n1", []string{"p"}, clock(), 1)
		if err != nil {
			t.Fatal(err)
		}
		ctx, stop := context.WithCancel(context.Background())
		ended := make(chan bool)
		go func() { k.Run(ctx); close(ended) }()
		var all sync.WaitGroup
		for i := range 300 {
			all.Go(func() {
				kept := k.BeforeResponse(core.Completion{RequestID: fmt.Sprint(life, "-", i), Kind: core.ActionFail, Now: k.now()}, k.now()+1e6)
				if i%100 != 0 { // else as if killed in between
					k.AfterResponse(kept, k.now(), i%2 == 0)
				}
			})
			answers++
		}
		all.Wait()
		stop()
		<-ended
	}
	store, err := table.Store.Open()
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	// A shipper that is stopped after its first batches, then one that ends; then one more, which finds nothing.
	for round := range 3 {
		ctx, stop := context.WithCancel(context.Background())
		batches := 0
		err := Ship(ctx, table, "n1", func(uint64, uint64) {
			if batches++; round == 0 && batches == 4 {
				stop()
			}
		})
		if stop(); (err != nil) != (round == 0) || round == 2 && batches > 0 {
			t.Errorf("round %d: %v after %d batches", round, err, batches)
		}
	}
	seen, states := map[string]bool{}, map[string]int{}
	if err := store.Select(context.Background(), sqlstore.Filter{}, func(r sqlstore.Row) error {
		if seen[r.RequestID] {
			t.Errorf("%s twice", r.RequestID)
		}
		seen[r.RequestID] = true
		states[r.State]++
		return nil
	}); err != nil {
		t.Fatal(err)
	}
	if len(seen) != answers || states["in doubt"] != 9 || states["given"] != 3*147 || states["unheard"] != 450 {
		t.Errorf("%d of %d, %v", len(seen), answers, states)
	}
	defects := 0
	if err := Audit(context.Background(), table, "", func(f Finding) {
		if f.Defect {
			defects++
		}
	}, func(int) {}); err != nil || defects > 0 {
		t.Errorf("%d defects, %v", defects, err)
	}
}

// An incarnation that another place ships is refused by the store, and its files stay.
func TestForeign(t *testing.T) {
	dir := t.TempDir()
	table := Default()
	table.Mode, table.Directory = "spool", filepath.Join(dir, "spool")
	table.Store.Kind, table.Store.Path = "sqlite", filepath.Join(dir, "r.db")
	sp, err := spool.Open(spool.Disk{}, table.Directory, "n1")
	if err != nil {
		t.Fatal(err)
	}
	w, err := sp.Begin()
	if err != nil {
		t.Fatal(err)
	}
	l := record.NewLedger(record.LedgerOptions{
		Instance: "n1", Incarnation: w.Incarnation, Sync: true, MaxWriteBytes: 4096, MaxSegmentBytes: 1 << 20,
		MaxSpoolBytes: 1 << 20, MaxQueuedBytes: 1 << 18, CommitDelay: 100, StallAfter: 50,
	})
	l.AddEntry(1, record.Entry{RequestID: "x"})
	work := l.NextIO(1)
	if _, err := w.Do(work); err != nil {
		t.Fatal(err)
	}
	w.Close()
	sp.Close()
	store, err := table.Store.Open()
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	ctx := context.Background()
	if err := store.Migrate(ctx); err != nil {
		t.Fatal(err)
	}
	if _, err := store.Put(ctx, sqlstore.Batch{Instance: "n1", Incarnation: w.Incarnation, Place: "elsewhere"}); err != nil {
		t.Fatal(err)
	}
	if err := Ship(ctx, table, "n1", func(uint64, uint64) {}); err == nil || !strings.Contains(err.Error(), "foreign") {
		t.Errorf("shipped: %v", err)
	}
	if sp := spool.View(spool.Disk{}, table.Directory, "n1"); sp.Bytes() == 0 {
		t.Error("its files are gone")
	}
}

func BenchmarkAnswer(b *testing.B) {
	for _, c := range []struct{ name, mode, sync string }{
		{"memory", "memory", "none"},
		{"spool", "spool", "none"},
		{"spool and sync", "spool", "group"},
	} {
		for _, txns := range []int{1, 64} {
			b.Run(fmt.Sprintf("%s/%d at once", c.name, txns), func(b *testing.B) {
				table := Default()
				table.Mode, table.Sync, table.Directory, table.Budget = c.mode, c.sync, b.TempDir(), 64<<30
				k, err := New(table, "n1", []string{"p"}, clock(), 1)
				if err != nil {
					b.Fatal(err)
				}
				ctx, stop := context.WithCancel(context.Background())
				ended := make(chan bool)
				go func() { k.Run(ctx); close(ended) }()
				body := make([]byte, 2000)
				b.ResetTimer()
				var left atomic.Int64
				left.Store(int64(b.N))
				var all sync.WaitGroup
				for range txns {
					all.Go(func() {
						for left.Add(-1) >= 0 {
							now := k.now()
							kept := k.BeforeResponse(core.Completion{
								RequestID: "0123456789abcdef", Kind: core.ActionServe, Reason: "answered",
								Backend: "s-5be2a07c", Now: now, Body: body,
							}, now+1e6)
							k.AfterResponse(kept, k.now(), true)
						}
					})
				}
				all.Wait()
				b.StopTimer()
				stop()
				<-ended
			})
		}
	}
}
