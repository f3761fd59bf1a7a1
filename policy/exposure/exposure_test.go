package exposure

import (
	"math/rand/v2"
	"testing"

	"onyxgate/policy/release"
)

// The earliest release that may serve a key, after answers and attempts.
func TestOldestAllowed(t *testing.T) {
	k := KeyOf("k")
	for _, tc := range []struct {
		name string
		do   func(f *Affinity)
		want release.ID
	}{
		{"nothing seen", func(*Affinity) {}, 0},
		{"answered", func(f *Affinity) { f.RecordAnswer(k, 3) }, 3},
		{"answered by two, the earlier last", func(f *Affinity) { f.RecordAnswer(k, 3); f.RecordAnswer(k, 2) }, 3},
		{"the later one is rolled back", func(f *Affinity) { f.RecordAnswer(k, 2); f.RecordAnswer(k, 3); f.ForgetRelease(3) }, 2},
		{"an attempt is open", func(f *Affinity) { f.AttemptStarted(k, 3) }, 3},
		{"it has ended", func(f *Affinity) { f.AttemptStarted(k, 3); f.AttemptEnded(k, 3) }, 0},
		{"one of two has ended", func(f *Affinity) { f.AttemptStarted(k, 3); f.AttemptStarted(k, 3); f.AttemptEnded(k, 3) }, 3},
		{"the later of two has ended", func(f *Affinity) { f.AttemptStarted(k, 2); f.AttemptStarted(k, 3); f.AttemptEnded(k, 3) }, 2},
		{"open as its release is rolled back", func(f *Affinity) { f.AttemptStarted(k, 3); f.ForgetRelease(3); f.AttemptEnded(k, 3) }, 0},
		{"forgotten: no earlier one than the last of them", func(f *Affinity) { f.RecordAnswer(k, 2); f.RecordAnswer(k, 1); f.ForgetBefore(3) }, 2},
		{"forgotten, and another key", func(f *Affinity) { f.RecordAnswer(KeyOf("other"), 2); f.ForgetBefore(3) }, 2},
		{"an attempt is open as its release is forgotten", func(f *Affinity) { f.AttemptStarted(k, 2); f.ForgetBefore(3) }, 2},
		{"another key", func(f *Affinity) { f.RecordAnswer(KeyOf("other"), 3); f.AttemptStarted(KeyOf("other"), 3) }, 0},
		{"no key", func(f *Affinity) { f.RecordAnswer(KeyOf(""), 3); f.AttemptStarted(KeyOf(""), 3) }, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			affinity := NewAffinity()
			tc.do(affinity)
			if got := affinity.OldestAllowed(k); got != tc.want {
				t.Errorf("floor %d, want %d", got, tc.want)
			}
		})
	}
}

// With more keys than are remembered every key counts as answered: none is forgotten.
func TestTooManyKeys(t *testing.T) {
	affinity := NewAffinity()
	affinity.maxKeys = 3
	for _, key := range []string{"a", "b", "c", "d"} {
		affinity.RecordAnswer(KeyOf(key), 2)
	}
	for _, key := range []string{"a", "d", "never"} {
		if affinity.OldestAllowed(KeyOf(key)) != 2 {
			t.Errorf("%s may go to an earlier release", key)
		}
	}
	if affinity.Len() != 0 {
		t.Errorf("%d keys are kept", affinity.Len())
	}
}

// capOf is a cap on every release.
type capOf float64

func (c capOf) Cap(release.ID) (float64, bool) { return float64(c), true }

// spend takes requests under changing caps and sends attempts whenever the allowance lets it. It returns how many left, after checking
// that there were never more than the free ones and the caps' share.
func spend(t *testing.T, seed uint64, hold, free float64) (left float64) {
	t.Helper()
	chance := rand.New(rand.NewPCG(seed, 1))
	allowance := NewAllowance(2, 1)
	allowance.StartEmptyUntil(hold)
	allowance.Allows(3, 0, 1000) // its balance starts
	limit, allowed := 0.5, free
	for requests := range 400 {
		if requests%100 == 99 {
			limit = chance.Float64()
		}
		allowance.OnRequest(0, capOf(limit))
		allowed += limit
		for chance.IntN(3) == 0 && allowance.Allows(3, 0, 1000) {
			allowance.Use(3, 0, 1000)
			left++
		}
		if left > allowed+1e-9 {
			t.Fatalf("seed %d: %v attempts of %v after %d requests", seed, left, allowed, requests)
		}
	}
	return left
}

// In no sequence of requests do more than the free attempts and the cap's share leave, whatever the cap does meanwhile, and
// a process that starts inside the window begins with nothing.
func TestAllowance(t *testing.T) {
	for _, tc := range []struct {
		name string
		hold float64 // ms, until which the free attempts are held back
		free float64 // attempts that count
	}{{"later", 0, 2}, {"just started", 5000, 0}} {
		t.Run(tc.name, func(t *testing.T) {
			for seed := range uint64(50) {
				if left := spend(t, seed, tc.hold, tc.free); left < 20 {
					t.Errorf("seed %d: %v attempts only", seed, left)
				}
			}
		})
	}
}
