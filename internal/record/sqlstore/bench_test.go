package sqlstore_test

import (
	"fmt"
	"path/filepath"
	"testing"
	"time"

	"onyxgate/internal/record/sqlstore"
)

func BenchmarkPut(b *testing.B) {
	sqliteStore := openSQLite(b, filepath.Join(b.TempDir(), "x.db"), time.Second)
	postgresStore, _ := newPipeStore(b, filepath.Join(b.TempDir(), "pg"), "right")
	for _, c := range []struct {
		name  string
		store *sqlstore.Store
	}{{"sqlite", sqliteStore}, {"fake postgres", postgresStore}} {
		migrate(b, c.store)
		n := uint64(1)
		for _, size := range []uint64{1, 50, 500} {
			b.Run(fmt.Sprintf("%s/batch of %d", c.name, size), func(b *testing.B) {
				for b.Loop() {
					put(b, c.store, batch(n, n+size-1, n+size-1))
					n += size
				}
				b.ReportMetric(float64(size)*float64(b.N)/b.Elapsed().Seconds(), "entries/s")
			})
		}
	}
}
