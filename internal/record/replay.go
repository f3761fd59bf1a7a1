package record

// This file owns what a reading of the spool concludes, frame by frame, for recovery, exports and audits alike.

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

// Ordinal is the entry's, or the gap's.
func (r Row) Ordinal() uint64 {
	if r.Gap != nil {
		return r.Gap.Ordinal
	}
	return r.Entry.Ordinal
}

// The kinds of defects, as audits show them.
const (
	defectHole       = "hole"
	defectChain      = "chain"
	defectCorrupt    = "spoilt"
	defectOrder      = "order"
	defectOrphan     = "orphan"
	defectUnreadable = "unreadable"
)

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
	// maxOpenEntries bounds memory against a spool that was made up: more requests than an instance ever has under way.
	maxOpenEntries = 1 << 20
)

// Replay reads one incarnation from its first segment that is left. It must never hold more than the entries that are open,
// nor claim an answer whose end it has not read.
type Replay struct {
	header  SegmentHeader
	start   uint64 // ordinal at which reading began; completions of earlier entries are left out
	next    uint64 // ordinal that is expected; 0: nothing read yet
	chain   Digest
	open    map[uint64]Entry // read, without an end so far
	Defects []Defect
	// TornBytes were cut off at the very end.
	TornBytes int64
	// Rewritten frames came again, after a failure of the writer.
	Rewritten uint64
	Counts    [len(stateNames)]uint64 // entries, by their final state
	Gaps      uint64
}

// NewReplay starts a reading.
func NewReplay() *Replay { return &Replay{open: map[uint64]Entry{}} }

func (p *Replay) addDefect(kind string, from, to uint64, detail string) {
	if len(p.Defects) < maxDefects {
		p.Defects = append(p.Defects, Defect{kind, p.header.Segment, from, to, detail})
	}
}

// StartSegment takes a segment's header. An error says that it belongs to no reading of this incarnation.
func (p *Replay) StartSegment(header SegmentHeader) error {
	switch {
	case p.next == 0:
		p.start, p.next, p.chain = header.From, header.From, header.Chain
	case header.Instance != p.header.Instance || header.Incarnation != p.header.Incarnation:
		return fmt.Errorf("segment %d is of %s/%s, not of %s/%s: files of two incarnations stand in one directory",
			header.Segment, header.Instance, header.Incarnation, p.header.Instance, p.header.Incarnation)
	case header.Segment <= p.header.Segment:
		return fmt.Errorf("segment %d comes after segment %d", header.Segment, p.header.Segment)
	}
	p.header = header
	return nil
}

// AddCorruptBytes notes bytes that are no frame; what they held shows as a hole.
func (p *Replay) AddCorruptBytes(offset int64, bytes int64) {
	p.addDefect(defectCorrupt, p.next, p.next, fmt.Sprintf("%d bytes from byte %d on are no frame", bytes, offset))
}

// AddTornTail notes bytes at the end of the last segment that are no whole frame: a kill within a write.
func (p *Replay) AddTornTail(bytes int64) { p.TornBytes += bytes }

// Apply takes the next frame and returns what became final by it.
func (p *Replay) Apply(frame Frame) (rows []Row) {
	switch {
	case p.next == 0:
		p.addDefect(defectOrder, frame.Ordinal, frame.Ordinal, "a frame before any head")
		p.start, p.next = frame.Ordinal, frame.Ordinal
	case frame.Ordinal < p.next: // written anew after a failure
		p.Rewritten++
		return nil
	case frame.Ordinal > p.next:
		rows = append(rows, p.addHole(frame.Ordinal))
	case NextChain(p.chain, frame.Payload) != frame.Chain:
		p.addDefect(defectChain, frame.Ordinal, frame.Ordinal, "the hash chain breaks: this frame or the one before was edited")
	}
	p.next, p.chain = frame.Ordinal+1, frame.Chain
	value, err := Decode(frame.Payload)
	if err != nil {
		p.addDefect(defectUnreadable, frame.Ordinal, frame.Ordinal, err.Error())
		return rows
	}
	switch value := value.(type) {
	case *Entry:
		p.addEntry(frame.Ordinal, *value)
	case *Completions:
		rows = p.complete(rows, value.Delivered, StateAnswered)
		rows = p.complete(rows, value.Undelivered, StateUndelivered)
	case *Gap:
		p.Gaps++
		value.Ordinal = frame.Ordinal
		rows = append(rows, Row{Gap: value})
	}
	return rows
}

// addHole notes that the frames before ordinal are gone, as a defect and as a gap for the store.
func (p *Replay) addHole(ordinal uint64) Row {
	lost := ordinal - p.next
	p.addDefect(defectHole, p.next, ordinal-1, fmt.Sprintf("%d frames are gone", lost))
	gap := Gap{Ordinal: p.next, Cause: defectHole}
	gap.Counts[0] = lost // with which outcome is not known
	p.Gaps++
	return Row{Gap: &gap}
}

func (p *Replay) addEntry(ordinal uint64, entry Entry) {
	switch {
	case entry.Ordinal != ordinal:
		p.addDefect(defectOrder, ordinal, ordinal, fmt.Sprintf("its entry says %d", entry.Ordinal))
	case len(p.open) >= maxOpenEntries:
		p.addDefect(defectOrder, ordinal, ordinal, "too many entries without an end")
	default:
		p.open[entry.Ordinal] = entry
	}
}

// complete gives open entries their final state.
func (p *Replay) complete(rows []Row, ordinals []uint64, state State) []Row {
	for _, ordinal := range ordinals {
		entry, ok := p.open[ordinal]
		if !ok { // its entry fell into a hole, or was in a segment that is exported and removed
			if ordinal >= p.start {
				p.addDefect(defectOrphan, ordinal, ordinal, "an end without its entry")
			}
			continue
		}
		delete(p.open, ordinal)
		p.Counts[state]++
		rows = append(rows, Row{Entry: entry, State: state})
	}
	return rows
}

// Finish concludes an incarnation that will never write again: what is still open is in doubt.
func (p *Replay) Finish() (rows []Row) {
	for _, ordinal := range slices.Sorted(maps.Keys(p.open)) {
		p.Counts[StateInDoubt]++
		rows = append(rows, Row{Entry: p.open[ordinal], State: StateInDoubt})
	}
	clear(p.open)
	return rows
}

// OpenEntries is how many entries have no end yet.
func (p *Replay) OpenEntries() int { return len(p.open) }

// LastRead is the last ordinal that was read; 0: none.
func (p *Replay) LastRead() uint64 {
	if p.next == 0 {
		return 0
	}
	return p.next - 1
}

// FinalThrough is the last ordinal up to which everything has become final: a segment that ends there is of no more use
// once that is in the store.
func (p *Replay) FinalThrough() uint64 {
	through := p.LastRead()
	for ordinal := range p.open {
		through = min(through, ordinal-1)
	}
	return through
}
