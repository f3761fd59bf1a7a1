package postgres

import (
	"strings"
	"testing"
	"time"
)

func TestOpen(t *testing.T) {
	for _, c := range []struct{ name, address, mode, wantErr string }{
		{"no port", "db", "require", "address"},
		{"an unknown mode", "db:1", "prefer", "tls"},
		{"a port that is none", "db:x", "require", "port"},
		{"right", "db:1", "require", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			store, err := Open(Options{
				Address: c.address, Database: "d'x\\", User: "u", TLS: c.mode, ConnectTimeout: time.Second,
			})
			if c.wantErr != "" {
				if err == nil || !strings.Contains(err.Error(), c.wantErr) {
					t.Errorf("%v, want one about %s", err, c.wantErr)
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
	t.Run("a password that is not there", func(t *testing.T) {
		store, err := Open(Options{
			Address: "127.0.0.1:1", Database: "d", User: "u", PasswordFile: "/no/such/password", TLS: "disable",
			ConnectTimeout: time.Second,
		})
		if err != nil {
			t.Fatal(err)
		}
		if err := store.Migrate(t.Context()); err == nil || !strings.Contains(err.Error(), "password") {
			t.Errorf("%v", err)
		}
	})
}
