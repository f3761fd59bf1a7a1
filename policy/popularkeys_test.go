package policy

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
)

// Long keys that never come again must not be held after their requests have ended: neither by the counts of popular keys nor
// by the timers of the requests.
func TestLongKeysAreNotHeld(t *testing.T) {
	const requests, keyBytes, allowedBytes = 2000, 12 << 10, 4 << 20
	inst, _ := startInstance(RequestClass{}, 3)
	inst.exposureConfig.KeyAffinity = true
	before := liveHeap()
	for i := range requests {
		id := fmt.Sprint("r", i)
		inst.OnRequest(inst.now, Request{ID: id, Key: strings.Repeat("k", keyBytes) + id, TimeLeft: 4000})
		inst.OnAttemptResult(inst.now+1, AttemptResult{RequestID: id, Status: StatusServed, Final: true, Elapsed: 1})
	}
	if grown := liveHeap() - before; grown > allowedBytes {
		t.Errorf("the heap grew by %d bytes for %d ended requests, want at most %d", grown, requests, allowedBytes)
	}
	if n := len(inst.popularKeys); n != requests {
		t.Errorf("keys counted = %d, want %d", n, requests)
	}
	runtime.KeepAlive(inst)
}

// liveHeap returns the size of the live heap (bytes).
func liveHeap() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
