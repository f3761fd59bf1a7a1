// Command stand holds the stand-ins of the review's cases: clients, appliances, discovery and the platform. Each
// subcommand runs one case against real agents. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case
// could not run. It uses loopback addresses, ports chosen by the kernel and a temporary folder only.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	held    = 0
	broken  = 1
	noTrial = 2
)

var cases = map[string]func(*trial) int{"restart": runRestart, "record": runRecord, "stalled": runStalled, "foreign": runForeign, "halves": runHalves}

// trial is one run of a case.
type trial struct {
	root    string // of the repository
	dir     string // temporary folder
	trouble bool
	started time.Time

	mu     sync.Mutex
	record *os.File
	agents []*agent
}

// note writes a line to record.txt.
func (t *trial) note(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	fmt.Fprintf(t.record, "%9.3f  %s\n", time.Since(t.started).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to record.txt and to standard output.
func (t *trial) say(format string, args ...any) {
	t.note(format, args...)
	fmt.Printf(format+"\n", args...)
}

// cannotRun reports why the case could not run.
func (t *trial) cannotRun(format string, args ...any) int {
	t.say("could not run: "+format, args...)
	return noTrial
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE ROOT RECORD")
		os.Exit(noTrial)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(name, root, recordPath string) int {
	record, err := os.Create(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return noTrial
	}
	defer record.Close()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return noTrial
	}
	defer os.RemoveAll(dir)
	root, _ = filepath.Abs(root)
	t := &trial{root: root, dir: dir, trouble: os.Getenv("TROUBLE") != "0", started: time.Now(), record: record}
	defer func() {
		for _, a := range t.agents {
			a.kill()
		}
	}()
	t.say("case %s, trouble %v", name, t.trouble)
	result := cases[name](t)
	t.say("result: %s", map[int]string{held: "the rule held", broken: "the rule is broken", noTrial: "no trial"}[result])
	return result
}
