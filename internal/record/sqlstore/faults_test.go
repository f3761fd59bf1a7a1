package sqlstore_test

import (
	"context"
	"database/sql"
	"errors"
	"path/filepath"
	"strings"
	"testing"

	fakepostgres "onyxgate/internal/fake/postgres"
	"onyxgate/internal/record"
	"onyxgate/internal/record/sqlstore"
)

// Each way in which a server fails is known by what it means, and what was committed is there once.
func TestServerFails(t *testing.T) {
	for _, c := range []struct {
		mode   string
		result record.ExportResult
		stored int // rows after the failure
	}{
		{"cut", record.ExportUnknown, 0},
		{"lose", record.ExportUnknown, 20},
		{"40001", record.ExportConflict, 0},
		{"40P01", record.ExportConflict, 0},
		{"53300", record.ExportBusy, 0},
		{"57P01", record.ExportUnreachable, 0},
		{"42501", record.ExportDenied, 0},
	} {
		t.Run(c.mode, func(t *testing.T) {
			failOnce(t, c.mode, c.result, c.stored)
		})
	}
	t.Run("stall", func(t *testing.T) {
		store, server := newPipeStore(t, filepath.Join(t.TempDir(), "pg"), "right")
		migrate(t, store)
		server.Fail("stall")
		canceled, cancel := context.WithCancel(t.Context())
		cancel()
		if _, err := store.Put(canceled, batch(1, 2, 2)); store.Classify(err) != record.ExportUnknown {
			t.Errorf("%v", err)
		}
		server.Fail("")
	})
	t.Run("a wrong password", func(t *testing.T) {
		store, _ := newPipeStore(t, filepath.Join(t.TempDir(), "pg"), "wrong")
		if err := store.Migrate(t.Context()); store.Classify(err) != record.ExportDenied {
			t.Errorf("%v is taken for %v", err, store.Classify(err))
		}
	})
}

// failOnce has a server fail in a way at a batch, and then take it.
func failOnce(t *testing.T, mode string, result record.ExportResult, stored int) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "pg")
	store, server := newPipeStore(t, file, "right")
	migrate(t, store)
	server.Fail(mode)
	_, err := store.Put(t.Context(), batch(1, 20, 20))
	if store.Classify(err) != result {
		t.Errorf("%v is taken for %v, not %v", err, store.Classify(err), result)
	}
	if len(server.Entries) != stored {
		t.Errorf("%d rows after the failure", len(server.Entries))
	}
	server.Fail("")
	for range 2 {
		if _, err := store.Put(t.Context(), batch(1, 25, 25)); err != nil {
			t.Error(err)
		}
	}
	again, err := fakepostgres.New(file, "accounts", "right")
	if err != nil {
		t.Fatal(err)
	}
	if len(server.Entries) != 25 {
		t.Errorf("%d rows", len(server.Entries))
	}
	if len(again.Entries) != 25 {
		t.Errorf("%d rows after a restart", len(again.Entries))
	}
}

// A file that is locked and one that can't be reached are told apart; a newer schema is refused.
func TestSQLiteFails(t *testing.T) {
	file := filepath.Join(t.TempDir(), "x.db")
	store := openSQLite(t, file, 0)
	migrate(t, store)
	t.Run("locked", func(t *testing.T) {
		other := openSQLite(t, file, 0)
		if err := store.HoldWriteLock(t.Context(), func() {
			if _, err := other.Put(t.Context(), batch(1, 1, 1)); other.Classify(err) != record.ExportBusy {
				t.Errorf("%v, %v", err, other.Classify(err))
			}
		}); err != nil {
			t.Error(err)
		}
	})
	t.Run("no directory", func(t *testing.T) {
		unreachable := openSQLite(t, filepath.Join(t.TempDir(), "no", "such", "x.db"), 0)
		if err := unreachable.Migrate(t.Context()); unreachable.Classify(err) != record.ExportUnreachable {
			t.Errorf("%v, %v", err, unreachable.Classify(err))
		}
	})
	t.Run("a newer schema", func(t *testing.T) {
		db, err := sql.Open("sqlite", file)
		if err != nil {
			t.Fatal(err)
		}
		defer db.Close()
		if _, err := db.ExecContext(t.Context(), "insert into onyxgate_schema values (99, 0)"); err != nil {
			t.Fatal(err)
		}
		err = store.Migrate(t.Context())
		var newer *sqlstore.NewerSchemaError
		if !errors.As(err, &newer) || newer.Version != 99 || !strings.Contains(err.Error(), "newer program") {
			t.Errorf("%v", err)
		}
	})
}
