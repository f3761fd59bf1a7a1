package record

// This file owns the coding of frames: the bytes of what is recorded.

import (
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"sync"

	"github.com/fxamacker/cbor/v2"
)

// Kind is what a frame holds.
type Kind uint8

// The kinds, as stored.
const (
	KindHeader Kind = iota + 1
	KindEntry
	KindCompletions
	KindGap
)

// A frame has these parts, with their bytes: magic (4), length of the payload (4), CRC-32C of ordinal, chain and payload
// (4), ordinal (8), chain (16), and the payload: kind (1) and CBOR. Numbers are little-endian. The chain is the digest of
// the chain before and the payload; a header's is the chain that it continues.
const (
	lengthOffset   = 4
	checksumOffset = 8
	ordinalOffset  = 12 // from here on the checksum holds
	chainOffset    = 20

	// FrameOverhead is how many bytes a frame has before its payload.
	FrameOverhead = 36
	// MaxPayload bounds a payload (bytes): what claims more is no frame.
	MaxPayload = 1 << 16
)

var (
	magic      = [4]byte{0x0f, 'o', 'x', 0xf1}
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
	// Made at the first use: an instance that records nothing pays nothing for it.
	decodeMode = sync.OnceValue(func() cbor.DecMode {
		mode, err := cbor.DecOptions{MaxArrayElements: 8192, MaxNestedLevels: 4, MaxMapPairs: 16}.DecMode()
		if err != nil { // the options are constant
			panic(err)
		}
		return mode
	})
)

// NextChain is the hash chain after a frame with this payload.
func NextChain(before Digest, payload []byte) (chain Digest) {
	hash := sha256.New()
	hash.Write(before[:])
	hash.Write(payload)
	copy(chain[:], hash.Sum(nil))
	return chain
}

// AppendFrame adds a frame to b. The payload must not be longer than MaxPayload.
func AppendFrame(b []byte, ordinal uint64, chain Digest, payload []byte) []byte {
	start := len(b)
	b = append(b, magic[:]...)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.LittleEndian.AppendUint32(b, 0) // the checksum, once the rest is there
	b = binary.LittleEndian.AppendUint64(b, ordinal)
	b = append(append(b, chain[:]...), payload...)
	checksum := crc32.Checksum(b[start+ordinalOffset:], castagnoli)
	binary.LittleEndian.PutUint32(b[start+checksumOffset:], checksum)
	return b
}

// Frame is one frame as read; its payload is a part of what it was read from.
type Frame struct {
	Ordinal uint64
	Chain   Digest
	Payload []byte
}

var (
	// ErrShortFrame says that what is there may be the beginning of a frame.
	ErrShortFrame = errors.New("a frame that ends early")
	// ErrCorruptFrame says that what is there is no frame.
	ErrCorruptFrame = errors.New("no frame, or a spoilt one")
)

// ParseFrame reads the frame at the beginning of b and tells its length. Errors are ErrShortFrame and ErrCorruptFrame.
func ParseFrame(b []byte) (frame Frame, size int, err error) {
	if len(b) < len(magic) {
		return frame, 0, ErrShortFrame
	}
	if [4]byte(b) != magic {
		return frame, 0, ErrCorruptFrame
	}
	if len(b) < FrameOverhead {
		return frame, 0, ErrShortFrame
	}
	length := binary.LittleEndian.Uint32(b[lengthOffset:])
	if length == 0 || length > MaxPayload {
		return frame, 0, ErrCorruptFrame
	}
	size = FrameOverhead + int(length)
	if len(b) < size {
		return frame, 0, ErrShortFrame
	}
	if crc32.Checksum(b[ordinalOffset:size], castagnoli) != binary.LittleEndian.Uint32(b[checksumOffset:]) {
		return frame, 0, ErrCorruptFrame
	}
	frame.Ordinal = binary.LittleEndian.Uint64(b[ordinalOffset:])
	copy(frame.Chain[:], b[chainOffset:])
	frame.Payload = b[FrameOverhead:size]
	return frame, size, nil
}

// Encode makes a payload of a SegmentHeader, an Entry, Completions or a Gap.
func Encode(kind Kind, value any) []byte {
	text, err := cbor.Marshal(value)
	if err != nil { // only the types of entry.go come here, and they can be encoded
		panic(fmt.Sprintf("record: %T can't be encoded: %v", value, err))
	}
	return append([]byte{byte(kind)}, text...)
}

// Decode reads a payload into a *SegmentHeader, *Entry, *Completions or *Gap. Errors wrap ErrCorruptFrame.
func Decode(payload []byte) (value any, err error) {
	if len(payload) == 0 {
		return nil, ErrCorruptFrame
	}
	switch Kind(payload[0]) {
	case KindHeader:
		value = &SegmentHeader{}
	case KindEntry:
		value = &Entry{}
	case KindCompletions:
		value = &Completions{}
	case KindGap:
		value = &Gap{}
	default:
		return nil, fmt.Errorf("%w: kind %d", ErrCorruptFrame, payload[0])
	}
	if err := decodeMode().Unmarshal(payload[1:], value); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorruptFrame, err)
	}
	return value, nil
}
