package main

import "os"

type recordList struct {
	selection
	Format string `enum:"table,ndjson,csv" default:"table" help:"table, ndjson or csv."`
	Limit  int    `default:"100" help:"Entries at most."`
}

// Run writes entries to standard output.
func (c recordList) Run(line *recordCommands) error {
	return writeEntries(line, c.selection, c.Limit, c.Format, os.Stdout)
}
