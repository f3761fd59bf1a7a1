// Command review-2 plays the cases of the second review. It starts instances of onyxgate as separate processes, by the
// run line of the deploy file, and plays their surroundings itself: clients, backends, discovery, the platform and a name
// server, all on loopback addresses and the real clock. It uses nothing but the standard library.
//
// Usage: review-2 CASE RECORD, from the root of the repository. It writes what was sent, answered and run to RECORD and
// exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 in the environment it
// plays the same without the disruption.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases holds the cases by name; each file of a case adds its own.
var cases = map[string]func(*world) (broken int, err error){}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE RECORD")
		return exitNotRun
	}
	w, err := newWorld(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		w.close()
		os.Exit(exitNotRun)
	}()
	w.note("case %s, disruption %v", os.Args[1], w.trouble)
	broken, err := cases[os.Args[1]](w)
	if err == nil {
		err = errors.Join(w.checkProcesses(), w.checkServed())
	}
	if err != nil {
		w.note("not run: %v", err)
		fmt.Fprintln(os.Stderr, "not run:", err)
		return exitNotRun
	}
	w.note("result: rule broken %d times", broken)
	fmt.Printf("%s: rule broken %d times (disruption %v)\n", os.Args[1], broken, w.trouble)
	if broken > 0 {
		return exitBroken
	}
	return exitHeld
}
