package record

// Replay of a spool, frame by frame, as used for recovery, exports and audits.

import (
	"fmt"
	"maps"
	"slices"
)

// Row is a row for the store: an entry with its final state, or a gap.
type Row struct {
	Entry Entry
	State State
	Gap   *Gap
}

// Ordinal returns the ordinal of the entry or gap.
func (r Row) Ordinal() uint64 {
	if r.Gap != nil {
		return r.Gap.Ordinal
	}
	return r.Entry.Ordinal
}

// Kinds of defects, as shown by audits. defectHole is also stored as the cause of a gap.
const (
	defectHole       = "hole"
	defectChain      = "chain"
	defectCorrupt    = "spoilt"
	defectOrder      = "order"
	defectOrphan     = "orphan"
	defectUnreadable = "unreadable"
)

// Defect is an inconsistency in a spool.
type Defect struct {
	Kind     string // hole, chain, spoilt, order, orphan, unreadable
	Segment  uint64
	From, To uint64 // ordinals, if known
	Detail   string
}

func (d Defect) String() string {
	return fmt.Sprintf("%s in segment %d, ordinals %d to %d: %s", d.Kind, d.Segment, d.From, d.To, d.Detail)
}

const (
	// maxDefects limits how many defects are kept; a spool full of random bytes has more.
	maxDefects = 1000
	// maxOpenEntries bounds memory when reading a forged spool. It is more than an instance ever has in progress.
	maxOpenEntries = 1 << 20
)

// Replay reconstructs entries and their final states from the frames of one incarnation, beginning with its oldest
// remaining segment. It keeps only open entries in memory. An entry counts as delivered or undelivered only if its
// completion was read.
type Replay struct {
	header  SegmentHeader
	start   uint64 // first ordinal read; completions of earlier entries are ignored
	next    uint64 // expected ordinal; 0 if nothing has been read
	chain   Digest
	open    map[uint64]Entry // entries without a completion so far
	Defects []Defect
	// TornBytes counts the bytes after the last complete frame of the last segment.
	TornBytes int64
	// Rewritten counts frames that the writer wrote again after a failure.
	Rewritten uint64
	Counts    [len(stateNames)]uint64 // entries by final state
	Gaps      uint64
}

// NewReplay returns a replay of an incarnation of which nothing has been read.
func NewReplay() *Replay { return &Replay{open: map[uint64]Entry{}} }

func (p *Replay) addDefect(kind string, from, to uint64, detail string) {
	if len(p.Defects) < maxDefects {
		p.Defects = append(p.Defects, Defect{kind, p.header.Segment, from, to, detail})
	}
}

// StartSegment begins the segment with the given header. It returns an error if the segment belongs to another
// incarnation or does not follow the previous segment.
func (p *Replay) StartSegment(header SegmentHeader) error {
	switch {
	case p.next == 0:
		p.start, p.next, p.chain = header.From, header.From, header.Chain
	case header.Instance != p.header.Instance || header.Incarnation != p.header.Incarnation:
		return fmt.Errorf("segment %d belongs to %s/%s, not %s/%s: the directory holds files of two incarnations",
			header.Segment, header.Instance, header.Incarnation, p.header.Instance, p.header.Incarnation)
	case header.Segment <= p.header.Segment:
		return fmt.Errorf("segment %d comes after segment %d, want ascending numbers", header.Segment, p.header.Segment)
	}
	p.header = header
	return nil
}

// AddCorruptBytes records bytes that are not part of a valid frame. The frames lost with them show up as a hole.
func (p *Replay) AddCorruptBytes(offset int64, bytes int64) {
	p.addDefect(defectCorrupt, p.next, p.next, fmt.Sprintf("%d bytes from byte %d on are no frame", bytes, offset))
}

// AddTornTail records bytes at the end of the last segment that are not a complete frame, as left by a process that was
// killed during a write.
func (p *Replay) AddTornTail(bytes int64) { p.TornBytes += bytes }

// Apply processes the next frame and returns the rows that became final.
func (p *Replay) Apply(frame Frame) (rows []Row) {
	switch {
	case p.next == 0:
		p.addDefect(defectOrder, frame.Ordinal, frame.Ordinal, "frame before any segment header")
		p.start, p.next = frame.Ordinal, frame.Ordinal
	case frame.Ordinal < p.next: // written again after a failure
		p.Rewritten++
		return nil
	case frame.Ordinal > p.next:
		rows = append(rows, p.addHole(frame.Ordinal))
	case NextChain(p.chain, frame.Payload) != frame.Chain:
		p.addDefect(defectChain, frame.Ordinal, frame.Ordinal, "hash chain broken: this frame or the one before it was modified")
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

// addHole records the frames missing before ordinal, as a defect and as a gap for the store.
func (p *Replay) addHole(ordinal uint64) Row {
	lost := ordinal - p.next
	p.addDefect(defectHole, p.next, ordinal-1, fmt.Sprintf("%d frames are gone", lost))
	gap := Gap{Ordinal: p.next, Cause: defectHole}
	gap.Counts[0] = lost // which of them were entries, and with which outcomes, is unknown
	p.Gaps++
	return Row{Gap: &gap}
}

func (p *Replay) addEntry(ordinal uint64, entry Entry) {
	switch {
	case entry.Ordinal != ordinal:
		p.addDefect(defectOrder, ordinal, ordinal, fmt.Sprintf("the frame holds entry %d", entry.Ordinal))
	case len(p.open) >= maxOpenEntries:
		p.addDefect(defectOrder, ordinal, ordinal, "too many entries without a completion")
	default:
		p.open[entry.Ordinal] = entry
	}
}

// complete assigns a final state to open entries.
func (p *Replay) complete(rows []Row, ordinals []uint64, state State) []Row {
	for _, ordinal := range ordinals {
		entry, ok := p.open[ordinal]
		if !ok { // the entry is in a hole, or in a segment that was exported and pruned
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

// Finish ends the replay of an incarnation that will not be written again. It returns the entries that are still open,
// as in doubt.
func (p *Replay) Finish() (rows []Row) {
	for _, ordinal := range slices.Sorted(maps.Keys(p.open)) {
		p.Counts[StateInDoubt]++
		rows = append(rows, Row{Entry: p.open[ordinal], State: StateInDoubt})
	}
	clear(p.open)
	return rows
}

// OpenEntries returns the number of entries without a completion.
func (p *Replay) OpenEntries() int { return len(p.open) }

// LastRead returns the last ordinal that was read, or 0 if nothing has been read.
func (p *Replay) LastRead() uint64 {
	if p.next == 0 {
		return 0
	}
	return p.next - 1
}

// FinalThrough returns the last ordinal up to which everything is final. A segment whose ordinals are all at or below
// it can be removed once they are stored.
func (p *Replay) FinalThrough() uint64 {
	through := p.LastRead()
	for ordinal := range p.open {
		through = min(through, ordinal-1)
	}
	return through
}
