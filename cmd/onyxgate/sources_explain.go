package main

import (
	"fmt"
	"io"
	"os"

	"onyxgate/internal/sources/host"
)

// sourcesExplain prints all information about one backend.
type sourcesExplain struct {
	ID string `arg:"" help:"The backend's id or address."`
}

func (e sourcesExplain) Run(c *sourcesCommands) error {
	state, err := c.state()
	if err != nil {
		return err
	}
	return e.write(os.Stdout, state)
}

func (e sourcesExplain) write(out io.Writer, s host.State) error {
	for _, b := range s.Backends {
		if b.ID == e.ID || b.Address == e.ID {
			return writeBackend(out, b, s.WrittenAt)
		}
	}
	if at, ok := s.Merger.Retired[e.ID]; ok {
		_, err := fmt.Fprintf(out, "nobody in the fleet at %s: who was there drained or went %v ago by discovery's word, and SRV can't undo that\n",
			e.ID, age(at, s.WrittenAt))
		return err
	}
	return fmt.Errorf("no source reports a backend with id or address %s", e.ID)
}

func writeBackend(out io.Writer, b host.BackendState, writtenAt float64) error {
	_, err := fmt.Fprintf(out, "%s at %s: %s, build %d, rating %.2f, by the rule %q\n", b.ID, b.Address, b.State, b.Release, b.Weight, b.Rule)
	for _, statement := range b.Statements {
		if err == nil {
			_, err = fmt.Fprintf(out, "  %s, %v ago: %s\n", statement.Source, age(statement.ReportedAt, writtenAt), statement.Detail)
		}
	}
	return err
}
