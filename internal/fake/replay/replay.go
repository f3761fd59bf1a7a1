// Package replay compares the effects of a deterministic program with a recording of an earlier version's, to the byte.
//
// A recording is a text file that stays small: for each thousand effects it holds a hash of their text and of the events that
// caused them, and one check byte for each effect, by which the first difference is found and named. It is written anew only by
// a test run with -record, which belongs in a commit that changes decisions on purpose and says so.
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

// effectsPerBlock is the number of effects under one hash.
const effectsPerBlock = 1000

// hashSize is how much of a block's SHA-256 is kept.
const hashSize = 12

// record has Close write the recording in place of comparing with it.
var record = flag.Bool("record", false, "write the recordings of replay tests in place of comparing with them")

// Recorder takes one stream of events and effects and compares it with the recording in a file. It is used by the goroutine of its
// test only.
type Recorder struct {
	t        testing.TB
	path     string
	recorded []block   // as read from the file
	written  []block   // of this stream, the ended ones
	current  block     // of this stream, not ended yet
	hash     hash.Hash // of the events and effects of current
	event    string    // the latest
	events   int
	effects  int
	differs  bool
}

// block is what a recording keeps of blockEffects effects, or of the last ones. It is one line of the file.
type block struct {
	hash   string // hexadecimal
	checkBytes []byte // one for each effect
}

// Open begins a stream; the recording is read from path, or written there by Close where the test runs with -record. A recording
// that can't be read ends the test.
func Open(t testing.TB, path string) *Recorder {
	t.Helper()
	r := &Recorder{t: t, path: path, hash: sha256.New()}
	if *record {
		return r
	}
	file, err := os.Open(path)
	if err != nil {
		t.Fatalf("no recording: %v", err)
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		sum, encoded, found := strings.Cut(lines.Text(), " ")
		if !found {
			t.Fatalf("%s: line without checks: %q", path, lines.Text())
		}
		checks, err := base64.StdEncoding.DecodeString(encoded)
		if err != nil {
			t.Fatalf("%s: %v", path, err)
		}
		r.recorded = append(r.recorded, block{hash: sum, checkBytes: checks})
	}
	if err := lines.Err(); err != nil {
		t.Fatalf("%s: %v", path, err)
	}
	return r
}

// Event names what the effects that follow come from.
func (r *Recorder) Event(text string) {
	r.events++
	r.event = text
	r.hashText(text)
}

// Effect takes one effect of the latest event; the first one that differs from the recording fails the test.
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

// Differs tells that the test has failed already, so that the rest of the stream need not be played.
func (r *Recorder) Differs() bool { return r.differs }

// Close ends the stream: what is left is compared, and an effect that the recording has beyond it fails the test.
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

// matches tells whether the recording has this check for the effect that comes next.
func (r *Recorder) matches(check byte) bool {
	number, effect := len(r.written), len(r.current.checkBytes)
	if number >= len(r.recorded) {
		return false
	}
	recorded := r.recorded[number].checkBytes
	return effect < len(recorded) && recorded[effect] == check
}

// fail fails the test by its first effect that differs.
func (r *Recorder) fail(text string) {
	r.differs = true
	r.t.Errorf("%s: effect %d differs from the recording: %s\nits event, number %d: %s", r.path, r.effects, text, r.events, r.event)
}

// endBlock ends the current block and compares its hash with that of the recording, which covers the events too.
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

// write writes the recording anew.
func (r *Recorder) write() {
	var text strings.Builder
	for _, b := range r.written {
		fmt.Fprintf(&text, "%s %s\n", b.hash, base64.StdEncoding.EncodeToString(b.checkBytes))
	}
	if err := os.WriteFile(r.path, []byte(text.String()), 0o600); err != nil {
		r.t.Fatal(err)
	}
}

// checkByte folds a text into one byte: two different texts have different bytes in 255 of 256 cases.
func checkByte(text string) byte {
	sum := fnv.New32a()
	sum.Write([]byte(text))
	folded := sum.Sum32()
	return byte(folded ^ folded>>8 ^ folded>>16 ^ folded>>24)
}
