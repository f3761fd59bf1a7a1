package sqlstore

// Storing batches.

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"onyxgate/internal/failpoint"
	"onyxgate/internal/record"
)

// Batch is a set of rows of one incarnation that are stored in one transaction.
type Batch struct {
	Instance, Incarnation, DirID string
	Rows                         []record.Row
	Through                      uint64 // everything up to this ordinal is stored with this batch; 0 if unknown
	Closed                       bool   // nothing will follow
}

// Put stores a batch atomically and returns the number of bytes sent. Rows that are already stored are skipped. If the
// error wraps ErrForeign, nothing was stored; after any other error the batch may have been stored, see Classify.
func (s *Store) Put(ctx context.Context, batch Batch) (bytes int, err error) {
	tx, err := s.db.Begin(ctx)
	if err != nil {
		return 0, err
	}
	defer tx.Rollback()
	failpoint.At("ship.begun")
	if err := claim(ctx, tx, batch); err != nil {
		return 0, err
	}
	if bytes, err = s.insertRows(ctx, tx, batch); err != nil {
		return 0, err
	}
	failpoint.At("ship.commit")
	if err := tx.Commit(ctx); err != nil {
		return 0, err
	}
	failpoint.At("ship.committed")
	return bytes, nil
}

// claim locks the row of the incarnation, so that concurrent exporters wait for each other, and updates its progress.
// It returns an error if the incarnation belongs to another spool directory.
func claim(ctx context.Context, tx Tx, batch Batch) error {
	if _, err := tx.Exec(ctx, NameClaim+`insert into onyxgate_incarnation (incarnation, agent, place, through, closed)
		values ($1, $2, $3, 0, 0) on conflict do nothing`, batch.Incarnation, batch.Instance, batch.DirID); err != nil {
		return err
	}
	through, closed := int64(batch.Through), int64(0)
	if batch.Closed {
		closed = 1
	}
	if _, err := tx.Exec(ctx, NameUpdateThrough+`update onyxgate_incarnation set
		through = case when through < $1 then $2 else through end, closed = case when closed < $3 then $4 else closed end
		where incarnation = $5`, through, through, closed, closed, batch.Incarnation); err != nil {
		return err
	}
	var dirID string
	if err := queryOne(ctx, tx, NameOwner+`select place from onyxgate_incarnation where incarnation = $1`,
		[]any{batch.Incarnation}, &dirID); err != nil {
		return err
	}
	if dirID != batch.DirID {
		return fmt.Errorf("%w: owner has directory ID %s, this one has %s", ErrForeign, dirID, batch.DirID)
	}
	return nil
}

func (s *Store) insertRows(ctx context.Context, tx Tx, batch Batch) (bytes int, err error) {
	var entries []Row
	var gaps []GapRow
	for _, row := range batch.Rows {
		if row.Gap != nil {
			gaps = append(gaps, newGapRow(batch, *row.Gap))
		} else {
			entries = append(entries, newRow(batch, row))
		}
	}
	if len(entries) > 0 {
		if bytes, err = insert(ctx, tx, NameInsertEntries+s.insertText("onyxgate_entry", entryColumns), entries); err != nil {
			return 0, err
		}
	}
	if len(gaps) > 0 {
		more, err := insert(ctx, tx, NameInsertGaps+s.insertText("onyxgate_gap", gapColumns), gaps)
		if err != nil {
			return 0, err
		}
		bytes += more
	}
	return bytes, nil
}

// insert sends the rows as one JSON array and returns its size.
func insert(ctx context.Context, tx Tx, text string, rows any) (bytes int, err error) {
	array, err := json.Marshal(rows)
	if err != nil {
		return 0, err
	}
	_, err = tx.Exec(ctx, text, string(array))
	return len(array), err
}

func (s *Store) insertText(table string, columns []column) string {
	var names, values []string
	for _, column := range columns {
		names, values = append(names, column.name), append(values, s.dialect.JSONField(column.name, column.kind))
	}
	onConflict := " on conflict do nothing"
	if failpoint.Defect("no-dedupe") && table == "onyxgate_entry" {
		onConflict = ""
	}
	return "insert into " + table + " (" + strings.Join(names, ", ") + ") select " + strings.Join(values, ", ") +
		" from " + s.dialect.JSONRows + " where true" + onConflict
}
