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

// Each server failure is mapped to the right export result, and committed rows are stored exactly once.
func TestPostgresFailures(t *testing.T) {
	for _, c := range []struct {
		mode   string
		result record.ExportResult
		stored int // rows stored after the failure
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
			t.Errorf("Put with a canceled context: error %v is classified as %v, want %v",
				err, store.Classify(err), record.ExportUnknown)
		}
		server.Fail("")
	})
	t.Run("wrong password", func(t *testing.T) {
		store, _ := newPipeStore(t, filepath.Join(t.TempDir(), "pg"), "wrong")
		if err := store.Migrate(t.Context()); store.Classify(err) != record.ExportDenied {
			t.Errorf("Migrate with a wrong password: error %v is classified as %v, want %v",
				err, store.Classify(err), record.ExportDenied)
		}
	})
}

// failOnce makes the server fail one batch in the given way and then accept it.
func failOnce(t *testing.T, mode string, result record.ExportResult, stored int) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "pg")
	store, server := newPipeStore(t, file, "right")
	migrate(t, store)
	server.Fail(mode)
	_, err := store.Put(t.Context(), batch(1, 20, 20))
	if store.Classify(err) != result {
		t.Errorf("Put: error %v is classified as %v, want %v", err, store.Classify(err), result)
	}
	if len(server.Entries) != stored {
		t.Errorf("%d rows stored after the failure, want %d", len(server.Entries), stored)
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
		t.Errorf("%d rows stored after the retry, want 25", len(server.Entries))
	}
	if len(again.Entries) != 25 {
		t.Errorf("%d rows stored after a restart, want 25", len(again.Entries))
	}
}

// A locked SQLite file and an unreachable one have different export results, and a newer schema is rejected.
func TestSQLiteFailures(t *testing.T) {
	file := filepath.Join(t.TempDir(), "x.db")
	store := openSQLite(t, file, 0)
	migrate(t, store)
	t.Run("locked", func(t *testing.T) {
		other := openSQLite(t, file, 0)
		if err := store.HoldWriteLock(t.Context(), func() {
			if _, err := other.Put(t.Context(), batch(1, 1, 1)); other.Classify(err) != record.ExportBusy {
				t.Errorf("Put to a locked file: error %v is classified as %v, want %v",
					err, other.Classify(err), record.ExportBusy)
			}
		}); err != nil {
			t.Error(err)
		}
	})
	t.Run("no directory", func(t *testing.T) {
		unreachable := openSQLite(t, filepath.Join(t.TempDir(), "no", "such", "x.db"), 0)
		if err := unreachable.Migrate(t.Context()); unreachable.Classify(err) != record.ExportUnreachable {
			t.Errorf("Migrate without a directory: error %v is classified as %v, want %v",
				err, unreachable.Classify(err), record.ExportUnreachable)
		}
	})
	t.Run("newer schema", func(t *testing.T) {
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
			t.Errorf("Migrate: error %v, want a NewerSchemaError for version 99", err)
		}
	})
}
