package main

import (
	"errors"
	"os"
)

type recordExport struct {
	selection
	Format string `enum:"ndjson,csv" default:"ndjson" help:"ndjson or csv."`
	Out    string `type:"path" help:"A file, in place of standard output."`
}

// Run writes entries to a file that is not there yet, or to standard output.
func (c recordExport) Run(line *recordCommands) (err error) {
	if c.Out == "" {
		return writeEntries(line, c.selection, 0, c.Format, os.Stdout)
	}
	file, err := os.OpenFile(c.Out, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	return writeEntries(line, c.selection, 0, c.Format, file)
}
