package sources

import (
	"math/rand/v2"
	"testing"
)

// Lifetimes hold within their bounds, agents do not ask in step, a server that fails is passed over and tried again.
func TestLookup(t *testing.T) {
	for _, c := range []struct {
		ttl       float64
		negative  bool
		low, high float64
	}{
		{0, false, 600, 900},
		{30_000, false, 18_000, 27_000},
		{1 << 41, false, 180_000, 270_000},
		{5_000, true, 3_000, 4_500},
		{1e9, true, 36_000, 54_000},
	} {
		seen := map[float64]bool{}
		for seed := range uint64(50) {
			l := NewLookupPacer(1, 10, rand.New(rand.NewPCG(seed, 1)))
			if s, _ := l.Next(1); s != 0 {
				t.Fatal("nothing is asked at the start")
			}
			l.OnAnswer(1, 0, c.ttl, c.negative)
			s, wait := l.Next(1)
			if s != -1 || wait < c.low || wait > c.high {
				t.Errorf("lifetime %v: again after %v, not %v to %v", c.ttl, wait, c.low, c.high)
			}
			seen[wait] = true
		}
		if len(seen) < 45 {
			t.Errorf("50 agents ask at %d times", len(seen))
		}
	}
	l := NewLookupPacer(3, 1000, rand.New(rand.NewPCG(1, 1)))
	now, asked := 1.0, [3]int{}
	for range 300 { // 1 is dead
		s, wait := l.Next(now)
		if s < 0 {
			now += wait
			continue
		}
		if asked[s]++; s == 1 || s == 0 && now < 5_000 {
			l.OnFailure(now, s)
		} else {
			l.OnAnswer(now, s, 0, false)
		}
	}
	if asked[1] > asked[2]/5 || asked[1] < 1 || asked[0]+asked[2] < 100 {
		t.Errorf("asked %v", asked)
	}
	l, now = NewLookupPacer(2, 1000, rand.New(rand.NewPCG(1, 1))), 1
	last, asks := 0.0, 0
	for now < 100_000 { // all are dead: pauses grow to a bound
		if s, wait := l.Next(now); s >= 0 {
			l.OnFailure(now, s)
			asks++
		} else {
			now += wait
			last = wait
		}
	}
	if asks > 60 || last < maxBackoffMs/2 || last > maxBackoffMs*1.5 {
		t.Errorf("%d questions in 100 s, the last pause %v", asks, last)
	}
	l, now, asks = NewLookupPacer(1, 2, rand.New(rand.NewPCG(1, 1))), 1, 0
	for now < 10_000 { // the budget binds whatever the lifetimes say
		if s, wait := l.Next(now); s >= 0 {
			l.nextAt = 0
			asks++
		} else {
			now += wait
		}
	}
	if asks > 23 {
		t.Errorf("%d questions in 10 s at 2 a second", asks)
	}
}
