// Package gossip encodes and decodes the outcome summaries that instances send each other, and queues summaries until
// they are sent. Which instances receive them, when they are sent and how received summaries are used is up to the
// caller. The package does not depend on instances, the endpoint list or a clock, does no I/O and starts no
// goroutines. A Queue is not safe for concurrent use.
//
// A message is a sequence of records of RecordSize bytes each. All numbers are little-endian:
//
//	0  uint32   hash of the backend's ID (BackendHash)
//	4  uint16   release, truncated to its lowest 16 bits
//	6  uint8    class
//	7  uint8    bit 0: failed, bit 1: the connection broke
//	8  float32  latency in ms per unit of work
//	12 uint16   age in whole ms at the time of encoding, at most 65535
package gossip

import (
	"encoding/binary"
	"hash/fnv"
	"math"
)

// RecordSize is the encoded length of one summary, in bytes.
const RecordSize = 14

// latencyLimit (ms) bounds the latencies that Decode accepts. No attempt has a latency that is this high, negative or
// not a number, so a record with one is damaged.
const latencyLimit = 1e9

const (
	flagFailed           = 1 << 0
	flagConnectionBroken = 1 << 1
)

// Summary is the outcome of one attempt.
type Summary struct {
	BackendHash      uint32 // BackendHash of the backend's ID, as indices differ between instances
	Release          int    // only the lowest 16 bits are encoded
	Class            int
	Failed           bool
	ConnectionBroken bool
	Latency          float64 // ms per unit of work
	EndedAt          float64 // ms, by the clock of the instance that holds the summary
}

// BackendHash returns the identifier of a backend in summaries: the 32-bit FNV-1a hash of its ID.
func BackendHash(id string) uint32 {
	hash := fnv.New32a()
	hash.Write([]byte(id))
	return hash.Sum32()
}

// Queue holds summaries until they are sent, in the order in which they were added. The zero value is an empty queue.
type Queue struct {
	pending []Summary
}

// Add appends a summary.
func (q *Queue) Add(summary Summary) { q.pending = append(q.pending, summary) }

// Len returns the number of queued summaries.
func (q *Queue) Len() int { return len(q.pending) }

// Encode removes all summaries from the queue and encodes them into messages of at most maxBytes each. maxBytes must
// be at least RecordSize. Ages are relative to now.
func (q *Queue) Encode(now float64, maxBytes int) (messages [][]byte) {
	perMessage := maxBytes / RecordSize
	for i, summary := range q.pending {
		if i%perMessage == 0 {
			messages = append(messages, nil)
		}
		last := len(messages) - 1
		messages[last] = appendRecord(messages[last], now, summary)
	}
	q.pending = nil
	return messages
}

func appendRecord(message []byte, now float64, summary Summary) []byte {
	var flags byte
	if summary.Failed {
		flags |= flagFailed
	}
	if summary.ConnectionBroken {
		flags |= flagConnectionBroken
	}
	age := min(max(now-summary.EndedAt, 0), math.MaxUint16)
	message = binary.LittleEndian.AppendUint32(message, summary.BackendHash)
	message = binary.LittleEndian.AppendUint16(message, uint16(summary.Release))
	message = append(message, byte(summary.Class), flags)
	message = binary.LittleEndian.AppendUint32(message, math.Float32bits(float32(summary.Latency)))
	return binary.LittleEndian.AppendUint16(message, uint16(age))
}

// Decode reads a message received at the time now. It skips a truncated record at the end and records with an
// impossible latency. It does not check whether the backend, release and class exist; the caller has to.
func Decode(now float64, message []byte) (summaries []Summary) {
	for ; len(message) >= RecordSize; message = message[RecordSize:] {
		summary := decodeRecord(now, message)
		if summary.Latency >= 0 && summary.Latency < latencyLimit {
			summaries = append(summaries, summary)
		}
	}
	return summaries
}

func decodeRecord(now float64, record []byte) Summary {
	flags := record[7]
	age := float64(binary.LittleEndian.Uint16(record[12:]))
	return Summary{
		BackendHash:      binary.LittleEndian.Uint32(record),
		Release:          int(binary.LittleEndian.Uint16(record[4:])),
		Class:            int(record[6]),
		Failed:           flags&flagFailed != 0,
		ConnectionBroken: flags&flagConnectionBroken != 0,
		Latency:          float64(math.Float32frombits(binary.LittleEndian.Uint32(record[8:]))),
		EndedAt:          now - age,
	}
}
