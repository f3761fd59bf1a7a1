// Package sqlstore keeps the record in an SQL database: schema, batch inserts and queries, with the same SQL for all
// databases that support JSON. When batches are sent and how failures affect later batches is decided by package
// record.
package sqlstore

// The store, its database interfaces and the classification of errors.

import (
	"context"
	"errors"

	"onyxgate/internal/record"
)

// ColumnKind is the type of a column.
type ColumnKind uint8

// Column kinds.
const (
	Text   ColumnKind = iota
	BigInt            // 64-bit integers
	Double            // times in ms
)

// Dialect holds the differences between databases.
type Dialect struct {
	Name string
	// JSONRows is the table expression that yields the elements of the JSON array $1 as v. JSONField returns the
	// expression for a field of v.
	JSONRows  string
	JSONField func(name string, kind ColumnKind) string
	// BigIntType and DoubleType are the column types for BigInt and Double.
	BigIntType, DoubleType string
	// Classify maps a database error to an export result.
	Classify func(error) record.ExportResult
	// Checkpoint is a statement to run periodically; empty if none is needed.
	Checkpoint string
}

// Runner executes statements. Arguments and columns are strings, ints, int64s and float64s.
type Runner interface {
	Exec(ctx context.Context, text string, args ...any) (affected int64, err error)
	// Query calls visit for each row with a function that scans it, holding one row in memory at a time. An error from
	// visit ends the query.
	Query(ctx context.Context, text string, args []any, visit func(scan func(...any) error) error) error
}

// Tx is a transaction. Rollback does nothing after Commit.
type Tx interface {
	Runner
	Commit(ctx context.Context) error
	Rollback()
}

// DB is an open database. It is used in place of database/sql because pgx's driver for the latter links in all of pgx,
// which costs every instance 1.4 MB of memory.
type DB interface {
	Runner
	Begin(ctx context.Context) (Tx, error)
	Close() error
}

// Store stores the records of any number of instances.
type Store struct {
	db      DB
	dialect Dialect
}

// New returns a store on an open database.
func New(db DB, dialect Dialect) *Store { return &Store{db, dialect} }

// Each statement on the tables starts with one of these comments, so that operators can identify it in the
// database's statistics.
const (
	NameVersion       = "/* onyxgate version */ "
	NameMigrate       = "/* onyxgate migrate */ "
	NameClaim         = "/* onyxgate claim */ "
	NameOwner         = "/* onyxgate owner */ "
	NameInsertEntries = "/* onyxgate put */ "
	NameInsertGaps    = "/* onyxgate gaps */ "
	NameUpdateThrough = "/* onyxgate through */ "
	NameSelect        = "/* onyxgate select */ "
	NameSelectGaps    = "/* onyxgate missed */ "
	NameCount         = "/* onyxgate count */ "
	NamePrune         = "/* onyxgate prune */ "
)

// ErrForeign is returned if the incarnation is exported from another spool directory.
var ErrForeign = errors.New("incarnation is exported from another spool directory")

// Classify maps an error of Migrate or Put to an export result.
func (s *Store) Classify(err error) record.ExportResult {
	switch {
	case err == nil:
		return record.ExportStored
	case errors.Is(err, ErrForeign):
		return record.ExportForeign
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return record.ExportUnknown
	}
	return s.dialect.Classify(err)
}

// Checkpoint runs the database's checkpoint, if it has one.
func (s *Store) Checkpoint(ctx context.Context) error {
	if s.dialect.Checkpoint == "" {
		return nil
	}
	_, err := s.db.Exec(ctx, s.dialect.Checkpoint)
	return err
}

// Close closes the database.
func (s *Store) Close() error { return s.db.Close() }

// HoldWriteLock holds the database's write lock while a function runs, so that other writers wait, and then rolls back.
// It is intended for tests.
func (s *Store) HoldWriteLock(ctx context.Context, fn func()) error {
	tx, err := s.db.Begin(ctx)
	if err != nil {
		return err
	}
	defer tx.Rollback()
	if _, err := tx.Exec(ctx, NameClaim+`update onyxgate_incarnation set through = through where incarnation = ''`); err != nil {
		return err
	}
	fn()
	return nil
}

// queryOne scans a result of at most one row. If there is no row, the destinations are left unchanged.
func queryOne(ctx context.Context, runner Runner, text string, args []any, dest ...any) error {
	return runner.Query(ctx, text, args, func(scan func(...any) error) error { return scan(dest...) })
}
