package recorder

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"

	"onyxgate/internal/core"
)

func BenchmarkResponse(b *testing.B) {
	for _, c := range []struct{ name, mode, sync string }{
		{"memory", "memory", "none"},
		{"spool", "spool", "none"},
		{"spool and sync", "spool", "group"},
	} {
		for _, atOnce := range []int{1, 64} {
			b.Run(fmt.Sprintf("%s/%d at once", c.name, atOnce), func(b *testing.B) {
				config := DefaultConfig()
				config.Mode, config.Sync, config.Directory, config.MaxSpoolBytes = c.mode, c.sync, b.TempDir(), 64<<30
				benchmarkResponse(b, config, atOnce)
			})
		}
	}
}

func benchmarkResponse(b *testing.B, config Config, atOnce int) {
	b.Helper()
	r, err := New(testOptions(config))
	if err != nil {
		b.Fatal(err)
	}
	stop := start(r)
	body := make([]byte, 2000)
	b.ResetTimer()
	var remaining atomic.Int64
	remaining.Store(int64(b.N))
	var all sync.WaitGroup
	for range atOnce {
		all.Go(func() {
			for remaining.Add(-1) >= 0 {
				now := r.now()
				ordinal := r.BeforeResponse(core.Completion{
					RequestID: "0123456789abcdef", Kind: core.ActionServe, Reason: "answered", Backend: "s-5be2a07c",
					Now: now, Body: body,
				}, now+1e6)
				r.AfterResponse(ordinal, r.now(), true)
			}
		})
	}
	all.Wait()
	b.StopTimer()
	stop()
}
