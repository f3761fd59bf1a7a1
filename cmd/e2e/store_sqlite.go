package main

// The SQLite store of the record scenario. It is stalled by a process that holds the file's write lock.

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"

	"onyxgate/internal/record/sqlite"
)

// busyTimeout is how long the lock holder waits for the lock.
const busyTimeout = 10 * time.Second

// sqliteStore is a SQLite file.
type sqliteStore struct {
	path       string
	lockHolder *child // child that holds the write lock; nil if the lock was never held
}

func newSQLiteStore(dir string) *sqliteStore {
	return &sqliteStore{path: filepath.Join(dir, "record.db")}
}

func (s *sqliteStore) settings() string { return fmt.Sprintf("kind = \"sqlite\"\npath = %q\n", s.path) }

func (s *sqliteStore) stall(on bool) error {
	if !on {
		return s.lockHolder.stop()
	}
	holder, err := startChild("holdlite", s.path)
	if err == nil {
		s.lockHolder = holder
	}
	return err
}

// injectFault holds the lock for a random time. Every other time, the lock holder is killed within its transaction.
func (s *sqliteStore) injectFault(n int, random *rand.Rand) (kind string, err error) {
	if err := s.stall(true); err != nil {
		return "", err
	}
	time.Sleep(time.Duration(100+random.IntN(600)) * time.Millisecond)
	if n%2 == 0 {
		s.lockHolder.kill()
		return storeKilled, nil
	}
	return storeStalled, s.stall(false)
}

// recover does nothing, since each fault ends by itself.
func (s *sqliteStore) recover() error { return nil }

func (s *sqliteStore) close() {
	if s.lockHolder != nil {
		s.lockHolder.input.Close()
	}
}

// sqliteLockCommand runs the process that holds the lock.
type sqliteLockCommand struct {
	Path string `arg:""`
}

// Run holds the write lock until the end of standard input.
func (c sqliteLockCommand) Run() error {
	ctx := context.Background()
	store, err := sqlite.Open(c.Path, busyTimeout)
	if err != nil {
		return err
	}
	if err := store.Migrate(ctx); err != nil {
		return err
	}
	return store.HoldWriteLock(ctx, func() {
		fmt.Println("locked")
		_, _ = io.Copy(io.Discard, os.Stdin) // the lock ends at the end of input or at an error
	})
}
