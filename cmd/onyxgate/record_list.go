package main

import "os"

type recordList struct {
	selection
	Format string `enum:"table,ndjson,csv" default:"table" help:"table, ndjson or csv."`
	Limit  int    `default:"100" help:"Maximum number of entries; the oldest are listed."`
}

// Run writes entries to standard output.
func (c recordList) Run(commands *recordCommands) error {
	return writeEntries(commands, c.selection, c.Limit, c.Format, os.Stdout)
}
