package exposure

import (
	"math/rand/v2"
	"testing"

	"onyxgate/policy/release"
)

// The earliest release that may serve a key, after answers and attempts.
func TestFloor(t *testing.T) {
	k := KeyOf("k")
	for _, c := range []struct {
		name string
		do   func(f *Affinity)
		want release.ID
	}{
		{"nothing seen", func(f *Affinity) {}, 0},
		{"answered", func(f *Affinity) { f.Bind(k, 3) }, 3},
		{"answered by two, the earlier last", func(f *Affinity) { f.Bind(k, 3); f.Bind(k, 2) }, 3},
		{"the later one goes back", func(f *Affinity) { f.Bind(k, 2); f.Bind(k, 3); f.ReleaseKeys(3) }, 2},
		{"an attempt is out", func(f *Affinity) { f.AttemptStarted(k, 3) }, 3},
		{"it has ended", func(f *Affinity) { f.AttemptStarted(k, 3); f.AttemptEnded(k, 3) }, 0},
		{"one of two has ended", func(f *Affinity) { f.AttemptStarted(k, 3); f.AttemptStarted(k, 3); f.AttemptEnded(k, 3) }, 3},
		{"the later of two has ended", func(f *Affinity) { f.AttemptStarted(k, 2); f.AttemptStarted(k, 3); f.AttemptEnded(k, 3) }, 2},
		{"out as its release goes back", func(f *Affinity) { f.AttemptStarted(k, 3); f.ReleaseKeys(3); f.AttemptEnded(k, 3) }, 0},
		{"settled: no earlier one than the last of them", func(f *Affinity) { f.Bind(k, 2); f.Bind(k, 1); f.ForgetBefore(3) }, 2},
		{"settled, and another key", func(f *Affinity) { f.Bind(KeyOf("other"), 2); f.ForgetBefore(3) }, 2},
		{"an attempt is out as it settles", func(f *Affinity) { f.AttemptStarted(k, 2); f.ForgetBefore(3) }, 2},
		{"another key", func(f *Affinity) { f.Bind(KeyOf("other"), 3); f.AttemptStarted(KeyOf("other"), 3) }, 0},
		{"no key", func(f *Affinity) { f.Bind(KeyOf(""), 3); f.AttemptStarted(KeyOf(""), 3) }, 0},
	} {
		f := NewAffinity()
		c.do(f)
		if got := f.Floor(k); got != c.want {
			t.Errorf("%s: %d, want %d", c.name, got, c.want)
		}
	}
}

// With more keys than are remembered every key counts as answered: none is forgotten.
func TestTooManyKeys(t *testing.T) {
	f := NewAffinity()
	f.most = 3
	for _, key := range []string{"a", "b", "c", "d"} {
		f.Bind(KeyOf(key), 2)
	}
	for _, key := range []string{"a", "d", "never"} {
		if f.Floor(KeyOf(key)) != 2 {
			t.Errorf("%s may go to an earlier release", key)
		}
	}
	if f.Len() != 0 {
		t.Errorf("%d keys are kept", f.Len())
	}
}

// always is a cap on every release.
type always float64

func (c always) Cap(release.ID) (float64, bool) { return float64(c), true }

// In no stretch of requests do more than the free attempts and the cap's share leave, whatever the cap does meanwhile, and
// a process that starts inside the window begins with nothing.
func TestAllowance(t *testing.T) {
	for _, c := range []struct {
		name string
		hold float64
		free float64 // that count
	}{{"later", 0, 2}, {"just started", 5000, 0}} {
		for seed := range uint64(50) {
			chance := rand.New(rand.NewPCG(seed, 1))
			w := NewAllowance(2, 1)
			w.HoldUntil(c.hold)
			w.Allows(3, 0, 1000) // its balance is opened
			limit, allowed, left := 0.5, c.free, 0.0
			for n := range 400 {
				if n%100 == 99 {
					limit = chance.Float64()
				}
				w.OnRequest(0, always(limit))
				allowed += limit
				for chance.IntN(3) == 0 && w.Allows(3, 0, 1000) {
					w.Use(3, 0, 1000)
					left++
				}
				if left > allowed+1e-9 {
					t.Fatalf("%s, seed %d: %v attempts of %v after %d requests", c.name, seed, left, allowed, n)
				}
			}
			if left < 20 {
				t.Errorf("%s, seed %d: %v attempts only", c.name, seed, left)
			}
		}
	}
}
