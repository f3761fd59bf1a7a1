// Package replay compares the effects of a deterministic program byte for byte with a recording of an earlier
// version.
//
// A recording is a small text file. For each block of a thousand effects it holds a hash of these effects and of the
// events that caused them, and one check byte per effect, which locates the first difference. A recording is
// rewritten only by a test run with -record. A rewritten recording belongs in a commit that changes decisions on
// purpose and describes the change.
package replay

import (
	"bufio"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"flag"
	"fmt"
	"hash"
	"hash/fnv"
	"os"
	"strings"
	"testing"
)

// effectsPerBlock is the number of effects that a hash covers.
const effectsPerBlock = 1000

// hashSize is the number of bytes of a block's SHA-256 that are kept.
const hashSize = 12

// record makes Close write the recording instead of comparing with it.
var record = flag.Bool("record", false, "write the recordings of replay tests instead of comparing with them")

// Recorder compares a stream of events and effects with the recording in a file. Only the goroutine of its test may
// use it.
type Recorder struct {
	t        testing.TB
	path     string
	recorded []block   // blocks read from the file
	written  []block   // completed blocks of this stream
	current  block     // block in progress
	hash     hash.Hash // over the events and effects of current
	event    string    // the latest event
	events   int
	effects  int
	differs  bool
}

// block is one line of a recording. It covers effectsPerBlock effects, or fewer at the end of the stream.
type block struct {
	hash       string // in hexadecimal
	checkBytes []byte // one per effect
}

// Open begins a stream. It reads the recording from path, and fails the test if that is impossible; if the test runs
// with -record, Close writes the recording to path instead.
func Open(t testing.TB, path string) *Recorder {
	t.Helper()
	r := &Recorder{t: t, path: path, hash: sha256.New()}
	if *record {
		return r
	}
	file, err := os.Open(path)
	if err != nil {
		t.Fatalf("open recording: %v", err)
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		sum, encoded, found := strings.Cut(lines.Text(), " ")
		if !found {
			t.Fatalf("%s: line %q, want a hash and check bytes", path, lines.Text())
		}
		checks, err := base64.StdEncoding.DecodeString(encoded)
		if err != nil {
			t.Fatalf("%s: check bytes %q: %v", path, encoded, err)
		}
		r.recorded = append(r.recorded, block{hash: sum, checkBytes: checks})
	}
	if err := lines.Err(); err != nil {
		t.Fatalf("read recording %s: %v", path, err)
	}
	return r
}

// Event sets the event that causes the effects after it.
func (r *Recorder) Event(text string) {
	r.events++
	r.event = text
	r.hashText(text)
}

// Effect adds an effect of the latest event. The test fails at the first effect that differs from the recording.
func (r *Recorder) Effect(text string) {
	if r.differs {
		return
	}
	r.hashText(text)
	check := checkByte(text)
	matches := *record || r.matches(check)
	r.current.checkBytes = append(r.current.checkBytes, check)
	r.effects++
	if !matches {
		r.fail(text)
		return
	}
	if len(r.current.checkBytes) == effectsPerBlock {
		r.endBlock()
	}
}

// Differs reports whether the test has already failed, in which case the rest of the stream need not be played.
func (r *Recorder) Differs() bool { return r.differs }

// Close ends the stream and compares the last block. The test fails if the recording has further effects.
func (r *Recorder) Close() {
	r.t.Helper()
	if r.differs {
		return
	}
	if len(r.current.checkBytes) > 0 {
		r.endBlock()
	}
	if *record {
		r.write()
	} else if !r.differs && len(r.written) != len(r.recorded) {
		r.t.Errorf("%s: the stream ends after %d effects, the recording has more", r.path, r.effects)
	}
	r.t.Logf("%s: %d events, %d effects, differences: %v", r.path, r.events, r.effects, r.differs)
}

// hashText adds a line to the hash of the current block.
func (r *Recorder) hashText(text string) {
	r.hash.Write([]byte(text))
	r.hash.Write([]byte{'\n'})
}

// matches reports whether the recording has this check byte for the next effect.
func (r *Recorder) matches(check byte) bool {
	number, effect := len(r.written), len(r.current.checkBytes)
	if number >= len(r.recorded) {
		return false
	}
	recorded := r.recorded[number].checkBytes
	return effect < len(recorded) && recorded[effect] == check
}

// fail fails the test at its first differing effect.
func (r *Recorder) fail(text string) {
	r.differs = true
	r.t.Errorf("%s: effect %d differs from the recording: %s\nits event, number %d: %s", r.path, r.effects, text, r.events, r.event)
}

// endBlock ends the current block and compares its hash, which also covers the events, with the recorded one.
func (r *Recorder) endBlock() {
	r.current.hash = hex.EncodeToString(r.hash.Sum(nil)[:hashSize])
	r.hash.Reset()
	if number := len(r.written); !*record && r.recorded[number].hash != r.current.hash {
		r.differs = true
		r.t.Errorf("%s: effects up to %d, or their events, differ from the recording; last event: %s", r.path, r.effects, r.event)
	}
	r.written = append(r.written, r.current)
	r.current = block{}
}

// write writes the recording to its file.
func (r *Recorder) write() {
	var text strings.Builder
	for _, b := range r.written {
		fmt.Fprintf(&text, "%s %s\n", b.hash, base64.StdEncoding.EncodeToString(b.checkBytes))
	}
	if err := os.WriteFile(r.path, []byte(text.String()), 0o600); err != nil {
		r.t.Fatalf("write recording %s: %v", r.path, err)
	}
}

// checkByte hashes a text to one byte. Two different texts have different check bytes in 255 of 256 cases.
func checkByte(text string) byte {
	sum := fnv.New32a()
	sum.Write([]byte(text))
	folded := sum.Sum32()
	return byte(folded ^ folded>>8 ^ folded>>16 ^ folded>>24)
}
