// Package postgres fakes a PostgreSQL server that speaks the published wire protocol. It executes the statements that
// sqlstore sends, stores committed data in a file, and fails in the mode that a test sets. It is not a database and
// does not parse SQL.
package postgres

// The server: its data, its failure modes and its connections.

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

// Failure modes of the server. Any other mode of five characters is the SQLSTATE with which each commit fails.
const (
	modeStall            = "stall"  // no message is answered
	modeRefuse           = "refuse" // new connections are closed at once, and open ones when the mode is set
	modeFailCommit       = "cut"    // the connection breaks at a commit, which has no effect
	modeLoseConfirmation = "lose"   // the connection breaks at a commit, which takes effect

	sqlstateLength = 5
)

const (
	scramSalt       = "onyxgate-standin"
	scramIterations = 4096
	maxLineSize     = 64 << 20 // in the file
)

// Server is a fake server with one database and one user.
type Server struct {
	Entries []sqlstore.Row    // committed entries in commit order; read only while no client writes
	Gaps    []sqlstore.GapRow // committed gaps, likewise

	user        string
	credentials scram.StoredCredentials // zero: no password is required
	writeLock   sync.Mutex              // held by the writing transaction, so that only one writes at a time

	mu           sync.Mutex // guards everything below, and Entries and Gaps
	modeChanged  sync.Cond
	mode         string
	file         *os.File // one transaction per line
	version      int      // of the schema
	incarnations map[string]incarnation
	storedKeys   map[string]bool // keys of the committed entries, as returned by entryKey
	connections  map[net.Conn]bool
}

// incarnation is the row of an incarnation of an instance.
type incarnation struct {
	Instance, Place string
	Through         int64 // ordinal up to which its entries are stored
	Closed          int64 // 1 if no entries will follow
}

// transaction holds the changes made by a transaction. It is written to the file as one line.
type transaction struct {
	Version int                    `json:",omitempty"`
	Inc     map[string]incarnation `json:",omitempty"`
	Entries []sqlstore.Row         `json:",omitempty"`
	Gaps    []sqlstore.GapRow      `json:",omitempty"`
}

// New returns a server with the data in the file at path, which is created if it does not exist. Clients must
// authenticate with SCRAM-SHA-256 unless the password is empty.
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

// load applies the transactions in the file.
func (s *Server) load() error {
	lines := bufio.NewScanner(s.file)
	lines.Buffer(nil, maxLineSize)
	for lines.Scan() {
		var t transaction
		if json.Unmarshal(lines.Bytes(), &t) != nil {
			break // the process was killed while writing the line, so the commit was never confirmed
		}
		s.apply(t)
	}
	return lines.Err()
}

// Fail sets the failure mode: "" for normal operation, "stall", "refuse", "cut", "lose" or a SQLSTATE.
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

// Serve accepts connections until the listener is closed.
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

// awaitMode waits while the server stalls, and returns the current failure mode.
func (s *Server) awaitMode() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.mode == modeStall {
		s.modeChanged.Wait()
	}
	return s.mode
}

// apply adds the changes of a transaction to the committed data. The caller holds s.mu, or the server does not
// serve yet.
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

// entryKey returns the primary key of an entry.
func entryKey(entry sqlstore.Row) string {
	return entry.Incarnation + "/" + strconv.FormatUint(entry.Ordinal, 10)
}

// countRepeated returns the number of keys that occur in more than one entry. The caller holds s.mu.
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
