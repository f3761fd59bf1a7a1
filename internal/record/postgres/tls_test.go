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
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
)

// certificate is one for a name, signed by itself, and its PEM.
func certificate(t *testing.T, name string) (tls.Certificate, []byte) {
	t.Helper()
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

func writeFile(t *testing.T, text string) (name string) {
	t.Helper()
	name = filepath.Join(t.TempDir(), "file.pem")
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return name
}

// Each mode takes the servers that it promises to take.
func TestTLS(t *testing.T) {
	ours, text := certificate(t, "db.internal")
	other, _ := certificate(t, "db.internal")
	ca := writeFile(t, string(text))
	for _, c := range []struct {
		name, mode, host string
		server           tls.Certificate
		ok               bool
	}{
		{"require, the right server", "require", "db.internal", ours, true},
		{"require, another name and authority", "require", "elsewhere", other, true},
		{"verify-ca, the right server", "verify-ca", "db.internal", ours, true},
		{"verify-ca, another name", "verify-ca", "elsewhere", ours, true},
		{"verify-ca, another authority", "verify-ca", "db.internal", other, false},
		{"verify-full, the right server", "verify-full", "db.internal", ours, true},
		{"verify-full, another name", "verify-full", "elsewhere", ours, false},
		{"verify-full, another authority", "verify-full", "db.internal", other, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			config, err := tlsConfig(c.host, c.mode, ca)
			if err != nil {
				t.Fatal(err)
			}
			// A client that refuses stops reading: the time-out ends it, in no real time.
			synctest.Test(t, func(t *testing.T) {
				if err := handshake(t, config, c.server); (err == nil) != c.ok {
					t.Errorf("%v", err)
				}
			})
		})
	}
	t.Run("disable", func(t *testing.T) {
		if config, err := tlsConfig("h", "disable", ""); config != nil || err != nil {
			t.Error(config, err)
		}
	})
}

// handshake is how a client takes a server.
func handshake(t *testing.T, config *tls.Config, server tls.Certificate) error {
	t.Helper()
	here, there := net.Pipe()
	defer here.Close()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	go func() { // until the client has closed its end, or ctx ends
		_ = tls.Server(there, &tls.Config{Certificates: []tls.Certificate{server}}).HandshakeContext(ctx)
	}()
	return tls.Client(here, config).HandshakeContext(ctx)
}

func TestTLSFiles(t *testing.T) {
	for name, file := range map[string]string{
		"no certificate in it": writeFile(t, "no certificate"),
		"missing":              filepath.Join(t.TempDir(), "missing"),
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := tlsConfig("h", "require", file); err == nil {
				t.Errorf("%s is taken", file)
			}
		})
	}
}

// A server that has no TLS is not sent anything in plain text.
func TestNoPlainText(t *testing.T) {
	config, err := pgconn.ParseConfig("host=h port=1 dbname=d user=u sslmode=disable")
	if err != nil {
		t.Fatal(err)
	}
	if config.TLSConfig, err = tlsConfig("h", "require", ""); err != nil {
		t.Fatal(err)
	}
	config.LookupFunc = func(context.Context, string) ([]string, error) { return []string{"h"}, nil }
	plain := make(chan int, 1)
	config.DialFunc = func(context.Context, string, string) (net.Conn, error) {
		here, there := net.Pipe()
		go func() { plain <- refuseTLS(there) }()
		return here, nil
	}
	store := New(config, func() (string, error) { return "secret", nil })
	if err := store.Migrate(t.Context()); err == nil {
		t.Error("a server without TLS is taken")
	}
	if bytes := <-plain; bytes != 0 {
		t.Errorf("%d bytes went in plain text", bytes)
	}
}

// refuseTLS answers the question for TLS with no, and returns how many bytes come all the same.
func refuseTLS(client net.Conn) (bytes int) {
	question := make([]byte, 8)
	if _, err := client.Read(question); err != nil {
		return -1
	}
	if _, err := client.Write([]byte("N")); err != nil {
		return -1
	}
	bytes, _ = client.Read(make([]byte, 100)) // the client closes
	return bytes
}
