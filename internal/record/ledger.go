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
	// notesWait (ms): an end is noted this much after it at the latest. What a kill finds unnoted is in doubt.
	notesWait = 2.0
	// notesSync (ms): notes are not worth a sync of their own, but a machine may lose its power.
	notesSync  = 200.0
	notesFrame = 2048 // ends in one note
	// againFirst and againMost (ms): pauses after a failure, doubled each time. What was not confirmed waits in memory.
	againFirst, againMost = 20.0, 1000.0
)

type framed struct {
	n      uint64
	kind   Kind
	bytes  []byte
	before Digest  // the chain that it continues
	at     float64 // when it was queued
}

// Ledger is what one incarnation still has to write.
type Ledger struct {
	agent, incarnation string
	sync               bool
	group              float64 // ms that a frame waits for others
	groupMost          int     // bytes in one write
	segmentMost        int64
	budget             int64
	room               int     // bytes of frames that wait in memory
	patience           float64 // ms that an answer waits
	stall              float64 // ms after which a write under way counts as behind
	full               FullPolicy

	next      uint64
	chain     Digest
	queue     []framed
	queued    int // bytes
	sent      int // of the queue, in the present segment
	confirmed uint64
	notes     Completions
	notesAt   float64
	gap       Gap
	gapAt     bool // a gap is being counted

	segment  uint64
	open     bool // a segment is there to append to
	size     int64
	used     int64 // on disk, all incarnations
	unsynced float64
	under    float64 // since when a work is under way; 0: none
	work     IO
	failures int
	again    float64
	counts   Counts
}

// Counts are what has been since the start.
type Counts struct {
	Entries, Notes, Gaps, Missed uint64 // Missed: answers that gaps stand for
	Writes, Syncs, Failures      uint64
	Turns                        uint64
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
	patience, stall float64, full FullPolicy, used int64) *Ledger {
	return &Ledger{agent: agent, incarnation: incarnation, sync: sync, group: group, groupMost: groupMost,
		segmentMost: segmentMost, budget: budget, room: room, patience: patience, stall: stall, full: full, used: used, next: 1}
}

// AddEntry takes what will be answered. What finds no room is counted in a gap: ok is false and n means nothing.
func (l *Ledger) AddEntry(now float64, e Entry) (n uint64, ok bool) {
	if l.queued >= l.room {
		l.countUnrecorded(now, e.Outcome)
		return 0, false
	}
	e.N = l.next
	l.frame(now, KindEntry, e)
	l.counts.Entries++
	return e.N, true
}

func (l *Ledger) countUnrecorded(now float64, o Outcome) {
	if !l.gapAt {
		l.gap, l.gapAt = Gap{From: now, Cause: l.Health(now).String()}, true
	}
	l.gap.Counts[o]++
	l.gap.To = now
	l.counts.Missed++
}

// AddCompletion notes that the answer of entry n ended.
func (l *Ledger) AddCompletion(now float64, n uint64, whole bool) {
	if len(l.notes.Delivered)+len(l.notes.Undelivered) == 0 {
		l.notesAt = now
	}
	if whole {
		l.notes.Delivered = append(l.notes.Delivered, n)
	} else {
		l.notes.Undelivered = append(l.notes.Undelivered, n)
	}
	l.counts.Notes++
}

func (l *Ledger) frame(now float64, kind Kind, v any) {
	payload := Encode(kind, v)
	f := framed{n: l.next, kind: kind, before: l.chain, at: now}
	l.chain = NextChain(l.chain, payload)
	f.bytes = AppendFrame(make([]byte, 0, FrameOverhead+len(payload)), f.n, l.chain, payload)
	l.next++
	l.queue = append(l.queue, f)
	l.queued += len(f.bytes)
}

// NextIO says what to do next; Did must follow before the next call.
func (l *Ledger) NextIO(now float64) IO {
	if l.under != 0 {
		return IO{Wait: notesSync}
	}
	l.note(now)
	unsent := l.queue[l.sent:]
	w := IO{Wait: notesSync, Segment: l.segment}
	switch {
	case now < l.again:
		w.Wait = l.again - now
	case len(unsent) == 0 && l.sent > 0 && l.sync && now-l.unsynced >= notesSync: // notes alone
		w.Sync = true
	case len(unsent) == 0 && l.sent > 0 && l.sync:
		w.Wait = notesSync - (now - l.unsynced)
	case len(unsent) == 0:
	case l.entries(unsent) && now-unsent[0].at < l.group && l.unsentBytes() < l.groupMost:
		w.Wait = l.group - (now - unsent[0].at)
	case l.open && l.size >= l.segmentMost && l.sent > 0 && l.sync: // nothing stays behind unconfirmed
		w.Sync = true
	case l.open && l.size >= l.segmentMost:
		l.open = false
		return l.NextIO(now)
	case !l.fits(unsent):
		w.Wait = againMost
	default:
		if !l.open {
			l.segment++
			w.NewSegment, w.Segment = true, l.segment
			head := Encode(KindHeader, SegmentHeader{Agent: l.agent, Incarnation: l.incarnation, Segment: l.segment,
				From: unsent[0].n, Chain: unsent[0].before})
			w.Bytes = AppendFrame(w.Bytes, unsent[0].n-1, unsent[0].before, head)
		}
		for _, f := range unsent {
			if len(w.Bytes) >= l.groupMost {
				break
			}
			w.Bytes = append(w.Bytes, f.bytes...)
			w.frames++
		}
		w.Sync = l.sync && l.entries(unsent[:w.frames])
	}
	if !w.Idle() {
		l.under, l.work = max(now, 1), w
	} else if len(l.notes.Delivered)+len(l.notes.Undelivered) > 0 && now >= l.again {
		w.Wait = min(w.Wait, max(notesWait-(now-l.notesAt), 0))
	}
	return w
}

// note frames what has ended and what was missed, as soon as that can be written.
func (l *Ledger) note(now float64) {
	if ends := len(l.notes.Delivered) + len(l.notes.Undelivered); ends > 0 && (now-l.notesAt >= notesWait || ends >= notesFrame ||
		len(l.queue) > l.sent) {
		for len(l.notes.Delivered)+len(l.notes.Undelivered) > 0 {
			var d Completions
			d.Delivered, l.notes.Delivered = split(l.notes.Delivered, notesFrame)
			d.Undelivered, l.notes.Undelivered = split(l.notes.Undelivered, notesFrame)
			l.frame(now, KindCompletions, d)
		}
	}
	if l.gapAt && l.failures == 0 && l.queued < l.room/2 {
		l.gap.N, l.gapAt = l.next, false
		l.frame(now, KindGap, l.gap)
		l.counts.Gaps++
	}
}

func split(all []uint64, most int) (first, rest []uint64) {
	n := min(len(all), most)
	return all[:n:n], all[n:]
}

func (l *Ledger) entries(frames []framed) bool {
	for _, f := range frames {
		if f.kind == KindEntry {
			return true
		}
	}
	return false
}

func (l *Ledger) unsentBytes() (n int) {
	for _, f := range l.queue[l.sent:] {
		n += len(f.bytes)
	}
	return n
}

// fits tells that the budget allows what comes next. Notes have no part of their own: the entries that they end are
// milliseconds old and stand in the last segment, and it is the ones before it that make room.
func (l *Ledger) fits(unsent []framed) bool { return l.used+int64(len(unsent[0].bytes)) <= l.budget }

// Completed tells how a work went: wrote is how many bytes the disk may now hold of it, whole or not.
func (l *Ledger) Completed(now float64, wrote int, ok bool) {
	w := l.work
	l.under, l.work = 0, IO{}
	l.used += int64(wrote)
	l.size += int64(wrote)
	if w.NewSegment {
		l.open, l.size, l.sent = true, int64(wrote), 0
		l.counts.Turns++
	}
	if !ok {
		// After a failed sync nothing that it should have confirmed may be taken as durable, nor after a short write what
		// follows it: the segment is left, and all that is not confirmed is written anew.
		l.counts.Failures++
		l.open, l.sent = false, 0
		l.again = now + min(againFirst*float64(uint64(1)<<min(l.failures, 10)), againMost)
		l.failures++
		return
	}
	l.failures = 0
	if len(w.Bytes) > 0 {
		l.counts.Writes++
		if l.sent == 0 {
			l.unsynced = now
		}
		l.sent += w.frames
	}
	if w.Sync {
		l.counts.Syncs++
	}
	if w.Sync || !l.sync {
		l.confirm()
	}
}

func (l *Ledger) confirm() {
	for _, f := range l.queue[:l.sent] {
		l.queued -= len(f.bytes)
		l.confirmed = f.n
	}
	l.queue = append(l.queue[:0:0], l.queue[l.sent:]...)
	l.sent = 0
}

// Confirmed is the last ordinal that is durable, or written where nothing is synced.
func (l *Ledger) Confirmed() uint64 { return l.confirmed }

// Written is the last ordinal in the files.
func (l *Ledger) Written() uint64 {
	if l.sent > 0 {
		return l.queue[l.sent-1].n
	}
	return l.confirmed
}

// Pending tells that something is not confirmed yet, notes and gaps included.
func (l *Ledger) Pending() bool {
	return len(l.queue) > 0 || len(l.notes.Delivered)+len(l.notes.Undelivered) > 0 || l.gapAt
}

// Queued is how many bytes wait in memory.
func (l *Ledger) Queued() int { return l.queued }

// Used is how many bytes the spool holds.
func (l *Ledger) Used() int64 { return l.used }

// Freed tells that files are gone from the spool.
func (l *Ledger) Freed(bytes int64) { l.used = max(l.used-bytes, 0) }

// Segment is the one that is appended to; it must stay.
func (l *Ledger) Segment() uint64 { return l.segment }

// Counts are the counts now.
func (l *Ledger) Counts() Counts { return l.counts }

// Health says how the spool stands.
func (l *Ledger) Health(now float64) Health {
	switch {
	case l.failures > 0:
		return HealthFailing
	case l.under != 0 && now-l.under > l.stall:
		return HealthBehind
	case len(l.queue) > l.sent && !l.fits(l.queue[l.sent:]):
		return HealthFull
	}
	return HealthGood
}

// CommitDelay is how long (ms) an answer may wait to be durable: not at all where that is not to be expected.
func (l *Ledger) CommitDelay(now float64) float64 {
	if !l.sync || l.Health(now) != HealthGood {
		return 0
	}
	return l.patience
}

// RejectsRequests tells that new txns are to be declined.
func (l *Ledger) RejectsRequests(now float64) bool {
	return l.full == RejectRequests && l.Health(now) != HealthGood
}
