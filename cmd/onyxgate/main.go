// Command onyxgate runs one instance of the front tier, and contains the operators' tools for the configuration, the
// record and the sources. This file parses the command line; each subcommand has its own file.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

func main() {
	var commands struct {
		Serve   serveCommand    `cmd:"" help:"Serve clients until SIGTERM."`
		Check   checkCommand    `cmd:"" help:"Check a configuration or settings file and report its errors."`
		Record  recordCommands  `cmd:"" help:"Inspect and maintain the record."`
		Sources sourcesCommands `cmd:"" help:"Inspect the sources of the fleet."`
		Version versionCommand  `cmd:"" help:"Print the version."`
	}
	chosen := kong.Parse(&commands, kong.Name("onyxgate"), kong.UsageOnError(),
		kong.Description("A load-balancing front tier that supervises staged releases."))
	if err := chosen.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "onyxgate:", err)
		os.Exit(1)
	}
}
