package record

import (
	"math/rand/v2"
	"testing"
)

func TestShipper(t *testing.T) {
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
		r        ExportResult
		low, top float64 // of the pause
	}{{ExportUnknown, 50, 150}, {ExportUnknown, 100, 300}, {ExportBusy, 200, 600}, {ExportUnreachable, 400, 1200}, {ExportUnreachable, 800, 2400}, {ExportDenied, 2500, 7500}} {
		s.Result(now, c.r)
		n, wait := s.Next(now, 1000)
		if n != 0 || wait < c.low || wait > c.top {
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
	live := 0
	for range 400 {
		if s.TakesRunning(true, true) {
			live++
		}
	}
	if live != 300 || !s.TakesRunning(true, false) || s.TakesRunning(false, true) {
		t.Errorf("%d of 400 turns are the running one's", live)
	}
}
