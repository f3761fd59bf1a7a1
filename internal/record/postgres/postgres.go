// Package postgres opens a store on a PostgreSQL server.
package postgres

import (
	"fmt"
	"net"
	"os"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"onyxgate/internal/record/sqlstore"
)

// Options configures the connection to the server.
type Options struct {
	Address        string // host:port
	Database, User string
	PasswordFile   string // read for each connection, so that changing the password needs no restart; empty for no password
	TLS            string // as libpq's sslmode: disable, require, verify-ca or verify-full
	CAFile         string // if empty, the host's root certificates are used
	ConnectTimeout time.Duration
}

// Open returns a store that connects on first use. It returns an error if the options are invalid or the CA file
// can't be read.
func Open(options Options) (*sqlstore.Store, error) {
	host, port, err := net.SplitHostPort(options.Address)
	if err != nil {
		return nil, fmt.Errorf("address %q: %w", options.Address, err)
	}
	if !tlsModes[options.TLS] {
		return nil, fmt.Errorf("tls %q: not one of disable, require, verify-ca, verify-full", options.TLS)
	}
	seconds := max(int(options.ConnectTimeout.Seconds()), 1)
	// The server, the user, the password and the TLS configuration come only from the settings, not from the environment
	// variables that pgconn reads. Those for other options, such as PGOPTIONS, still apply.
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

// quote quotes a value for a connection string.
func quote(value string) string {
	return "'" + strings.NewReplacer(`\`, `\\`, `'`, `\'`).Replace(value) + "'"
}

var columnTypes = [...]string{sqlstore.Text: "text", sqlstore.BigInt: "bigint", sqlstore.Double: "double precision"}

// New returns a store on the server named by a configuration. password is called for each connection.
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
