package sqlstore_test

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	fakepostgres "onyxgate/internal/fake/postgres"
	"onyxgate/internal/record"
	"onyxgate/internal/record/postgres"
	"onyxgate/internal/record/sqlite"
	"onyxgate/internal/record/sqlstore"
)

// pipeListener is a listener whose connections are created by dial. A driver may still dial after the test has ended,
// so the connections channel is never closed.
type pipeListener struct {
	connections chan net.Conn
	closed      chan struct{}
}

func newPipeListener() *pipeListener {
	return &pipeListener{connections: make(chan net.Conn), closed: make(chan struct{})}
}

func (p *pipeListener) Accept() (net.Conn, error) {
	select {
	case connection := <-p.connections:
		return connection, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *pipeListener) Close() error {
	close(p.closed)
	return nil
}

func (p *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (p *pipeListener) dial(context.Context, string, string) (net.Conn, error) {
	here, there := net.Pipe()
	select {
	case p.connections <- there:
		return here, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

// newPipeStore returns a store that connects to a fake server with the given password. The server expects "right".
func newPipeStore(t testing.TB, file, password string) (*sqlstore.Store, *fakepostgres.Server) {
	server, err := fakepostgres.New(file, "accounts", "right")
	if err != nil {
		t.Fatal(err)
	}
	l := newPipeListener()
	go server.Serve(l) // until the listener is closed
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
	b := sqlstore.Batch{Instance: "n1", Incarnation: "i1", DirID: "here", Through: through}
	for n := from; n <= to; n++ {
		b.Rows = append(b.Rows, record.Row{State: record.StateAnswered, Entry: record.Entry{
			Ordinal: n, RequestID: fmt.Sprint("t'\"\\", n),
			Class: "p", Outcome: record.OutcomeServed, Reason: "answered", Release: 2, Backend: "a", Attempts: 1, ArrivedAt: 1.25,
			AnsweredAt: float64(n) + 0.5, BodyDigest: record.Digest{1},
		}})
	}
	return b
}

// openSQLite opens a store and closes it when the test ends. The file is not accessed before the store is used.
func openSQLite(t testing.TB, file string, busyTimeout time.Duration) *sqlstore.Store {
	t.Helper()
	store, err := sqlite.Open(file, busyTimeout)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { store.Close() })
	return store
}

func migrate(t testing.TB, store *sqlstore.Store) {
	t.Helper()
	if err := store.Migrate(t.Context()); err != nil {
		t.Fatal(err)
	}
}

func put(t testing.TB, store *sqlstore.Store, b sqlstore.Batch) {
	t.Helper()
	if _, err := store.Put(t.Context(), b); err != nil {
		t.Fatal(err)
	}
}

// selectAll returns all rows that match the filter.
func selectAll(t testing.TB, store *sqlstore.Store, filter sqlstore.Filter) (rows []sqlstore.Row) {
	t.Helper()
	if err := store.Select(t.Context(), filter, func(row sqlstore.Row) error {
		rows = append(rows, row)
		return nil
	}); err != nil {
		t.Fatal(err)
	}
	return rows
}
