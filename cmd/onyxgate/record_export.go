package main

import (
	"errors"
	"os"
)

type recordExport struct {
	selection
	Format string `enum:"ndjson,csv" default:"ndjson" help:"ndjson or csv."`
	Out    string `type:"path" help:"Output file; it must not exist yet. The default is standard output."`
}

// Run writes entries to a new file or to standard output. It fails if the file exists.
func (c recordExport) Run(commands *recordCommands) (err error) {
	if c.Out == "" {
		return writeEntries(commands, c.selection, 0, c.Format, os.Stdout)
	}
	file, err := os.OpenFile(c.Out, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	return writeEntries(commands, c.selection, 0, c.Format, file)
}
