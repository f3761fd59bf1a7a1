package record

// disk is what a ledger's works leave behind, with failures by script, and what a reading of it finds.
type disk struct {
	segments [][]byte
	synced   []int
	fail     func(w IO) (wrote int, ok bool) // nil: all goes well
}

// do carries out one work.
func (d *disk) do(l *Ledger, now float64) bool {
	w := l.NextIO(now)
	if w.Idle() {
		return false
	}
	wrote, ok := len(w.Bytes), true
	if d.fail != nil {
		wrote, ok = d.fail(w)
	}
	if w.NewSegment {
		d.segments, d.synced = append(d.segments, nil), append(d.synced, 0)
	}
	last := len(d.segments) - 1
	d.segments[last] = append(d.segments[last], w.Bytes[:wrote]...)
	if w.Sync && ok {
		d.synced[last] = len(d.segments[last])
	}
	l.Completed(now, wrote, ok)
	return true
}

// all works until nothing is left to do now.
func (d *disk) all(l *Ledger, now float64) {
	for d.do(l, now) {
	}
}

// read folds what is there; synced: only that.
func (d *disk) read(synced bool) (*Replay, []Row) {
	f, rows := NewReplay(), []Row(nil)
	for i, s := range d.segments {
		if synced {
			s = s[:d.synced[i]]
		}
		for len(s) > 0 {
			x, size, err := ParseFrame(s)
			if err != nil {
				f.AddTornTail(int64(len(s)))
				break
			}
			s = s[size:]
			if Kind(x.Payload[0]) == KindHeader {
				v, _ := Decode(x.Payload)
				if err := f.StartSegment(*v.(*SegmentHeader)); err != nil {
					panic(err)
				}
				continue
			}
			rows = append(rows, f.Apply(x)...)
		}
	}
	return f, append(rows, f.Finish()...)
}

// ledger makes one whose writes and segments are small.
func ledger(options LedgerOptions) *Ledger {
	options.Instance, options.Incarnation = "n", "i"
	options.MaxWriteBytes, options.MaxSegmentBytes = 4096, 2048
	options.CommitDelay, options.StallAfter = 100, 50
	return NewLedger(options)
}

// roomy are the options of a ledger that is not to get full.
func roomy() LedgerOptions {
	return LedgerOptions{Sync: true, MaxSpoolBytes: 1 << 20, MaxQueuedBytes: 1 << 16}
}

func entry(request string) Entry {
	return Entry{RequestID: request, Class: "p", Outcome: OutcomeServed, Reason: "answered", Backend: "a", Attempts: 1}
}
