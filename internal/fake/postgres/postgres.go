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
	mu      sync.Mutex
	turn    sync.Cond
	mode    string
	file    *os.File
	user    string
	creds   scram.StoredCredentials
	version int
	incs    map[string]*inc
	seen    map[string]bool
	Entries []sqlstore.Row
	Gaps    []sqlstore.GapRow
	conns   map[net.Conn]bool
	writing sync.Mutex // one transaction at a time
}

type inc struct {
	Agent, Place string
	Through      int64
	Closed       int64
}

// change is what a transaction did: a line of the file.
type change struct {
	Version int               `json:",omitempty"`
	Inc     map[string]inc    `json:",omitempty"`
	Entries []sqlstore.Row    `json:",omitempty"`
	Gaps    []sqlstore.GapRow `json:",omitempty"`
}

// New reads the file, or makes it; the password is asked for by SCRAM where it is not empty.
func New(path, user, password string) (*Server, error) {
	s := &Server{user: user, incs: map[string]*inc{}, seen: map[string]bool{}, conns: map[net.Conn]bool{}}
	s.turn.L = &s.mu
	if password != "" {
		c, err := scram.SHA256.NewClient(user, password, "")
		if err != nil {
			return nil, err
		}
		s.creds = c.GetStoredCredentials(scram.KeyFactors{Salt: "onyxgate-standin", Iters: 4096})
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, 64<<20)
	for lines.Scan() {
		var c change
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
	s.turn.Broadcast()
	if mode == "refuse" {
		for c := range s.conns {
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
		go s.session(c)
	}
}

func (s *Server) apply(c change) {
	s.version = max(s.version, c.Version)
	for k, i := range c.Inc {
		s.incs[k] = &i
	}
	for _, e := range c.Entries {
		s.seen[e.Incarnation+"/"+strconv.FormatUint(e.Ordinal, 10)] = true
	}
	s.Entries, s.Gaps = append(s.Entries, c.Entries...), append(s.Gaps, c.Gaps...)
}

// wait stands still while the server does, and tells how it fails now.
func (s *Server) wait() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.mode == "stall" {
		s.turn.Wait()
	}
	return s.mode
}

// session is one connection's life.
type session struct {
	s       *Server
	b       *pgproto3.Backend
	in      bool // a transaction
	failed  bool
	locked  bool
	did     change
	text    string
	args    []string
	columns []string
	rows    [][]string
	tag     string
}

func (s *Server) session(c net.Conn) {
	defer c.Close()
	if s.wait() == "refuse" {
		return
	}
	s.mu.Lock()
	s.conns[c] = true
	s.mu.Unlock()
	x := &session{s: s, b: pgproto3.NewBackend(c, c)}
	defer func() {
		x.end()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	if !x.start(c) {
		return
	}
	for {
		m, err := x.b.Receive()
		if err != nil {
			return
		}
		s.wait()
		if !x.take(m) || x.b.Flush() != nil {
			return
		}
	}
}

func (x *session) start(c net.Conn) bool {
	for {
		m, err := x.b.ReceiveStartupMessage()
		if err != nil {
			return false
		}
		switch m := m.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			c.Write([]byte("N"))
		case *pgproto3.StartupMessage:
			if x.s.creds.Iters > 0 && !x.authenticate(m.Parameters["user"]) {
				x.b.Send(&pgproto3.ErrorResponse{Severity: "FATAL", Code: "28P01", Message: "password authentication failed"})
				x.b.Flush()
				return false
			}
			x.b.Send(&pgproto3.AuthenticationOk{})
			x.b.Send(&pgproto3.ParameterStatus{Name: "client_encoding", Value: "UTF8"})
			x.b.Send(&pgproto3.ParameterStatus{Name: "standard_conforming_strings", Value: "on"})
			x.b.Send(&pgproto3.BackendKeyData{ProcessID: 1, SecretKey: []byte{0, 0, 0, 1}})
			x.b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
			return x.b.Flush() == nil
		default:
			return false
		}
	}
}

func (x *session) authenticate(user string) bool {
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) { return x.s.creds, nil })
	if err != nil || user != x.s.user {
		return false
	}
	talk := server.NewConversation()
	x.b.Send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{"SCRAM-SHA-256"}})
	x.b.SetAuthType(pgproto3.AuthTypeSASL)
	for x.b.Flush() == nil {
		m, err := x.b.Receive()
		if err != nil {
			return false
		}
		said := ""
		switch m := m.(type) {
		case *pgproto3.SASLInitialResponse:
			said = string(m.Data)
			x.b.SetAuthType(pgproto3.AuthTypeSASLContinue)
		case *pgproto3.SASLResponse:
			said = string(m.Data)
		}
		answer, err := talk.Step(said)
		if err != nil {
			return false
		}
		if talk.Done() {
			x.b.Send(&pgproto3.AuthenticationSASLFinal{Data: []byte(answer)})
			return talk.Valid()
		}
		x.b.Send(&pgproto3.AuthenticationSASLContinue{Data: []byte(answer)})
	}
	return false
}

func (x *session) status() byte {
	switch {
	case x.failed:
		return 'E'
	case x.in:
		return 'T'
	}
	return 'I'
}

// take answers one message; false ends the connection.
func (x *session) take(m pgproto3.FrontendMessage) bool {
	switch m := m.(type) {
	case *pgproto3.Query:
		x.text, x.args = m.String, nil
		if !x.execute() {
			return false
		}
		x.describe()
		x.send()
		x.b.Send(&pgproto3.ReadyForQuery{TxStatus: x.status()})
	case *pgproto3.Parse:
		x.text = m.Query
		x.b.Send(&pgproto3.ParseComplete{})
	case *pgproto3.Bind:
		x.args = nil
		for _, p := range m.Parameters {
			x.args = append(x.args, string(p))
		}
		x.b.Send(&pgproto3.BindComplete{})
	case *pgproto3.Describe:
		if !x.execute() {
			return false
		}
		x.describe()
	case *pgproto3.Execute:
		x.send()
	case *pgproto3.Sync:
		x.b.Send(&pgproto3.ReadyForQuery{TxStatus: x.status()})
	case *pgproto3.Terminate:
		return false
	}
	return true
}

func (x *session) describe() {
	if x.tag == "" {
		return
	}
	if len(x.columns) == 0 {
		x.b.Send(&pgproto3.NoData{})
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
		fields = append(fields, pgproto3.FieldDescription{Name: []byte(name), DataTypeOID: oid, DataTypeSize: size,
			TypeModifier: -1})
	}
	x.b.Send(&pgproto3.RowDescription{Fields: fields})
}

func (x *session) send() {
	if x.tag == "" {
		return
	}
	for _, r := range x.rows {
		var values [][]byte
		for _, v := range r {
			values = append(values, []byte(v))
		}
		x.b.Send(&pgproto3.DataRow{Values: values})
	}
	x.b.Send(&pgproto3.CommandComplete{CommandTag: []byte(x.tag)})
	x.tag = ""
}

func (x *session) fault(code, message string) {
	x.failed = x.in
	x.tag = ""
	x.b.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: code, Message: message})
}

func (x *session) end() {
	x.in, x.failed, x.did = false, false, change{}
	if x.locked {
		x.locked = false
		x.s.writing.Unlock()
	}
}

// commit makes the transaction lasting; false: the connection ends without a word.
func (x *session) commit() bool {
	s := x.s
	defer x.end()
	mode := s.wait()
	switch {
	case mode == "cut":
		return false
	case len(mode) == 5: // a SQLSTATE
		x.in = false
		x.fault(mode, "told to fail")
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	line, _ := json.Marshal(x.did)
	if _, err := s.file.Write(append(line, '\n')); err != nil || s.file.Sync() != nil {
		return false
	}
	s.apply(x.did)
	return mode != "lose"
}

// execute plays a statement; false ends the connection.
func (x *session) execute() bool {
	x.columns, x.rows, x.tag = nil, nil, "OK"
	s, text := x.s, x.text
	name := ""
	if i := strings.Index(text, "*/ "); i > 0 {
		name, text = text[:i+3], text[i+3:]
	}
	text = strings.TrimSpace(strings.TrimSuffix(text, ";"))
	switch {
	case strings.HasPrefix(text, "begin"):
		x.in, x.tag = true, "BEGIN"
		return true
	case text == "rollback":
		x.end()
		x.tag = "ROLLBACK"
		return true
	case text == "commit" && x.failed:
		x.end()
		x.tag = "ROLLBACK"
		return true
	case text == "commit":
		x.tag = "COMMIT"
		return x.commit()
	case text == "" || strings.HasPrefix(text, "--"): // a ping
		return true
	}
	if x.in && !x.locked && name != sqlstore.NameSelect {
		s.writing.Lock()
		x.locked = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch name {
	case sqlstore.NameMigrate:
		if strings.HasPrefix(text, "insert") {
			x.did.Version, _ = strconv.Atoi(x.args[0])
		}
	case sqlstore.NameVersion:
		x.columns, x.rows = []string{"max big"}, [][]string{{strconv.Itoa(max(s.version, x.did.Version))}}
	case sqlstore.NameClaim:
		if x.inc(x.args[0]) == nil {
			x.put(x.args[0], inc{Agent: x.args[1], Place: x.args[2]})
		}
	case sqlstore.NameThrough:
		if i := x.inc(x.args[4]); i != nil {
			through, _ := strconv.ParseInt(x.args[0], 10, 64)
			closed, _ := strconv.ParseInt(x.args[2], 10, 64)
			i.Through, i.Closed = max(i.Through, through), max(i.Closed, closed)
			x.put(x.args[4], *i)
		}
	case sqlstore.NameOwner:
		i := x.inc(x.args[0])
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
			x.fault("22P02", err.Error())
			return true
		}
		for _, r := range rows {
			if !strings.Contains(text, "on conflict do nothing") || !s.seen[r.Incarnation+"/"+strconv.FormatUint(r.Ordinal, 10)] {
				x.did.Entries = append(x.did.Entries, r)
			}
		}
	case sqlstore.NameGaps:
		var rows []sqlstore.GapRow
		if err := json.Unmarshal([]byte(x.args[0]), &rows); err != nil {
			x.fault("22P02", err.Error())
			return true
		}
		for _, r := range rows {
			again := false
			for _, g := range s.Gaps {
				again = again || g.Incarnation == r.Incarnation && g.Ordinal == r.Ordinal
			}
			if !again {
				x.did.Gaps = append(x.did.Gaps, r)
			}
		}
	case sqlstore.NameSelect:
		x.columns = []string{"agent", "incarnation", "n big", "state", "txn", "product", "outcome", "reason", "build big",
			"appliance", "submissions big", "taken_ms real", "answered_ms real", "body", "mark"}
		for _, r := range s.Entries {
			x.rows = append(x.rows, []string{r.Instance, r.Incarnation, fmt.Sprint(r.Ordinal), r.State, r.RequestID, r.Class, r.Outcome,
				r.Reason, fmt.Sprint(r.Release), r.Backend, fmt.Sprint(r.Attempts), fmt.Sprint(r.ArrivedAt), fmt.Sprint(r.AnsweredAt),
				r.BodyDigest, r.KeyDigest})
		}
	case sqlstore.NameMissed:
		x.columns = []string{"agent", "incarnation", "n big", "settled big", "declined big", "voided big", "unknown big",
			"from_ms real", "to_ms real", "cause"}
		for _, g := range s.Gaps {
			x.rows = append(x.rows, []string{g.Instance, g.Incarnation, fmt.Sprint(g.Ordinal), fmt.Sprint(g.Served),
				fmt.Sprint(g.Rejected), fmt.Sprint(g.Failed), fmt.Sprint(g.Unknown), fmt.Sprint(g.From), fmt.Sprint(g.To), g.Cause})
		}
	case sqlstore.NameCount:
		if strings.Contains(text, "having") {
			x.columns, x.rows = []string{"count big"}, [][]string{{strconv.Itoa(s.repeats())}}
			return true
		}
		x.columns = []string{"agent", "product", "outcome", "state", "n big"}
		for _, r := range s.Entries {
			x.rows = append(x.rows, []string{r.Instance, r.Class, r.Outcome, r.State, "1"})
		}
	default:
		x.fault("42601", "not played here: "+x.text)
	}
	return true
}

func (s *Server) repeats() (n int) {
	count := map[string]int{}
	for _, e := range s.Entries {
		key := e.Incarnation + "/" + strconv.FormatUint(e.Ordinal, 10)
		if count[key]++; count[key] == 2 {
			n++
		}
	}
	return n
}

func (x *session) inc(name string) *inc {
	if i, ok := x.did.Inc[name]; ok {
		return &i
	}
	if i := x.s.incs[name]; i != nil {
		c := *i
		return &c
	}
	return nil
}

func (x *session) put(name string, i inc) {
	if x.did.Inc == nil {
		x.did.Inc = map[string]inc{}
	}
	x.did.Inc[name] = i
}
