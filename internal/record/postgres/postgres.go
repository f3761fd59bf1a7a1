// Package postgres opens the store in a PostgreSQL server by its published protocol. It decides nothing.
package postgres

// This file owns the opening of a store.

import (
	"fmt"
	"net"
	"os"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"onyxgate/internal/record/sqlstore"
)

// Options say which server, and as whom.
type Options struct {
	Address        string // host:port
	Database, User string
	PasswordFile   string // read at each connection, so that a new password needs no restart; empty: no password
	TLS            string // a word of libpq's sslmode: disable, require, verify-ca, verify-full
	CAFile         string // empty: the host's certificates
	ConnectTimeout time.Duration
}

// Open prepares a store; it connects at the first use. An error says what of the options can't be.
func Open(options Options) (*sqlstore.Store, error) {
	host, port, err := net.SplitHostPort(options.Address)
	if err != nil {
		return nil, fmt.Errorf("address %q: %w", options.Address, err)
	}
	if !tlsModes[options.TLS] {
		return nil, fmt.Errorf("tls %q: not one of disable, require, verify-ca, verify-full", options.TLS)
	}
	seconds := max(int(options.ConnectTimeout.Seconds()), 1)
	// What the environment may add to it is overwritten below: what holds is what the settings show.
	config, err := pgconn.ParseConfig(fmt.Sprintf("host=%s port=%s dbname=%s user=%s sslmode=disable connect_timeout=%d "+
		"application_name=onyxgate", quote(host), quote(port), quote(options.Database), quote(options.User), seconds))
	if err != nil {
		return nil, err
	}
	if config.TLSConfig, err = tlsConfig(host, options.TLS, options.CAFile); err != nil {
		return nil, err
	}
	config.Fallbacks = nil
	return New(config, func() (string, error) {
		if options.PasswordFile == "" {
			return "", nil
		}
		text, err := os.ReadFile(options.PasswordFile)
		return strings.TrimRight(string(text), "\r\n"), err
	}), nil
}

// quote makes a value of a connection string.
func quote(value string) string {
	return "'" + strings.NewReplacer(`\`, `\\`, `'`, `\'`).Replace(value) + "'"
}

var columnTypes = [...]string{sqlstore.Text: "text", sqlstore.BigInt: "bigint", sqlstore.Double: "double precision"}

// New is a store at a server that a configuration names. password is asked for at each connection.
func New(config *pgconn.Config, password func() (string, error)) *sqlstore.Store {
	return sqlstore.New(&database{config: config, password: password}, sqlstore.Dialect{
		Name:     "postgres",
		JSONRows: "jsonb_array_elements($1::jsonb) v",
		JSONField: func(name string, kind sqlstore.ColumnKind) string {
			return "(v->>'" + name + "')::" + columnTypes[kind]
		},
		BigIntType: columnTypes[sqlstore.BigInt],
		DoubleType: columnTypes[sqlstore.Double],
		Classify:   classify,
	})
}
