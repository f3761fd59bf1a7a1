package sources

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

func newPacer(servers int, rate float64, seed uint64) *LookupPacer {
	return NewLookupPacer(servers, rate, rand.New(rand.NewPCG(seed, 1)))
}

// TTLs are clamped, instances do not query in step, and a failing server is avoided but tried again.
func TestLookupPacer(t *testing.T) {
	for _, c := range []struct {
		ttl       float64
		negative  bool
		low, high float64 // ms until the next look-up
	}{
		{0, false, 600, 900},
		{30_000, false, 18_000, 27_000},
		{1 << 41, false, 180_000, 270_000},
		{5_000, true, 3_000, 4_500},
		{1e9, true, 36_000, 54_000},
	} {
		t.Run(fmt.Sprintf("TTL %v ms, negative %v", c.ttl, c.negative), func(t *testing.T) {
			checkRefresh(t, c.ttl, c.negative, c.low, c.high)
		})
	}
	t.Run("a dead server", checkDeadServer)
	t.Run("all servers dead", checkBackoff)
	t.Run("rate limit", checkRateLimit)
}

func checkRefresh(t *testing.T, ttl float64, negative bool, low, high float64) {
	waits := map[float64]bool{}
	for seed := range uint64(50) {
		pacer := newPacer(1, 10, seed)
		if server, _ := pacer.Next(1); server != 0 {
			t.Fatalf("first Next = server %d, want 0", server)
		}
		pacer.OnAnswer(1, 0, ttl, negative)
		server, wait := pacer.Next(1)
		if server != -1 || wait < low || wait > high {
			t.Errorf("TTL %v: Next = server %d after %v ms, want -1 and %v to %v ms", ttl, server, wait, low, high)
		}
		waits[wait] = true
	}
	if len(waits) < 45 {
		t.Errorf("50 instances look up at %d distinct times, want at least 45", len(waits))
	}
}

func checkDeadServer(t *testing.T) {
	pacer, now, lookups := newPacer(3, 1000, 1), 1.0, [3]int{}
	for range 300 { // server 1 is always dead, server 0 for the first five seconds
		server, wait := pacer.Next(now)
		if server < 0 {
			now += wait
			continue
		}
		lookups[server]++
		dead := server == 1 || server == 0 && now < 5_000
		if dead {
			pacer.OnFailure(now, server)
		} else {
			pacer.OnAnswer(now, server, 0, false)
		}
	}
	if lookups[1] > lookups[2]/5 || lookups[1] < 1 || lookups[0]+lookups[2] < 100 {
		t.Errorf("look-ups per server = %v, want server 1 at least once and at most a fifth of server 2, and at least 100 at the others", lookups)
	}
}

// The back-off grows up to a maximum.
func checkBackoff(t *testing.T) {
	pacer, now := newPacer(2, 1000, 1), 1.0
	lastWait, lookups := 0.0, 0
	for now < 100_000 {
		if server, wait := pacer.Next(now); server >= 0 {
			pacer.OnFailure(now, server)
			lookups++
		} else {
			now += wait
			lastWait = wait
		}
	}
	if lookups > 60 || lastWait < maxBackoffMs/2 || lastWait > maxBackoffMs*1.5 {
		t.Errorf("%d look-ups in 100 s with a last wait of %v ms, want at most 60 and %v to %v ms", lookups, lastWait, maxBackoffMs/2, maxBackoffMs*1.5)
	}
}

// The rate limit holds regardless of TTLs.
func checkRateLimit(t *testing.T) {
	pacer, now, lookups := newPacer(1, 2, 1), 1.0, 0
	for now < 10_000 {
		if server, wait := pacer.Next(now); server >= 0 {
			pacer.nextAt = 0
			lookups++
		} else {
			now += wait
		}
	}
	if lookups > 23 {
		t.Errorf("%d look-ups in 10 s at a limit of 2 per second, want at most 23", lookups)
	}
}
