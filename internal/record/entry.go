// Package record decides what the store of record holds: what an entry is, when it is written, what a reading of the
// spool concludes, when a batch goes to the store and what a failure of either means. It must never do I/O, read a
// clock, start a goroutine or see a body, a key or a secret: digests are all that comes here.
package record

// This file owns what is recorded: entries, gaps, completions and the header of a segment.

import "crypto/sha256"

// nameAt is a number's name in a table. A number that the table does not know has the last name.
func nameAt(names []string, number int) string { return names[min(number, len(names)-1)] }

// Outcome is what a client was answered.
type Outcome uint8

// The outcomes. Zero stands for an outcome that is not known.
const (
	OutcomeServed Outcome = iota + 1
	OutcomeRejected
	OutcomeFailed
)

// outcomeNames are stored.
var outcomeNames = [...]string{"", "settled", "declined", "voided"}

func (o Outcome) String() string { return nameAt(outcomeNames[:], int(o)) }

// State is how far an entry got.
type State uint8

// The states. StateOpen is of entries that wait in memory or in the spool, the others are stored.
const (
	StateOpen        State = iota // durable, its answer under way
	StateAnswered                 // the answer's last byte was written
	StateUndelivered              // the answer could not be written whole: the client had gone
	StateInDoubt                  // a kill came between the two steps: the answer may have been given, or a part, or nothing
)

// stateNames are stored.
var stateNames = [...]string{"open", "given", "unheard", "in doubt"}

func (s State) String() string { return nameAt(stateNames[:], int(s)) }

// Digest is the first half of a SHA-256; all zero: there was nothing to digest.
type Digest [16]byte

// DigestOf is a digest of what is not empty.
func DigestOf(content []byte) (digest Digest) {
	if len(content) > 0 {
		whole := sha256.Sum256(content)
		copy(digest[:], whole[:])
	}
	return digest
}

// Entry is how one request was answered. Times are Unix ms. The order of the fields is the stored one.
type Entry struct {
	_          struct{} `cbor:",toarray"`
	Ordinal    uint64   // in its incarnation, from 1 on
	RequestID  string
	Class      string
	Outcome    Outcome
	Reason     string
	Release    int
	Backend    string
	Attempts   int
	ArrivedAt  float64
	AnsweredAt float64
	BodyDigest Digest
	KeyDigest  Digest // of the idempotency key
}

// Gap takes the place of entries where answers were given and could not be recorded: how many, over which span, why. Times
// are in ms. The order of the fields is the stored one.
type Gap struct {
	_        struct{} `cbor:",toarray"`
	Ordinal  uint64
	Counts   [len(outcomeNames)]uint64 // by outcome
	From, To float64
	Cause    string // one word
}

// Total is how many answers it counts.
func (g Gap) Total() (n uint64) {
	for _, count := range g.Counts {
		n += count
	}
	return n
}

// Completions notes the ends of answers by the ordinals of their entries: delivered whole, or not. The order of the fields
// is the stored one.
type Completions struct {
	_           struct{} `cbor:",toarray"`
	Delivered   []uint64
	Undelivered []uint64
}

// SegmentHeader opens each segment. The order of the fields is the stored one.
type SegmentHeader struct {
	_           struct{} `cbor:",toarray"`
	Instance    string
	Incarnation string
	Segment     uint64
	From        uint64 // ordinal of the first frame behind it
	Chain       Digest // of the frame before From
}
