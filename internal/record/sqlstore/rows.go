package sqlstore

// Rows and columns of the entry and gap tables.

import (
	"encoding/hex"

	"onyxgate/internal/record"
)

// Row is an entry as stored.
type Row struct {
	Instance    string  `json:"agent"`
	Incarnation string  `json:"incarnation"`
	Ordinal     uint64  `json:"n"`
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

// GapRow is a gap as stored.
type GapRow struct {
	Instance    string  `json:"agent"`
	Incarnation string  `json:"incarnation"`
	Ordinal     uint64  `json:"n"`
	Served      uint64  `json:"settled"`
	Rejected    uint64  `json:"declined"`
	Failed      uint64  `json:"voided"`
	Unknown     uint64  `json:"unknown"`
	From        float64 `json:"from_ms"`
	To          float64 `json:"to_ms"`
	Cause       string  `json:"cause"`
}

// GroupCount is the number of entries with the same instance, class, outcome and state.
type GroupCount struct {
	Instance, Class, Outcome, State string
	Entries                         int64
}

func newRow(batch Batch, row record.Row) Row {
	entry := row.Entry
	return Row{
		Instance: batch.Instance, Incarnation: batch.Incarnation, Ordinal: entry.Ordinal, State: row.State.String(),
		RequestID: entry.RequestID, Class: entry.Class, Outcome: entry.Outcome.String(), Reason: entry.Reason,
		Release: entry.Release, Backend: entry.Backend, Attempts: entry.Attempts, ArrivedAt: entry.ArrivedAt,
		AnsweredAt: entry.AnsweredAt, BodyDigest: hexDigest(entry.BodyDigest), KeyDigest: hexDigest(entry.KeyDigest),
	}
}

func newGapRow(batch Batch, gap record.Gap) GapRow {
	return GapRow{
		Instance: batch.Instance, Incarnation: batch.Incarnation, Ordinal: gap.Ordinal, Served: gap.Counts[record.OutcomeServed],
		Rejected: gap.Counts[record.OutcomeRejected], Failed: gap.Counts[record.OutcomeFailed], Unknown: gap.Counts[0],
		From: gap.From, To: gap.To, Cause: gap.Cause,
	}
}

func hexDigest(digest record.Digest) string {
	if digest == (record.Digest{}) {
		return ""
	}
	return hex.EncodeToString(digest[:])
}

// column is a table column. Its name is also the JSON key of the corresponding field.
type column struct {
	name string
	kind ColumnKind
}

var entryColumns = []column{
	{"incarnation", Text},
	{"n", BigInt},
	{"agent", Text},
	{"state", Text},
	{"txn", Text},
	{"product", Text},
	{"outcome", Text},
	{"reason", Text},
	{"build", BigInt},
	{"appliance", Text},
	{"submissions", BigInt},
	{"taken_ms", Double},
	{"answered_ms", Double},
	{"body", Text},
	{"mark", Text},
}

var gapColumns = []column{
	{"incarnation", Text},
	{"n", BigInt},
	{"agent", Text},
	{"settled", BigInt},
	{"declined", BigInt},
	{"voided", BigInt},
	{"unknown", BigInt},
	{"from_ms", Double},
	{"to_ms", Double},
	{"cause", Text},
}
