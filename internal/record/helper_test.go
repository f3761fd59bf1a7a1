package record

// disk holds the segments that a ledger's I/O produces, with scripted failures.
type disk struct {
	segments [][]byte
	synced   []int
	fail     func(next IO) (wrote int, ok bool) // if nil, all I/O succeeds
}

// step performs the next I/O and reports whether there was any.
func (d *disk) step(l *Ledger, now float64) bool {
	next := l.NextIO(now)
	if next.Idle() {
		return false
	}
	wrote, ok := len(next.Bytes), true
	if d.fail != nil {
		wrote, ok = d.fail(next)
	}
	if next.NewSegment {
		d.segments, d.synced = append(d.segments, nil), append(d.synced, 0)
	}
	last := len(d.segments) - 1
	d.segments[last] = append(d.segments[last], next.Bytes[:wrote]...)
	if next.Sync && ok {
		d.synced[last] = len(d.segments[last])
	}
	l.Completed(now, wrote, ok)
	return true
}

// drain performs all I/O that is due now.
func (d *disk) drain(l *Ledger, now float64) {
	for d.step(l, now) {
	}
}

// replay replays the segments, or only their synced parts.
func (d *disk) replay(synced bool) (*Replay, []Row) {
	replay, rows := NewReplay(), []Row(nil)
	for i, segment := range d.segments {
		if synced {
			segment = segment[:d.synced[i]]
		}
		rows = append(rows, replaySegment(replay, segment)...)
	}
	return replay, append(rows, replay.Finish()...)
}

func replaySegment(replay *Replay, segment []byte) (rows []Row) {
	for len(segment) > 0 {
		frame, size, err := ParseFrame(segment)
		if err != nil {
			replay.AddTornTail(int64(len(segment)))
			return rows
		}
		segment = segment[size:]
		if Kind(frame.Payload[0]) != KindHeader {
			rows = append(rows, replay.Apply(frame)...)
			continue
		}
		header, err := Decode(frame.Payload)
		if err == nil {
			err = replay.StartSegment(*header.(*SegmentHeader))
		}
		if err != nil { // no test writes such a header
			panic(err)
		}
	}
	return rows
}

// testLedger returns a ledger with small writes and segments.
func testLedger(options LedgerOptions) *Ledger {
	options.Instance, options.Incarnation = "n", "i"
	options.MaxWriteBytes, options.MaxSegmentBytes = 4096, 2048
	options.CommitDelay, options.StallAfter = 100, 50
	return NewLedger(options)
}

// largeOptions returns options with limits that tests don't reach.
func largeOptions() LedgerOptions {
	return LedgerOptions{Sync: true, MaxSpoolBytes: 1 << 20, MaxQueuedBytes: 1 << 16}
}

func testEntry(request string) Entry {
	return Entry{RequestID: request, Class: "p", Outcome: OutcomeServed, Reason: "answered", Backend: "a", Attempts: 1}
}
