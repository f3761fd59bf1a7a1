package spool_test

import (
	"fmt"
	"runtime"
	"testing"

	"onyxgate/internal/record"
	"onyxgate/internal/record/spool"
)

// BenchmarkRecover reads the spool of a killed instance. Time must be linear in the number of entries, and peak heap
// must not depend on it. -benchtime 1x is enough.
func BenchmarkRecover(b *testing.B) {
	for _, n := range []int{1e5, 1e6, 1e7} {
		b.Run(fmt.Sprintf("%.0e entries", float64(n)), func(b *testing.B) {
			opened, err := spool.Open(spool.Disk{}, b.TempDir(), "n1")
			if err != nil {
				b.Fatal(err)
			}
			defer opened.Close()
			incarnation := writeEntries(b, opened, n)
			b.ResetTimer()
			peak := uint64(0)
			for range b.N {
				reader := opened.NewReader(incarnation, true)
				rows, heap := readWithPeak(b, reader)
				if rows < n-1000 || len(reader.Replay.Defects) > 0 {
					b.Fatalf("read %d rows with defects %v, want at least %d without defects",
						rows, reader.Replay.Defects, n-1000)
				}
				peak = max(peak, heap)
			}
			b.ReportMetric(float64(opened.Bytes())/float64(n), "bytes/entry")
			b.ReportMetric(float64(peak)/(1<<20), "peak-MiB")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/entry")
		})
	}
}

// writeEntries writes n completed entries, 500 at a time.
func writeEntries(b *testing.B, opened *spool.Spool, n int) (incarnation string) {
	b.Helper()
	writer, err := opened.NewIncarnation()
	if err != nil {
		b.Fatal(err)
	}
	ledger := record.NewLedger(record.LedgerOptions{
		Instance: "n1", Incarnation: writer.Incarnation, MaxWriteBytes: 256 << 10, MaxSegmentBytes: 4 << 20,
		MaxSpoolBytes: 1 << 40, MaxQueuedBytes: 8 << 20, CommitDelay: 100, StallAfter: 50,
	})
	for i := range n {
		now := float64(i)
		ordinal, _ := ledger.AddEntry(now, record.Entry{
			RequestID: fmt.Sprintf("%016x", i), Class: "page-preview", Outcome: record.OutcomeServed, Reason: "answered",
			Release: 41, Backend: "s-5be2a07c", Attempts: 1, ArrivedAt: 1.7e12 + now, AnsweredAt: 1.7e12 + now,
			BodyDigest: record.Digest{1},
		})
		ledger.AddCompletion(now, ordinal, true)
		if i%500 != 499 {
			continue
		}
		for next := ledger.NextIO(now); !next.Idle(); next = ledger.NextIO(now) {
			wrote, err := writer.Execute(next)
			if ledger.Completed(now, wrote, err == nil); err != nil {
				b.Fatal(err)
			}
		}
	}
	if err := writer.Close(); err != nil {
		b.Fatal(err)
	}
	return writer.Incarnation
}

// readWithPeak reads all rows and samples the heap size on every 64th call.
func readWithPeak(b *testing.B, reader *spool.Reader) (rows int, peak uint64) {
	b.Helper()
	for calls, more := 0, true; more; calls++ {
		var read []record.Row
		var err error
		if read, more, err = reader.Next(); err != nil {
			b.Fatal(err)
		}
		rows += len(read)
		if calls%64 == 0 {
			var memory runtime.MemStats
			runtime.ReadMemStats(&memory)
			peak = max(peak, memory.HeapInuse)
		}
	}
	return rows, peak
}
