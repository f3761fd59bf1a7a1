// Package gossip encodes the outcome summaries that instances send each other, and decodes them. It owns the summaries
// that wait to be sent, and nothing else: whom they go to, when, and what a received summary does is decided by its caller.
// It knows no instance, no endpoint list and no clock, does no I/O, and starts no goroutine. A Queue is for one goroutine.
//
// A message is a row of records of RecordSize bytes each, all numbers little-endian:
//
//	0  uint32   hash of the backend's id (BackendHash)
//	4  uint16   release; a higher one is cut to its lowest 16 bits
//	6  uint8    class
//	7  uint8    bit 0: failed, bit 1: the connection broke
//	8  float32  latency, in ms for each unit of work
//	12 uint16   age when the message was made, in whole ms, 65535 for all that are older
package gossip

import (
	"encoding/binary"
	"hash/fnv"
	"math"
)

// RecordSize is the length of one summary in a message, in bytes.
const RecordSize = 14

// latencyLimit (ms): a record that tells this latency or more, a negative one or none was not made by Encode.
const latencyLimit = 1e9

const (
	flagFailed           = 1 << 0
	flagConnectionBroken = 1 << 1
)

// Summary is the outcome of one attempt.
type Summary struct {
	BackendHash      uint32 // BackendHash of the backend's id: indices differ from instance to instance
	Release          int
	Class            int
	Failed           bool
	ConnectionBroken bool
	Latency          float64 // ms for each unit of work
	EndedAt          float64 // ms by the clock of the instance that holds the summary
}

// BackendHash is what a backend is called in a summary.
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

// Len is the number of summaries that wait.
func (q *Queue) Len() int { return len(q.pending) }

// Encode empties the queue into messages of at most maxBytes each, which must be RecordSize or more. The ages in them are
// those at the time now.
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

// Decode reads a message that came in at the time now. A cut record at its end and records with an impossible latency are
// left out. Backend, release and class are as the message has them: whether they exist is for the caller to check.
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
