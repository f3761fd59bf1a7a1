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

func ledger(sync bool, budget int64, room int, full FullPolicy) *Ledger {
	return NewLedger("n", "i", sync, 0, 4096, 2048, budget, room, 100, 50, full, 0)
}

func entry(txn string) Entry {
	return Entry{RequestID: txn, Class: "p", Outcome: OutcomeServed, Reason: "answered", Backend: "a", Attempts: 1}
}
