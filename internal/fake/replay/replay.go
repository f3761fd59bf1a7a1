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
	"io"
	"os"
	"strings"
	"testing"
)

// blockEffects is the number of effects under one hash.
const blockEffects = 1000

var record = flag.Bool("record", false, "write the recordings of replay tests in place of comparing with them")

// Recorder takes one stream of events and effects and compares it with the recording in a file.
type Recorder struct {
	t        testing.TB
	path     string
	recorded []block
	written  []block
	current  block
	hash     hash.Hash
	event    string
	events   int
	effects  int
	differs  bool
}

// block is what a recording keeps of a thousand effects, or of the last ones.
type block struct {
	hash   string
	checks []byte // one for each effect
}

// Open begins a stream; the recording is read from path, or written there by Close where the test runs with -record.
func Open(t testing.TB, path string) *Recorder {
	t.Helper()
	r := &Recorder{t: t, path: path, hash: sha256.New()}
	if *record {
		return r
	}
	text, err := os.Open(path)
	if err != nil {
		t.Fatalf("no recording: %v", err)
	}
	defer text.Close()
	lines := bufio.NewScanner(text)
	for lines.Scan() {
		sum, checks, found := strings.Cut(lines.Text(), " ")
		if !found {
			t.Fatalf("%s: line without checks: %q", path, lines.Text())
		}
		bytes, err := base64.StdEncoding.DecodeString(checks)
		if err != nil {
			t.Fatalf("%s: %v", path, err)
		}
		r.recorded = append(r.recorded, block{hash: sum, checks: bytes})
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
	number, at := len(r.written), len(r.current.checks)
	r.current.checks = append(r.current.checks, check)
	r.effects++
	if !*record && !r.matches(number, at, check) {
		r.fail(text)
		return
	}
	if len(r.current.checks) == blockEffects {
		r.endBlock()
	}
}

// Differs tells that the test has failed already: the rest of the stream need not be played.
func (r *Recorder) Differs() bool { return r.differs }

// Close ends the stream: what is left is compared, and an effect that the recording has beyond it fails the test.
func (r *Recorder) Close() {
	r.t.Helper()
	if r.differs {
		return
	}
	if len(r.current.checks) > 0 {
		r.endBlock()
	}
	if *record {
		r.write()
	} else if !r.differs && len(r.written) != len(r.recorded) {
		r.t.Errorf("%s: the stream ends after %d effects, the recording has more", r.path, r.effects)
	}
	r.t.Logf("%s: %d events, %d effects, differences: %v", r.path, r.events, r.effects, r.differs)
}

func (r *Recorder) hashText(text string) {
	io.WriteString(r.hash, text)
	r.hash.Write([]byte{'\n'})
}

func (r *Recorder) matches(number, at int, check byte) bool {
	return number < len(r.recorded) && at < len(r.recorded[number].checks) && r.recorded[number].checks[at] == check
}

func (r *Recorder) fail(text string) {
	r.differs = true
	r.t.Errorf("%s: effect %d differs from the recording: %s\nits event, number %d: %s", r.path, r.effects, text, r.events, r.event)
}

func (r *Recorder) endBlock() {
	r.current.hash = hex.EncodeToString(r.hash.Sum(nil)[:12])
	r.hash.Reset()
	if number := len(r.written); !*record && r.recorded[number].hash != r.current.hash {
		r.differs = true
		r.t.Errorf("%s: effects up to %d, or their events, differ from the recording; last event: %s", r.path, r.effects, r.event)
	}
	r.written = append(r.written, r.current)
	r.current = block{}
}

func (r *Recorder) write() {
	var text strings.Builder
	for _, b := range r.written {
		fmt.Fprintf(&text, "%s %s\n", b.hash, base64.StdEncoding.EncodeToString(b.checks))
	}
	if err := os.WriteFile(r.path, []byte(text.String()), 0o600); err != nil {
		r.t.Fatal(err)
	}
}

func checkByte(text string) byte {
	sum := fnv.New32a()
	io.WriteString(sum, text)
	folded := sum.Sum32()
	return byte(folded ^ folded>>8 ^ folded>>16 ^ folded>>24)
}
