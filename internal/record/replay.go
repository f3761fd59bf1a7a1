package record

// This file owns what a reading of the spool concludes, frame by frame, for recovery, shipping and audits alike. It must
// never hold more than the entries that are open, nor claim an answer whose end it has not read.

import (
	"fmt"
	"maps"
	"slices"
)

// Row is what the store gets: an entry with its final state, or a gap.
type Row struct {
	Entry Entry
	State State
	Gap   *Gap
}

// Ordinal is its ordinal.
func (r Row) Ordinal() uint64 {
	if r.Gap != nil {
		return r.Gap.N
	}
	return r.Entry.N
}

// Defect is something that a spool must not hold.
type Defect struct {
	Kind     string // hole, chain, spoilt, order, orphan, unreadable
	Segment  uint64
	From, To uint64 // ordinals, where they are known
	Detail   string
}

func (d Defect) String() string {
	return fmt.Sprintf("%s in segment %d, ordinals %d to %d: %s", d.Kind, d.Segment, d.From, d.To, d.Detail)
}

const (
	// maxDefects are kept one by one; a spool of noise has more.
	maxDefects = 1000
	// maxOpenEntries bounds memory against a spool that was made up: more txns than an agent ever holds.
	maxOpenEntries = 1 << 20
)

// Replay reads one incarnation from its first segment that is left.
type Replay struct {
	header    SegmentHeader
	start     uint64 // ordinal at which reading began; ends of earlier entries are no news
	next      uint64 // ordinal that is expected; 0: nothing read yet
	chain     Digest
	open      map[uint64]Entry
	Defects   []Defect
	TornBytes int64 // bytes cut off at the very end
	Rewritten uint64
	Counts    [len(StateNames)]uint64
	Gaps      uint64
}

// NewReplay starts a reading.
func NewReplay() *Replay { return &Replay{open: map[uint64]Entry{}} }

func (f *Replay) addDefect(kind string, from, to uint64, detail string) {
	if len(f.Defects) < maxDefects {
		f.Defects = append(f.Defects, Defect{kind, f.header.Segment, from, to, detail})
	}
}

// StartSegment opens a segment. An error says that it belongs to no reading of this incarnation.
func (f *Replay) StartSegment(h SegmentHeader) error {
	switch {
	case f.next == 0:
		f.start, f.next, f.chain = h.From, h.From, h.Chain
	case h.Instance != f.header.Instance || h.Incarnation != f.header.Incarnation:
		return fmt.Errorf("segment %d is of %s/%s, not of %s/%s: files of two incarnations stand in one directory",
			h.Segment, h.Instance, h.Incarnation, f.header.Instance, f.header.Incarnation)
	case h.Segment <= f.header.Segment:
		return fmt.Errorf("segment %d comes after segment %d", h.Segment, f.header.Segment)
	}
	f.header = h
	return nil
}

// AddCorruptBytes notes bytes that are no frame; what they held shows as a hole.
func (f *Replay) AddCorruptBytes(at int64, bytes int64) {
	f.addDefect("spoilt", f.next, f.next, fmt.Sprintf("%d bytes from byte %d on are no frame", bytes, at))
}

// AddTornTail notes bytes at the end of the last segment that are no whole frame: a kill in a write.
func (f *Replay) AddTornTail(bytes int64) { f.TornBytes += bytes }

// Apply takes the next frame and returns what became final by it.
func (f *Replay) Apply(x Frame) (rows []Row) {
	switch {
	case f.next == 0:
		f.addDefect("order", x.N, x.N, "a frame before any head")
		f.start, f.next = x.N, x.N
	case x.N < f.next: // written anew after a failure
		f.Rewritten++
		return nil
	case x.N > f.next:
		lost := x.N - f.next
		f.addDefect("hole", f.next, x.N-1, fmt.Sprintf("%d frames are gone", lost))
		g := Gap{N: f.next, Cause: "hole"}
		g.Counts[0] = lost // of what kind is not known
		f.Gaps++
		rows = append(rows, Row{Gap: &g})
	case NextChain(f.chain, x.Payload) != x.Chain:
		f.addDefect("chain", x.N, x.N, "the hash chain breaks: this frame or the one before was edited")
	}
	f.next, f.chain = x.N+1, x.Chain
	v, err := Decode(x.Payload)
	if err != nil {
		f.addDefect("unreadable", x.N, x.N, err.Error())
		return rows
	}
	switch v := v.(type) {
	case *Entry:
		switch {
		case v.N != x.N:
			f.addDefect("order", x.N, x.N, fmt.Sprintf("its entry says %d", v.N))
		case len(f.open) >= maxOpenEntries:
			f.addDefect("order", x.N, x.N, "too many entries without an end")
		default:
			f.open[v.N] = *v
		}
	case *Completions:
		rows = f.complete(rows, v.Delivered, StateAnswered)
		rows = f.complete(rows, v.Undelivered, StateUndelivered)
	case *Gap:
		f.Gaps++
		v.N = x.N
		rows = append(rows, Row{Gap: v})
	}
	return rows
}

func (f *Replay) complete(rows []Row, ns []uint64, state State) []Row {
	for _, n := range ns {
		e, ok := f.open[n]
		if !ok { // its entry fell into a hole, or stood in a segment that is shipped and gone
			if n >= f.start {
				f.addDefect("orphan", n, n, "an end without its entry")
			}
			continue
		}
		delete(f.open, n)
		f.Counts[state]++
		rows = append(rows, Row{Entry: e, State: state})
	}
	return rows
}

// Finish concludes an incarnation that will never write again: what is still open is in doubt.
func (f *Replay) Finish() (rows []Row) {
	for _, n := range slices.Sorted(maps.Keys(f.open)) {
		f.Counts[StateInDoubt]++
		rows = append(rows, Row{Entry: f.open[n], State: StateInDoubt})
	}
	clear(f.open)
	return rows
}

// OpenEntries is how many entries have no end yet.
func (f *Replay) OpenEntries() int { return len(f.open) }

// LastRead is the last ordinal that was read.
func (f *Replay) LastRead() uint64 {
	if f.next == 0 {
		return 0
	}
	return f.next - 1
}

// FinalThrough is the last ordinal up to which everything has become final: a segment that ends there is of no more use once
// that is in the store.
func (f *Replay) FinalThrough() uint64 {
	through := f.LastRead()
	for n := range f.open {
		through = min(through, n-1)
	}
	return through
}
