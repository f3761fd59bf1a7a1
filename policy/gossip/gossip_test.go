package gossip

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"math"
	"testing"
)

// The encoding is pinned to the byte, because instances of different versions read each other's records.
func TestRecordBytes(t *testing.T) {
	for _, c := range []struct {
		name    string
		summary Summary
		want    string
	}{
		{"plain", Summary{BackendHash: 0x01020304, Release: 2, Class: 3, Latency: 50, EndedAt: 900}, "04030201" + "0200" + "03" + "00" + "00004842" + "6400"},
		{"failed", Summary{BackendHash: 1, Release: 1, Failed: true, EndedAt: 1000}, "01000000" + "0100" + "00" + "01" + "00000000" + "0000"},
		{"connection broken", Summary{BackendHash: 1, Release: 1, ConnectionBroken: true, EndedAt: 1000}, "01000000" + "0100" + "00" + "02" + "00000000" + "0000"},
		{"failed because the connection broke", Summary{Failed: true, ConnectionBroken: true, EndedAt: 1000}, "00000000" + "0000" + "00" + "03" + "00000000" + "0000"},
		{"release of more than 16 bits", Summary{Release: 1<<30 + 7, EndedAt: 1000}, "00000000" + "0700" + "00" + "00" + "00000000" + "0000"},
		{"ended after the time of encoding", Summary{EndedAt: 2000}, "00000000" + "0000" + "00" + "00" + "00000000" + "0000"},
		{"older than the maximum age", Summary{EndedAt: -1e6}, "00000000" + "0000" + "00" + "00" + "00000000" + "ffff"},
		{"age truncated to whole milliseconds", Summary{EndedAt: 990.1}, "00000000" + "0000" + "00" + "00" + "00000000" + "0900"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var queue Queue
			queue.Add(c.summary)
			messages := queue.Encode(1000, RecordSize)
			if len(messages) != 1 || hex.EncodeToString(messages[0]) != c.want {
				t.Errorf("messages = %x, want one message %s", messages, c.want)
			}
		})
	}
}

func TestBackendHash(t *testing.T) {
	// Published test vectors of 32-bit FNV-1a.
	for id, want := range map[string]uint32{"": 0x811c9dc5, "a": 0xe40c292c, "foobar": 0xbf9cf968} {
		if got := BackendHash(id); got != want {
			t.Errorf("BackendHash(%q) = %#x, want %#x", id, got, want)
		}
	}
}

// Decoding returns the encoded summaries in order, apart from rounding ages to whole milliseconds and latencies to
// single precision.
func TestRoundTrip(t *testing.T) {
	for _, c := range []struct {
		name            string
		count, maxBytes int
		wantMessages    []int // records in each
	}{
		{"empty queue", 0, 250, nil},
		{"one", 1, 250, []int{1}},
		{"a full message", 17, 250, []int{17}},
		{"one more than a full message", 18, 250, []int{17, 1}},
		{"three messages", 40, 250, []int{17, 17, 6}},
		{"one record for each message", 3, RecordSize, []int{1, 1, 1}},
		{"one byte short of two records", 2, 2*RecordSize - 1, []int{1, 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var queue Queue
			want := summariesOf(c.count)
			for _, summary := range want {
				queue.Add(summary)
			}
			if queue.Len() != c.count {
				t.Errorf("Len() before Encode = %d, want %d", queue.Len(), c.count)
			}
			messages := queue.Encode(1000, c.maxBytes)
			sizes, got := decodeAll(t, messages, c.maxBytes)
			if fmt.Sprint(sizes) != fmt.Sprint(c.wantMessages) {
				t.Errorf("records per message = %v, want %v", sizes, c.wantMessages)
			}
			if fmt.Sprint(got) != fmt.Sprint(want) {
				t.Errorf("decoded summaries = %v, want %v", got, want)
			}
			if queue.Len() != 0 || queue.Encode(1000, c.maxBytes) != nil {
				t.Errorf("Len() after Encode = %d, want 0 and no further messages", queue.Len())
			}
		})
	}
}

// decodeAll decodes messages of at most maxBytes each and returns the number of records in each message and all
// summaries.
func decodeAll(t *testing.T, messages [][]byte, maxBytes int) (sizes []int, summaries []Summary) {
	t.Helper()
	for _, message := range messages {
		sizes = append(sizes, len(message)/RecordSize)
		summaries = append(summaries, Decode(1000, message)...)
		if len(message) > maxBytes || len(message)%RecordSize != 0 {
			t.Errorf("message of %d bytes, want a multiple of %d and at most %d", len(message), RecordSize, maxBytes)
		}
	}
	return sizes, summaries
}

// summariesOf returns summaries that differ in every field and survive encoding without loss.
func summariesOf(count int) (summaries []Summary) {
	for i := range count {
		summaries = append(summaries, Summary{
			BackendHash: uint32(i) * 7919, Release: i, Class: i % 4, Failed: i%2 == 0, ConnectionBroken: i%4 == 0,
			Latency: float64(i) * 0.5, EndedAt: float64(1000 - i),
		})
	}
	return summaries
}

// Invalid and truncated records are skipped, and the valid records around them are still decoded.
func TestDecodeDamaged(t *testing.T) {
	var queue Queue
	for i := range 3 {
		queue.Add(Summary{Release: i, Latency: 10, EndedAt: 1000})
	}
	whole := queue.Encode(1000, 250)[0]
	withLatency := func(latency float32) []byte {
		message := bytes.Clone(whole)
		bits := math.Float32bits(latency)
		message[RecordSize+8], message[RecordSize+9], message[RecordSize+10], message[RecordSize+11] = byte(bits), byte(bits>>8), byte(bits>>16), byte(bits>>24)
		return message
	}
	for _, c := range []struct {
		name    string
		message []byte
		want    []int // releases of the summaries
	}{
		{"whole", whole, []int{0, 1, 2}},
		{"nil", nil, nil},
		{"empty", []byte{}, nil},
		{"truncated in the first record", whole[:RecordSize-1], nil},
		{"truncated after the first record", whole[:RecordSize], []int{0}},
		{"truncated in the last record", whole[:len(whole)-1], []int{0, 1}},
		{"bytes after the last record", append(bytes.Clone(whole), 1, 2, 3), []int{0, 1, 2}},
		{"negative latency", withLatency(-1), []int{0, 2}},
		{"latency not a number", withLatency(float32(math.NaN())), []int{0, 2}},
		{"infinite latency", withLatency(float32(math.Inf(1))), []int{0, 2}},
		{"latency at the limit", withLatency(1e9), []int{0, 2}},
		{"latency just below the limit", withLatency(9.99e8), []int{0, 1, 2}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var got []int
			for _, summary := range Decode(1000, c.message) {
				got = append(got, summary.Release)
			}
			if fmt.Sprint(got) != fmt.Sprint(c.want) {
				t.Errorf("releases of the decoded summaries = %v, want %v", got, c.want)
			}
		})
	}
}
