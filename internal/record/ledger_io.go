package record

// This file owns what the writer does next, and what the success or failure of it means.

const (
	// completionWait (ms): a completion is framed so long after it at the latest. What a kill finds unframed is in doubt.
	completionWait = 2.0
	// completionSyncInterval (ms): completions are not worth a sync of their own at once, but a host may lose its power.
	completionSyncInterval = 200.0
	maxCompletionsPerFrame = 2048
	// firstRetryPause and maxRetryPause (ms): pauses after failures, doubled each time. What was not confirmed waits in
	// memory.
	firstRetryPause, maxRetryPause = 20.0, 1000.0
	// maxRetryDoublings keeps the doubling within the range of numbers.
	maxRetryDoublings = 10
)

// IO is the writer's next step, in this order: a new segment, bytes at its end, a sync. Where there is none, it is to look
// again after Wait (ms), or when something was added.
type IO struct {
	NewSegment bool
	Segment    uint64
	Bytes      []byte
	Sync       bool
	Wait       float64
	frames     int // of the queue, in Bytes
}

// Idle reports whether there is nothing to do now.
func (s IO) Idle() bool { return !s.NewSegment && len(s.Bytes) == 0 && !s.Sync }

// NextIO says what to do next. Where that is not idle, Completed must follow; until then nothing else is given out.
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
	case len(unwritten) == 0 && unsynced: // completions alone
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
	case segmentFull && unsynced: // no segment is left with frames that are not confirmed
		next.Sync = true
		return next
	}
	if segmentFull {
		l.segmentOpen = false
		l.frameCompletions(now) // a gap that has just been framed takes them along
		unwritten = l.queue[l.written:]
	}
	if !l.fitsSpool(unwritten) {
		next.Wait = maxRetryPause
		return next
	}
	return l.planWrite(next, unwritten)
}

// planWrite adds to next the frames that one write may take, after a header where a segment begins.
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

// frameCompletions frames what has ended: soon after the first, or with whatever else is written.
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

// frameGap ends the gap that is being counted, as soon as there is room again and writing works.
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

// waitsForGroup reports whether entries may gather for a while before they are written and synced together.
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

// fitsSpool reports whether the spool's greatest size allows what comes next. No part of it is reserved for completions:
// the entries that they end are milliseconds old and are in the last segment, and it is the ones before it that make room.
func (l *Ledger) fitsSpool(unwritten []queuedFrame) bool {
	return l.spoolBytes+int64(len(unwritten[0].bytes)) <= l.options.MaxSpoolBytes
}

// Completed takes how the step that NextIO gave out went: wrote is how many bytes of it the disk may now hold, ok whether
// all of it was done.
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

// retryLater leaves the segment, so that all that is not confirmed is written anew into the next one: after a failed sync
// nothing that it should have confirmed may be taken as durable, nor after a short write what follows it.
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
