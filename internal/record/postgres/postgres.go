// Package postgres opens the store in a PostgreSQL server by its published protocol. It decides nothing.
package postgres

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"database/sql"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/stdlib"

	"onyxgate/internal/record"
	"onyxgate/internal/record/sqlstore"
)

// TLS modes: the same words as libpq's.
var modes = map[string]bool{"disable": true, "require": true, "verify-ca": true, "verify-full": true}

// Open prepares a store; it connects at the first use. The password is read from its file at each connection, so that a
// new one needs no restart.
func Open(address, database, user, passwordFile, mode, caFile string, connect time.Duration) (*sqlstore.Store, error) {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return nil, fmt.Errorf("address %q: %w", address, err)
	}
	if !modes[mode] {
		return nil, fmt.Errorf("tls %q: not one of disable, require, verify-ca, verify-full", mode)
	}
	// Parsed with no environment's say in it: what holds is what the settings show.
	c, err := pgx.ParseConfig(fmt.Sprintf("host=%s port=%s dbname=%s user=%s sslmode=disable connect_timeout=%d "+
		"application_name=onyxgate", quote(host), quote(port), quote(database), quote(user), max(int(connect.Seconds()), 1)))
	if err != nil {
		return nil, err
	}
	if c.TLSConfig, err = secure(host, mode, caFile); err != nil {
		return nil, err
	}
	c.Fallbacks, c.Password = nil, ""
	// One round trip a statement and nothing prepared at the server, so that a pooler may stand between.
	c.DefaultQueryExecMode = pgx.QueryExecModeExec
	db := stdlib.OpenDB(*c, stdlib.OptionBeforeConnect(func(_ context.Context, c *pgx.ConnConfig) error {
		if passwordFile == "" {
			return nil
		}
		text, err := os.ReadFile(passwordFile)
		if err != nil {
			return fmt.Errorf("password: %w", err)
		}
		c.Password = strings.TrimRight(string(text), "\r\n")
		return nil
	}))
	db.SetMaxOpenConns(2)
	db.SetMaxIdleConns(1)
	db.SetConnMaxIdleTime(time.Minute)
	return New(db), nil
}

// New is a store on an open database of this kind.
func New(db *sql.DB) *sqlstore.Store {
	kinds := map[string]string{"text": "text", "big": "bigint", "real": "double precision"}
	return sqlstore.New(db, sqlstore.Dialect{Name: "postgres", Rows: "jsonb_array_elements($1::jsonb) v",
		Field: func(name, kind string) string { return "(v->>'" + name + "')::" + kinds[kind] },
		Big:   "bigint", Real: "double precision", Reply: reply})
}

func quote(s string) string {
	return "'" + strings.NewReplacer(`\`, `\\`, `'`, `\'`).Replace(s) + "'"
}

func secure(host, mode, caFile string) (*tls.Config, error) {
	if mode == "disable" {
		return nil, nil
	}
	c := &tls.Config{ServerName: host, MinVersion: tls.VersionTLS12, InsecureSkipVerify: mode != "verify-full"}
	if caFile != "" {
		text, err := os.ReadFile(caFile)
		if err != nil {
			return nil, err
		}
		if c.RootCAs = x509.NewCertPool(); !c.RootCAs.AppendCertsFromPEM(text) {
			return nil, fmt.Errorf("%s holds no certificate", caFile)
		}
	}
	if mode == "verify-ca" { // the chain, whatever the name
		roots := c.RootCAs
		c.VerifyConnection = func(s tls.ConnectionState) error {
			between := x509.NewCertPool()
			for _, cert := range s.PeerCertificates[1:] {
				between.AddCert(cert)
			}
			_, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{Roots: roots, Intermediates: between})
			return err
		}
	}
	return c, nil
}

// reply reads an error by the SQLSTATE that the server published.
func reply(err error) record.Reply {
	var e *pgconn.PgError
	if errors.As(err, &e) {
		switch {
		case e.Code == "40001" || e.Code == "40P01":
			return record.Conflict
		case e.Code == "53300" || strings.HasPrefix(e.Code, "53") || e.Code == "55P03":
			return record.Busy
		case strings.HasPrefix(e.Code, "57") || strings.HasPrefix(e.Code, "08") || strings.HasPrefix(e.Code, "58"):
			return record.Away
		case strings.HasPrefix(e.Code, "23"): // the same row from two at once: by the next try one has it
			return record.Conflict
		}
		return record.Denied
	}
	var connect *pgconn.ConnectError
	if errors.As(err, &connect) || pgconn.SafeToRetry(err) {
		return record.Away
	}
	return record.Lost
}
