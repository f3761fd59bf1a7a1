package main

// Output formats for entries: NDJSON, CSV and a text table.

import (
	"encoding/csv"
	"encoding/json"
	"io"
	"strconv"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"

	"onyxgate/internal/record/sqlstore"
)

// rowSource calls each with every selected entry, one at a time.
type rowSource func(each func(sqlstore.Row) error) error

// writeEntries writes the selected entries as ndjson, csv or table. The first two hold one entry in memory at a time;
// the table holds all of them, so limit bounds its memory.
func writeEntries(commands *recordCommands, selected selection, limit int, format string, out io.Writer) error {
	filter, err := selected.filter(limit)
	if err != nil {
		return err
	}
	store, err := commands.openStore()
	if err != nil {
		return err
	}
	defer store.Close()
	ctx, stop := signalContext()
	defer stop()
	bar := newProgress("entries")
	defer bar.finish()
	rows := func(each func(sqlstore.Row) error) error { return store.Select(ctx, filter, each) }
	rowsWithProgress := func(each func(sqlstore.Row) error) error {
		return rows(func(row sqlstore.Row) error {
			bar.add(1)
			return each(row)
		})
	}
	switch format {
	case "ndjson":
		return writeNDJSON(rowsWithProgress, out)
	case "csv":
		return writeCSV(rowsWithProgress, out)
	}
	return writeTable(rows, out)
}

func writeNDJSON(rows rowSource, out io.Writer) error {
	encoder := json.NewEncoder(out)
	return rows(func(row sqlstore.Row) error { return encoder.Encode(row) })
}

func writeCSV(rows rowSource, out io.Writer) error {
	writer := csv.NewWriter(out)
	if err := writer.Write(csvHeader); err != nil {
		return err
	}
	if err := rows(func(row sqlstore.Row) error { return writer.Write(csvCells(row)) }); err != nil {
		return err
	}
	writer.Flush()
	return writer.Error()
}

var csvHeader = []string{
	"agent", "incarnation", "n", "state", "txn", "product", "outcome", "reason", "build", "appliance", "submissions",
	"taken_ms", "answered_ms", "body", "mark",
}

func csvCells(row sqlstore.Row) []string {
	ms := func(at float64) string { return strconv.FormatFloat(at, 'f', 3, 64) }
	return []string{
		row.Instance, row.Incarnation, strconv.FormatUint(row.Ordinal, 10), row.State, row.RequestID, row.Class, row.Outcome,
		row.Reason, strconv.Itoa(row.Release), row.Backend, strconv.Itoa(row.Attempts), ms(row.ArrivedAt),
		ms(row.AnsweredAt), row.BodyDigest, row.KeyDigest,
	}
}

func writeTable(rows rowSource, out io.Writer) error {
	writer := table.NewWriter()
	writer.SetOutputMirror(out)
	writer.AppendHeader(table.Row{
		"answered", "agent", "txn", "product", "outcome", "state", "reason", "build", "appliance", "submissions", "ms",
	})
	if err := rows(func(row sqlstore.Row) error {
		answered := time.UnixMilli(int64(row.AnsweredAt)).UTC().Format("2006-01-02 15:04:05.000")
		writer.AppendRow(table.Row{
			answered, row.Instance, row.RequestID, row.Class, row.Outcome, row.State, row.Reason, row.Release, row.Backend,
			row.Attempts, int(row.AnsweredAt - row.ArrivedAt),
		})
		return nil
	}); err != nil {
		return err
	}
	writer.Render()
	return nil
}
