package spool_test

import (
	"fmt"
	"runtime"
	"testing"

	"onyxgate/internal/record"
	"onyxgate/internal/record/spool"
)

// BenchmarkRecover reads what a killed agent left: time and peak heap must be linear and flat. -benchtime 1x is enough.
func BenchmarkRecover(b *testing.B) {
	for _, n := range []int{1e5, 1e6, 1e7} {
		b.Run(fmt.Sprintf("%.0e entries", float64(n)), func(b *testing.B) {
			root := b.TempDir()
			s, err := spool.Open(spool.Disk{}, root, "n1")
			if err != nil {
				b.Fatal(err)
			}
			defer s.Close()
			w, err := s.Begin()
			if err != nil {
				b.Fatal(err)
			}
			l := record.NewLedger(record.LedgerOptions{
				Instance: "n1", Incarnation: w.Incarnation, MaxWriteBytes: 256 << 10, MaxSegmentBytes: 4 << 20,
				MaxSpoolBytes: 1 << 40, MaxQueuedBytes: 8 << 20, CommitDelay: 100, StallAfter: 50,
			})
			for i := range n {
				o, _ := l.AddEntry(float64(i), record.Entry{
					RequestID: fmt.Sprintf("%016x", i), Class: "page-preview",
					Outcome: record.OutcomeServed, Reason: "answered", Release: 41, Backend: "s-5be2a07c", Attempts: 1,
					ArrivedAt: 1.7e12 + float64(i), AnsweredAt: 1.7e12 + float64(i), BodyDigest: record.Digest{1},
				})
				l.AddCompletion(float64(i), o, true)
				if i%500 == 499 {
					for x := l.NextIO(float64(i)); !x.Idle(); x = l.NextIO(float64(i)) {
						wrote, err := w.Do(x)
						if l.Completed(float64(i), wrote, err == nil); err != nil {
							b.Fatal(err)
						}
					}
				}
			}
			w.Close()
			b.ResetTimer()
			peak, most := uint64(0), 0
			for range b.N {
				r, rows := s.Read(w.Incarnation, true), 0
				for k, more := 0, true; more; k++ {
					var got []record.Row
					if got, more, err = r.Next(); err != nil {
						b.Fatal(err)
					}
					rows += len(got)
					most = max(most, r.Replay.OpenEntries())
					if k%64 == 0 {
						var m runtime.MemStats
						runtime.ReadMemStats(&m)
						peak = max(peak, m.HeapInuse)
					}
				}
				if rows < n-1000 || len(r.Replay.Defects) > 0 {
					b.Fatal(rows, r.Replay.Defects)
				}
			}
			b.ReportMetric(float64(s.Bytes())/float64(n), "bytes/entry")
			b.ReportMetric(float64(peak)/(1<<20), "peak-MiB")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/entry")
		})
	}
}
