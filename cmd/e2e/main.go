// Command e2e runs end-to-end tests: real onyxgate processes among fakes on loopback, under faults drawn from a seed. It
// counts from outside what the project claims and must never read an instance's own counts to judge the instance.
//
// Exit codes: 0 every claim passed, 1 one was violated or never put to the test, 2 the run could not be carried out, which is
// no verdict.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

const (
	exitViolations = 1
	exitNoVerdict  = 2
)

func main() {
	var line struct {
		Day      dayCommand            `cmd:"" help:"A day in half a minute: three instances, ten backends, one release rolled out."`
		Srv      srvCommand            `cmd:"" help:"Discovery and SRV that disagree."`
		Record   recordCommand         `cmd:"" help:"The store of record through kills and stalls."`
		Pgwire   postgresServerCommand `cmd:"" hidden:"" help:"The fake of a PostgreSQL server, as a process that can be killed."`
		Holdlite sqliteLockCommand     `cmd:"" hidden:"" help:"Holds the write lock of a SQLite file until its input ends."`
	}
	command := kong.Parse(&line, kong.Name("e2e"), kong.UsageOnError())
	switch err := command.Run(); {
	case errors.Is(err, errViolations):
		os.Exit(exitViolations)
	case err != nil:
		fmt.Fprintln(os.Stderr, "e2e:", err)
		os.Exit(exitNoVerdict)
	}
}
