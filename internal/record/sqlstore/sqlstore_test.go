package sqlstore_test

import (
	"context"
	"database/sql"
	"errors"
	"fmt"
	"net"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	fakepostgres "onyxgate/internal/fake/postgres"
	"onyxgate/internal/record"
	"onyxgate/internal/record/postgres"
	"onyxgate/internal/record/sqlite"
	"onyxgate/internal/record/sqlstore"
)

// pipes is a listener whose connections are made by dial. A driver may still dial when the test is over, so the channel of
// connections is never closed.
type pipes struct {
	connections chan net.Conn
	closed      chan struct{}
}

func newPipes() *pipes {
	return &pipes{connections: make(chan net.Conn), closed: make(chan struct{})}
}

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case connection := <-p.connections:
		return connection, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *pipes) Close() error {
	close(p.closed)
	return nil
}

func (p *pipes) Addr() net.Addr { return &net.TCPAddr{} }

func (p *pipes) dial(context.Context, string, string) (net.Conn, error) {
	here, there := net.Pipe()
	select {
	case p.connections <- there:
		return here, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

// onPipes is a store at a stand-in, with a password.
func onPipes(t testing.TB, file, password string) (*sqlstore.Store, *fakepostgres.Server) {
	server, err := fakepostgres.New(file, "accounts", "right")
	if err != nil {
		t.Fatal(err)
	}
	l := newPipes()
	go server.Serve(l)
	c, err := pgconn.ParseConfig("host=h port=1 dbname=d user=accounts sslmode=disable")
	if err != nil {
		t.Fatal(err)
	}
	c.DialFunc = l.dial
	c.LookupFunc = func(context.Context, string) ([]string, error) { return []string{"h"}, nil }
	s := postgres.New(c, func() (string, error) { return password, nil })
	t.Cleanup(func() { s.Close(); l.Close() })
	return s, server
}

func batch(from, to uint64, through uint64) sqlstore.Batch {
	b := sqlstore.Batch{Instance: "n1", Incarnation: "i1", Place: "here", Through: through}
	for n := from; n <= to; n++ {
		b.Rows = append(b.Rows, record.Row{State: record.StateAnswered, Entry: record.Entry{
			N: n, RequestID: fmt.Sprint("t'\"\\", n),
			Class: "p", Outcome: record.OutcomeServed, Reason: "answered", Release: 2, Backend: "a", Attempts: 1, ArrivedAt: 1.25,
			AnsweredAt: float64(n) + 0.5, BodyDigest: record.Digest{1},
		}})
	}
	return b
}

// Both stores keep what they are given, once, and give it back.
func TestStores(t *testing.T) {
	ctx := context.Background()
	lite, err := sqlite.Open(filepath.Join(t.TempDir(), "a b?.db"), time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer lite.Close()
	pg, _ := onPipes(t, filepath.Join(t.TempDir(), "pg"), "right")
	for name, s := range map[string]*sqlstore.Store{"sqlite": lite, "postgres": pg} {
		t.Run(name, func(t *testing.T) {
			for range 2 { // a second one finds the schema there
				if err := s.Migrate(ctx); err != nil {
					t.Fatal(err)
				}
			}
			b := batch(1, 20, 20)
			b.Rows = append(b.Rows, record.Row{Gap: &record.Gap{N: 21, Counts: [4]uint64{0, 3, 2, 1}, From: 5, To: 6, Cause: "full"}})
			for _, b := range []sqlstore.Batch{b, b, batch(10, 30, 30), batch(1, 5, 5)} { // some come again
				if _, err := s.Put(ctx, b); err != nil {
					t.Fatal(err)
				}
			}
			other := batch(31, 32, 32)
			other.Place = "elsewhere"
			if _, err := s.Put(ctx, other); !errors.Is(err, sqlstore.ErrForeign) || s.Classify(err) != record.ExportForeign {
				t.Errorf("from another place: %v", err)
			}
			closed := batch(31, 31, 31)
			closed.Closed = true
			if _, err := s.Put(ctx, closed); err != nil {
				t.Fatal(err)
			}
			if through, closed, err := s.Through(ctx, "i1"); through != 31 || !closed || err != nil {
				t.Errorf("through %d, %v, %v", through, closed, err)
			}
			if through, _, err := s.Through(ctx, "unknown"); through != 0 || err != nil {
				t.Errorf("of none: %d, %v", through, err)
			}
			var rows []sqlstore.Row
			if err := s.Select(ctx, sqlstore.Filter{}, func(r sqlstore.Row) error { rows = append(rows, r); return nil }); err != nil {
				t.Fatal(err)
			}
			want := sqlstore.Row{
				Instance: "n1", Incarnation: "i1", N: 7, State: "given", RequestID: "t'\"\\7", Class: "p",
				Outcome: "settled", Reason: "answered", Release: 2, Backend: "a", Attempts: 1, ArrivedAt: 1.25, AnsweredAt: 7.5,
				BodyDigest: "01" + strings.Repeat("0", 30),
			}
			if len(rows) != 31 || !slices.Contains(rows, want) {
				t.Errorf("%d rows, one of them %+v", len(rows), rows[min(6, len(rows)-1)])
			}
			gaps := 0
			if err := s.Gaps(ctx, "", func(g sqlstore.GapRow) error {
				if gaps++; g.Served != 3 || g.Rejected != 2 || g.Failed != 1 || g.Cause != "full" || g.N != 21 {
					t.Errorf("gap %+v", g)
				}
				return nil
			}); err != nil || gaps != 1 {
				t.Errorf("%d gaps, %v", gaps, err)
			}
			if n, err := s.Repeats(ctx); n != 0 || err != nil {
				t.Errorf("%d repeats, %v", n, err)
			}
		})
	}
	t.Run("filters", func(t *testing.T) {
		for _, c := range []struct {
			f    sqlstore.Filter
			want int
		}{
			{sqlstore.Filter{From: 10, To: 20}, 10},
			{sqlstore.Filter{RequestID: "t'\"\\3"}, 1},
			{sqlstore.Filter{Instance: "n2"}, 0},
			{sqlstore.Filter{State: "given", Outcome: "settled", Class: "p", Limit: 7}, 7},
		} {
			n := 0
			if err := lite.Select(ctx, c.f, func(sqlstore.Row) error { n++; return nil }); err != nil || n != c.want {
				t.Errorf("%+v: %d rows, %v", c.f, n, err)
			}
		}
		if n, err := lite.Prune(ctx, 10, 5); n != 5 || err != nil {
			t.Errorf("%d pruned, %v", n, err)
		}
		counted := int64(0)
		lite.Count(ctx, sqlstore.Filter{}, func(group sqlstore.GroupCount) error { counted += group.Entries; return nil })
		if counted != 26 {
			t.Errorf("%d left", counted)
		}
		stop := errors.New("stop")
		if err := lite.Select(ctx, sqlstore.Filter{}, func(sqlstore.Row) error { return stop }); err != stop {
			t.Errorf("an error of the reader: %v", err)
		}
		if err := lite.Checkpoint(ctx); err != nil {
			t.Error(err)
		}
	})
}

// Each way in which a server fails is known by what it means, and what was committed is there once.
func TestServerFails(t *testing.T) {
	ctx := context.Background()
	for _, c := range []struct {
		mode  string
		reply record.ExportResult
		in    int // rows after the failure
	}{
		{"cut", record.ExportUnknown, 0},
		{"lose", record.ExportUnknown, 20},
		{"40001", record.ExportConflict, 0},
		{"40P01", record.ExportConflict, 0},
		{"53300", record.ExportBusy, 0},
		{"57P01", record.ExportUnreachable, 0},
		{"42501", record.ExportDenied, 0},
	} {
		t.Run(c.mode, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "pg")
			s, server := onPipes(t, file, "right")
			if err := s.Migrate(ctx); err != nil {
				t.Fatal(err)
			}
			server.Fail(c.mode)
			_, err := s.Put(ctx, batch(1, 20, 20))
			if s.Classify(err) != c.reply {
				t.Errorf("%v is taken for %v, not %v", err, s.Classify(err), c.reply)
			}
			if len(server.Entries) != c.in {
				t.Errorf("%d rows after the failure", len(server.Entries))
			}
			server.Fail("")
			for range 2 {
				if _, err := s.Put(ctx, batch(1, 25, 25)); err != nil {
					t.Error(err)
				}
			}
			again, err := fakepostgres.New(file, "accounts", "right")
			if err != nil || len(server.Entries) != 25 || len(again.Entries) != 25 {
				t.Errorf("%d rows, %d after a restart, %v", len(server.Entries), len(again.Entries), err)
			}
		})
	}
	t.Run("stall", func(t *testing.T) {
		s, server := onPipes(t, filepath.Join(t.TempDir(), "pg"), "right")
		if err := s.Migrate(ctx); err != nil {
			t.Fatal(err)
		}
		server.Fail("stall")
		short, cancel := context.WithCancel(ctx)
		cancel()
		if _, err := s.Put(short, batch(1, 2, 2)); s.Classify(err) != record.ExportUnknown {
			t.Errorf("%v", err)
		}
		server.Fail("")
	})
	t.Run("a wrong password", func(t *testing.T) {
		s, _ := onPipes(t, filepath.Join(t.TempDir(), "pg"), "wrong")
		if err := s.Migrate(ctx); s.Classify(err) != record.ExportDenied {
			t.Errorf("%v is taken for %v", err, s.Classify(err))
		}
	})
}

// A file that is none, one that is locked and one that can't be reached are told apart; a newer schema is refused.
func TestLiteFails(t *testing.T) {
	ctx, dir := context.Background(), t.TempDir()
	locked, err := sqlite.Open(filepath.Join(dir, "x.db"), 0)
	if err != nil {
		t.Fatal(err)
	}
	defer locked.Close()
	other, _ := sqlite.Open(filepath.Join(dir, "x.db"), 0)
	defer other.Close()
	if err := locked.Migrate(ctx); err != nil {
		t.Fatal(err)
	}
	if err := locked.HoldWriteLock(ctx, func() {
		if _, err := other.Put(ctx, batch(1, 1, 1)); other.Classify(err) != record.ExportBusy {
			t.Errorf("locked: %v, %v", err, other.Classify(err))
		}
	}); err != nil {
		t.Error(err)
	}
	away, _ := sqlite.Open(filepath.Join(dir, "no", "such", "x.db"), 0)
	defer away.Close()
	if err := away.Migrate(ctx); away.Classify(err) != record.ExportUnreachable {
		t.Errorf("no directory: %v, %v", err, away.Classify(err))
	}
	db, err := sql.Open("sqlite", filepath.Join(dir, "x.db"))
	if err != nil {
		t.Fatal(err)
	}
	defer db.Close()
	if _, err := db.Exec("insert into onyxgate_schema values (99, 0)"); err != nil {
		t.Fatal(err)
	}
	if err := locked.Migrate(ctx); err == nil || !strings.Contains(err.Error(), "newer program") {
		t.Errorf("a newer schema: %v", err)
	}
}

func BenchmarkPut(b *testing.B) {
	ctx := context.Background()
	lite, err := sqlite.Open(filepath.Join(b.TempDir(), "x.db"), time.Second)
	if err != nil {
		b.Fatal(err)
	}
	defer lite.Close()
	pg, _ := onPipes(b, filepath.Join(b.TempDir(), "pg"), "right")
	for _, c := range []struct {
		name string
		s    *sqlstore.Store
	}{{"sqlite", lite}, {"postgres stand-in", pg}} {
		if err := c.s.Migrate(ctx); err != nil {
			b.Fatal(err)
		}
		n := uint64(1)
		for _, size := range []uint64{1, 50, 500} {
			b.Run(fmt.Sprintf("%s/batch of %d", c.name, size), func(b *testing.B) {
				for b.Loop() {
					if _, err := c.s.Put(ctx, batch(n, n+size-1, n+size-1)); err != nil {
						b.Fatal(err)
					}
					n += size
				}
				b.ReportMetric(float64(size)*float64(b.N)/b.Elapsed().Seconds(), "entries/s")
			})
		}
	}
}
