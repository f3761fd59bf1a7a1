package postgres

import (
	"strings"
	"testing"
	"time"
)

func TestOpen(t *testing.T) {
	for _, c := range []struct{ name, address, mode, wantErr string }{
		{"no port", "db", "require", "address"},
		{"unknown mode", "db:1", "prefer", "tls"},
		{"invalid port", "db:x", "require", "port"},
		{"valid", "db:1", "require", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			store, err := Open(Options{
				Address: c.address, Database: "d'x\\", User: "u", TLS: c.mode, ConnectTimeout: time.Second,
			})
			if c.wantErr != "" {
				if err == nil || !strings.Contains(err.Error(), c.wantErr) {
					t.Errorf("Open: error %v, want one containing %q", err, c.wantErr)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			if err := store.Close(); err != nil {
				t.Error(err)
			}
		})
	}
	t.Run("missing password file", func(t *testing.T) {
		store, err := Open(Options{
			Address: "127.0.0.1:1", Database: "d", User: "u", PasswordFile: "/no/such/password", TLS: "disable",
			ConnectTimeout: time.Second,
		})
		if err != nil {
			t.Fatal(err)
		}
		if err := store.Migrate(t.Context()); err == nil || !strings.Contains(err.Error(), "password") {
			t.Errorf("Migrate: error %v, want one containing %q", err, "password")
		}
	})
}
