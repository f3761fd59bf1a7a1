// Package record decides what the store of record holds: what an entry is, when it is written, what a reading of the
// spool concludes, when a batch goes to the store and what a failure of either means. It must never do I/O, read a
// clock, start a goroutine or see a body, a key or a secret: digests are all that comes here.
package record

// This file owns entries and their coding: what one frame of the spool holds.

import (
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"sync"

	"github.com/fxamacker/cbor/v2"
)

// Outcome is what a client was told.
type Outcome uint8

const (
	OutcomeServed Outcome = iota + 1
	OutcomeRejected
	OutcomeFailed
)

// OutcomeNames are their names, by number.
var OutcomeNames = [...]string{"", "settled", "declined", "voided"}

func (o Outcome) String() string { return OutcomeNames[min(int(o), len(OutcomeNames)-1)] }

// State is how far an entry got.
type State uint8

const (
	StateOpen        State = iota // durable, its answer under way
	StateAnswered                 // the answer's last byte was written
	StateUndelivered              // the answer could not be written whole: the client had gone
	StateInDoubt                  // a kill came between the two steps: the answer may have been given, or a part, or nothing
)

// StateNames are their names, by number.
var StateNames = [...]string{"open", "given", "unheard", "in doubt"}

func (s State) String() string { return StateNames[min(int(s), len(StateNames)-1)] }

// Digest is the first half of a SHA-256; all zero: there was nothing to digest.
type Digest [16]byte

// DigestOf is a digest of what is not empty.
func DigestOf(b []byte) (d Digest) {
	if len(b) > 0 {
		whole := sha256.Sum256(b)
		copy(d[:], whole[:])
	}
	return d
}

// Entry is one txn's end. Times are Unix ms.
type Entry struct {
	_          struct{} `cbor:",toarray"`
	N          uint64   // ordinal in its incarnation
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
	KeyDigest  Digest
}

// Gap stands where answers were given and could not be recorded: how many, over which span, why.
type Gap struct {
	_        struct{} `cbor:",toarray"`
	N        uint64
	Counts   [len(OutcomeNames)]uint64 // by outcome
	From, To float64
	Cause    string // one word
}

// Total is how many answers it stands for.
func (g Gap) Total() (n uint64) {
	for _, c := range g.Counts {
		n += c
	}
	return n
}

// Completions notes the ends of answers: whole, or not.
type Completions struct {
	_           struct{} `cbor:",toarray"`
	Delivered   []uint64
	Undelivered []uint64
}

// SegmentHeader opens each segment.
type SegmentHeader struct {
	_           struct{} `cbor:",toarray"`
	Instance    string
	Incarnation string
	Segment     uint64
	From        uint64 // ordinal of the first frame behind it
	Chain       Digest // of the frame before From
}

// Kind is what a frame holds.
type Kind uint8

const (
	KindHeader Kind = iota + 1
	KindEntry
	KindCompletions
	KindGap
)

// A frame: magic (4), length of the payload (4), CRC-32C of ordinal, chain and payload (4), ordinal (8), chain (16), payload:
// kind (1) and CBOR. Numbers are little-endian. The chain is the digest of the chain before and the payload; a head's is
// the chain that it continues.
const (
	FrameOverhead = 36
	// MaxPayload bounds a payload: what claims more is no frame.
	MaxPayload = 1 << 16
)

var (
	magic      = [4]byte{0x0f, 'o', 'x', 0xf1}
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
	// Made at the first use: an agent that records nothing pays nothing for it.
	decodeMode = sync.OnceValue(func() cbor.DecMode {
		m, err := cbor.DecOptions{MaxArrayElements: 8192, MaxNestedLevels: 4, MaxMapPairs: 16}.DecMode()
		if err != nil {
			panic(err)
		}
		return m
	})
)

// NextChain is the chain after a frame with this payload.
func NextChain(before Digest, payload []byte) (d Digest) {
	h := sha256.New()
	h.Write(before[:])
	h.Write(payload)
	copy(d[:], h.Sum(nil))
	return d
}

// AppendFrame adds a frame to b. The payload must not be longer than FrameMost.
func AppendFrame(b []byte, n uint64, chain Digest, payload []byte) []byte {
	at := len(b)
	b = append(b, magic[:]...)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.LittleEndian.AppendUint32(b, 0)
	b = binary.LittleEndian.AppendUint64(b, n)
	b = append(append(b, chain[:]...), payload...)
	binary.LittleEndian.PutUint32(b[at+8:], crc32.Checksum(b[at+12:], castagnoli))
	return b
}

// Frame is one frame as read; its payload is a part of what it was read from.
type Frame struct {
	N       uint64
	Chain   Digest
	Payload []byte
}

var (
	// ErrShortFrame: what is there may be the beginning of a frame.
	ErrShortFrame = errors.New("a frame that ends early")
	// ErrCorruptFrame: what is there is no frame.
	ErrCorruptFrame = errors.New("no frame, or a spoilt one")
)

// ParseFrame reads the frame at the beginning of b and tells its length. Errors are ErrShort and ErrSpoilt.
func ParseFrame(b []byte) (f Frame, size int, err error) {
	if len(b) < len(magic) {
		return f, 0, ErrShortFrame
	}
	if [4]byte(b) != magic {
		return f, 0, ErrCorruptFrame
	}
	if len(b) < FrameOverhead {
		return f, 0, ErrShortFrame
	}
	length := binary.LittleEndian.Uint32(b[4:])
	if length == 0 || length > MaxPayload {
		return f, 0, ErrCorruptFrame
	}
	size = FrameOverhead + int(length)
	if len(b) < size {
		return f, 0, ErrShortFrame
	}
	if crc32.Checksum(b[12:size], castagnoli) != binary.LittleEndian.Uint32(b[8:]) {
		return f, 0, ErrCorruptFrame
	}
	f.N = binary.LittleEndian.Uint64(b[12:])
	copy(f.Chain[:], b[20:])
	f.Payload = b[FrameOverhead:size]
	return f, size, nil
}

// FindFrame is where the next whole frame begins in b, or -1; it looks at everything before the last frame that could fit.
func FindFrame(b []byte) int {
	for at := 0; at+len(magic) <= len(b); at++ {
		if [4]byte(b[at:]) == magic {
			if _, _, err := ParseFrame(b[at:]); err == nil {
				return at
			}
		}
	}
	return -1
}

// Encode makes a payload.
func Encode(kind Kind, v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil { // only types of this file come here, and they can be encoded
		panic(fmt.Sprintf("record: %T can't be encoded: %v", v, err))
	}
	return append([]byte{byte(kind)}, b...)
}

// Decode reads a payload into one of Head, Entry, Done and Gap.
func Decode(payload []byte) (v any, err error) {
	if len(payload) == 0 {
		return nil, ErrCorruptFrame
	}
	read := func(to any) error { return decodeMode().Unmarshal(payload[1:], to) }
	switch Kind(payload[0]) {
	case KindHeader:
		var h SegmentHeader
		err, v = read(&h), &h
	case KindEntry:
		var e Entry
		err, v = read(&e), &e
	case KindCompletions:
		var d Completions
		err, v = read(&d), &d
	case KindGap:
		var g Gap
		err, v = read(&g), &g
	default:
		return nil, fmt.Errorf("%w: kind %d", ErrCorruptFrame, payload[0])
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorruptFrame, err)
	}
	return v, nil
}
