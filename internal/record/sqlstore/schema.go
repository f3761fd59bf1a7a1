package sqlstore

// This file owns the schema and how it is brought up to date.

import (
	"context"
	"fmt"
	"time"

	"onyxgate/internal/failpoint"
)

// migrations are numbered from 1 and never changed once they have run anywhere.
func (s *Store) migrations() [][]string {
	bigInt, double := s.dialect.BigIntType, s.dialect.DoubleType
	key := `primary key (incarnation, n)`
	if failpoint.Defect("no-dedupe") {
		key = `check (n > 0)`
	}
	return [][]string{
		{
			`create table onyxgate_incarnation (incarnation text primary key, agent text not null, place text not null,
				through ` + bigInt + ` not null, closed integer not null)`,
			`create table onyxgate_entry (incarnation text not null, n ` + bigInt + ` not null, agent text not null,
				state text not null, txn text not null, product text not null, outcome text not null, reason text not null,
				build integer not null, appliance text not null, submissions integer not null, taken_ms ` + double + ` not null,
				answered_ms ` + double + ` not null, body text not null, mark text not null, ` + key + `)`,
			`create index onyxgate_entry_answered on onyxgate_entry (answered_ms)`,
			`create table onyxgate_gap (incarnation text not null, n ` + bigInt + ` not null, agent text not null,
				settled ` + bigInt + ` not null, declined ` + bigInt + ` not null, voided ` + bigInt + ` not null,
				unknown ` + bigInt + ` not null, from_ms ` + double + ` not null, to_ms ` + double + ` not null,
				cause text not null, primary key (incarnation, n))`,
		},
		{
			`create index onyxgate_entry_txn on onyxgate_entry (txn)`,
		},
	}
}

const createVersionTable = `create table if not exists onyxgate_schema (version integer primary key, applied_ms bigint not null)`

// NewerSchemaError says that a newer program has been at the store.
type NewerSchemaError struct {
	Version, Known int // of the store, and the newest of this program
}

func (e *NewerSchemaError) Error() string {
	return fmt.Sprintf("the store's schema is version %d, this program knows %d: use a newer program", e.Version, e.Known)
}

// Migrate brings the schema up to date, each step in a transaction of its own. Where the store's is newer than this program
// the error is a *NewerSchemaError.
func (s *Store) Migrate(ctx context.Context) error {
	if _, err := s.db.Exec(ctx, NameMigrate+createVersionTable); err != nil {
		return fmt.Errorf("schema: %w", err)
	}
	migrations := s.migrations()
	for i, statements := range migrations {
		if err := s.migrateTo(ctx, i+1, statements, len(migrations)); err != nil {
			return err
		}
	}
	return nil
}

// migrateTo does the step to a version, unless the store has it already. newest is the last that this program knows.
func (s *Store) migrateTo(ctx context.Context, version int, statements []string, newest int) error {
	tx, err := s.db.Begin(ctx)
	if err != nil {
		return err
	}
	defer tx.Rollback()
	var current int
	if err := queryOne(ctx, tx, NameVersion+"select coalesce(max(version), 0) from onyxgate_schema", nil, &current); err != nil {
		return err
	}
	switch {
	case current > newest:
		return &NewerSchemaError{Version: current, Known: newest}
	case current >= version:
		return nil
	}
	// First, so that of two that migrate at once one waits for the other and then finds its own number taken.
	if _, err := tx.Exec(ctx, NameMigrate+"insert into onyxgate_schema (version, applied_ms) values ($1, $2)",
		version, time.Now().UnixMilli()); err != nil {
		return fmt.Errorf("schema version %d: %w", version, err)
	}
	for _, statement := range statements {
		if _, err := tx.Exec(ctx, NameMigrate+statement); err != nil {
			return fmt.Errorf("schema version %d: %w", version, err)
		}
	}
	return tx.Commit(ctx)
}
