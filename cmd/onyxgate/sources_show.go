package main

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"

	"onyxgate/internal/sources"
	"onyxgate/internal/sources/host"
)

// sourcesShow prints the whole fleet.
type sourcesShow struct{}

func (sourcesShow) Run(c *sourcesCommands) error {
	state, err := c.state()
	if err != nil {
		return err
	}
	writeFleet(os.Stdout, state, float64(time.Now().UnixMilli()))
	return nil
}

// writeFleet writes one row per statement; only the first row of a backend shows the backend's own columns. The ages
// of statements are relative to the time at which the file was written.
func writeFleet(out io.Writer, s host.State, now float64) {
	_, _ = fmt.Fprintf(out, "written %v ago; doubts of discovery: %q, of SRV: %q\n", // errors are ignored, as the table ignores them
		age(s.WrittenAt, now), s.Doubt[sources.Discovery], s.Doubt[sources.SRV])
	w := table.NewWriter()
	w.SetOutputMirror(out)
	w.AppendHeader(table.Row{"id", "address", "state", "build", "rating", "rule", "source", "says", "age"})
	for _, b := range s.Backends {
		backendCells := table.Row{b.ID, b.Address, b.State, b.Release, fmt.Sprintf("%.2f", b.Weight), b.Rule}
		for _, statement := range b.Statements {
			w.AppendRow(append(backendCells, statement.Source, statement.Detail, age(statement.ReportedAt, s.WrittenAt)))
			backendCells = table.Row{"", "", "", "", "", ""}
		}
	}
	w.Render()
}
