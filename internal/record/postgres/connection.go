package postgres

// Connections and transactions.

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"onyxgate/internal/record/sqlstore"
)

// closeTimeout bounds the time for rolling back a transaction or closing the connection.
const closeTimeout = time.Second

// database is a single connection that is opened on demand. Concurrent calls wait for each other.
type database struct {
	mu       sync.Mutex
	config   *pgconn.Config
	password func() (string, error)
	conn     *pgconn.PgConn
}

// connect returns the connection, reconnecting if it is broken. The caller must hold mu.
func (d *database) connect(ctx context.Context) (*pgconn.PgConn, error) {
	if d.conn != nil && !d.conn.IsClosed() {
		return d.conn, nil
	}
	config := d.config.Copy()
	var err error
	if config.Password, err = d.password(); err != nil {
		return nil, fmt.Errorf("password: %w", err)
	}
	d.conn, err = pgconn.ConnectConfig(ctx, config)
	return d.conn, err
}

func (d *database) Exec(ctx context.Context, text string, args ...any) (affected int64, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	conn, err := d.connect(ctx)
	if err != nil {
		return 0, err
	}
	return exec(ctx, conn, text, args)
}

func (d *database) Query(ctx context.Context, text string, args []any, visit func(func(...any) error) error) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	conn, err := d.connect(ctx)
	if err != nil {
		return err
	}
	return query(ctx, conn, text, args, visit)
}

// Begin starts a transaction, which holds mu until it ends.
func (d *database) Begin(ctx context.Context) (sqlstore.Tx, error) {
	d.mu.Lock()
	conn, err := d.connect(ctx)
	if err == nil {
		_, err = exec(ctx, conn, "begin", nil)
	}
	if err != nil {
		d.mu.Unlock()
		return nil, err
	}
	return &transaction{database: d, conn: conn}, nil
}

func (d *database) Close() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.conn == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	return d.conn.Close(ctx)
}

type transaction struct {
	database *database
	conn     *pgconn.PgConn
	ended    bool
}

func (t *transaction) Exec(ctx context.Context, text string, args ...any) (int64, error) {
	return exec(ctx, t.conn, text, args)
}

func (t *transaction) Query(ctx context.Context, text string, args []any, visit func(func(...any) error) error) error {
	return query(ctx, t.conn, text, args, visit)
}

func (t *transaction) Commit(ctx context.Context) error {
	defer t.end()
	result := t.conn.ExecParams(ctx, "commit", nil, nil, nil, nil).Read()
	if result.Err == nil && result.CommandTag.String() != "COMMIT" { // the server rolls back a failed transaction
		return fmt.Errorf("commit: server answered %s, want COMMIT", result.CommandTag)
	}
	return result.Err
}

func (t *transaction) Rollback() {
	if t.ended {
		return
	}
	defer t.end()
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if _, err := exec(ctx, t.conn, "rollback", nil); err != nil {
		_ = t.conn.Close(ctx) // its state is unknown, so it is not reused
	}
}

func (t *transaction) end() {
	t.ended = true
	t.database.mu.Unlock()
}

// textValues returns the arguments in the protocol's text format. The server infers their types.
func textValues(args []any) (values [][]byte) {
	for _, arg := range args {
		values = append(values, fmt.Append(nil, arg))
	}
	return values
}

func exec(ctx context.Context, conn *pgconn.PgConn, text string, args []any) (affected int64, err error) {
	result := conn.ExecParams(ctx, text, textValues(args), nil, nil, nil).Read()
	return result.CommandTag.RowsAffected(), result.Err
}

func query(ctx context.Context, conn *pgconn.PgConn, text string, args []any, visit func(func(...any) error) error) error {
	result := conn.ExecParams(ctx, text, textValues(args), nil, nil, nil)
	var visitErr error
	for visitErr == nil && result.NextRow() {
		visitErr = visit(func(dest ...any) error { return scan(result.Values(), dest) })
	}
	if visitErr != nil { // there may be millions of unread rows
		conn.Conn().Close()
		_, _ = result.Close() // fails, the connection is closed
		return visitErr
	}
	_, err := result.Close()
	return err
}

func scan(values [][]byte, dest []any) (err error) {
	if len(values) != len(dest) {
		return fmt.Errorf("row has %d columns, want %d", len(values), len(dest))
	}
	for i, value := range values {
		switch column := dest[i].(type) {
		case *string:
			*column = string(value)
		case *int:
			*column, err = strconv.Atoi(string(value))
		case *int64:
			*column, err = strconv.ParseInt(string(value), 10, 64)
		case *float64:
			*column, err = strconv.ParseFloat(string(value), 64)
		default:
			err = fmt.Errorf("can't scan into %T", column)
		}
		if err != nil {
			return err
		}
	}
	return nil
}
