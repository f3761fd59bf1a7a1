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

// certificate returns a self-signed certificate for a host name, and its PEM encoding.
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

// Each mode accepts exactly the servers that it should.
func TestTLSModes(t *testing.T) {
	ours, text := certificate(t, "db.internal")
	other, _ := certificate(t, "db.internal")
	ca := writeFile(t, string(text))
	for _, c := range []struct {
		name, mode, host string
		server           tls.Certificate
		ok               bool
	}{
		{"require, right server", "require", "db.internal", ours, true},
		{"require, wrong name and authority", "require", "elsewhere", other, true},
		{"verify-ca, right server", "verify-ca", "db.internal", ours, true},
		{"verify-ca, wrong name", "verify-ca", "elsewhere", ours, true},
		{"verify-ca, wrong authority", "verify-ca", "db.internal", other, false},
		{"verify-full, right server", "verify-full", "db.internal", ours, true},
		{"verify-full, wrong name", "verify-full", "elsewhere", ours, false},
		{"verify-full, wrong authority", "verify-full", "db.internal", other, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			config, err := tlsConfig(c.host, c.mode, ca)
			if err != nil {
				t.Fatal(err)
			}
			// A client that rejects the server stops reading, and the server's handshake ends at its time-out, in fake
			// time.
			synctest.Test(t, func(t *testing.T) {
				if err := handshake(t, config, c.server); (err == nil) != c.ok {
					t.Errorf("handshake: error %v, want success: %v", err, c.ok)
				}
			})
		})
	}
	t.Run("disable", func(t *testing.T) {
		if config, err := tlsConfig("h", "disable", ""); config != nil || err != nil {
			t.Errorf("tlsConfig = %v, error %v, want nil, nil", config, err)
		}
	})
}

// handshake returns the error of the client's TLS handshake with a server.
func handshake(t *testing.T, config *tls.Config, server tls.Certificate) error {
	t.Helper()
	here, there := net.Pipe()
	defer here.Close()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	go func() { // ends when the client closes its end or ctx is done
		_ = tls.Server(there, &tls.Config{Certificates: []tls.Certificate{server}}).HandshakeContext(ctx)
	}()
	return tls.Client(here, config).HandshakeContext(ctx)
}

func TestInvalidCAFile(t *testing.T) {
	for name, file := range map[string]string{
		"no certificate": writeFile(t, "no certificate"),
		"missing":        filepath.Join(t.TempDir(), "missing"),
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := tlsConfig("h", "require", file); err == nil {
				t.Errorf("tlsConfig with CA file %s: error = nil, want one", file)
			}
		})
	}
}

// Nothing is sent in plain text to a server without TLS.
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
		t.Error("Migrate on a server without TLS: error = nil, want one")
	}
	if bytes := <-plain; bytes != 0 {
		t.Errorf("%d bytes were sent in plain text, want 0", bytes)
	}
}

// refuseTLS declines the client's TLS request and returns the number of bytes that the client sends nevertheless, or -1
// if the connection fails before that.
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
