// Package postgres opens the store in a PostgreSQL server by its published protocol. It decides nothing.
package postgres

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"onyxgate/internal/record"
	"onyxgate/internal/record/sqlstore"
)

// TLS modes: the same words as libpq's.
var tlsModes = map[string]bool{"disable": true, "require": true, "verify-ca": true, "verify-full": true}

// Open prepares a store; it connects at the first use. The password is read from its file at each connection, so that a
// new one needs no restart.
func Open(address, database, user, passwordFile, mode, caFile string, connect time.Duration) (*sqlstore.Store, error) {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return nil, fmt.Errorf("address %q: %w", address, err)
	}
	if !tlsModes[mode] {
		return nil, fmt.Errorf("tls %q: not one of disable, require, verify-ca, verify-full", mode)
	}
	// What the environment may add to it is overwritten below: what holds is what the settings show.
	c, err := pgconn.ParseConfig(fmt.Sprintf("host=%s port=%s dbname=%s user=%s sslmode=disable connect_timeout=%d "+
		"application_name=onyxgate", quote(host), quote(port), quote(database), quote(user), max(int(connect.Seconds()), 1)))
	if err != nil {
		return nil, err
	}
	if c.TLSConfig, err = tlsConfig(host, mode, caFile); err != nil {
		return nil, err
	}
	c.Fallbacks = nil
	return New(c, func() (string, error) {
		if passwordFile == "" {
			return "", nil
		}
		text, err := os.ReadFile(passwordFile)
		return strings.TrimRight(string(text), "\r\n"), err
	}), nil
}

// New is a store at a server that a configuration names.
func New(c *pgconn.Config, password func() (string, error)) *sqlstore.Store {
	kinds := map[string]string{"text": "text", "big": "bigint", "real": "double precision"}
	return sqlstore.New(&database{config: c, password: password}, sqlstore.Dialect{
		Name:       "postgres",
		JSONRows:   "jsonb_array_elements($1::jsonb) v",
		JSONField:  func(name, kind string) string { return "(v->>'" + name + "')::" + kinds[kind] },
		BigIntType: "bigint", DoubleType: "double precision", Classify: classify,
	})
}

// database is one connection, made when it is needed; calls wait for each other.
type database struct {
	mu       sync.Mutex
	config   *pgconn.Config
	password func() (string, error)
	conn     *pgconn.PgConn
}

// connect is the connection, opened anew where the last one broke. Under the lock.
func (d *database) connect(ctx context.Context) (*pgconn.PgConn, error) {
	if d.conn != nil && !d.conn.IsClosed() {
		return d.conn, nil
	}
	c := d.config.Copy()
	var err error
	if c.Password, err = d.password(); err != nil {
		return nil, fmt.Errorf("password: %w", err)
	}
	d.conn, err = pgconn.ConnectConfig(ctx, c)
	return d.conn, err
}

func (d *database) Exec(ctx context.Context, text string, args ...any) (n int64, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c, err := d.connect(ctx)
	if err != nil {
		return 0, err
	}
	return exec(ctx, c, text, args)
}

func (d *database) Query(ctx context.Context, text string, args []any, each func(func(...any) error) error) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	c, err := d.connect(ctx)
	if err != nil {
		return err
	}
	return query(ctx, c, text, args, each)
}

func (d *database) Begin(ctx context.Context) (sqlstore.Tx, error) {
	d.mu.Lock() // until the transaction ends
	c, err := d.connect(ctx)
	if err == nil {
		_, err = exec(ctx, c, "begin", nil)
	}
	if err != nil {
		d.mu.Unlock()
		return nil, err
	}
	return &transaction{d: d, c: c}, nil
}

func (d *database) Close() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.conn == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return d.conn.Close(ctx)
}

type transaction struct {
	d    *database
	c    *pgconn.PgConn
	over bool
}

func (t *transaction) Exec(ctx context.Context, text string, args ...any) (int64, error) {
	return exec(ctx, t.c, text, args)
}

func (t *transaction) Query(ctx context.Context, text string, args []any, each func(func(...any) error) error) error {
	return query(ctx, t.c, text, args, each)
}

func (t *transaction) Commit(ctx context.Context) error {
	defer t.end()
	r := t.c.ExecParams(ctx, "commit", nil, nil, nil, nil).Read()
	if r.Err == nil && r.CommandTag.String() != "COMMIT" { // a transaction that had failed is rolled back
		return fmt.Errorf("commit: the server says %s", r.CommandTag)
	}
	return r.Err
}

func (t *transaction) Rollback() {
	if t.over {
		return
	}
	defer t.end()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if _, err := exec(ctx, t.c, "rollback", nil); err != nil { // whatever state it is in, it is not used again
		t.c.Close(ctx)
	}
}

func (t *transaction) end() {
	t.over = true
	t.d.mu.Unlock()
}

// texts are arguments as the protocol's text form has them; the server knows their types.
func texts(args []any) (out [][]byte) {
	for _, a := range args {
		out = append(out, fmt.Append(nil, a))
	}
	return out
}

func exec(ctx context.Context, c *pgconn.PgConn, text string, args []any) (int64, error) {
	r := c.ExecParams(ctx, text, texts(args), nil, nil, nil).Read()
	return r.CommandTag.RowsAffected(), r.Err
}

func query(ctx context.Context, c *pgconn.PgConn, text string, args []any, each func(func(...any) error) error) error {
	r := c.ExecParams(ctx, text, texts(args), nil, nil, nil)
	var wrong error
	for wrong == nil && r.NextRow() {
		wrong = each(func(to ...any) error { return scan(r.Values(), to) })
	}
	if wrong != nil { // what is left unread may be millions of rows
		c.Conn().Close()
		r.Close()
		return wrong
	}
	_, err := r.Close()
	return err
}

func scan(values [][]byte, to []any) (err error) {
	if len(values) != len(to) {
		return fmt.Errorf("%d columns, not %d", len(values), len(to))
	}
	for i, v := range values {
		switch t := to[i].(type) {
		case *string:
			*t = string(v)
		case *int:
			*t, err = strconv.Atoi(string(v))
		case *int64:
			*t, err = strconv.ParseInt(string(v), 10, 64)
		case *float64:
			*t, err = strconv.ParseFloat(string(v), 64)
		default:
			err = fmt.Errorf("no way to scan into %T", t)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func quote(s string) string {
	return "'" + strings.NewReplacer(`\`, `\\`, `'`, `\'`).Replace(s) + "'"
}

func tlsConfig(host, mode, caFile string) (*tls.Config, error) {
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

// classify reads an error by the SQLSTATE that the server published.
func classify(err error) record.ExportResult {
	var e *pgconn.PgError
	if errors.As(err, &e) {
		switch {
		case e.Code == "40001" || e.Code == "40P01":
			return record.ExportConflict
		case e.Code == "53300" || strings.HasPrefix(e.Code, "53") || e.Code == "55P03":
			return record.ExportBusy
		case strings.HasPrefix(e.Code, "57") || strings.HasPrefix(e.Code, "08") || strings.HasPrefix(e.Code, "58"):
			return record.ExportUnreachable
		case strings.HasPrefix(e.Code, "23"): // the same row from two at once: by the next try one has it
			return record.ExportConflict
		}
		return record.ExportDenied
	}
	var connect *pgconn.ConnectError
	if errors.As(err, &connect) || pgconn.SafeToRetry(err) {
		return record.ExportUnreachable
	}
	return record.ExportUnknown
}
