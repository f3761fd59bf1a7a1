package record

import (
	"math/rand/v2"
	"testing"
)

// Batches grow while they are stored, pauses grow and scatter while they fail, and a store that may be back is asked with
// one row.
func TestExportScheduler(t *testing.T) {
	s := NewExportScheduler(100, 50, rand.New(rand.NewPCG(1, 2)))
	now := 1000.0
	if n, _ := s.Next(now, 0); n != 0 {
		t.Error("nothing waits and something goes")
	}
	if n, wait := s.Next(now, 3); n != 0 || wait != 50 {
		t.Errorf("a few rows do not wait for more: %d, %v", n, wait)
	}
	if n, _ := s.Next(now+50, 3); n != 3 {
		t.Errorf("they wait too long: %d", n)
	}
	if n, _ := s.Next(now, 1000); n != 64 {
		t.Errorf("the first batch has %d", n)
	}
	s.Result(now, ExportStored)
	if n, _ := s.Next(now, 1000); n != 100 {
		t.Errorf("it does not grow: %d", n)
	}
	last := 0.0
	for k, c := range []struct {
		r                  ExportResult
		minPause, maxPause float64 // of the pause
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
			t.Errorf("%d: after %v a pause of %v, %d rows", k, c.r, wait, n)
		}
		if wait == last {
			t.Error("pauses do not scatter")
		}
		last = wait
		if now += wait; s.CircuitOpen() != (k >= 3) {
			t.Errorf("%d: broken %v", k, s.CircuitOpen())
		}
	}
	if n, _ := s.Next(now, 1000); n != 1 {
		t.Errorf("a store that may be back is asked with %d rows", n)
	}
	s.Result(now, ExportStored)
	if n, _ := s.Next(now, 1000); n < 2 || s.CircuitOpen() {
		t.Errorf("it is back, and gets %d", n)
	}
}

func TestNextSource(t *testing.T) {
	scheduler := NewExportScheduler(100, 50, rand.New(rand.NewPCG(1, 2)))
	turns := map[ExportSource]int{}
	for range 400 {
		turns[scheduler.NextSource(true, true)]++
	}
	if turns[SourceRunning] != 300 || turns[SourceEarlier] != 100 {
		t.Errorf("of 400 turns %v, want 300 of the running incarnation and 100 of earlier ones", turns)
	}
	for _, c := range []struct {
		name             string
		running, earlier bool
		want             ExportSource
	}{
		{"the running one waits", true, false, SourceRunning},
		{"an earlier one waits", false, true, SourceEarlier},
		{"nothing waits", false, false, SourceNone},
	} {
		t.Run(c.name, func(t *testing.T) {
			for range turnsPerRound {
				if source := scheduler.NextSource(c.running, c.earlier); source != c.want {
					t.Errorf("source %d, want %d", source, c.want)
				}
			}
		})
	}
}

func TestOnReadError(t *testing.T) {
	if SourceRunning.OnReadError() != RetryRead {
		t.Error("the running incarnation is not read again")
	}
	if SourceEarlier.OnReadError() != KeepFiles {
		t.Error("the files of an earlier incarnation do not stay")
	}
}

func TestStoredThrough(t *testing.T) {
	for _, c := range []struct {
		name         string
		finalThrough uint64
		waiting      []Row
		want         uint64
	}{
		{"nothing waits", 7, nil, 7},
		{"a later entry waits", 7, []Row{{Entry: Entry{Ordinal: 9}}}, 7},
		{"an entry waits", 7, []Row{{Entry: Entry{Ordinal: 5}}, {Entry: Entry{Ordinal: 6}}}, 4},
		{"a gap waits", 7, []Row{{Entry: Entry{Ordinal: 6}}, {Gap: &Gap{Ordinal: 3}}}, 2},
		{"the first waits", 7, []Row{{Entry: Entry{Ordinal: 1}}}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			if through := StoredThrough(c.finalThrough, c.waiting); through != c.want {
				t.Errorf("through %d, want %d", through, c.want)
			}
		})
	}
}
