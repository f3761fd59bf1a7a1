package sqlstore

// Database schema and migrations.

import (
	"context"
	"fmt"
	"time"

	"onyxgate/internal/failpoint"
)

// migrations returns the statements of each schema version, starting at version 1. Versions must not change once they
// have been applied anywhere.
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

// NewerSchemaError is returned if the store was migrated by a newer version of the program.
type NewerSchemaError struct {
	Version, Known int // version of the store, newest version known to this program
}

func (e *NewerSchemaError) Error() string {
	return fmt.Sprintf("store has schema version %d, newest supported is %d: use a newer program", e.Version, e.Known)
}

// Migrate brings the schema up to date, running each step in its own transaction. It returns a *NewerSchemaError if the
// schema is newer than this program.
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

// migrateTo applies the step to a version unless the store already has it. newest is the newest version known.
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
	// Inserted first, so that one of two concurrent migrations waits for the other and then fails on the duplicate
	// version.
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
