// Command onyxgate is one instance of the front tier, and what operators need beside it. Each subcommand has a file of its
// own; this one parses the command line.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

func main() {
	var commands struct {
		Serve   serveCommand    `cmd:"" help:"Serve clients until SIGTERM."`
		Check   checkCommand    `cmd:"" help:"Read a configuration, or our settings, and say what is wrong with them."`
		Record  recordCommands  `cmd:"" help:"Look after the store of record."`
		Sources sourcesCommands `cmd:"" help:"Look at the sources of the fleet."`
		Version versionCommand  `cmd:"" help:"Print the version."`
	}
	chosen := kong.Parse(&commands, kong.Name("onyxgate"), kong.UsageOnError(),
		kong.Description("A front tier that watches over software updates."))
	if err := chosen.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "onyxgate:", err)
		os.Exit(1)
	}
}
