package record

// Scheduling of the writer's I/O: what is written and synced next, and how success and failure are handled.

const (
	// completionWait (ms) is how long a completion may wait to be framed. Entries whose completions are lost when the
	// process dies before that are in doubt.
	completionWait = 2.0
	// completionSyncInterval (ms) limits how long completions and gaps may stay unsynced when no entries are written. They
	// don't justify an immediate sync, but until they are synced a power failure of the host may lose them.
	completionSyncInterval = 200.0
	maxCompletionsPerFrame = 2048
	// firstRetryPause and maxRetryPause (ms) bound the backoff after failures, which doubles each time. Unconfirmed
	// frames stay in memory meanwhile.
	firstRetryPause, maxRetryPause = 20.0, 1000.0
	// maxRetryDoublings keeps the shift from overflowing.
	maxRetryDoublings = 10
)

// IO is the next work of the writer, to be done in this order: start a new segment, append bytes, sync. If there is
// nothing to do, the writer calls NextIO again after Wait ms or when something has been added to the ledger.
type IO struct {
	NewSegment bool
	Segment    uint64
	Bytes      []byte
	Sync       bool
	Wait       float64 // ms
	frames     int     // number of queued frames in Bytes
}

// Idle reports whether there is nothing to do.
func (i IO) Idle() bool { return !i.NewSegment && len(i.Bytes) == 0 && !i.Sync }

// NextIO returns the next work. Unless it is idle, Completed must be called when it is done, and NextIO returns no
// other work until then.
func (l *Ledger) NextIO(now float64) IO {
	if l.ioSince != 0 {
		return IO{Wait: completionSyncInterval}
	}
	l.frameCompletions(now)
	l.frameGap(now)
	next := l.planIO(now)
	if !next.Idle() {
		l.ioSince, l.inFlight = max(now, 1), next
	} else if l.waitingCompletions() > 0 && now >= l.retryAt {
		next.Wait = min(next.Wait, max(completionWait-(now-l.completionsSince), 0))
	}
	return next
}

func (l *Ledger) planIO(now float64) IO {
	next := IO{Wait: completionSyncInterval, Segment: l.segment}
	unwritten := l.queue[l.written:]
	unsynced := l.written > 0 && l.options.Sync
	segmentFull := l.segmentOpen && l.segmentBytes >= l.options.MaxSegmentBytes
	switch {
	case now < l.retryAt:
		next.Wait = l.retryAt - now
		return next
	case len(unwritten) == 0 && unsynced: // only completions and gaps are unsynced
		if waited := now - l.unsyncedSince; waited >= completionSyncInterval {
			next.Sync = true
		} else {
			next.Wait = completionSyncInterval - waited
		}
		return next
	case len(unwritten) == 0:
		return next
	case l.waitsForGroup(now, unwritten):
		next.Wait = l.options.GroupWait - (now - unwritten[0].queuedAt)
		return next
	case segmentFull && unsynced: // a new segment starts only when the old one is fully confirmed
		next.Sync = true
		return next
	}
	if segmentFull {
		l.segmentOpen = false
		l.frameCompletions(now) // a gap may just have been queued, and completions are written with it
		unwritten = l.queue[l.written:]
	}
	if !l.fitsSpool(unwritten) {
		next.Wait = maxRetryPause
		return next
	}
	return l.planWrite(next, unwritten)
}

// planWrite adds to next the frames of a single write, preceded by a header if a new segment starts.
func (l *Ledger) planWrite(next IO, unwritten []queuedFrame) IO {
	if !l.segmentOpen {
		l.segment++
		next.NewSegment, next.Segment = true, l.segment
		first := unwritten[0]
		header := Encode(KindHeader, SegmentHeader{
			Instance: l.options.Instance, Incarnation: l.options.Incarnation, Segment: l.segment,
			From: first.ordinal, Chain: first.chainBefore,
		})
		next.Bytes = AppendFrame(next.Bytes, first.ordinal-1, first.chainBefore, header)
	}
	for _, frame := range unwritten {
		if len(next.Bytes) >= l.options.MaxWriteBytes {
			break
		}
		next.Bytes = append(next.Bytes, frame.bytes...)
		next.frames++
	}
	next.Sync = l.options.Sync && containsEntry(unwritten[:next.frames])
	return next
}

// frameCompletions queues the waiting completions as frames if the first of them has waited for completionWait, if they
// fill a frame, or if other frames are about to be written.
func (l *Ledger) frameCompletions(now float64) {
	waiting := l.waitingCompletions()
	due := now-l.completionsSince >= completionWait || waiting >= maxCompletionsPerFrame || len(l.queue) > l.written
	if waiting == 0 || !due {
		return
	}
	for l.waitingCompletions() > 0 {
		var frame Completions
		frame.Delivered, l.completions.Delivered = splitAt(l.completions.Delivered, maxCompletionsPerFrame)
		frame.Undelivered, l.completions.Undelivered = splitAt(l.completions.Undelivered, maxCompletionsPerFrame)
		l.enqueue(now, KindCompletions, frame)
	}
}

// frameGap ends the current gap once writes succeed again and the queue is less than half full.
func (l *Ledger) frameGap(now float64) {
	writable := l.failures == 0 && l.queuedBytes < l.options.MaxQueuedBytes/2
	if !l.countingGap || !writable {
		return
	}
	l.gap.Ordinal, l.countingGap = l.nextOrdinal, false
	l.enqueue(now, KindGap, l.gap)
	l.counts.Gaps++
}

func splitAt(ordinals []uint64, most int) (first, rest []uint64) {
	n := min(len(ordinals), most)
	return ordinals[:n:n], ordinals[n:]
}

// waitsForGroup reports whether the write should be delayed so that more entries can share its sync.
func (l *Ledger) waitsForGroup(now float64, unwritten []queuedFrame) bool {
	if now-unwritten[0].queuedAt >= l.options.GroupWait || !containsEntry(unwritten) {
		return false
	}
	bytes := 0
	for _, frame := range unwritten {
		bytes += len(frame.bytes)
	}
	return bytes < l.options.MaxWriteBytes
}

func containsEntry(frames []queuedFrame) bool {
	for _, frame := range frames {
		if frame.kind == KindEntry {
			return true
		}
	}
	return false
}

// fitsSpool reports whether the next frame fits into the spool. The frames written together with it are not checked, so
// a write may exceed MaxSpoolBytes. No space is reserved for completions: the entries that they complete are usually
// only milliseconds old and in the last segment, so that earlier segments can be pruned to make room.
func (l *Ledger) fitsSpool(unwritten []queuedFrame) bool {
	return l.spoolBytes+int64(len(unwritten[0].bytes)) <= l.options.MaxSpoolBytes
}

// Completed records the result of the work returned by NextIO: the number of bytes that may have reached the disk, and
// whether all of the work succeeded.
func (l *Ledger) Completed(now float64, wrote int, ok bool) {
	done := l.inFlight
	l.ioSince, l.inFlight = 0, IO{}
	l.spoolBytes += int64(wrote)
	l.segmentBytes += int64(wrote)
	if done.NewSegment {
		l.segmentOpen, l.segmentBytes, l.written = true, int64(wrote), 0
		l.counts.Segments++
	}
	if !ok {
		l.retryLater(now)
		return
	}
	l.failures = 0
	if len(done.Bytes) > 0 {
		l.counts.Writes++
		if l.written == 0 {
			l.unsyncedSince = now
		}
		l.written += done.frames
	}
	if done.Sync {
		l.counts.Syncs++
	}
	if done.Sync || !l.options.Sync {
		l.confirmWritten()
	}
}

// retryLater abandons the current segment, so that all unconfirmed frames are written again to a new one. After a
// failed sync, nothing that it covered may be considered durable, and the same holds for anything after a short write.
func (l *Ledger) retryLater(now float64) {
	l.counts.Failures++
	l.segmentOpen, l.written = false, 0
	doublings := min(l.failures, maxRetryDoublings)
	l.retryAt = now + min(firstRetryPause*float64(uint64(1)<<doublings), maxRetryPause)
	l.failures++
}

func (l *Ledger) confirmWritten() {
	for _, frame := range l.queue[:l.written] {
		l.queuedBytes -= len(frame.bytes)
		l.confirmed = frame.ordinal
	}
	l.queue = append(l.queue[:0:0], l.queue[l.written:]...)
	l.written = 0
}
