package record

// Scheduling of export batches: when a batch is sent, how large it is, which incarnation it comes from, and how
// failures are handled. A batch counts as stored only once the store has confirmed it, and no batch is ever dropped.

import "math/rand/v2"

// ExportResult is the result of exporting a batch.
type ExportResult uint8

// Export results.
const (
	ExportStored      ExportResult = iota
	ExportUnknown                  // the connection broke or the batch timed out; it may have been stored
	ExportConflict                 // a conflicting transaction won; retry
	ExportBusy                     // the store is overloaded or locked
	ExportUnreachable              // the store can't be reached or is shutting down
	ExportDenied                   // the store rejects the request; an operator has to act
	ExportForeign                  // another spool directory exports this incarnation; never retried
)

var exportResultNames = [...]string{"stored", "lost", "conflict", "busy", "away", "denied", "foreign"}

func (r ExportResult) String() string { return nameAt(exportResultNames[:], int(r)) }

// resultBackoff gives, for each failure, the initial backoff (ms) and whether the next batch is made smaller.
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
	maxPause       = 5000.0 // ms; does not apply to results whose initial backoff is longer
	// maxPauseDoublings keeps the shift from overflowing.
	maxPauseDoublings = 10
	// After circuitOpensAfter consecutive failures, the store is considered unavailable and is probed with single rows,
	// so that a store that comes back with a backlog waiting is not overloaded again.
	circuitOpensAfter = 4
	// The running incarnation gets runningTurns of every turnsPerRound batches, so that exporting earlier incarnations
	// does not delay it.
	runningTurns, turnsPerRound = 3, 4
)

// ExportCounts is the number of batches by ExportResult.
type ExportCounts [len(exportResultNames)]uint64

// ExportScheduler paces the batches that one instance sends to the store. Times are in ms and come from a single clock.
type ExportScheduler struct {
	maxRows      int
	maxWait      float64
	random       *rand.Rand
	batchRows    int // maximum rows in the next batch
	failures     int // consecutive
	retryAt      float64
	waitingSince float64 // when rows were first seen waiting; 0 if none are
	turn         int
	Results      ExportCounts
}

// NewExportScheduler returns a scheduler for batches of up to maxRows rows. Rows wait at most maxWait ms for a batch to
// fill up.
func NewExportScheduler(maxRows int, maxWait float64, random *rand.Rand) *ExportScheduler {
	return &ExportScheduler{maxRows: maxRows, maxWait: maxWait, random: random, batchRows: min(maxRows, firstBatchRows)}
}

// Next returns how many of the waiting rows may be sent now. If it returns 0, it should be called again
// after wait ms, or earlier if more rows arrive.
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
	case waiting < rows && waited < s.maxWait: // wait for a fuller batch
		return 0, s.maxWait - waited
	}
	return min(rows, waiting), 0
}

// Result records the result of a batch.
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

// CircuitOpen reports whether the store is considered unavailable.
func (s *ExportScheduler) CircuitOpen() bool { return s.failures >= circuitOpensAfter }

// ExportSource identifies the kind of incarnation from which the next batch is taken.
type ExportSource uint8

// Export sources.
const (
	SourceNone    ExportSource = iota // nothing to export
	SourceRunning                     // the running incarnation
	SourceEarlier                     // the first of the earlier incarnations that are not exported yet
)

// NextSource returns the source of the next batch. The arguments report which of the sources have rows to export.
func (s *ExportScheduler) NextSource(runningPending, earlierPending bool) ExportSource {
	switch {
	case runningPending && earlierPending:
		s.turn = (s.turn + 1) % turnsPerRound
		if s.turn < runningTurns {
			return SourceRunning
		}
		return SourceEarlier
	case runningPending:
		return SourceRunning
	case earlierPending:
		return SourceEarlier
	}
	return SourceNone
}

// ReadErrorAction is how to proceed after an incarnation could not be read from the spool.
type ReadErrorAction uint8

// Actions after a read error.
const (
	// RetryRead applies to the running incarnation: it is read again at its next turn, when the missing data may have
	// been written. Rows that were read before may be exported meanwhile.
	RetryRead ReadErrorAction = iota
	// KeepFiles applies to earlier incarnations, which are no longer written: their files are kept for inspection and
	// are not read again before the next start.
	KeepFiles
)

// OnReadError returns how to proceed after an error while reading from the source.
func (s ExportSource) OnReadError() ReadErrorAction {
	if s == SourceRunning {
		return RetryRead
	}
	return KeepFiles
}

// StoredThrough returns the last ordinal up to which everything is in the store, given the last ordinal up to which
// everything read is final (finalThrough) and the final rows that are not stored yet.
func StoredThrough(finalThrough uint64, waiting []Row) uint64 {
	through := finalThrough
	for _, row := range waiting {
		through = min(through, row.Ordinal()-1)
	}
	return through
}
