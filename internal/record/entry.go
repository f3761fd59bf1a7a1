// Package record holds the rules of the durable record of responses: the stored types and their encoding, when entries
// are written and synced, how a spool is replayed, and when batches are exported to the store. It performs no I/O,
// reads no clock and starts no goroutines. Response bodies and idempotency keys are recorded only as digests.
package record

// Recorded types: entries, gaps, completions and segment headers.

import "crypto/sha256"

// nameAt returns the name of a number. Numbers beyond the table get its last name.
func nameAt(names []string, number int) string { return names[min(number, len(names)-1)] }

// Outcome is the kind of response that the client was sent.
type Outcome uint8

// Outcomes. The zero value means that the outcome is unknown.
const (
	OutcomeServed Outcome = iota + 1
	OutcomeRejected
	OutcomeFailed
)

// outcomeNames are the stored names; they must not change.
var outcomeNames = [...]string{"", "settled", "declined", "voided"}

func (o Outcome) String() string { return nameAt(outcomeNames[:], int(o)) }

// State is how far the delivery of a response got.
type State uint8

// States. StateOpen applies only to entries in memory or in the spool; the other states are stored.
const (
	StateOpen        State = iota // the entry is durable, the response is being sent
	StateAnswered                 // the last byte of the response was written
	StateUndelivered              // the response could not be written completely because the client had gone
	StateInDoubt                  // no completion was recorded, as after a crash: all, part or none of the response was sent
)

// stateNames are the stored names; they must not change.
var stateNames = [...]string{"open", "given", "unheard", "in doubt"}

func (s State) String() string { return nameAt(stateNames[:], int(s)) }

// Digest is the first half of a SHA-256 hash. The zero value means that there was nothing to hash.
type Digest [16]byte

// DigestOf returns the digest of content, or the zero value if content is empty.
func DigestOf(content []byte) (digest Digest) {
	if len(content) > 0 {
		whole := sha256.Sum256(content)
		copy(digest[:], whole[:])
	}
	return digest
}

// Entry records the response to one request. Times are Unix ms. Entries are stored with their fields in this order.
type Entry struct {
	_          struct{} `cbor:",toarray"`
	Ordinal    uint64   // unique within the incarnation, starting at 1
	RequestID  string
	Class      string
	Outcome    Outcome
	Reason     string
	Release    int
	Backend    string
	Attempts   int
	ArrivedAt  float64
	AnsweredAt float64
	BodyDigest Digest // of the response body
	KeyDigest  Digest // of the idempotency key
}

// Gap counts responses that were sent without being recorded, with the period and the cause. Times are in ms. Gaps are
// stored with their fields in this order.
type Gap struct {
	_        struct{} `cbor:",toarray"`
	Ordinal  uint64
	Counts   [len(outcomeNames)]uint64 // by outcome
	From, To float64
	Cause    string // a single word
}

// Total returns the number of responses that the gap counts.
func (g Gap) Total() (n uint64) {
	for _, count := range g.Counts {
		n += count
	}
	return n
}

// Completions lists entries, by ordinal, whose responses have ended: delivered completely, or not. It is stored with
// its fields in this order.
type Completions struct {
	_           struct{} `cbor:",toarray"`
	Delivered   []uint64
	Undelivered []uint64
}

// SegmentHeader is the first frame of each segment. Headers are stored with their fields in this order.
type SegmentHeader struct {
	_           struct{} `cbor:",toarray"`
	Instance    string
	Incarnation string
	Segment     uint64
	From        uint64 // ordinal of the segment's first frame after the header
	Chain       Digest // hash chain after the frame that precedes From
}
