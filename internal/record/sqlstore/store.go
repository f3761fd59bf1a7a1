// Package sqlstore keeps the record in an SQL database: schema, batches, selections, in one text for all stores that know
// JSON. It must never decide when a batch goes or what a failure means for the next one.
package sqlstore

// This file owns what a store is made of, and the reading of its errors.

import (
	"context"
	"errors"

	"onyxgate/internal/record"
)

// ColumnKind is what a column holds.
type ColumnKind uint8

// The kinds.
const (
	Text   ColumnKind = iota
	BigInt            // whole numbers of 64 bits
	Double            // times in ms
)

// Dialect is what differs between stores.
type Dialect struct {
	Name string
	// JSONRows names the set of elements of the JSON array $1 as v; JSONField reads one of its fields.
	JSONRows  string
	JSONField func(name string, kind ColumnKind) string
	// BigIntType and DoubleType are the types of such columns.
	BigIntType, DoubleType string
	// Classify says what an error of the database means.
	Classify func(error) record.ExportResult
	// Checkpoint is run now and then; empty: nothing is.
	Checkpoint string
}

// Runner runs statements; arguments and columns are strings, ints, int64s and float64s.
type Runner interface {
	Exec(ctx context.Context, text string, args ...any) (affected int64, err error)
	// Query calls each with a way to scan the row, one row in memory at a time; an error of each ends it.
	Query(ctx context.Context, text string, args []any, visit func(scan func(...any) error) error) error
}

// Tx is a transaction; Rollback after Commit does nothing.
type Tx interface {
	Runner
	Commit(ctx context.Context) error
	Rollback()
}

// DB is an open database. Behind database/sql all of pgx would be linked in, 1.4 MB of every instance's memory.
type DB interface {
	Runner
	Begin(ctx context.Context) (Tx, error)
	Close() error
}

// Store keeps the record of any number of instances.
type Store struct {
	db      DB
	dialect Dialect
}

// New makes a store on an open database.
func New(db DB, dialect Dialect) *Store { return &Store{db, dialect} }

// Each statement begins with its name, by which operators find it in their store's own views.
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

// ErrForeign says that another place exports the same incarnation.
var ErrForeign = errors.New("this incarnation is shipped from another place")

// Classify says what an error of Migrate or Put means for the batches to come.
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

// Checkpoint does the store's own upkeep, if it has any.
func (s *Store) Checkpoint(ctx context.Context) error {
	if s.dialect.Checkpoint == "" {
		return nil
	}
	_, err := s.db.Exec(ctx, s.dialect.Checkpoint)
	return err
}

// Close lets the store go.
func (s *Store) Close() error { return s.db.Close() }

// HoldWriteLock keeps a transaction open while something runs, and rolls it back: with the store's write lock in it, others
// wait meanwhile. It is for tests.
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

// queryOne scans the only row of an answer; where there is none, nothing is scanned.
func queryOne(ctx context.Context, runner Runner, text string, args []any, dest ...any) error {
	return runner.Query(ctx, text, args, func(scan func(...any) error) error { return scan(dest...) })
}
