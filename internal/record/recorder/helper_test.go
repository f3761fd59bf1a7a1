package recorder

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"onyxgate/internal/record"
	"onyxgate/internal/record/spool"
	"onyxgate/internal/record/sqlstore"
	"onyxgate/internal/units"
)

func init() { logrus.SetOutput(io.Discard) }

func clock() func() float64 {
	from := time.Now()
	return func() float64 { return float64(time.Since(from))/1e6 + 1 }
}

func span(d time.Duration) units.Span { return units.Span(d) }

func testOptions(config Config) Options {
	return Options{Settings: config, Instance: "n1", Classes: []string{"p"}, Now: clock(), Seed: 1}
}

// start runs a recorder. stop ends it and waits until everything that it started has ended.
func start(r *Recorder) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		r.Run(ctx)
		close(ended)
	}()
	return func() {
		cancel()
		<-ended
	}
}

// rowsOfIncarnation reads all rows of an incarnation.
func rowsOfIncarnation(t *testing.T, reader *spool.Reader) (rows []record.Row) {
	t.Helper()
	defer reader.Close()
	for more := true; more; {
		var read []record.Row
		var err error
		if read, more, err = reader.Next(); err != nil {
			t.Fatal(err)
		}
		rows = append(rows, read...)
	}
	return rows
}

// openStore opens the configured store and closes it when the test ends.
func openStore(t *testing.T, config Config) *sqlstore.Store {
	t.Helper()
	store, err := config.Store.Open()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := store.Close(); err != nil {
			t.Error(err)
		}
	})
	return store
}
