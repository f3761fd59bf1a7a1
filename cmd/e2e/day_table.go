package main

// Tables with the figures of a day.

import (
	"fmt"
	"os"

	"github.com/jedib0t/go-pretty/v6/table"

	"onyxgate/internal/fake/fleet"
)

// outcomeColumns lists the outcomes in the order of the table, with their column titles.
var outcomeColumns = []struct{ outcome, title string }{
	{fleet.OutcomeServed, "served"},
	{fleet.OutcomeRejected, "rejected"},
	{fleet.OutcomeFailed, "failed"},
	{fleet.OutcomeBadRequest, "bad request"},
	{fleet.OutcomeUnreachable, "unreachable"},
	{fleet.OutcomeBroken, "broken"},
	{fleet.OutcomeSilent, "silent"},
}

// printDay writes the tables to standard output.
func printDay(f dayFigures, times latencies) {
	printOutcomes(f)
	printLatencies(times)
	for _, stage := range f.Stages {
		fmt.Println(stage)
	}
	fmt.Printf("memory of the instances %.1f MB, CPU per request %.0f us\n", f.ResidentMB, f.CPUPerRequest)
	printRules(f)
}

func newTable(header table.Row) table.Writer {
	t := table.NewWriter()
	t.SetOutputMirror(os.Stdout)
	t.AppendHeader(header)
	return t
}

func printOutcomes(f dayFigures) {
	header := table.Row{"class"}
	for _, column := range outcomeColumns {
		header = append(header, column.title)
	}
	t := newTable(header)
	for _, class := range fleet.Classes {
		row := table.Row{class.Name}
		for _, column := range outcomeColumns {
			row = append(row, f.Outcomes[class.Name][column.outcome])
		}
		t.AppendRow(row)
	}
	t.Render()
}

func printLatencies(times latencies) {
	t := newTable(table.Row{"latency", "ms"})
	for _, quantile := range []float64{50, 90, 99, 99.9, 100} {
		t.AppendRow(table.Row{fmt.Sprintf("p%g", quantile), fmt.Sprintf("%.1f", times.quantileMs(quantile))})
	}
	t.Render()
}

func printRules(f dayFigures) {
	t := newTable(table.Row{"rule", "violations, counted from outside"})
	t.AppendRows([]table.Row{
		{"no request lost", f.Lost},
		{"no duplicate effects", f.Violations.DuplicateEffects},
		{"drains respected", f.Violations.AfterDrain},
		{"no cold backend overloaded", f.Violations.ColdOverloaded},
		{"exposure within the cap", f.Violations.Exposure},
	})
	t.Render()
}
