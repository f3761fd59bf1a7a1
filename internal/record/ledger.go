package record

// This file owns the writer's side of one incarnation: which frames there are, what is to be written and synced next, what
// a failure of either means, and what holds while nothing can be written. It must never take a frame as durable that a
// sync has not confirmed, nor let an answer go unrecorded without counting it.

// FullPolicy says what holds while the spool takes nothing.
type FullPolicy uint8

const (
	KeepServing    FullPolicy = iota // answers go out, and what finds no room is counted in a gap
	RejectRequests                   // new txns are declined at once
)

// Health is how the spool stands.
type Health uint8

const (
	HealthGood    Health = iota
	HealthBehind         // a write or sync has been under way for too long
	HealthFull           // the budget is used up
	HealthFailing        // the last write or sync failed
)

// HealthNames are their names, by number.
var HealthNames = [...]string{"good", "behind", "full", "failing"}

func (h Health) String() string { return HealthNames[min(int(h), len(HealthNames)-1)] }

const (
	// completionWait (ms): an end is noted this much after it at the latest. What a kill finds unnoted is in doubt.
	completionWait = 2.0
	// completionSyncInterval (ms): notes are not worth a sync of their own, but a machine may lose its power.
	completionSyncInterval = 200.0
	maxCompletionsPerFrame = 2048 // ends in one note
	// firstRetryPause and againMost (ms): pauses after a failure, doubled each time. What was not confirmed waits in memory.
	firstRetryPause, maxRetryPause = 20.0, 1000.0
)

type queuedFrame struct {
	ordinal     uint64
	kind        Kind
	bytes       []byte
	chainBefore Digest  // the chain that it continues
	queuedAt    float64 // when it was queued
}

// Ledger is what one incarnation still has to write.
type Ledger struct {
	instance, incarnation string
	sync                  bool
	groupWait             float64 // ms that a frame waits for others
	maxWriteBytes         int     // bytes in one write
	maxSegmentBytes       int64
	maxSpoolBytes         int64
	maxQueuedBytes        int     // bytes of frames that wait in memory
	commitDelay           float64 // ms that an answer waits
	stallAfter            float64 // ms after which a write under way counts as behind
	fullPolicy            FullPolicy

	nextOrdinal      uint64
	chain            Digest
	queue            []queuedFrame
	queuedBytes      int // bytes
	written          int // of the queue, in the present segment
	confirmed        uint64
	completions      Completions
	completionsSince float64
	gap              Gap
	countingGap      bool // a gap is being counted

	segment       uint64
	segmentOpen   bool // a segment is there to append to
	segmentBytes  int64
	spoolBytes    int64 // on disk, all incarnations
	unsyncedSince float64
	ioSince       float64 // since when a work is under way; 0: none
	inFlight      IO
	failures      int
	retryAt       float64
	counts        Counts
}

// Counts are what has been since the start.
type Counts struct {
	Entries, Completions, Gaps, Unrecorded uint64 // Missed: answers that gaps stand for
	Writes, Syncs, Failures                uint64
	Segments                               uint64
}

// IO is the writer's next step, in this order: a new segment, bytes at its end, a sync. Where there is none, it is to
// look again after Wait (ms), or when told.
type IO struct {
	NewSegment bool
	Segment    uint64
	Bytes      []byte
	Sync       bool
	Wait       float64
	frames     int
}

// Idle tells that there is nothing to do now.
func (w IO) Idle() bool { return !w.NewSegment && len(w.Bytes) == 0 && !w.Sync }

// NewLedger starts an incarnation's; group, patience and stall in ms, the rest in bytes. used is what the spool holds
// already.
func NewLedger(agent, incarnation string, sync bool, group float64, groupMost int, segmentMost, budget int64, room int,
	patience, stall float64, full FullPolicy, used int64,
) *Ledger {
	return &Ledger{
		instance: agent, incarnation: incarnation, sync: sync, groupWait: group, maxWriteBytes: groupMost,
		maxSegmentBytes: segmentMost, maxSpoolBytes: budget, maxQueuedBytes: room, commitDelay: patience, stallAfter: stall, fullPolicy: full, spoolBytes: used, nextOrdinal: 1,
	}
}

// AddEntry takes what will be answered. What finds no room is counted in a gap: ok is false and n means nothing.
func (l *Ledger) AddEntry(now float64, e Entry) (n uint64, ok bool) {
	if l.queuedBytes >= l.maxQueuedBytes {
		l.countUnrecorded(now, e.Outcome)
		return 0, false
	}
	e.N = l.nextOrdinal
	l.enqueue(now, KindEntry, e)
	l.counts.Entries++
	return e.N, true
}

func (l *Ledger) countUnrecorded(now float64, o Outcome) {
	if !l.countingGap {
		l.gap, l.countingGap = Gap{From: now, Cause: l.Health(now).String()}, true
	}
	l.gap.Counts[o]++
	l.gap.To = now
	l.counts.Unrecorded++
}

// AddCompletion notes that the answer of entry n ended.
func (l *Ledger) AddCompletion(now float64, n uint64, whole bool) {
	if len(l.completions.Delivered)+len(l.completions.Undelivered) == 0 {
		l.completionsSince = now
	}
	if whole {
		l.completions.Delivered = append(l.completions.Delivered, n)
	} else {
		l.completions.Undelivered = append(l.completions.Undelivered, n)
	}
	l.counts.Completions++
}

func (l *Ledger) enqueue(now float64, kind Kind, v any) {
	payload := Encode(kind, v)
	f := queuedFrame{ordinal: l.nextOrdinal, kind: kind, chainBefore: l.chain, queuedAt: now}
	l.chain = NextChain(l.chain, payload)
	f.bytes = AppendFrame(make([]byte, 0, FrameOverhead+len(payload)), f.ordinal, l.chain, payload)
	l.nextOrdinal++
	l.queue = append(l.queue, f)
	l.queuedBytes += len(f.bytes)
}

// NextIO says what to do next; Did must follow before the next call.
func (l *Ledger) NextIO(now float64) IO {
	if l.ioSince != 0 {
		return IO{Wait: completionSyncInterval}
	}
	l.frameCompletionsAndGap(now)
	unsent := l.queue[l.written:]
	w := IO{Wait: completionSyncInterval, Segment: l.segment}
	switch {
	case now < l.retryAt:
		w.Wait = l.retryAt - now
	case len(unsent) == 0 && l.written > 0 && l.sync && now-l.unsyncedSince >= completionSyncInterval: // notes alone
		w.Sync = true
	case len(unsent) == 0 && l.written > 0 && l.sync:
		w.Wait = completionSyncInterval - (now - l.unsyncedSince)
	case len(unsent) == 0:
	case l.containsEntry(unsent) && now-unsent[0].queuedAt < l.groupWait && l.unsentBytes() < l.maxWriteBytes:
		w.Wait = l.groupWait - (now - unsent[0].queuedAt)
	case l.segmentOpen && l.segmentBytes >= l.maxSegmentBytes && l.written > 0 && l.sync: // nothing stays behind unconfirmed
		w.Sync = true
	case l.segmentOpen && l.segmentBytes >= l.maxSegmentBytes:
		l.segmentOpen = false
		return l.NextIO(now)
	case !l.fitsBudget(unsent):
		w.Wait = maxRetryPause
	default:
		if !l.segmentOpen {
			l.segment++
			w.NewSegment, w.Segment = true, l.segment
			head := Encode(KindHeader, SegmentHeader{
				Instance: l.instance, Incarnation: l.incarnation, Segment: l.segment,
				From: unsent[0].ordinal, Chain: unsent[0].chainBefore,
			})
			w.Bytes = AppendFrame(w.Bytes, unsent[0].ordinal-1, unsent[0].chainBefore, head)
		}
		for _, f := range unsent {
			if len(w.Bytes) >= l.maxWriteBytes {
				break
			}
			w.Bytes = append(w.Bytes, f.bytes...)
			w.frames++
		}
		w.Sync = l.sync && l.containsEntry(unsent[:w.frames])
	}
	if !w.Idle() {
		l.ioSince, l.inFlight = max(now, 1), w
	} else if len(l.completions.Delivered)+len(l.completions.Undelivered) > 0 && now >= l.retryAt {
		w.Wait = min(w.Wait, max(completionWait-(now-l.completionsSince), 0))
	}
	return w
}

// frameCompletionsAndGap frames what has ended and what was missed, as soon as that can be written.
func (l *Ledger) frameCompletionsAndGap(now float64) {
	if ends := len(l.completions.Delivered) + len(l.completions.Undelivered); ends > 0 && (now-l.completionsSince >= completionWait || ends >= maxCompletionsPerFrame ||
		len(l.queue) > l.written) {
		for len(l.completions.Delivered)+len(l.completions.Undelivered) > 0 {
			var d Completions
			d.Delivered, l.completions.Delivered = split(l.completions.Delivered, maxCompletionsPerFrame)
			d.Undelivered, l.completions.Undelivered = split(l.completions.Undelivered, maxCompletionsPerFrame)
			l.enqueue(now, KindCompletions, d)
		}
	}
	if l.countingGap && l.failures == 0 && l.queuedBytes < l.maxQueuedBytes/2 {
		l.gap.N, l.countingGap = l.nextOrdinal, false
		l.enqueue(now, KindGap, l.gap)
		l.counts.Gaps++
	}
}

func split(all []uint64, most int) (first, rest []uint64) {
	n := min(len(all), most)
	return all[:n:n], all[n:]
}

func (l *Ledger) containsEntry(frames []queuedFrame) bool {
	for _, f := range frames {
		if f.kind == KindEntry {
			return true
		}
	}
	return false
}

func (l *Ledger) unsentBytes() (n int) {
	for _, f := range l.queue[l.written:] {
		n += len(f.bytes)
	}
	return n
}

// fitsBudget tells that the budget allows what comes next. Notes have no part of their own: the entries that they end are
// milliseconds old and stand in the last segment, and it is the ones before it that make room.
func (l *Ledger) fitsBudget(unsent []queuedFrame) bool {
	return l.spoolBytes+int64(len(unsent[0].bytes)) <= l.maxSpoolBytes
}

// Completed tells how a work went: wrote is how many bytes the disk may now hold of it, whole or not.
func (l *Ledger) Completed(now float64, wrote int, ok bool) {
	w := l.inFlight
	l.ioSince, l.inFlight = 0, IO{}
	l.spoolBytes += int64(wrote)
	l.segmentBytes += int64(wrote)
	if w.NewSegment {
		l.segmentOpen, l.segmentBytes, l.written = true, int64(wrote), 0
		l.counts.Segments++
	}
	if !ok {
		// After a failed sync nothing that it should have confirmed may be taken as durable, nor after a short write what
		// follows it: the segment is left, and all that is not confirmed is written anew.
		l.counts.Failures++
		l.segmentOpen, l.written = false, 0
		l.retryAt = now + min(firstRetryPause*float64(uint64(1)<<min(l.failures, 10)), maxRetryPause)
		l.failures++
		return
	}
	l.failures = 0
	if len(w.Bytes) > 0 {
		l.counts.Writes++
		if l.written == 0 {
			l.unsyncedSince = now
		}
		l.written += w.frames
	}
	if w.Sync {
		l.counts.Syncs++
	}
	if w.Sync || !l.sync {
		l.confirm()
	}
}

func (l *Ledger) confirm() {
	for _, f := range l.queue[:l.written] {
		l.queuedBytes -= len(f.bytes)
		l.confirmed = f.ordinal
	}
	l.queue = append(l.queue[:0:0], l.queue[l.written:]...)
	l.written = 0
}

// Confirmed is the last ordinal that is durable, or written where nothing is synced.
func (l *Ledger) Confirmed() uint64 { return l.confirmed }

// Written is the last ordinal in the files.
func (l *Ledger) Written() uint64 {
	if l.written > 0 {
		return l.queue[l.written-1].ordinal
	}
	return l.confirmed
}

// Pending tells that something is not confirmed yet, notes and gaps included.
func (l *Ledger) Pending() bool {
	return len(l.queue) > 0 || len(l.completions.Delivered)+len(l.completions.Undelivered) > 0 || l.countingGap
}

// QueuedBytes is how many bytes wait in memory.
func (l *Ledger) QueuedBytes() int { return l.queuedBytes }

// SpoolBytes is how many bytes the spool holds.
func (l *Ledger) SpoolBytes() int64 { return l.spoolBytes }

// ReleaseBytes tells that files are gone from the spool.
func (l *Ledger) ReleaseBytes(bytes int64) { l.spoolBytes = max(l.spoolBytes-bytes, 0) }

// Segment is the one that is appended to; it must stay.
func (l *Ledger) Segment() uint64 { return l.segment }

// Counts are the counts now.
func (l *Ledger) Counts() Counts { return l.counts }

// Health says how the spool stands.
func (l *Ledger) Health(now float64) Health {
	switch {
	case l.failures > 0:
		return HealthFailing
	case l.ioSince != 0 && now-l.ioSince > l.stallAfter:
		return HealthBehind
	case len(l.queue) > l.written && !l.fitsBudget(l.queue[l.written:]):
		return HealthFull
	}
	return HealthGood
}

// CommitDelay is how long (ms) an answer may wait to be durable: not at all where that is not to be expected.
func (l *Ledger) CommitDelay(now float64) float64 {
	if !l.sync || l.Health(now) != HealthGood {
		return 0
	}
	return l.commitDelay
}

// RejectsRequests tells that new txns are to be declined.
func (l *Ledger) RejectsRequests(now float64) bool {
	return l.fullPolicy == RejectRequests && l.Health(now) != HealthGood
}
