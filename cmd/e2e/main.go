// Command e2e runs end-to-end tests: real onyxgate processes with fakes on loopback and faults drawn from a seed. It
// checks the project's claims from outside, and must never use an instance's own counts to judge that instance.
//
// Exit codes: 0 if every claim holds, 1 if a claim was violated or not exercised, 2 if the run could not be
// completed, so that there is no verdict.
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
	var cli struct {
		Day      dayCommand            `cmd:"" help:"A release rollout under traffic, on three instances and ten backends."`
		Clients  clientsCommand        `cmd:"" help:"Clients that stop, flood or leave, by the hundreds, beside the usual load."`
		Srv      srvCommand            `cmd:"" help:"Discovery and SRV records that disagree."`
		Record   recordCommand         `cmd:"" help:"The store of record under kills and stalls."`
		Pgwire   postgresServerCommand `cmd:"" hidden:"" help:"A fake PostgreSQL server in a process that can be killed."`
		Holdlite sqliteLockCommand     `cmd:"" hidden:"" help:"Holds the write lock of a SQLite file until end of input."`
	}
	command := kong.Parse(&cli, kong.Name("e2e"), kong.UsageOnError())
	switch err := command.Run(); {
	case errors.Is(err, errViolations):
		os.Exit(exitViolations)
	case err != nil:
		fmt.Fprintln(os.Stderr, "e2e:", err)
		os.Exit(exitNoVerdict)
	}
}
