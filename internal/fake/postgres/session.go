package postgres

// The wire protocol on a connection: startup, messages and the replies to statements.

import (
	"net"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"
)

// Object ids and sizes of column types, as defined by PostgreSQL.
const (
	oidInt8   = 20
	oidText   = 25
	oidFloat8 = 701

	sizeEightBytes = 8
	sizeVariable   = -1
)

// session is the server's side of a connection. Only the connection's goroutine uses it.
type session struct {
	server         *Server
	backend        *pgproto3.Backend
	inTransaction  bool
	failed         bool // the transaction can only be rolled back
	holdsWriteLock bool
	changes        transaction

	// The most recently parsed statement and its result.
	text    string
	args    []string
	columns []column
	rows    [][]string
	tag     string // command tag; empty if the statement failed or its result has been sent
}

// column is a column of a result.
type column struct {
	name string
	oid  uint32
}

// handshake handles messages up to the end of startup. It returns false if the connection must be closed.
func (s *session) handshake(conn net.Conn) bool {
	for {
		message, err := s.backend.ReceiveStartupMessage()
		if err != nil {
			return false
		}
		switch m := message.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := conn.Write([]byte("N")); err != nil {
				return false
			}
		case *pgproto3.StartupMessage:
			return s.completeStartup(m.Parameters["user"])
		default:
			return false
		}
	}
}

// completeStartup authenticates the user and reports that the server is ready for statements. It returns false if the
// connection must be closed.
func (s *session) completeStartup(user string) bool {
	if s.server.credentials.Iters > 0 && !s.authenticate(user) {
		s.backend.Send(&pgproto3.ErrorResponse{Severity: "FATAL", Code: "28P01", Message: "password authentication failed"})
		_ = s.backend.Flush() // the connection is closed in any case
		return false
	}
	s.backend.Send(&pgproto3.AuthenticationOk{})
	s.backend.Send(&pgproto3.ParameterStatus{Name: "client_encoding", Value: "UTF8"})
	s.backend.Send(&pgproto3.ParameterStatus{Name: "standard_conforming_strings", Value: "on"})
	s.backend.Send(&pgproto3.BackendKeyData{ProcessID: 1, SecretKey: []byte{0, 0, 0, 1}})
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	return s.backend.Flush() == nil
}

// authenticate performs the SCRAM exchange with a client and reports whether the client knows the password.
func (s *session) authenticate(user string) bool {
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) { return s.server.credentials, nil })
	if err != nil || user != s.server.user {
		return false
	}
	conversation := server.NewConversation()
	s.backend.Send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{"SCRAM-SHA-256"}})
	if s.backend.SetAuthType(pgproto3.AuthTypeSASL) != nil {
		return false
	}
	for s.backend.Flush() == nil {
		message, err := s.backend.Receive()
		if err != nil {
			return false
		}
		text := ""
		switch m := message.(type) {
		case *pgproto3.SASLInitialResponse:
			text = string(m.Data)
			if s.backend.SetAuthType(pgproto3.AuthTypeSASLContinue) != nil {
				return false
			}
		case *pgproto3.SASLResponse:
			text = string(m.Data)
		}
		answer, err := conversation.Step(text)
		if err != nil {
			return false
		}
		if conversation.Done() {
			s.backend.Send(&pgproto3.AuthenticationSASLFinal{Data: []byte(answer)})
			return conversation.Valid()
		}
		s.backend.Send(&pgproto3.AuthenticationSASLContinue{Data: []byte(answer)})
	}
	return false
}

// status returns the transaction status for ReadyForQuery.
func (s *session) status() byte {
	switch {
	case s.failed:
		return 'E'
	case s.inTransaction:
		return 'T'
	}
	return 'I'
}

// handle answers a message. It returns false if the connection must be closed.
func (s *session) handle(message pgproto3.FrontendMessage) bool {
	switch m := message.(type) {
	case *pgproto3.Query:
		s.text, s.args = m.String, nil
		if !s.execute() {
			return false
		}
		s.describeRows()
		s.sendRows()
		s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: s.status()})
	case *pgproto3.Parse:
		s.text = m.Query
		s.backend.Send(&pgproto3.ParseComplete{})
	case *pgproto3.Bind:
		s.args = nil
		for _, parameter := range m.Parameters {
			s.args = append(s.args, string(parameter))
		}
		s.backend.Send(&pgproto3.BindComplete{})
	case *pgproto3.Describe: // executes the statement to learn its columns; Execute then sends the rows
		if !s.execute() {
			return false
		}
		s.describeRows()
	case *pgproto3.Execute:
		s.sendRows()
	case *pgproto3.Sync:
		s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: s.status()})
	case *pgproto3.Terminate:
		return false
	}
	return true
}

// describeRows sends the columns of the result, or nothing if the statement failed.
func (s *session) describeRows() {
	if s.tag == "" {
		return
	}
	if len(s.columns) == 0 {
		s.backend.Send(&pgproto3.NoData{})
		return
	}
	var fields []pgproto3.FieldDescription
	for _, c := range s.columns {
		size := int16(sizeEightBytes)
		if c.oid == oidText {
			size = sizeVariable
		}
		fields = append(fields, pgproto3.FieldDescription{
			Name: []byte(c.name), DataTypeOID: c.oid, DataTypeSize: size, TypeModifier: -1,
		})
	}
	s.backend.Send(&pgproto3.RowDescription{Fields: fields})
}

// sendRows sends the rows of the result and the command tag, or nothing if the statement failed.
func (s *session) sendRows() {
	if s.tag == "" {
		return
	}
	for _, row := range s.rows {
		var values [][]byte
		for _, value := range row {
			values = append(values, []byte(value))
		}
		s.backend.Send(&pgproto3.DataRow{Values: values})
	}
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(s.tag)})
	s.tag = ""
}

// sendError reports the statement's failure. An open transaction can then only be rolled back.
func (s *session) sendError(code, message string) {
	s.failed = s.inTransaction
	s.tag = ""
	s.backend.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: code, Message: message})
}

// columnsOf parses column specifications: a name, followed by a space and the type (big or real) unless the type is
// text.
func columnsOf(specs ...string) (columns []column) {
	for _, spec := range specs {
		name, kind, _ := strings.Cut(spec, " ")
		oid := uint32(oidText)
		switch kind {
		case "big":
			oid = oidInt8
		case "real":
			oid = oidFloat8
		}
		columns = append(columns, column{name, oid})
	}
	return columns
}
