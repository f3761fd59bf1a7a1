package main

// The PostgreSQL store of the record scenario: a fake server in a process that can be killed.

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"

	"onyxgate/internal/fake/loopback"
	"onyxgate/internal/fake/postgres"
)

const (
	postgresUser     = "accounts"
	postgresPassword = "not a secret: a stand-in's"
	postgresHealthy  = "" // failure mode for normal operation
)

// postgresFaults are the kinds of faults in the order of injection: a kill, or a failure mode of the fake server.
var postgresFaults = []string{storeKilled, storeStalled, "cut", "lose", "refuse", "40001", "53300", "57P01"}

// postgresStore is a fake PostgreSQL server in a child process.
type postgresStore struct {
	address      string
	file         string // holds the committed data of the server
	passwordFile string
	server       *child
}

func newPostgresStore(dir string) (*postgresStore, error) {
	address, err := loopback.FreeAddress()
	if err != nil {
		return nil, err
	}
	s := &postgresStore{
		address: address, file: filepath.Join(dir, "pg.ndjson"), passwordFile: filepath.Join(dir, "password"),
	}
	if err := os.WriteFile(s.passwordFile, []byte(postgresPassword+"\n"), 0o600); err != nil {
		return nil, err
	}
	return s, s.start()
}

func (s *postgresStore) start() error {
	server, err := startChild("pgwire", "--listen", s.address, "--file", s.file)
	if err == nil {
		s.server = server
	}
	return err
}

func (s *postgresStore) settings() string {
	return fmt.Sprintf("kind = \"postgres\"\naddress = %q\ndatabase = \"accounts\"\nuser = %q\npassword_file = %q\n"+
		"tls = \"disable\"\n", s.address, postgresUser, s.passwordFile)
}

func (s *postgresStore) stall(on bool) error {
	if on {
		return s.server.send(storeStalled)
	}
	return s.recover()
}

func (s *postgresStore) injectFault(n int, random *rand.Rand) (kind string, err error) {
	kind = postgresFaults[n%len(postgresFaults)]
	if kind == storeKilled {
		s.server.kill()
		time.Sleep(time.Duration(100+random.IntN(300)) * time.Millisecond)
		return kind, s.start()
	}
	if err := s.server.send(kind); err != nil {
		return kind, err
	}
	time.Sleep(time.Duration(200+random.IntN(500)) * time.Millisecond)
	return kind, s.recover()
}

func (s *postgresStore) recover() error { return s.server.send(postgresHealthy) }

func (s *postgresStore) close() {
	s.server.input.Close()
	s.server.kill()
}

// postgresServerCommand runs the fake server.
type postgresServerCommand struct {
	Listen string `required:""`
	File   string `required:""`
}

// Run serves until the end of standard input. Each line of input sets the failure mode of the server.
func (c postgresServerCommand) Run() error {
	server, err := postgres.New(c.File, postgresUser, postgresPassword)
	if err != nil {
		return err
	}
	listener, err := loopback.ListenOn(c.Listen)
	if err != nil {
		return err
	}
	go server.Serve(listener)
	fmt.Println("ready")
	modes := bufio.NewScanner(os.Stdin)
	for modes.Scan() {
		server.Fail(modes.Text())
	}
	return modes.Err()
}
