package record

// This file owns when a batch goes to the store, how large it is, which incarnation it is of, and what a failed one means.
// It must never take a batch as stored that the store has not confirmed, nor drop one.

import "math/rand/v2"

// ExportResult is how a batch ended.
type ExportResult uint8

// The results.
const (
	ExportStored      ExportResult = iota
	ExportUnknown                  // the connection broke or the time ran out: it may be stored
	ExportConflict                 // the store chose another transaction: again
	ExportBusy                     // it takes no more now
	ExportUnreachable              // it can't be reached, or says that it goes
	ExportDenied                   // it refuses us: somebody has to act
	ExportForeign                  // another place exports this incarnation: never again
)

var exportResultNames = [...]string{"stored", "lost", "conflict", "busy", "away", "denied", "foreign"}

func (r ExportResult) String() string { return nameAt(exportResultNames[:], int(r)) }

// resultPauses is what a failure means: the first pause (ms), and whether the next batch is to be smaller.
var resultBackoff = [...]struct {
	pause   float64
	smaller bool
}{
	ExportStored:      {},
	ExportUnknown:     {100, true},
	ExportConflict:    {5, true},
	ExportBusy:        {100, true},
	ExportUnreachable: {100, false},
	ExportDenied:      {5000, false},
	ExportForeign:     {60000, false},
}

const (
	firstBatchRows = 64
	maxPause       = 5000.0 // ms, but for results whose first pause is longer
	// maxPauseDoublings keeps the doubling within the range of numbers.
	maxPauseDoublings = 10
	// circuitOpensAfter failures in a row the store counts as away: one row at a time asks whether it is back, so that a
	// store that comes up under a backlog is not pushed down again.
	circuitOpensAfter = 4
	// runningTurns of a full round are the running incarnation's, so that catching up on others never keeps it waiting.
	runningTurns, turnsPerRound = 3, 4
)

// ExportCounts are how many batches ended with each result, by ExportResult.
type ExportCounts [len(exportResultNames)]uint64

// ExportScheduler paces one instance's batches to the store. Times are in ms, of one clock.
type ExportScheduler struct {
	maxRows      int
	maxWait      float64
	random       *rand.Rand
	batchRows    int // what the next batch may hold
	failures     int // in a row
	retryAt      float64
	waitingSince float64 // when the oldest row that waits was seen; 0: none waits
	turn         int
	Results      ExportCounts
}

// NewExportScheduler makes one for batches of at most maxRows, and at least every maxWait ms while rows wait.
func NewExportScheduler(maxRows int, maxWait float64, random *rand.Rand) *ExportScheduler {
	return &ExportScheduler{maxRows: maxRows, maxWait: maxWait, random: random, batchRows: min(maxRows, firstBatchRows)}
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
	waited := now - s.waitingSince
	switch {
	case now < s.retryAt:
		return 0, s.retryAt - now
	case waiting < rows && waited < s.maxWait: // more may come
		return 0, s.maxWait - waited
	}
	return min(rows, waiting), 0
}

// Result takes how a batch ended.
func (s *ExportScheduler) Result(now float64, result ExportResult) {
	s.Results[result]++
	if result == ExportStored {
		s.failures, s.retryAt, s.waitingSince = 0, 0, 0
		s.batchRows = min(s.batchRows*2, s.maxRows)
		return
	}
	backoff := resultBackoff[result]
	if backoff.smaller {
		s.batchRows = max(s.batchRows/2, 1)
	}
	doublings := min(s.failures, maxPauseDoublings)
	pause := max(min(backoff.pause*float64(uint64(1)<<doublings), maxPause), backoff.pause)
	s.retryAt = now + pause*(0.5+s.random.Float64())
	s.failures++
}

// CircuitOpen reports whether the store counts as away.
func (s *ExportScheduler) CircuitOpen() bool { return s.failures >= circuitOpensAfter }

// ExportSource is where the next batch comes from.
type ExportSource uint8

// The sources.
const (
	SourceNone    ExportSource = iota // nothing waits
	SourceRunning                     // the running incarnation
	SourceEarlier                     // the oldest of the earlier ones that is left
)

// NextSource says whose turn it is, among those of which something waits.
func (s *ExportScheduler) NextSource(runningWaits, earlierWaits bool) ExportSource {
	switch {
	case runningWaits && earlierWaits:
		s.turn = (s.turn + 1) % turnsPerRound
		if s.turn < runningTurns {
			return SourceRunning
		}
		return SourceEarlier
	case runningWaits:
		return SourceRunning
	case earlierWaits:
		return SourceEarlier
	}
	return SourceNone
}

// ReadFailure is what follows from a failure to read an incarnation in the spool.
type ReadErrorAction uint8

// The consequences.
const (
	// ReadAgain: the running incarnation is read again at the next turn, when what is missing may be there. Until then
	// what was read before may go to the store.
	RetryRead ReadErrorAction = iota
	// LeaveFiles: an earlier incarnation, which nobody writes any more, stays as it is for whoever looks into it, and is
	// not read again before the next start.
	KeepFiles
)

// OnReadError says what follows from a failure to read the source.
func (s ExportSource) OnReadError() ReadErrorAction {
	if s == SourceRunning {
		return RetryRead
	}
	return KeepFiles
}

// StoredThrough is the last ordinal up to which everything is in the store: of what a reading has found final so far
// (finalThrough), rows wait to be stored.
func StoredThrough(finalThrough uint64, waiting []Row) uint64 {
	through := finalThrough
	for _, row := range waiting {
		through = min(through, row.Ordinal()-1)
	}
	return through
}
