// Package sqlstore keeps the ledger in an SQL database: schema, batches, selections, in one text for all stores that know
// JSON. It must never decide when a batch goes or what a failure means for the next one.
package sqlstore

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"onyxgate/internal/failpoint"
	"onyxgate/internal/record"
)

// Dialect is what differs between stores.
type Dialect struct {
	Name string
	// JSONRows names the set of elements of the JSON array $1 as v; Field reads one of its fields as a type.
	JSONRows  string
	JSONField func(name, kind string) string
	// BigIntType, Real are the types of whole numbers and times.
	BigIntType, DoubleType string
	// Classify says what an error means.
	Classify func(error) record.ExportResult
	// Checkpoint is run now and then; empty: nothing is.
	Checkpoint string
}

// Runner runs statements; arguments and columns are strings, ints, int64s and float64s.
type Runner interface {
	Exec(ctx context.Context, text string, args ...any) (affected int64, err error)
	// Query calls each with a way to scan the row, one row in memory at a time; an error of each ends it.
	Query(ctx context.Context, text string, args []any, each func(scan func(...any) error) error) error
}

// Tx is a transaction; Rollback after Commit does nothing.
type Tx interface {
	Runner
	Commit(ctx context.Context) error
	Rollback()
}

// DB is an open database. Behind database/sql all of pgx would be linked in, 1.4 MB of every agent's memory.
type DB interface {
	Runner
	Begin(ctx context.Context) (Tx, error)
	Close() error
}

// Store is one.
type Store struct {
	db      DB
	dialect Dialect
}

// New makes a store on an open database.
func New(db DB, d Dialect) *Store { return &Store{db, d} }

// queryOne scans the only row of an answer and tells whether there is one.
func queryOne(ctx context.Context, r Runner, text string, args []any, to ...any) (found bool, err error) {
	err = r.Query(ctx, text, args, func(scan func(...any) error) error {
		found = true
		return scan(to...)
	})
	return found, err
}

// Each statement begins with its name, by which operators find it in their store's own views.
const (
	NameVersion = "/* onyxgate version */ "
	NameMigrate = "/* onyxgate migrate */ "
	NameClaim   = "/* onyxgate claim */ "
	NameOwner   = "/* onyxgate owner */ "
	NamePut     = "/* onyxgate put */ "
	NameGaps    = "/* onyxgate gaps */ "
	NameThrough = "/* onyxgate through */ "
	NameSelect  = "/* onyxgate select */ "
	NameMissed  = "/* onyxgate missed */ "
	NameCount   = "/* onyxgate count */ "
	NamePrune   = "/* onyxgate prune */ "
)

// migrations are numbered from 1 and never changed once they have run anywhere.
func (s *Store) migrations() [][]string {
	big, real := s.dialect.BigIntType, s.dialect.DoubleType
	key := `primary key (incarnation, n)`
	if failpoint.Defect("no-dedupe") {
		key = `check (n > 0)`
	}
	return [][]string{
		{
			`create table onyxgate_incarnation (incarnation text primary key, agent text not null, place text not null,
				through ` + big + ` not null, closed integer not null)`,
			`create table onyxgate_entry (incarnation text not null, n ` + big + ` not null, agent text not null,
				state text not null, txn text not null, product text not null, outcome text not null, reason text not null,
				build integer not null, appliance text not null, submissions integer not null, taken_ms ` + real + ` not null,
				answered_ms ` + real + ` not null, body text not null, mark text not null, ` + key + `)`,
			`create index onyxgate_entry_answered on onyxgate_entry (answered_ms)`,
			`create table onyxgate_gap (incarnation text not null, n ` + big + ` not null, agent text not null,
				settled ` + big + ` not null, declined ` + big + ` not null, voided ` + big + ` not null,
				unknown ` + big + ` not null, from_ms ` + real + ` not null, to_ms ` + real + ` not null,
				cause text not null, primary key (incarnation, n))`,
		},
		{
			`create index onyxgate_entry_txn on onyxgate_entry (txn)`,
		},
	}
}

const createVersionTable = `create table if not exists onyxgate_schema (version integer primary key, applied_ms bigint not null)`

// Migrate brings the schema up to date, each step in a transaction of its own. A schema newer than the program is an error.
func (s *Store) Migrate(ctx context.Context) error {
	if _, err := s.db.Exec(ctx, NameMigrate+createVersionTable); err != nil {
		return fmt.Errorf("schema: %w", err)
	}
	steps := s.migrations()
	for i := range steps {
		if err := s.migrateTo(ctx, i+1, steps[i], len(steps)); err != nil {
			return err
		}
	}
	return nil
}

func (s *Store) migrateTo(ctx context.Context, version int, statements []string, newest int) error {
	tx, err := s.db.Begin(ctx)
	if err != nil {
		return err
	}
	defer tx.Rollback()
	var has int
	if _, err := queryOne(ctx, tx, NameVersion+"select coalesce(max(version), 0) from onyxgate_schema", nil, &has); err != nil {
		return err
	}
	switch {
	case has > newest:
		return fmt.Errorf("the store's schema is version %d, this program knows %d: use a newer program", has, newest)
	case has >= version:
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

// Row is a row of the store: an entry with what it belongs to, or a gap.
type Row struct {
	Instance    string  `json:"agent"`
	Incarnation string  `json:"incarnation"`
	N           uint64  `json:"n"`
	State       string  `json:"state"`
	RequestID   string  `json:"txn"`
	Class       string  `json:"product"`
	Outcome     string  `json:"outcome"`
	Reason      string  `json:"reason"`
	Release     int     `json:"build"`
	Backend     string  `json:"appliance"`
	Attempts    int     `json:"submissions"`
	ArrivedAt   float64 `json:"taken_ms"`
	AnsweredAt  float64 `json:"answered_ms"`
	BodyDigest  string  `json:"body"`
	KeyDigest   string  `json:"mark"`
}

// GapRow is a gap as the store has it.
type GapRow struct {
	Instance    string  `json:"agent"`
	Incarnation string  `json:"incarnation"`
	N           uint64  `json:"n"`
	Served      uint64  `json:"settled"`
	Rejected    uint64  `json:"declined"`
	Failed      uint64  `json:"voided"`
	Unknown     uint64  `json:"unknown"`
	From        float64 `json:"from_ms"`
	To          float64 `json:"to_ms"`
	Cause       string  `json:"cause"`
}

func hexDigest(d record.Digest) string {
	if d == (record.Digest{}) {
		return ""
	}
	return hex.EncodeToString(d[:])
}

// Batch is what is stored at once.
type Batch struct {
	Instance, Incarnation, Place string
	Rows                         []record.Row
	Through                      uint64 // everything up to it has become final
	Closed                       bool   // and nothing will follow
}

// ErrForeign: another place ships the same incarnation.
var ErrForeign = errors.New("this incarnation is shipped from another place")

var entryFields = [][2]string{
	{"incarnation", "text"},
	{"n", "big"},
	{"agent", "text"},
	{"state", "text"},
	{"txn", "text"},
	{"product", "text"},
	{"outcome", "text"},
	{"reason", "text"},
	{"build", "big"},
	{"appliance", "text"},
	{"submissions", "big"},
	{"taken_ms", "real"},
	{"answered_ms", "real"},
	{"body", "text"},
	{"mark", "text"},
}

var gapFields = [][2]string{
	{"incarnation", "text"},
	{"n", "big"},
	{"agent", "text"},
	{"settled", "big"},
	{"declined", "big"},
	{"voided", "big"},
	{"unknown", "big"},
	{"from_ms", "real"},
	{"to_ms", "real"},
	{"cause", "text"},
}

func (s *Store) insert(name, table string, fields [][2]string) string {
	var names, values []string
	for _, f := range fields {
		names, values = append(names, f[0]), append(values, s.dialect.JSONField(f[0], f[1]))
	}
	again := " on conflict do nothing"
	if failpoint.Defect("no-dedupe") && table == "onyxgate_entry" {
		again = ""
	}
	return name + "insert into " + table + " (" + strings.Join(names, ", ") + ") select " + strings.Join(values, ", ") +
		" from " + s.dialect.JSONRows + " where true" + again
}

// Put stores a batch whole or not at all, each row once however often it comes. It returns the bytes that went.
func (s *Store) Put(ctx context.Context, b Batch) (bytes int, err error) {
	var entries []Row
	var gaps []GapRow
	for _, r := range b.Rows {
		if g := r.Gap; g != nil {
			gaps = append(gaps, GapRow{
				b.Instance, b.Incarnation, g.N, g.Counts[record.OutcomeServed], g.Counts[record.OutcomeRejected],
				g.Counts[record.OutcomeFailed], g.Counts[0], g.From, g.To, g.Cause,
			})
			continue
		}
		e := r.Entry
		entries = append(entries, Row{
			b.Instance, b.Incarnation, e.N, r.State.String(), e.RequestID, e.Class, e.Outcome.String(),
			e.Reason, e.Release, e.Backend, e.Attempts, e.ArrivedAt, e.AnsweredAt, hexDigest(e.BodyDigest), hexDigest(e.KeyDigest),
		})
	}
	tx, err := s.db.Begin(ctx)
	if err != nil {
		return 0, err
	}
	defer tx.Rollback()
	failpoint.At("ship.begun")
	// The claim locks the incarnation's row, so that of two shippers one waits.
	if _, err := tx.Exec(ctx, NameClaim+`insert into onyxgate_incarnation (incarnation, agent, place, through, closed)
		values ($1, $2, $3, 0, 0) on conflict do nothing`, b.Incarnation, b.Instance, b.Place); err != nil {
		return 0, err
	}
	if _, err := tx.Exec(ctx, NameThrough+`update onyxgate_incarnation set
		through = case when through < $1 then $2 else through end, closed = case when closed < $3 then $4 else closed end
		where incarnation = $5`, int64(b.Through), int64(b.Through), bit(b.Closed), bit(b.Closed), b.Incarnation); err != nil {
		return 0, err
	}
	var place string
	if _, err := queryOne(ctx, tx, NameOwner+`select place from onyxgate_incarnation where incarnation = $1`,
		[]any{b.Incarnation}, &place); err != nil {
		return 0, err
	}
	if place != b.Place {
		return 0, fmt.Errorf("%w: %s, not %s", ErrForeign, place, b.Place)
	}
	for _, part := range []struct {
		name, table string
		fields      [][2]string
		rows        any
		n           int
	}{
		{NamePut, "onyxgate_entry", entryFields, entries, len(entries)},
		{NameGaps, "onyxgate_gap", gapFields, gaps, len(gaps)},
	} {
		if part.n == 0 {
			continue
		}
		text, err := json.Marshal(part.rows)
		if err != nil {
			return 0, err
		}
		bytes += len(text)
		if _, err := tx.Exec(ctx, s.insert(part.name, part.table, part.fields), string(text)); err != nil {
			return 0, err
		}
	}
	failpoint.At("ship.commit")
	if err := tx.Commit(ctx); err != nil {
		return 0, err
	}
	failpoint.At("ship.committed")
	return bytes, nil
}

func bit(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

// Classify says what an error of Put means for the batches to come.
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

// Through is how far an incarnation is stored, and whether it is closed.
func (s *Store) Through(ctx context.Context, incarnation string) (through uint64, closed bool, err error) {
	var t, c int64
	_, err = queryOne(ctx, s.db, NameOwner+`select through, closed from onyxgate_incarnation where incarnation = $1`,
		[]any{incarnation}, &t, &c)
	return uint64(t), c != 0, err
}

// Filter selects rows; empty fields select all. Times are Unix ms, From included and To not.
type Filter struct {
	From, To                                   float64
	Instance, Class, Outcome, State, RequestID string
	Limit                                      int
}

func (f Filter) where() (text string, args []any) {
	text = " where true"
	add := func(condition string, value any) {
		args = append(args, value)
		text += fmt.Sprintf(" and "+condition, fmt.Sprintf("$%d", len(args)))
	}
	if f.From > 0 {
		add("answered_ms >= %s", f.From)
	}
	if f.To > 0 {
		add("answered_ms < %s", f.To)
	}
	for _, c := range [][2]string{
		{"agent", f.Instance},
		{"product", f.Class},
		{"outcome", f.Outcome},
		{"state", f.State},
		{"txn", f.RequestID},
	} {
		if c[1] != "" {
			add(c[0]+" = %s", c[1])
		}
	}
	return text, args
}

// Select calls each with the rows that match, oldest first, one at a time; an error of each ends it.
func (s *Store) Select(ctx context.Context, f Filter, each func(Row) error) error {
	where, args := f.where()
	text := NameSelect + `select agent, incarnation, n, state, txn, product, outcome, reason, build, appliance, submissions,
		taken_ms, answered_ms, body, mark from onyxgate_entry` + where + ` order by answered_ms`
	if f.Limit > 0 {
		text += fmt.Sprintf(" limit %d", f.Limit)
	}
	return s.db.Query(ctx, text, args, func(scan func(...any) error) error {
		var r Row
		var n int64
		if err := scan(&r.Instance, &r.Incarnation, &n, &r.State, &r.RequestID, &r.Class, &r.Outcome, &r.Reason, &r.Release,
			&r.Backend, &r.Attempts, &r.ArrivedAt, &r.AnsweredAt, &r.BodyDigest, &r.KeyDigest); err != nil {
			return err
		}
		r.N = uint64(n)
		return each(r)
	})
}

// Gaps calls each with the gaps of an agent, or of all.
func (s *Store) Gaps(ctx context.Context, agent string, each func(GapRow) error) error {
	text, args := NameMissed+`select agent, incarnation, n, settled, declined, voided, unknown, from_ms, to_ms, cause
		from onyxgate_gap`, []any{}
	if agent != "" {
		text, args = text+" where agent = $1", append(args, agent)
	}
	return s.db.Query(ctx, text+" order by from_ms", args, func(scan func(...any) error) error {
		var g GapRow
		var n, settled, declined, voided, unknown int64
		if err := scan(&g.Instance, &g.Incarnation, &n, &settled, &declined, &voided, &unknown, &g.From, &g.To,
			&g.Cause); err != nil {
			return err
		}
		g.N, g.Served, g.Rejected, g.Failed, g.Unknown = uint64(n), uint64(settled), uint64(declined), uint64(voided),
			uint64(unknown)
		return each(g)
	})
}

// Count calls each with how many entries there are by agent, product, outcome and state.
func (s *Store) Count(ctx context.Context, f Filter, each func(agent, product, outcome, state string, n int64) error) error {
	where, args := f.where()
	return s.db.Query(ctx, NameCount+`select agent, product, outcome, state, count(*) from onyxgate_entry`+where+
		` group by agent, product, outcome, state order by agent, product, outcome, state`, args,
		func(scan func(...any) error) error {
			var agent, product, outcome, state string
			var n int64
			if err := scan(&agent, &product, &outcome, &state, &n); err != nil {
				return err
			}
			return each(agent, product, outcome, state, n)
		})
}

// Repeats counts the ordinals that stand more than once: none, unless somebody took the key away.
func (s *Store) Repeats(ctx context.Context) (n int64, err error) {
	_, err = queryOne(ctx, s.db, NameCount+`select count(*) from (select 1 from onyxgate_entry group by incarnation, n
		having count(*) > 1) repeats`, nil, &n)
	return n, err
}

// Prune removes entries answered before a time (ms), `most` at the most, and returns how many.
func (s *Store) Prune(ctx context.Context, before float64, most int) (int64, error) {
	return s.db.Exec(ctx, NamePrune+`delete from onyxgate_entry where (incarnation, n) in (select incarnation, n
		from onyxgate_entry where answered_ms < $1 limit $2)`, before, most)
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

// HoldWriteLock keeps a transaction open while something runs, and rolls it back: with the store's write lock in it, others stand
// still meanwhile.
func (s *Store) HoldWriteLock(ctx context.Context, while func()) error {
	tx, err := s.db.Begin(ctx)
	if err != nil {
		return err
	}
	defer tx.Rollback()
	if _, err := tx.Exec(ctx, NameClaim+`update onyxgate_incarnation set through = through where incarnation = ''`); err != nil {
		return err
	}
	while()
	return nil
}
