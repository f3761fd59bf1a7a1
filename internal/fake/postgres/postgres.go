// Package postgres fakes a PostgreSQL server by its published protocol. It plays the statements that sqlstore sends, keeps
// what was committed in a file of its own, and fails as it is told. It is no database and knows no SQL.
package postgres

// This file owns the server: what it keeps, how it fails, and its connections.

import (
	"bufio"
	"encoding/json"
	"net"
	"os"
	"strconv"
	"sync"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"

	"onyxgate/internal/record/sqlstore"
)

// Modes in which the server fails. A mode of five characters is a SQLSTATE with which each commit ends.
const (
	modeStall  = "stall"  // nothing is answered
	modeRefuse = "refuse" // connections are closed at once, open ones too
	modeFailCommit    = "cut"    // connections break at a commit, which does not count
	modeLoseConfirmation   = "lose"   // connections break at a commit, which counts

	sqlstateLength = 5
)

const (
	scramSalt       = "onyxgate-standin"
	scramIterations = 4096
	maxLineSize         = 64 << 20 // of the file
)

// Server is a server with one database and one user.
type Server struct {
	Entries []sqlstore.Row    // committed, in the order of their commits; read while no client writes
	Gaps    []sqlstore.GapRow // the same

	user        string
	credentials scram.StoredCredentials // zero: no password is asked for
	writeLock     sync.Mutex              // held by the transaction that writes: one at a time

	mu           sync.Mutex // holds everything below, and Entries and Gaps
	modeChanged  sync.Cond
	mode         string
	file         *os.File // a transaction a line
	version      int      // of the schema
	incarnations map[string]incarnation
	storedKeys       map[string]bool // by entryKey
	connections  map[net.Conn]bool
}

// incarnation is one life of an instance, by the row that holds it.
type incarnation struct {
	Instance, Place string
	Through         int64
	Closed          int64
}

// transaction is what a transaction changed, and a line of the file.
type transaction struct {
	Version int                    `json:",omitempty"`
	Inc     map[string]incarnation `json:",omitempty"`
	Entries []sqlstore.Row         `json:",omitempty"`
	Gaps    []sqlstore.GapRow      `json:",omitempty"`
}

// New makes a server that goes on from the file at path, which is made where it is missing. It asks for the password by
// SCRAM-SHA-256 unless it is empty. Errors are those of the file.
func New(path, user, password string) (*Server, error) {
	s := &Server{
		user: user, incarnations: map[string]incarnation{}, storedKeys: map[string]bool{}, connections: map[net.Conn]bool{},
	}
	s.modeChanged.L = &s.mu
	if password != "" {
		client, err := scram.SHA256.NewClient(user, password, "")
		if err != nil {
			return nil, err
		}
		factors := scram.KeyFactors{Salt: scramSalt, Iters: scramIterations}
		if s.credentials, err = client.GetStoredCredentialsWithError(factors); err != nil {
			return nil, err
		}
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	s.file = file
	return s, s.load()
}

// load applies the transactions of the file.
func (s *Server) load() error {
	lines := bufio.NewScanner(s.file)
	lines.Buffer(nil, maxLineSize)
	for lines.Scan() {
		var t transaction
		if json.Unmarshal(lines.Bytes(), &t) != nil {
			break // the process was killed while it wrote the line, so the commit was never confirmed
		}
		s.apply(t)
	}
	return lines.Err()
}

// Fail sets how the server fails from now on: "" (not at all), "stall", "refuse", "cut", "lose" or a SQLSTATE.
func (s *Server) Fail(mode string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = mode
	s.modeChanged.Broadcast()
	if mode == modeRefuse {
		for conn := range s.connections {
			conn.Close()
		}
	}
}

// Serve takes connections until the listener closes.
func (s *Server) Serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go s.serveConn(conn)
	}
}

func (s *Server) serveConn(conn net.Conn) {
	defer conn.Close()
	if s.awaitMode() == modeRefuse {
		return
	}
	s.mu.Lock()
	s.connections[conn] = true
	s.mu.Unlock()
	client := &session{server: s, backend: pgproto3.NewBackend(conn, conn)}
	defer func() {
		client.endTransaction()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.connections, conn)
	}()
	if !client.handshake(conn) {
		return
	}
	for {
		message, err := client.backend.Receive()
		if err != nil {
			return
		}
		s.awaitMode()
		if !client.handle(message) || client.backend.Flush() != nil {
			return
		}
	}
}

// awaitMode waits while the server stalls, and returns the mode in force.
func (s *Server) awaitMode() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.mode == modeStall {
		s.modeChanged.Wait()
	}
	return s.mode
}

// apply makes a transaction count. Under the lock, or before the server serves.
func (s *Server) apply(t transaction) {
	s.version = max(s.version, t.Version)
	for name, row := range t.Inc {
		s.incarnations[name] = row
	}
	for _, entry := range t.Entries {
		s.storedKeys[entryKey(entry)] = true
	}
	s.Entries, s.Gaps = append(s.Entries, t.Entries...), append(s.Gaps, t.Gaps...)
}

// entryKey is the primary key of an entry.
func entryKey(entry sqlstore.Row) string {
	return entry.Incarnation + "/" + strconv.FormatUint(entry.Ordinal, 10)
}

// countRepeated counts the keys that more than one entry has. Under the lock.
func (s *Server) countRepeated() (n int) {
	entries := map[string]int{}
	for _, entry := range s.Entries {
		key := entryKey(entry)
		if entries[key]++; entries[key] == 2 {
			n++
		}
	}
	return n
}
