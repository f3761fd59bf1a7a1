package sqlstore

// Queries and the removal of old entries.

import (
	"context"
	"fmt"
)

// Progress returns the ordinal up to which an incarnation is stored, and whether it is complete.
func (s *Store) Progress(ctx context.Context, incarnation string) (through uint64, closed bool, err error) {
	var throughColumn, closedColumn int64
	err = queryOne(ctx, s.db, NameOwner+`select through, closed from onyxgate_incarnation where incarnation = $1`,
		[]any{incarnation}, &throughColumn, &closedColumn)
	return uint64(throughColumn), closedColumn != 0, err
}

// Filter selects entries. Empty fields match all. Times are Unix ms; From is inclusive, To is exclusive.
type Filter struct {
	From, To                                   float64
	Instance, Class, Outcome, State, RequestID string
	Limit                                      int // maximum number of rows; 0 for no limit
}

// where returns the WHERE clause and its arguments.
func (f Filter) where() (text string, args []any) {
	text = " where true"
	add := func(condition string, value any) {
		args = append(args, value)
		text += fmt.Sprintf(" and %s $%d", condition, len(args))
	}
	if f.From > 0 {
		add("answered_ms >=", f.From)
	}
	if f.To > 0 {
		add("answered_ms <", f.To)
	}
	for _, equal := range []struct{ column, value string }{
		{"agent", f.Instance},
		{"product", f.Class},
		{"outcome", f.Outcome},
		{"state", f.State},
		{"txn", f.RequestID},
	} {
		if equal.value != "" {
			add(equal.column+" =", equal.value)
		}
	}
	return text, args
}

// Select calls visit for each matching entry, oldest first. An error from visit ends the query.
func (s *Store) Select(ctx context.Context, filter Filter, visit func(Row) error) error {
	where, args := filter.where()
	text := NameSelect + `select agent, incarnation, n, state, txn, product, outcome, reason, build, appliance, submissions,
		taken_ms, answered_ms, body, mark from onyxgate_entry` + where + ` order by answered_ms`
	if filter.Limit > 0 {
		text += fmt.Sprintf(" limit %d", filter.Limit)
	}
	return s.db.Query(ctx, text, args, func(scan func(...any) error) error {
		var row Row
		var n int64
		if err := scan(&row.Instance, &row.Incarnation, &n, &row.State, &row.RequestID, &row.Class, &row.Outcome,
			&row.Reason, &row.Release, &row.Backend, &row.Attempts, &row.ArrivedAt, &row.AnsweredAt, &row.BodyDigest,
			&row.KeyDigest); err != nil {
			return err
		}
		row.Ordinal = uint64(n)
		return visit(row)
	})
}

// Gaps calls visit for each gap of an instance, or of all instances if instance is empty. An error from visit ends the
// query.
func (s *Store) Gaps(ctx context.Context, instance string, visit func(GapRow) error) error {
	text, args := NameSelectGaps+`select agent, incarnation, n, settled, declined, voided, unknown, from_ms, to_ms, cause
		from onyxgate_gap`, []any{}
	if instance != "" {
		text, args = text+" where agent = $1", append(args, instance)
	}
	return s.db.Query(ctx, text+" order by from_ms", args, func(scan func(...any) error) error {
		var gap GapRow
		var n, served, rejected, failed, unknown int64
		if err := scan(&gap.Instance, &gap.Incarnation, &n, &served, &rejected, &failed, &unknown, &gap.From, &gap.To,
			&gap.Cause); err != nil {
			return err
		}
		gap.Ordinal, gap.Unknown = uint64(n), uint64(unknown)
		gap.Served, gap.Rejected, gap.Failed = uint64(served), uint64(rejected), uint64(failed)
		return visit(gap)
	})
}

// Count counts the matching entries by instance, class, outcome and state, and calls visit for each group. An error
// from visit ends the query.
func (s *Store) Count(ctx context.Context, filter Filter, visit func(GroupCount) error) error {
	where, args := filter.where()
	return s.db.Query(ctx, NameCount+`select agent, product, outcome, state, count(*) from onyxgate_entry`+where+
		` group by agent, product, outcome, state order by agent, product, outcome, state`, args,
		func(scan func(...any) error) error {
			var group GroupCount
			if err := scan(&group.Instance, &group.Class, &group.Outcome, &group.State, &group.Entries); err != nil {
				return err
			}
			return visit(group)
		})
}

// CountDuplicates returns the number of ordinals that are stored more than once. The primary key prevents duplicates
// unless somebody has dropped it.
func (s *Store) CountDuplicates(ctx context.Context) (n int64, err error) {
	err = queryOne(ctx, s.db, NameCount+`select count(*) from (select 1 from onyxgate_entry group by incarnation, n
		having count(*) > 1) repeats`, nil, &n)
	return n, err
}

// Prune removes up to limit entries answered before a time (Unix ms) and returns how many it removed.
func (s *Store) Prune(ctx context.Context, before float64, limit int) (int64, error) {
	return s.db.Exec(ctx, NamePrune+`delete from onyxgate_entry where (incarnation, n) in (select incarnation, n
		from onyxgate_entry where answered_ms < $1 limit $2)`, before, limit)
}
