package record

// Encoding and decoding of frames.

import (
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"sync"

	"github.com/fxamacker/cbor/v2"
)

// Kind is the type of value in a frame's payload.
type Kind uint8

// Kinds, as stored.
const (
	KindHeader Kind = iota + 1
	KindEntry
	KindCompletions
	KindGap
)

// Layout of a frame, with sizes in bytes: magic (4), payload length (4), CRC-32C of ordinal, chain and payload (4),
// ordinal (8), chain (16), payload: kind (1) and CBOR. Integers are little-endian. The chain is the digest of the
// preceding chain and the payload, except in a segment header, which carries the chain that it continues.
const (
	lengthOffset   = 4
	checksumOffset = 8
	ordinalOffset  = 12 // the checksum covers everything from here on
	chainOffset    = 20

	// FrameOverhead is the number of bytes of a frame that precede its payload.
	FrameOverhead = 36
	// MaxPayload is the maximum length of a payload in bytes; a frame that claims more is corrupt.
	MaxPayload = 1 << 16
)

var (
	magic      = [4]byte{0x0f, 'o', 'x', 0xf1}
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
	// decodeMode is created on first use, so that instances that don't record don't pay for it.
	decodeMode = sync.OnceValue(func() cbor.DecMode {
		mode, err := cbor.DecOptions{MaxArrayElements: 8192, MaxNestedLevels: 4, MaxMapPairs: 16}.DecMode()
		if err != nil { // can't happen, the options are constant
			panic(err)
		}
		return mode
	})
)

// NextChain returns the hash chain after a frame with the given payload.
func NextChain(before Digest, payload []byte) (chain Digest) {
	hash := sha256.New()
	hash.Write(before[:])
	hash.Write(payload)
	copy(chain[:], hash.Sum(nil))
	return chain
}

// AppendFrame appends a frame to b. The payload must not be empty or longer than MaxPayload.
func AppendFrame(b []byte, ordinal uint64, chain Digest, payload []byte) []byte {
	start := len(b)
	b = append(b, magic[:]...)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.LittleEndian.AppendUint32(b, 0) // the checksum, set below
	b = binary.LittleEndian.AppendUint64(b, ordinal)
	b = append(append(b, chain[:]...), payload...)
	checksum := crc32.Checksum(b[start+ordinalOffset:], castagnoli)
	binary.LittleEndian.PutUint32(b[start+checksumOffset:], checksum)
	return b
}

// Frame is a decoded frame. Its payload aliases the buffer from which it was parsed.
type Frame struct {
	Ordinal uint64
	Chain   Digest
	Payload []byte
}

var (
	// ErrShortFrame is returned for bytes that may be the beginning of a frame.
	ErrShortFrame = errors.New("truncated frame")
	// ErrCorruptFrame is returned for bytes that are not a valid frame.
	ErrCorruptFrame = errors.New("corrupt frame")
)

// ParseFrame parses the frame at the beginning of b and returns its size in bytes. The error is ErrShortFrame or
// ErrCorruptFrame.
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

// Encode returns the payload for a SegmentHeader, an Entry, Completions or a Gap.
func Encode(kind Kind, value any) []byte {
	encoded, err := cbor.Marshal(value)
	if err != nil { // can't happen, all types of entry.go can be encoded
		panic(fmt.Sprintf("record: encode %T: %v", value, err))
	}
	return append([]byte{byte(kind)}, encoded...)
}

// Decode decodes a payload into a *SegmentHeader, *Entry, *Completions or *Gap. Errors wrap ErrCorruptFrame.
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
		return nil, fmt.Errorf("%w: unknown kind %d", ErrCorruptFrame, payload[0])
	}
	if err := decodeMode().Unmarshal(payload[1:], value); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorruptFrame, err)
	}
	return value, nil
}
