package postgres

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
)

// certificate is one for a name, signed by itself, and its PEM.
func certificate(t *testing.T, name string) (tls.Certificate, []byte) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	c := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, DNSNames: []string{name},
		NotBefore: time.Unix(0, 0), NotAfter: time.Date(2200, 1, 1, 0, 0, 0, 0, time.UTC), IsCA: true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, c, c, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key},
		pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
}

// Each mode takes the servers that it promises to take, and none falls back to plain text.
func TestTLS(t *testing.T) {
	dir := t.TempDir()
	ours, text := certificate(t, "db.internal")
	other, _ := certificate(t, "db.internal")
	ca := filepath.Join(dir, "ca.pem")
	os.WriteFile(ca, text, 0o600)
	for _, c := range []struct {
		mode, host string
		server     tls.Certificate
		ok         bool
	}{
		{"require", "db.internal", ours, true},
		{"require", "elsewhere", other, true},
		{"verify-ca", "db.internal", ours, true},
		{"verify-ca", "elsewhere", ours, true},
		{"verify-ca", "db.internal", other, false},
		{"verify-full", "db.internal", ours, true},
		{"verify-full", "elsewhere", ours, false},
		{"verify-full", "db.internal", other, false},
	} {
		config, err := tlsConfig(c.host, c.mode, ca)
		if err != nil {
			t.Fatal(err)
		}
		synctest.Test(t, func(t *testing.T) { // a client that refuses stops reading: the time-out ends it, in no real time
			here, there := net.Pipe()
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			go tls.Server(there, &tls.Config{Certificates: []tls.Certificate{c.server}}).HandshakeContext(ctx)
			err = tls.Client(here, config).HandshakeContext(ctx)
			here.Close()
			if (err == nil) != c.ok {
				t.Errorf("%s for %s: %v", c.mode, c.host, err)
			}
		})
	}
	if config, err := tlsConfig("h", "disable", ""); config != nil || err != nil {
		t.Error(config, err)
	}
	os.WriteFile(filepath.Join(dir, "none"), []byte("no certificate"), 0o600)
	for _, file := range []string{filepath.Join(dir, "none"), filepath.Join(dir, "missing")} {
		if _, err := tlsConfig("h", "require", file); err == nil {
			t.Errorf("%s is taken", file)
		}
	}
	config, _ := tlsConfig("h", "require", "")
	c, err := pgconn.ParseConfig("host=h port=1 dbname=d user=u sslmode=disable")
	if err != nil {
		t.Fatal(err)
	}
	said := make(chan string, 1)
	c.TLSConfig, c.LookupFunc = config, func(context.Context, string) ([]string, error) { return []string{"h"}, nil }
	c.DialFunc = func(context.Context, string, string) (net.Conn, error) {
		here, there := net.Pipe()
		go func() {
			b := make([]byte, 8)
			there.Read(b)
			there.Write([]byte("N")) // no TLS here
			n, _ := there.Read(make([]byte, 100))
			said <- strings.Repeat("x", n)
		}()
		return here, nil
	}
	s := New(c, func() (string, error) { return "secret", nil })
	if err := s.Migrate(context.Background()); err == nil {
		t.Error("a server without TLS is taken")
	}
	if got := <-said; got != "" {
		t.Errorf("%d bytes went in plain text", len(got))
	}
}

func TestOpen(t *testing.T) {
	for _, c := range []struct{ address, mode, want string }{
		{"db", "require", "address"},
		{"db:1", "prefer", "tls"},
		{"db:x", "require", "port"},
		{"db:1", "require", ""},
	} {
		s, err := Open(Options{Address: c.address, Database: "d'x\\", User: "u", TLS: c.mode, ConnectTimeout: time.Second})
		if c.want == "" {
			if err != nil || s.Close() != nil {
				t.Errorf("%+v: %v", c, err)
			}
		} else if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%+v: %v", c, err)
		}
	}
	s, _ := Open(Options{
		Address: "127.0.0.1:1", Database: "d", User: "u", PasswordFile: "/no/such/password", TLS: "disable",
		ConnectTimeout: time.Second,
	})
	if err := s.Migrate(context.Background()); err == nil || !strings.Contains(err.Error(), "password") {
		t.Errorf("a password that is not there: %v", err)
	}
}
