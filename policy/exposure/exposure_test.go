package exposure

import (
	"math/rand/v2"
	"testing"

	"onyxgate/policy/release"
)

// TestOldestAllowed checks the oldest release that may serve a key after a sequence of answers and attempts.
func TestOldestAllowed(t *testing.T) {
	k := KeyOf("k")
	for _, tc := range []struct {
		name string
		do   func(f *Affinity)
		want release.ID
	}{
		{"no answers or attempts", func(*Affinity) {}, 0},
		{"answered", func(f *Affinity) { f.RecordAnswer(k, 3) }, 3},
		{"answered by two, the earlier last", func(f *Affinity) { f.RecordAnswer(k, 3); f.RecordAnswer(k, 2) }, 3},
		{"later release rolled back", func(f *Affinity) { f.RecordAnswer(k, 2); f.RecordAnswer(k, 3); f.ForgetRelease(3) }, 2},
		{"open attempt", func(f *Affinity) { f.AttemptStarted(k, 3) }, 3},
		{"attempt ended", func(f *Affinity) { f.AttemptStarted(k, 3); f.AttemptEnded(k, 3) }, 0},
		{"one of two attempts ended", func(f *Affinity) { f.AttemptStarted(k, 3); f.AttemptStarted(k, 3); f.AttemptEnded(k, 3) }, 3},
		{"attempt at the later of two releases ended", func(f *Affinity) { f.AttemptStarted(k, 2); f.AttemptStarted(k, 3); f.AttemptEnded(k, 3) }, 2},
		{"release rolled back with an open attempt", func(f *Affinity) { f.AttemptStarted(k, 3); f.ForgetRelease(3); f.AttemptEnded(k, 3) }, 0},
		{"keys forgotten: latest forgotten release", func(f *Affinity) { f.RecordAnswer(k, 2); f.RecordAnswer(k, 1); f.ForgetBefore(3) }, 2},
		{"keys forgotten: applies to other keys too", func(f *Affinity) { f.RecordAnswer(KeyOf("other"), 2); f.ForgetBefore(3) }, 2},
		{"release forgotten with an open attempt", func(f *Affinity) { f.AttemptStarted(k, 2); f.ForgetBefore(3) }, 2},
		{"another key", func(f *Affinity) { f.RecordAnswer(KeyOf("other"), 3); f.AttemptStarted(KeyOf("other"), 3) }, 0},
		{"no key", func(f *Affinity) { f.RecordAnswer(KeyOf(""), 3); f.AttemptStarted(KeyOf(""), 3) }, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			affinity := NewAffinity()
			tc.do(affinity)
			if got := affinity.OldestAllowed(k); got != tc.want {
				t.Errorf("OldestAllowed = %d, want %d", got, tc.want)
			}
		})
	}
}

// Once a release exceeds its limit of remembered keys, every key counts as answered by it, so that none is forgotten.
func TestTooManyKeys(t *testing.T) {
	affinity := NewAffinity()
	affinity.maxKeys = 3
	for _, key := range []string{"a", "b", "c", "d"} {
		affinity.RecordAnswer(KeyOf(key), 2)
	}
	for _, key := range []string{"a", "d", "never"} {
		if affinity.OldestAllowed(KeyOf(key)) != 2 {
			t.Errorf("OldestAllowed(%q) = %d, want 2", key, affinity.OldestAllowed(KeyOf(key)))
		}
	}
	if affinity.Len() != 0 {
		t.Errorf("Len() above the limit = %d, want 0", affinity.Len())
	}
}

// capOf is a Caps with the same cap for every release.
type capOf float64

func (c capOf) Cap(release.ID) (float64, bool) { return float64(c), true }

// spend accepts requests under changing caps and sends attempts whenever the allowance permits. It fails the test if
// more attempts are sent than the free ones plus the caps' share of the requests, and returns the number of attempts
// sent.
func spend(t *testing.T, seed uint64, startEmptyUntil, free float64) (sent float64) {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 1))
	allowance := NewAllowance(2, 1)
	allowance.StartEmptyUntil(startEmptyUntil)
	allowance.Allows(3, 0, 1000) // creates the balance
	limit, allowed := 0.5, free
	for requests := range 400 {
		if requests%100 == 99 {
			limit = random.Float64()
		}
		allowance.OnRequest(0, capOf(limit))
		allowed += limit
		for random.IntN(3) == 0 && allowance.Allows(3, 0, 1000) {
			allowance.Use(3, 0, 1000)
			sent++
		}
		if sent > allowed+1e-9 {
			t.Fatalf("seed %d: %v attempts sent after %d requests, want at most %v", seed, sent, requests, allowed)
		}
	}
	return sent
}

// For any sequence of requests and caps, no more attempts are sent than the free ones plus the caps' share of the
// requests. A process that starts inside the previous process's window starts with an empty balance.
func TestAllowance(t *testing.T) {
	for _, tc := range []struct {
		name            string
		startEmptyUntil float64 // ms
		free            float64 // free attempts that may be sent
	}{{"outside the window", 0, 2}, {"just started", 5000, 0}} {
		t.Run(tc.name, func(t *testing.T) {
			for seed := range uint64(50) {
				if sent := spend(t, seed, tc.startEmptyUntil, tc.free); sent < 20 {
					t.Errorf("seed %d: %v attempts sent, want at least 20", seed, sent)
				}
			}
		})
	}
}
