// Package postgres stands in for a PostgreSQL server by its published protocol: it plays the statements that sqlstore sends,
// keeps what was committed in a file of its own, and fails as it is told. It is no database and knows no SQL.
package postgres

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"

	"onyxgate/internal/record/sqlstore"
)

// Server is one. Its mode is how it fails: "", stall (nothing is answered), refuse (no connection), cut (connections break
// inside a transaction), lose (commits count and are not answered), or a SQLSTATE with which each commit ends.
type Server struct {
	mu           sync.Mutex
	changed      sync.Cond
	mode         string
	file         *os.File
	user         string
	credentials  scram.StoredCredentials
	version      int
	incarnations map[string]*incarnation
	stored       map[string]bool
	Entries      []sqlstore.Row
	Gaps         []sqlstore.GapRow
	connections  map[net.Conn]bool
	writing      sync.Mutex // one transaction at a time
}

type incarnation struct {
	Agent, Place string
	Through      int64
	Closed       int64
}

// transaction is what a transaction did: a line of the file.
type transaction struct {
	Version int                    `json:",omitempty"`
	Inc     map[string]incarnation `json:",omitempty"`
	Entries []sqlstore.Row         `json:",omitempty"`
	Gaps    []sqlstore.GapRow      `json:",omitempty"`
}

// New reads the file, or makes it; the password is asked for by SCRAM where it is not empty.
func New(path, user, password string) (*Server, error) {
	s := &Server{user: user, incarnations: map[string]*incarnation{}, stored: map[string]bool{}, connections: map[net.Conn]bool{}}
	s.changed.L = &s.mu
	if password != "" {
		c, err := scram.SHA256.NewClient(user, password, "")
		if err != nil {
			return nil, err
		}
		s.credentials = c.GetStoredCredentials(scram.KeyFactors{Salt: "onyxgate-standin", Iters: 4096})
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, 64<<20)
	for lines.Scan() {
		var c transaction
		if json.Unmarshal(lines.Bytes(), &c) != nil {
			break // the kill came within the write, so it was never confirmed
		}
		s.apply(c)
	}
	s.file = f
	return s, lines.Err()
}

// Fail sets the mode.
func (s *Server) Fail(mode string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = mode
	s.changed.Broadcast()
	if mode == "refuse" {
		for c := range s.connections {
			c.Close()
		}
	}
}

// Serve takes connections until the listener ends.
func (s *Server) Serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go s.serveConn(c)
	}
}

func (s *Server) apply(c transaction) {
	s.version = max(s.version, c.Version)
	for k, i := range c.Inc {
		s.incarnations[k] = &i
	}
	for _, e := range c.Entries {
		s.stored[e.Incarnation+"/"+strconv.FormatUint(e.N, 10)] = true
	}
	s.Entries, s.Gaps = append(s.Entries, c.Entries...), append(s.Gaps, c.Gaps...)
}

// awaitMode stands still while the server does, and tells how it fails now.
func (s *Server) awaitMode() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.mode == "stall" {
		s.changed.Wait()
	}
	return s.mode
}

// session is one connection's life.
type session struct {
	server        *Server
	backend       *pgproto3.Backend
	inTransaction bool // a transaction
	failed        bool
	locked        bool
	changes       transaction
	text          string
	args          []string
	columns       []string
	rows          [][]string
	tag           string
}

func (s *Server) serveConn(c net.Conn) {
	defer c.Close()
	if s.awaitMode() == "refuse" {
		return
	}
	s.mu.Lock()
	s.connections[c] = true
	s.mu.Unlock()
	x := &session{server: s, backend: pgproto3.NewBackend(c, c)}
	defer func() {
		x.endTransaction()
		s.mu.Lock()
		delete(s.connections, c)
		s.mu.Unlock()
	}()
	if !x.handshake(c) {
		return
	}
	for {
		m, err := x.backend.Receive()
		if err != nil {
			return
		}
		s.awaitMode()
		if !x.handle(m) || x.backend.Flush() != nil {
			return
		}
	}
}

func (x *session) handshake(c net.Conn) bool {
	for {
		m, err := x.backend.ReceiveStartupMessage()
		if err != nil {
			return false
		}
		switch m := m.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			c.Write([]byte("N"))
		case *pgproto3.StartupMessage:
			if x.server.credentials.Iters > 0 && !x.authenticate(m.Parameters["user"]) {
				x.backend.Send(&pgproto3.ErrorResponse{Severity: "FATAL", Code: "28P01", Message: "password authentication failed"})
				x.backend.Flush()
				return false
			}
			x.backend.Send(&pgproto3.AuthenticationOk{})
			x.backend.Send(&pgproto3.ParameterStatus{Name: "client_encoding", Value: "UTF8"})
			x.backend.Send(&pgproto3.ParameterStatus{Name: "standard_conforming_strings", Value: "on"})
			x.backend.Send(&pgproto3.BackendKeyData{ProcessID: 1, SecretKey: []byte{0, 0, 0, 1}})
			x.backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
			return x.backend.Flush() == nil
		default:
			return false
		}
	}
}

func (x *session) authenticate(user string) bool {
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) { return x.server.credentials, nil })
	if err != nil || user != x.server.user {
		return false
	}
	talk := server.NewConversation()
	x.backend.Send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{"SCRAM-SHA-256"}})
	x.backend.SetAuthType(pgproto3.AuthTypeSASL)
	for x.backend.Flush() == nil {
		m, err := x.backend.Receive()
		if err != nil {
			return false
		}
		said := ""
		switch m := m.(type) {
		case *pgproto3.SASLInitialResponse:
			said = string(m.Data)
			x.backend.SetAuthType(pgproto3.AuthTypeSASLContinue)
		case *pgproto3.SASLResponse:
			said = string(m.Data)
		}
		answer, err := talk.Step(said)
		if err != nil {
			return false
		}
		if talk.Done() {
			x.backend.Send(&pgproto3.AuthenticationSASLFinal{Data: []byte(answer)})
			return talk.Valid()
		}
		x.backend.Send(&pgproto3.AuthenticationSASLContinue{Data: []byte(answer)})
	}
	return false
}

func (x *session) status() byte {
	switch {
	case x.failed:
		return 'E'
	case x.inTransaction:
		return 'T'
	}
	return 'I'
}

// handle answers one message; false ends the connection.
func (x *session) handle(m pgproto3.FrontendMessage) bool {
	switch m := m.(type) {
	case *pgproto3.Query:
		x.text, x.args = m.String, nil
		if !x.execute() {
			return false
		}
		x.describeRows()
		x.sendRows()
		x.backend.Send(&pgproto3.ReadyForQuery{TxStatus: x.status()})
	case *pgproto3.Parse:
		x.text = m.Query
		x.backend.Send(&pgproto3.ParseComplete{})
	case *pgproto3.Bind:
		x.args = nil
		for _, p := range m.Parameters {
			x.args = append(x.args, string(p))
		}
		x.backend.Send(&pgproto3.BindComplete{})
	case *pgproto3.Describe:
		if !x.execute() {
			return false
		}
		x.describeRows()
	case *pgproto3.Execute:
		x.sendRows()
	case *pgproto3.Sync:
		x.backend.Send(&pgproto3.ReadyForQuery{TxStatus: x.status()})
	case *pgproto3.Terminate:
		return false
	}
	return true
}

func (x *session) describeRows() {
	if x.tag == "" {
		return
	}
	if len(x.columns) == 0 {
		x.backend.Send(&pgproto3.NoData{})
		return
	}
	var fields []pgproto3.FieldDescription
	for _, c := range x.columns {
		name, kind, _ := strings.Cut(c, " ")
		oid, size := uint32(25), int16(-1)
		switch kind {
		case "big":
			oid, size = 20, 8
		case "real":
			oid, size = 701, 8
		}
		fields = append(fields, pgproto3.FieldDescription{
			Name: []byte(name), DataTypeOID: oid, DataTypeSize: size,
			TypeModifier: -1,
		})
	}
	x.backend.Send(&pgproto3.RowDescription{Fields: fields})
}

func (x *session) sendRows() {
	if x.tag == "" {
		return
	}
	for _, r := range x.rows {
		var values [][]byte
		for _, v := range r {
			values = append(values, []byte(v))
		}
		x.backend.Send(&pgproto3.DataRow{Values: values})
	}
	x.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(x.tag)})
	x.tag = ""
}

func (x *session) sendError(code, message string) {
	x.failed = x.inTransaction
	x.tag = ""
	x.backend.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: code, Message: message})
}

func (x *session) endTransaction() {
	x.inTransaction, x.failed, x.changes = false, false, transaction{}
	if x.locked {
		x.locked = false
		x.server.writing.Unlock()
	}
}

// commit makes the transaction lasting; false: the connection ends without a word.
func (x *session) commit() bool {
	s := x.server
	defer x.endTransaction()
	mode := s.awaitMode()
	switch {
	case mode == "cut":
		return false
	case len(mode) == 5: // a SQLSTATE
		x.inTransaction = false
		x.sendError(mode, "told to fail")
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	line, _ := json.Marshal(x.changes)
	if _, err := s.file.Write(append(line, '\n')); err != nil || s.file.Sync() != nil {
		return false
	}
	s.apply(x.changes)
	return mode != "lose"
}

// execute plays a statement; false ends the connection.
func (x *session) execute() bool {
	x.columns, x.rows, x.tag = nil, nil, "OK"
	s, text := x.server, x.text
	name := ""
	if i := strings.Index(text, "*/ "); i > 0 {
		name, text = text[:i+3], text[i+3:]
	}
	text = strings.TrimSpace(strings.TrimSuffix(text, ";"))
	switch {
	case strings.HasPrefix(text, "begin"):
		x.inTransaction, x.tag = true, "BEGIN"
		return true
	case text == "rollback":
		x.endTransaction()
		x.tag = "ROLLBACK"
		return true
	case text == "commit" && x.failed:
		x.endTransaction()
		x.tag = "ROLLBACK"
		return true
	case text == "commit":
		x.tag = "COMMIT"
		return x.commit()
	case text == "" || strings.HasPrefix(text, "--"): // a ping
		return true
	}
	if x.inTransaction && !x.locked && name != sqlstore.NameSelect {
		s.writing.Lock()
		x.locked = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch name {
	case sqlstore.NameMigrate:
		if strings.HasPrefix(text, "insert") {
			x.changes.Version, _ = strconv.Atoi(x.args[0])
		}
	case sqlstore.NameVersion:
		x.columns, x.rows = []string{"max big"}, [][]string{{strconv.Itoa(max(s.version, x.changes.Version))}}
	case sqlstore.NameClaim:
		if x.incarnation(x.args[0]) == nil {
			x.setIncarnation(x.args[0], incarnation{Agent: x.args[1], Place: x.args[2]})
		}
	case sqlstore.NameThrough:
		if i := x.incarnation(x.args[4]); i != nil {
			through, _ := strconv.ParseInt(x.args[0], 10, 64)
			closed, _ := strconv.ParseInt(x.args[2], 10, 64)
			i.Through, i.Closed = max(i.Through, through), max(i.Closed, closed)
			x.setIncarnation(x.args[4], *i)
		}
	case sqlstore.NameOwner:
		i := x.incarnation(x.args[0])
		if strings.Contains(text, "through") {
			x.columns = []string{"through big", "closed big"}
			if i != nil {
				x.rows = [][]string{{strconv.FormatInt(i.Through, 10), strconv.FormatInt(i.Closed, 10)}}
			}
		} else if x.columns = []string{"place text"}; i != nil {
			x.rows = [][]string{{i.Place}}
		}
	case sqlstore.NamePut:
		var rows []sqlstore.Row
		if err := json.Unmarshal([]byte(x.args[0]), &rows); err != nil {
			x.sendError("22P02", err.Error())
			return true
		}
		for _, r := range rows {
			if !strings.Contains(text, "on conflict do nothing") || !s.stored[r.Incarnation+"/"+strconv.FormatUint(r.N, 10)] {
				x.changes.Entries = append(x.changes.Entries, r)
			}
		}
	case sqlstore.NameGaps:
		var rows []sqlstore.GapRow
		if err := json.Unmarshal([]byte(x.args[0]), &rows); err != nil {
			x.sendError("22P02", err.Error())
			return true
		}
		for _, r := range rows {
			again := false
			for _, g := range s.Gaps {
				again = again || g.Incarnation == r.Incarnation && g.N == r.N
			}
			if !again {
				x.changes.Gaps = append(x.changes.Gaps, r)
			}
		}
	case sqlstore.NameSelect:
		x.columns = []string{
			"agent", "incarnation", "n big", "state", "txn", "product", "outcome", "reason", "build big",
			"appliance", "submissions big", "taken_ms real", "answered_ms real", "body", "mark",
		}
		for _, r := range s.Entries {
			x.rows = append(x.rows, []string{
				r.Agent, r.Incarnation, fmt.Sprint(r.N), r.State, r.RequestID, r.Class, r.Outcome,
				r.Reason, fmt.Sprint(r.Release), r.Backend, fmt.Sprint(r.Attempts), fmt.Sprint(r.ArrivedAt), fmt.Sprint(r.AnsweredAt),
				r.BodyDigest, r.KeyDigest,
			})
		}
	case sqlstore.NameMissed:
		x.columns = []string{
			"agent", "incarnation", "n big", "settled big", "declined big", "voided big", "unknown big",
			"from_ms real", "to_ms real", "cause",
		}
		for _, g := range s.Gaps {
			x.rows = append(x.rows, []string{
				g.Agent, g.Incarnation, fmt.Sprint(g.N), fmt.Sprint(g.Served),
				fmt.Sprint(g.Rejected), fmt.Sprint(g.Failed), fmt.Sprint(g.Unknown), fmt.Sprint(g.From), fmt.Sprint(g.To), g.Cause,
			})
		}
	case sqlstore.NameCount:
		if strings.Contains(text, "having") {
			x.columns, x.rows = []string{"count big"}, [][]string{{strconv.Itoa(s.repeats())}}
			return true
		}
		x.columns = []string{"agent", "product", "outcome", "state", "n big"}
		for _, r := range s.Entries {
			x.rows = append(x.rows, []string{r.Agent, r.Class, r.Outcome, r.State, "1"})
		}
	default:
		x.sendError("42601", "not played here: "+x.text)
	}
	return true
}

func (s *Server) repeats() (n int) {
	count := map[string]int{}
	for _, e := range s.Entries {
		key := e.Incarnation + "/" + strconv.FormatUint(e.N, 10)
		if count[key]++; count[key] == 2 {
			n++
		}
	}
	return n
}

func (x *session) incarnation(name string) *incarnation {
	if i, ok := x.changes.Inc[name]; ok {
		return &i
	}
	if i := x.server.incarnations[name]; i != nil {
		c := *i
		return &c
	}
	return nil
}

func (x *session) setIncarnation(name string, i incarnation) {
	if x.changes.Inc == nil {
		x.changes.Inc = map[string]incarnation{}
	}
	x.changes.Inc[name] = i
}
