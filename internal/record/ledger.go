package record

// State of the ledger of one incarnation: its options, the queue of unconfirmed frames and the health of the spool.
// ledger_io.go decides what to write next.

// FullPolicy is how requests are handled while nothing can be written to the spool.
type FullPolicy uint8

// Policies.
const (
	KeepServing    FullPolicy = iota // responses are sent, and those that can't be queued are counted in a gap
	RejectRequests                   // new requests are rejected immediately
)

// Health reports whether the spool can be written and, if not, why.
type Health uint8

// Health states.
const (
	HealthGood    Health = iota
	HealthStalled        // a write or sync has been in progress for longer than StallAfter
	HealthFull           // the next frame does not fit into the spool
	HealthFailing        // the last write or sync failed
)

// healthNames are stored as the causes of gaps; they must not change.
var healthNames = [...]string{"good", "behind", "full", "failing"}

func (h Health) String() string { return nameAt(healthNames[:], int(h)) }

// queuedFrame is a frame that no sync (without Sync, no write) has confirmed yet.
type queuedFrame struct {
	ordinal     uint64
	kind        Kind
	bytes       []byte
	chainBefore Digest  // the hash chain before this frame
	queuedAt    float64 // ms
}

// LedgerOptions configures the ledger of one incarnation. Times are in ms.
type LedgerOptions struct {
	Instance, Incarnation string

	Sync            bool    // entries count as durable once synced; if false, once written
	GroupWait       float64 // how long an entry may wait for others to share its sync
	MaxWriteBytes   int     // soft limit for a single write
	MaxSegmentBytes int64   // a segment of at least this size is followed by a new one
	MaxSpoolBytes   int64   // size of the spool, all incarnations together, above which nothing is written
	MaxQueuedBytes  int     // no entries are queued while this many bytes or more are waiting in memory
	CommitDelay     float64 // maximum time a response waits for its entry to become durable
	StallAfter      float64 // the spool counts as stalled when a write or sync takes longer than this
	FullPolicy      FullPolicy
	SpoolBytes      int64 // initial size of the spool
}

// Ledger tracks what one incarnation still has to write: which frames exist, what is written and synced next, how
// failures are handled, and how requests are handled while nothing can be written. No frame counts as durable before a
// sync (without Sync, a write) has confirmed it, and every response either gets an entry or is counted in a gap.
// Methods must not be called concurrently. Times are in ms and come from a single clock.
type Ledger struct {
	options LedgerOptions

	nextOrdinal uint64
	chain       Digest
	queue       []queuedFrame // by ordinal; the first `written` frames are in the current segment
	queuedBytes int
	written     int
	confirmed   uint64

	completions      Completions // not yet in a frame
	completionsSince float64
	gap              Gap
	countingGap      bool

	segment       uint64
	segmentOpen   bool // if false, the next write starts a new segment
	segmentBytes  int64
	spoolBytes    int64 // all incarnations together
	unsyncedSince float64
	inFlight      IO
	ioSince       float64 // when inFlight was returned by NextIO; 0 if no I/O is in progress
	failures      int     // consecutive
	retryAt       float64
	counts        Counts
}

// Counts are totals since the ledger was created.
type Counts struct {
	Entries, Completions, Gaps uint64
	Unrecorded                 uint64 // responses that are only counted in gaps
	Writes, Syncs, Failures    uint64
	Segments                   uint64
}

// NewLedger returns the ledger of a new incarnation.
func NewLedger(options LedgerOptions) *Ledger {
	return &Ledger{options: options, spoolBytes: options.SpoolBytes, nextOrdinal: 1}
}

// AddEntry queues the entry for a response that is about to be sent and assigns its ordinal. If the queue is full, the
// response is counted in a gap instead: recorded is false, and ordinal is not valid.
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

// AddCompletion notes that the response of an entry has ended and whether it was delivered completely.
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

// waitingCompletions returns the number of completions that are not yet in a frame.
func (l *Ledger) waitingCompletions() int {
	return len(l.completions.Delivered) + len(l.completions.Undelivered)
}

// enqueue encodes the value into the next frame.
func (l *Ledger) enqueue(now float64, kind Kind, value any) {
	payload := Encode(kind, value)
	frame := queuedFrame{ordinal: l.nextOrdinal, kind: kind, chainBefore: l.chain, queuedAt: now}
	l.chain = NextChain(l.chain, payload)
	frame.bytes = AppendFrame(make([]byte, 0, FrameOverhead+len(payload)), frame.ordinal, l.chain, payload)
	l.nextOrdinal++
	l.queue = append(l.queue, frame)
	l.queuedBytes += len(frame.bytes)
}

// Confirmed returns the last ordinal that is durable or, without Sync, written.
func (l *Ledger) Confirmed() uint64 { return l.confirmed }

// Pending reports whether anything is unconfirmed, including completions and an unfinished gap.
func (l *Ledger) Pending() bool {
	return len(l.queue) > 0 || l.waitingCompletions() > 0 || l.countingGap
}

// QueuedBytes returns the number of bytes queued in memory.
func (l *Ledger) QueuedBytes() int { return l.queuedBytes }

// SpoolBytes returns the size of the spool in bytes.
func (l *Ledger) SpoolBytes() int64 { return l.spoolBytes }

// ReleaseBytes notes that files of the given total size were removed from the spool.
func (l *Ledger) ReleaseBytes(bytes int64) { l.spoolBytes = max(l.spoolBytes-bytes, 0) }

// CurrentSegment returns the number of the segment that is being appended to. That segment must not be pruned.
func (l *Ledger) CurrentSegment() uint64 { return l.segment }

// Counts returns the current counts.
func (l *Ledger) Counts() Counts { return l.counts }

// Health returns the health of the spool.
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

// CommitDelay returns how long (ms) a response may wait for its entry to become durable. It returns 0 without Sync, or
// if the entry can't be expected to become durable soon.
func (l *Ledger) CommitDelay(now float64) float64 {
	if !l.options.Sync || l.Health(now) != HealthGood {
		return 0
	}
	return l.options.CommitDelay
}

// RejectsRequests reports whether new requests must be rejected.
func (l *Ledger) RejectsRequests(now float64) bool {
	return l.options.FullPolicy == RejectRequests && l.Health(now) != HealthGood
}
