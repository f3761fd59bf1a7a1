// Package sqlite opens the embedded store: one SQLite file in WAL mode, shared by the instances of a host.
package sqlite

import (
	"context"
	"database/sql"
	"errors"
	"fmt"
	"net/url"
	"time"

	"modernc.org/sqlite"

	"onyxgate/internal/record"
	"onyxgate/internal/record/sqlstore"
)

// Open opens or creates a store. Writers wait up to busyTimeout for each other. The file is not accessed before first
// use.
func Open(path string, busyTimeout time.Duration) (*sqlstore.Store, error) {
	options := url.Values{
		"_pragma": {
			"journal_mode(WAL)", "synchronous(FULL)", "wal_autocheckpoint(0)", "cache_size(-1024)",
			"journal_size_limit(16777216)", fmt.Sprintf("busy_timeout(%d)", busyTimeout.Milliseconds()),
		},
		"_txlock": {"immediate"},
	}
	db, err := sql.Open("sqlite", "file:"+(&url.URL{Path: path}).EscapedPath()+"?"+options.Encode())
	if err != nil {
		return nil, err
	}
	db.SetMaxOpenConns(2) // each connection has its own cache
	db.SetMaxIdleConns(1)
	return sqlstore.New(database{runner{db}, db}, sqlstore.Dialect{
		Name:       "sqlite",
		JSONRows:   "json_each($1) v",
		JSONField:  func(name string, _ sqlstore.ColumnKind) string { return "json_extract(v.value, '$." + name + "')" },
		BigIntType: "integer",
		DoubleType: "real",
		Classify:   classify,
		Checkpoint: "pragma wal_checkpoint(truncate)",
	}), nil
}

// runner implements sqlstore.Runner on database/sql. database and transaction add the remaining methods.
type runner struct {
	conn interface {
		ExecContext(ctx context.Context, text string, args ...any) (sql.Result, error)
		QueryContext(ctx context.Context, text string, args ...any) (*sql.Rows, error)
	}
}

func (r runner) Exec(ctx context.Context, text string, args ...any) (int64, error) {
	done, err := r.conn.ExecContext(ctx, text, args...)
	if err != nil {
		return 0, err
	}
	return done.RowsAffected()
}

func (r runner) Query(ctx context.Context, text string, args []any, visit func(scan func(...any) error) error) error {
	rows, err := r.conn.QueryContext(ctx, text, args...)
	if err != nil {
		return err
	}
	defer rows.Close()
	for rows.Next() {
		if err := visit(rows.Scan); err != nil {
			return err
		}
	}
	return rows.Err()
}

type database struct {
	runner
	db *sql.DB
}

func (d database) Begin(ctx context.Context) (sqlstore.Tx, error) {
	tx, err := d.db.BeginTx(ctx, nil)
	if err != nil {
		return nil, err
	}
	return transaction{runner{tx}, tx}, nil
}

func (d database) Close() error { return d.db.Close() }

type transaction struct {
	runner
	tx *sql.Tx
}

func (t transaction) Commit(context.Context) error { return t.tx.Commit() }

func (t transaction) Rollback() {
	_ = t.tx.Rollback() // fails harmlessly after Commit; any other error drops the connection, ending the transaction
}

// Primary result codes of SQLite.
const (
	codeError    = 1
	codeBusy     = 5
	codeLocked   = 6
	codeReadOnly = 8
	codeIO       = 10
	codeCorrupt  = 11
	codeFull     = 13
	codeCantOpen = 14
	codeAuth     = 23
	codeNotADB   = 26

	// primaryMask extracts the primary code from an extended result code.
	primaryMask = 0xff
)

// classify maps an error to an export result.
func classify(err error) record.ExportResult {
	var e *sqlite.Error
	if !errors.As(err, &e) {
		return record.ExportUnknown
	}
	switch e.Code() & primaryMask {
	case codeBusy, codeLocked:
		return record.ExportBusy
	case codeReadOnly, codeAuth, codeNotADB, codeCorrupt, codeError:
		return record.ExportDenied
	case codeFull, codeIO, codeCantOpen:
		return record.ExportUnreachable
	}
	return record.ExportUnknown
}
