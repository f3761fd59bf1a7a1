package postgres

// Execution of statements: transaction control, and sqlstore's statements, which are identified by the name in their
// leading comment.

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"onyxgate/internal/record/sqlstore"
)

// SQLSTATEs of statements that can't be executed.
const (
	sqlstateInvalidText = "22P02"
	sqlstateSyntax      = "42601"
)

// endTransaction discards the transaction's changes and releases the write lock.
func (s *session) endTransaction() {
	s.inTransaction, s.failed, s.changes = false, false, transaction{}
	if s.holdsWriteLock {
		s.holdsWriteLock = false
		s.server.writeLock.Unlock()
	}
}

// commit makes the transaction's changes durable. It returns false if the connection must be closed without a reply.
func (s *session) commit() bool {
	server := s.server
	defer s.endTransaction()
	mode := server.awaitMode()
	switch {
	case mode == modeFailCommit:
		return false
	case len(mode) == sqlstateLength:
		s.inTransaction = false
		s.sendError(mode, "told to fail")
		return true
	}
	server.mu.Lock()
	defer server.mu.Unlock()
	line, err := json.Marshal(s.changes)
	if err != nil {
		return false
	}
	if _, err := server.file.Write(append(line, '\n')); err != nil || server.file.Sync() != nil {
		return false
	}
	server.apply(s.changes)
	return mode != modeLoseConfirmation
}

// execute runs the most recently parsed statement. It returns false if the connection must be closed.
func (s *session) execute() bool {
	s.columns, s.rows, s.tag = nil, nil, "OK"
	name, text := splitName(s.text)
	switch {
	case strings.HasPrefix(text, "begin"):
		s.inTransaction, s.tag = true, "BEGIN"
		return true
	case text == "rollback", text == "commit" && s.failed:
		s.endTransaction()
		s.tag = "ROLLBACK"
		return true
	case text == "commit":
		s.tag = "COMMIT"
		return s.commit()
	case text == "" || strings.HasPrefix(text, "--"): // a ping
		return true
	}
	if s.inTransaction && !s.holdsWriteLock && name != sqlstore.NameSelect {
		s.server.writeLock.Lock()
		s.holdsWriteLock = true
	}
	s.server.mu.Lock()
	defer s.server.mu.Unlock()
	if handler, ok := statementHandlers[name]; ok {
		handler(s, text)
	} else {
		s.sendError(sqlstateSyntax, "not played here: "+s.text)
	}
	return true
}

// splitName splits a statement into its leading comment, which names it, and the remaining text.
func splitName(statement string) (name, text string) {
	text = statement
	if i := strings.Index(text, "*/ "); i > 0 {
		name, text = text[:i+3], text[i+3:]
	}
	return name, strings.TrimSpace(strings.TrimSuffix(text, ";"))
}

// statementHandlers execute sqlstore's statements by name. The caller holds the server's mu.
var statementHandlers = map[string]func(s *session, text string){
	sqlstore.NameMigrate:       (*session).migrate,
	sqlstore.NameVersion:       (*session).selectVersion,
	sqlstore.NameClaim:         (*session).claim,
	sqlstore.NameUpdateThrough: (*session).updateThrough,
	sqlstore.NameOwner:         (*session).selectOwner,
	sqlstore.NameInsertEntries: (*session).insertEntries,
	sqlstore.NameInsertGaps:    (*session).insertGaps,
	sqlstore.NameSelect:        (*session).selectEntries,
	sqlstore.NameSelectGaps:    (*session).selectGaps,
	sqlstore.NameCount:         (*session).count,
}

func (s *session) migrate(text string) {
	if strings.HasPrefix(text, "insert") {
		s.changes.Version, _ = strconv.Atoi(s.args[0]) // always a number in sqlstore's statement
	}
}

func (s *session) selectVersion(string) {
	s.columns = columnsOf("max big")
	s.rows = [][]string{{strconv.Itoa(max(s.server.version, s.changes.Version))}}
}

// claim inserts the row of an incarnation unless it exists.
func (s *session) claim(string) {
	name, instance, place := s.args[0], s.args[1], s.args[2]
	if _, exists := s.incarnation(name); !exists {
		s.setIncarnation(name, incarnation{Instance: instance, Place: place})
	}
}

// updateThrough raises the ordinal up to which an incarnation's entries are stored, and the flag for a closed
// incarnation.
func (s *session) updateThrough(string) {
	name := s.args[4]
	row, exists := s.incarnation(name)
	if !exists {
		return
	}
	through, _ := strconv.ParseInt(s.args[0], 10, 64) // always numbers in sqlstore's statement
	closed, _ := strconv.ParseInt(s.args[2], 10, 64)
	row.Through, row.Closed = max(row.Through, through), max(row.Closed, closed)
	s.setIncarnation(name, row)
}

func (s *session) selectOwner(text string) {
	row, exists := s.incarnation(s.args[0])
	selectsThrough := strings.Contains(text, "through")
	if selectsThrough {
		s.columns = columnsOf("through big", "closed big")
	} else {
		s.columns = columnsOf("place text")
	}
	switch {
	case !exists:
	case selectsThrough:
		s.rows = [][]string{{strconv.FormatInt(row.Through, 10), strconv.FormatInt(row.Closed, 10)}}
	default:
		s.rows = [][]string{{row.Place}}
	}
}

func (s *session) insertEntries(text string) {
	var rows []sqlstore.Row
	if err := json.Unmarshal([]byte(s.args[0]), &rows); err != nil {
		s.sendError(sqlstateInvalidText, err.Error())
		return
	}
	skipStored := strings.Contains(text, "on conflict do nothing")
	for _, row := range rows {
		if !skipStored || !s.server.storedKeys[entryKey(row)] {
			s.changes.Entries = append(s.changes.Entries, row)
		}
	}
}

func (s *session) insertGaps(string) {
	var rows []sqlstore.GapRow
	if err := json.Unmarshal([]byte(s.args[0]), &rows); err != nil {
		s.sendError(sqlstateInvalidText, err.Error())
		return
	}
	for _, row := range rows {
		stored := slices.ContainsFunc(s.server.Gaps, func(gap sqlstore.GapRow) bool {
			return gap.Incarnation == row.Incarnation && gap.Ordinal == row.Ordinal
		})
		if !stored {
			s.changes.Gaps = append(s.changes.Gaps, row)
		}
	}
}

func (s *session) selectEntries(string) {
	s.columns = columnsOf("agent", "incarnation", "n big", "state", "txn", "product", "outcome", "reason", "build big",
		"appliance", "submissions big", "taken_ms real", "answered_ms real", "body", "mark")
	for _, entry := range s.server.Entries {
		s.rows = append(s.rows, []string{
			entry.Instance, entry.Incarnation, fmt.Sprint(entry.Ordinal), entry.State, entry.RequestID, entry.Class, entry.Outcome,
			entry.Reason, fmt.Sprint(entry.Release), entry.Backend, fmt.Sprint(entry.Attempts), fmt.Sprint(entry.ArrivedAt),
			fmt.Sprint(entry.AnsweredAt), entry.BodyDigest, entry.KeyDigest,
		})
	}
}

func (s *session) selectGaps(string) {
	s.columns = columnsOf("agent", "incarnation", "n big", "settled big", "declined big", "voided big", "unknown big",
		"from_ms real", "to_ms real", "cause")
	for _, gap := range s.server.Gaps {
		s.rows = append(s.rows, []string{
			gap.Instance, gap.Incarnation, fmt.Sprint(gap.Ordinal), fmt.Sprint(gap.Served), fmt.Sprint(gap.Rejected),
			fmt.Sprint(gap.Failed), fmt.Sprint(gap.Unknown), fmt.Sprint(gap.From), fmt.Sprint(gap.To), gap.Cause,
		})
	}
}

// count returns the number of repeated keys, or a row with a count of 1 for each entry; the reader adds these up.
func (s *session) count(text string) {
	if strings.Contains(text, "having") {
		s.columns, s.rows = columnsOf("count big"), [][]string{{strconv.Itoa(s.server.countRepeated())}}
		return
	}
	s.columns = columnsOf("agent", "product", "outcome", "state", "n big")
	for _, entry := range s.server.Entries {
		s.rows = append(s.rows, []string{entry.Instance, entry.Class, entry.Outcome, entry.State, "1"})
	}
}

// incarnation returns the row of an incarnation as seen by the transaction.
func (s *session) incarnation(name string) (row incarnation, exists bool) {
	if row, exists = s.changes.Inc[name]; !exists {
		row, exists = s.server.incarnations[name]
	}
	return row, exists
}

func (s *session) setIncarnation(name string, row incarnation) {
	if s.changes.Inc == nil {
		s.changes.Inc = map[string]incarnation{}
	}
	s.changes.Inc[name] = row
}
