package record

import (
	"math/rand/v2"
	"testing"
)

// Batches grow on success and shrink on failure, backoff grows and is randomized, and an unavailable store is probed
// with single rows.
func TestExportScheduler(t *testing.T) {
	s := NewExportScheduler(100, 50, rand.New(rand.NewPCG(1, 2)))
	now := 1000.0
	if n, _ := s.Next(now, 0); n != 0 {
		t.Errorf("Next with no rows waiting = %d rows, want 0", n)
	}
	if n, wait := s.Next(now, 3); n != 0 || wait != 50 {
		t.Errorf("Next with 3 rows waiting = %d rows, wait %v, want 0 rows, wait 50", n, wait)
	}
	if n, _ := s.Next(now+50, 3); n != 3 {
		t.Errorf("Next with 3 rows waiting for 50 ms = %d rows, want 3", n)
	}
	if n, _ := s.Next(now, 1000); n != 64 {
		t.Errorf("first batch = %d rows, want 64", n)
	}
	s.Result(now, ExportStored)
	if n, _ := s.Next(now, 1000); n != 100 {
		t.Errorf("batch after a success = %d rows, want 100", n)
	}
	last := 0.0
	for k, c := range []struct {
		r                  ExportResult
		minPause, maxPause float64 // of the backoff (ms)
	}{
		{ExportUnknown, 50, 150},
		{ExportUnknown, 100, 300},
		{ExportBusy, 200, 600},
		{ExportUnreachable, 400, 1200},
		{ExportUnreachable, 800, 2400},
		{ExportDenied, 2500, 7500},
	} {
		s.Result(now, c.r)
		n, wait := s.Next(now, 1000)
		if n != 0 || wait < c.minPause || wait > c.maxPause {
			t.Errorf("step %d: backoff after %v = %v with %d rows, want %v to %v with 0 rows",
				k, c.r, wait, n, c.minPause, c.maxPause)
		}
		if wait == last {
			t.Errorf("step %d: backoff = %v twice in a row, want randomized values", k, wait)
		}
		last = wait
		if now += wait; s.CircuitOpen() != (k >= 3) {
			t.Errorf("step %d: CircuitOpen = %v, want %v", k, s.CircuitOpen(), k >= 3)
		}
	}
	if n, _ := s.Next(now, 1000); n != 1 {
		t.Errorf("batch with open circuit = %d rows, want 1", n)
	}
	s.Result(now, ExportStored)
	if n, _ := s.Next(now, 1000); n < 2 || s.CircuitOpen() {
		t.Errorf("after a success with open circuit: batch = %d rows, CircuitOpen = %v, want at least 2, false",
			n, s.CircuitOpen())
	}
}

func TestNextSource(t *testing.T) {
	scheduler := NewExportScheduler(100, 50, rand.New(rand.NewPCG(1, 2)))
	turns := map[ExportSource]int{}
	for range 400 {
		turns[scheduler.NextSource(true, true)]++
	}
	if turns[SourceRunning] != 300 || turns[SourceEarlier] != 100 {
		t.Errorf("400 turns by source = %v, want 300 running and 100 earlier", turns)
	}
	for _, c := range []struct {
		name             string
		running, earlier bool
		want             ExportSource
	}{
		{"only running", true, false, SourceRunning},
		{"only earlier", false, true, SourceEarlier},
		{"none", false, false, SourceNone},
	} {
		t.Run(c.name, func(t *testing.T) {
			for range turnsPerRound {
				if source := scheduler.NextSource(c.running, c.earlier); source != c.want {
					t.Errorf("NextSource = %d, want %d", source, c.want)
				}
			}
		})
	}
}

func TestOnReadError(t *testing.T) {
	if SourceRunning.OnReadError() != RetryRead {
		t.Errorf("SourceRunning.OnReadError = %v, want %v", SourceRunning.OnReadError(), RetryRead)
	}
	if SourceEarlier.OnReadError() != KeepFiles {
		t.Errorf("SourceEarlier.OnReadError = %v, want %v", SourceEarlier.OnReadError(), KeepFiles)
	}
}

func TestStoredThrough(t *testing.T) {
	for _, c := range []struct {
		name         string
		finalThrough uint64
		waiting      []Row
		want         uint64
	}{
		{"none waiting", 7, nil, 7},
		{"later entry waiting", 7, []Row{{Entry: Entry{Ordinal: 9}}}, 7},
		{"entries waiting", 7, []Row{{Entry: Entry{Ordinal: 5}}, {Entry: Entry{Ordinal: 6}}}, 4},
		{"gap waiting", 7, []Row{{Entry: Entry{Ordinal: 6}}, {Gap: &Gap{Ordinal: 3}}}, 2},
		{"first entry waiting", 7, []Row{{Entry: Entry{Ordinal: 1}}}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			if through := StoredThrough(c.finalThrough, c.waiting); through != c.want {
				t.Errorf("StoredThrough = %d, want %d", through, c.want)
			}
		})
	}
}
