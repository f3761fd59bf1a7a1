package record

// This file owns when a batch goes to the store, how large it is, and what a failed one means. It must never take a batch
// as stored that the store has not confirmed, nor drop one.

import "math/rand/v2"

// ExportResult is how a batch ended.
type ExportResult uint8

const (
	ExportStored      ExportResult = iota
	ExportUnknown                  // the connection broke or the time ran out: it may be stored
	ExportConflict                 // the store chose another transaction: again
	ExportBusy                     // it takes no more now
	ExportUnreachable              // it can't be reached, or says that it goes
	ExportDenied                   // it refuses us: somebody has to act
	ExportForeign                  // another place ships this incarnation: never again
)

// ExportResultNames are their names, by number.
var ExportResultNames = [...]string{"stored", "lost", "conflict", "busy", "away", "denied", "foreign"}

func (r ExportResult) String() string {
	return ExportResultNames[min(int(r), len(ExportResultNames)-1)]
}

// what a reply means: the first pause (ms), and whether the next batch is to be smaller.
var resultPauses = [...]struct {
	pause float64
	less  bool
}{
	ExportStored: {}, ExportUnknown: {100, true}, ExportConflict: {5, true}, ExportBusy: {100, true}, ExportUnreachable: {100, false}, ExportDenied: {5000, false},
	ExportForeign: {60000, false},
}

const (
	maxPause = 5000.0 // ms
	// circuitOpensAfter failures in a row the store counts as away: one row at a time asks whether it is back, so that a store that
	// comes up under a backlog is not pushed down again.
	circuitOpensAfter = 4
	// runningTurns of a full round are the running incarnation's, so that what is caught up with never keeps it waiting.
	runningTurns, turnsPerRound = 3, 4
)

// ExportScheduler paces one agent's batches to the store.
type ExportScheduler struct {
	maxRows      int
	maxWait      float64
	random       *rand.Rand
	batchRows    int
	failures     int
	retryAt      float64
	waitingSince float64 // when the oldest row that waits was seen; 0: none waits
	turn         int
	Results      [len(ExportResultNames)]uint64
}

// NewExportScheduler makes one for batches of at most `most` rows, at least every `every` ms where rows wait.
func NewExportScheduler(most int, every float64, chance *rand.Rand) *ExportScheduler {
	return &ExportScheduler{maxRows: most, maxWait: every, random: chance, batchRows: min(most, 64)}
}

// Next says how many rows may go now, 0: none before wait (ms) is over. waiting is how many are ready.
func (s *ExportScheduler) Next(now float64, waiting int) (rows int, wait float64) {
	if waiting == 0 {
		s.waitingSince = 0
		return 0, s.maxWait
	}
	if s.waitingSince == 0 {
		s.waitingSince = max(now, 1)
	}
	rows = s.batchRows
	if s.CircuitOpen() {
		rows = 1
	}
	switch {
	case now < s.retryAt:
		return 0, s.retryAt - now
	case waiting < rows && now-s.waitingSince < s.maxWait: // more may come
		return 0, s.maxWait - (now - s.waitingSince)
	}
	return min(rows, waiting), 0
}

// Result tells how a batch ended.
func (s *ExportScheduler) Result(now float64, r ExportResult) {
	s.Results[r]++
	if r == ExportStored {
		s.failures, s.retryAt, s.waitingSince = 0, 0, 0
		s.batchRows = min(s.batchRows*2, s.maxRows)
		return
	}
	m := resultPauses[r]
	if m.less {
		s.batchRows = max(s.batchRows/2, 1)
	}
	pause := max(min(m.pause*float64(uint64(1)<<min(s.failures, 10)), maxPause), m.pause)
	s.retryAt = now + pause*(0.5+s.random.Float64())
	s.failures++
}

// CircuitOpen tells that the store counts as away.
func (s *ExportScheduler) CircuitOpen() bool { return s.failures >= circuitOpensAfter }

// TakesRunning tells whether it is the running incarnation's turn, or that of what is left of earlier ones.
func (s *ExportScheduler) TakesRunning(live, old bool) bool {
	if live && old {
		s.turn = (s.turn + 1) % turnsPerRound
		return s.turn < runningTurns
	}
	return live
}
