package main

import (
	"context"
	"errors"
	"os"

	"github.com/dustin/go-humanize"
	"github.com/jedib0t/go-pretty/v6/table"

	"onyxgate/internal/record/recorder"
	"onyxgate/internal/record/spool"
	"onyxgate/internal/record/sqlstore"
)

type recordStatus struct{}

// Run prints a summary of the spools and the store.
func (recordStatus) Run(commands *recordCommands) error {
	settings, err := commands.recordConfig()
	if err != nil {
		return err
	}
	ctx, stop := signalContext()
	defer stop()
	if err := showSpools(settings.Directory); err != nil {
		return err
	}
	return showStore(ctx, settings.Store)
}

func showSpools(directory string) error {
	instances, err := spool.Instances(spool.Disk{}, directory)
	if err != nil {
		return err
	}
	writer := newTable("agent", "incarnations", "spool", "runs")
	for _, instance := range instances {
		opened, err := spool.Open(spool.Disk{}, directory, instance)
		running := "no"
		switch {
		case errors.Is(err, spool.ErrLocked):
			running = "yes"
		case err != nil:
			running = err.Error()
		}
		if err != nil {
			opened = spool.OpenReadOnly(spool.Disk{}, directory, instance)
		}
		bytes := humanize.IBytes(uint64(opened.Bytes()))
		writer.AppendRow(table.Row{instance, len(opened.Incarnations()), bytes, running})
		opened.Close()
	}
	writer.Render()
	return nil
}

// showStore prints the numbers of entries in the store, or nothing if no store is configured.
func showStore(ctx context.Context, settings recorder.StoreConfig) error {
	store, err := settings.Open()
	if err != nil || store == nil {
		return err
	}
	defer store.Close()
	writer := newTable("agent", "product", "outcome", "state", "entries")
	if err := store.Count(ctx, sqlstore.Filter{}, func(group sqlstore.GroupCount) error {
		writer.AppendRow(table.Row{group.Instance, group.Class, group.Outcome, group.State, group.Entries})
		return nil
	}); err != nil {
		return err
	}
	writer.Render()
	return nil
}

// newTable returns a table that is rendered to standard output.
func newTable(header ...any) table.Writer {
	writer := table.NewWriter()
	writer.SetOutputMirror(os.Stdout)
	writer.AppendHeader(header)
	return writer
}
