package record

// This file owns what the writer of one incarnation holds: its options, the entries and completions that wait, and the
// health of the spool. ledger_io.go says what is written next.

// FullPolicy says what holds while the spool takes nothing.
type FullPolicy uint8

// The policies.
const (
	KeepServing    FullPolicy = iota // answers go out, and what finds no room is counted in a gap
	RejectRequests                   // new requests are rejected at once
)

// Health is whether the spool takes what is to be written, and if not, why.
type Health uint8

// The states of a spool.
const (
	HealthGood    Health = iota
	HealthStalled        // a write or sync has been under way for too long
	HealthFull           // the spool has its greatest size
	HealthFailing        // the last write or sync failed
)

// healthNames are stored as causes of gaps.
var healthNames = [...]string{"good", "behind", "full", "failing"}

func (h Health) String() string { return nameAt(healthNames[:], int(h)) }

// queuedFrame is a frame that no sync has confirmed yet.
type queuedFrame struct {
	ordinal     uint64
	kind        Kind
	bytes       []byte
	chainBefore Digest  // the hash chain that it continues
	queuedAt    float64 // ms
}

// LedgerOptions are what one incarnation's ledger is made with. Times are in ms.
type LedgerOptions struct {
	Instance, Incarnation string

	Sync            bool    // an entry is durable once it is synced; false: once it is written
	GroupWait       float64 // an entry waits so long for others to be synced with
	MaxWriteBytes   int     // of one write
	MaxSegmentBytes int64   // a segment that holds as much is followed by a new one
	MaxSpoolBytes   int64   // on disk, all incarnations together
	MaxQueuedBytes  int     // of frames that wait in memory
	CommitDelay     float64 // an answer waits so long, at most, for its entry to be durable
	StallAfter      float64 // a write or sync that takes longer counts as behind
	FullPolicy      FullPolicy
	SpoolBytes      int64 // what the spool holds already
}

// Ledger is what one incarnation still has to write: which frames there are, what is to be written and synced next, what a
// failure of either means, and what holds while nothing can be written. It must never take a frame as durable that a sync
// has not confirmed, nor let an answer go unrecorded without counting it. Calls must not overlap. Times are in ms, of one
// clock.
type Ledger struct {
	options LedgerOptions

	nextOrdinal uint64
	chain       Digest
	queue       []queuedFrame // in order of ordinals; the first `written` of them are in the present segment
	queuedBytes int
	written     int
	confirmed   uint64

	completions      Completions // not framed yet
	completionsSince float64
	gap              Gap
	countingGap      bool

	segment       uint64
	segmentOpen   bool // false: the next write begins a new one
	segmentBytes  int64
	spoolBytes    int64 // on disk, all incarnations
	unsyncedSince float64
	inFlight      IO
	ioSince       float64 // when inFlight was handed out; 0: nothing is under way
	failures      int     // in a row
	retryAt       float64
	counts        Counts
}

// Counts are what has been since the start.
type Counts struct {
	Entries, Completions, Gaps uint64
	Unrecorded                 uint64 // answers that are only counted in gaps
	Writes, Syncs, Failures    uint64
	Segments                   uint64
}

// NewLedger starts an incarnation's.
func NewLedger(options LedgerOptions) *Ledger {
	return &Ledger{options: options, spoolBytes: options.SpoolBytes, nextOrdinal: 1}
}

// AddEntry takes what will be answered and gives it an ordinal. An entry that finds no room is counted in a gap: then
// recorded is false and the ordinal means nothing.
func (l *Ledger) AddEntry(now float64, entry Entry) (ordinal uint64, recorded bool) {
	if l.queuedBytes >= l.options.MaxQueuedBytes {
		l.countUnrecorded(now, entry.Outcome)
		return 0, false
	}
	entry.Ordinal = l.nextOrdinal
	l.enqueue(now, KindEntry, entry)
	l.counts.Entries++
	return entry.Ordinal, true
}

func (l *Ledger) countUnrecorded(now float64, outcome Outcome) {
	if !l.countingGap {
		l.gap, l.countingGap = Gap{From: now, Cause: l.Health(now).String()}, true
	}
	l.gap.Counts[outcome]++
	l.gap.To = now
	l.counts.Unrecorded++
}

// AddCompletion notes that the answer of an entry ended: delivered whole, or not.
func (l *Ledger) AddCompletion(now float64, ordinal uint64, delivered bool) {
	if l.waitingCompletions() == 0 {
		l.completionsSince = now
	}
	if delivered {
		l.completions.Delivered = append(l.completions.Delivered, ordinal)
	} else {
		l.completions.Undelivered = append(l.completions.Undelivered, ordinal)
	}
	l.counts.Completions++
}

// waitingCompletions is how many are not framed yet.
func (l *Ledger) waitingCompletions() int {
	return len(l.completions.Delivered) + len(l.completions.Undelivered)
}

// enqueue makes the next frame.
func (l *Ledger) enqueue(now float64, kind Kind, value any) {
	payload := Encode(kind, value)
	frame := queuedFrame{ordinal: l.nextOrdinal, kind: kind, chainBefore: l.chain, queuedAt: now}
	l.chain = NextChain(l.chain, payload)
	frame.bytes = AppendFrame(make([]byte, 0, FrameOverhead+len(payload)), frame.ordinal, l.chain, payload)
	l.nextOrdinal++
	l.queue = append(l.queue, frame)
	l.queuedBytes += len(frame.bytes)
}

// Confirmed is the last ordinal that is durable, or written where nothing is synced.
func (l *Ledger) Confirmed() uint64 { return l.confirmed }

// Pending reports whether something is not confirmed yet, completions and gaps included.
func (l *Ledger) Pending() bool {
	return len(l.queue) > 0 || l.waitingCompletions() > 0 || l.countingGap
}

// QueuedBytes is how many bytes wait in memory.
func (l *Ledger) QueuedBytes() int { return l.queuedBytes }

// SpoolBytes is how many bytes the spool holds.
func (l *Ledger) SpoolBytes() int64 { return l.spoolBytes }

// ReleaseBytes notes that files were removed from the spool.
func (l *Ledger) ReleaseBytes(bytes int64) { l.spoolBytes = max(l.spoolBytes-bytes, 0) }

// Segment is the one that is appended to; it must stay.
func (l *Ledger) CurrentSegment() uint64 { return l.segment }

// Counts are the counts now.
func (l *Ledger) Counts() Counts { return l.counts }

// Health says whether the spool takes what is to be written.
func (l *Ledger) Health(now float64) Health {
	stalled := l.ioSince != 0 && now-l.ioSince > l.options.StallAfter
	switch {
	case l.failures > 0:
		return HealthFailing
	case stalled:
		return HealthStalled
	case len(l.queue) > l.written && !l.fitsSpool(l.queue[l.written:]):
		return HealthFull
	}
	return HealthGood
}

// CommitDelay is how long (ms) an answer may wait to be durable: not at all where that is not to be expected.
func (l *Ledger) CommitDelay(now float64) float64 {
	if !l.options.Sync || l.Health(now) != HealthGood {
		return 0
	}
	return l.options.CommitDelay
}

// RejectsRequests reports whether new requests are to be rejected.
func (l *Ledger) RejectsRequests(now float64) bool {
	return l.options.FullPolicy == RejectRequests && l.Health(now) != HealthGood
}
