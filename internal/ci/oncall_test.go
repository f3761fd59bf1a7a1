package ci

// This file compares what the program logs and measures with the tables of docs/oncall.md.

import (
	"go/ast"
	"go/parser"
	"go/token"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

const oncallPage = "docs/oncall.md"

// pageTable is the rows of a section's table by their first cell, which is in backticks.
type pageTable struct {
	section string
	rows    map[string][]string
}

// readSection reads the tables of a section of the page, up to the next heading.
func readSection(t *testing.T, heading string) pageTable {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(root, oncallPage))
	if err != nil {
		t.Fatal(err)
	}
	_, after, found := strings.Cut("\n"+string(text), "\n"+heading+"\n")
	if !found {
		t.Fatalf("%s has no section %q", oncallPage, heading)
	}
	section, _, _ := strings.Cut(after, "\n#")
	table := pageTable{heading, map[string][]string{}}
	for line := range strings.Lines(section) {
		if !strings.HasPrefix(line, "| `") {
			continue
		}
		cells := strings.Split(strings.Trim(strings.TrimSpace(line), "|"), " | ")
		for i := range cells {
			cells[i] = strings.TrimSpace(cells[i])
		}
		key := strings.Trim(cells[0], "`")
		if _, twice := table.rows[key]; twice {
			t.Errorf("%s, %q has two rows for %q", oncallPage, heading, key)
		}
		table.rows[key] = cells
	}
	if len(table.rows) == 0 {
		t.Fatalf("%s, %q has no rows", oncallPage, heading)
	}
	return table
}

// checkRows looks for what only one side has. add is the row that would mend the page.
func (p pageTable) checkRows(t *testing.T, places, add map[string]string) {
	t.Helper()
	for _, key := range slices.Sorted(maps.Keys(places)) {
		if _, ok := p.rows[key]; !ok {
			t.Errorf("%s, %q lacks %q of %s; add:\n%s", oncallPage, p.section, key, places[key], add[key])
		}
	}
	for _, key := range slices.Sorted(maps.Keys(p.rows)) {
		if _, ok := places[key]; !ok {
			t.Errorf("%s, %q lists %q, which the source does not have (any more): take the row out", oncallPage, p.section, key)
		}
	}
}

// Every message that the program logs has its row, with its level and fields, and every row its message.
func TestLogLinesListed(t *testing.T) {
	calls := readLogCalls(t)
	page := readSection(t, "## Log lines")
	places, add := map[string]string{}, map[string]string{}
	for _, line := range calls.lines {
		if places[line.message] != "" {
			t.Errorf("%q stands at two levels: %s and %s", line.message, places[line.message], line.places)
		}
		places[line.message] = strings.Join(line.places, ", ")
		add[line.message] = "| `" + line.message + "` | " + line.level + " | " + line.fieldList() + " | MEANING | WHAT TO DO |"
	}
	page.checkRows(t, places, add)
	for _, line := range calls.lines {
		if cells, ok := page.rows[line.message]; ok {
			checkLogRow(t, line, cells)
		}
	}
}

var backticked = regexp.MustCompile("`[^`]+`")

// checkLogRow compares a row's level and fields with the source.
func checkLogRow(t *testing.T, line *logLine, cells []string) {
	t.Helper()
	if len(cells) != 5 {
		t.Errorf("%s: the row of %q has %d cells, not 5: line, level, fields, meaning, what to do", oncallPage, line.message, len(cells))
		return
	}
	if cells[1] != line.level {
		t.Errorf("%s: %q is of level %q, the source (%s) says %q", oncallPage, line.message, cells[1], line.places, line.level)
	}
	listed := map[string]bool{}
	for _, field := range backticked.FindAllString(cells[2], -1) {
		listed[strings.Trim(field, "`")] = true
	}
	for _, field := range slices.Sorted(maps.Keys(line.fields)) {
		if !listed[field] {
			t.Errorf("%s: the row of %q lacks the field `%s` of %s", oncallPage, line.message, field, line.places)
		}
	}
	for _, field := range slices.Sorted(maps.Keys(listed)) {
		if !line.fields[field] && !line.openFields {
			t.Errorf("%s: the row of %q lists the field `%s`, which %s does not have", oncallPage, line.message, field, line.places)
		}
	}
	if cells[3] == "" || cells[4] == "" {
		t.Errorf("%s: the row of %q says nothing of its meaning or of what to do", oncallPage, line.message)
	}
}

// The lines that the decisions write themselves have their rows, and every row its line.
func TestDecisionLinesListed(t *testing.T) {
	calls := readLogCalls(t)
	add := map[string]string{}
	for format := range calls.decisionLines {
		add[format] = "| `" + format + "` | MEANING | WHAT TO DO |"
	}
	readSection(t, "### Lines of the decisions").checkRows(t, calls.decisionLines, add)
}

// nonConstantMessages are the files that may log a message which is no constant, and why.
var nonConstantMessages = map[string]string{
	"internal/assembly/report.go": "the lines of the decisions, which have a table of their own",
	"internal/httpwire/server.go": "what net/http's server complains of, at level debug",
}

// A message is a constant, so that it can be searched for; what differs from one line to the next is in fields.
func TestLogMessagesConstant(t *testing.T) {
	used := map[string]bool{}
	for _, place := range readLogCalls(t).nonConstant {
		file, _, _ := strings.Cut(place, ":")
		if _, allowed := nonConstantMessages[file]; !allowed || used[file] {
			t.Errorf("%s logs a message that is no constant: write a constant message, and fields", place)
		}
		used[file] = true
	}
	for file := range nonConstantMessages {
		if !used[file] {
			t.Errorf("%s logs no such message any more: take it out of notConstantLines", file)
		}
	}
}

// metricName is a whole name, with a label and its value where it has some.
var metricName = regexp.MustCompile(`^onyxgate_[a-z_]+(\{[a-z]+="[a-z_]+"\})?$`)

// metricsInSource reads the metrics of the file that owns them: name to help.
func metricsInSource(t *testing.T) map[string]string {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), filepath.Join(root, metricsFile), nil, parser.SkipObjectResolution)
	if err != nil {
		t.Fatal(err)
	}
	found := map[string]string{}
	ast.Inspect(file, func(node ast.Node) bool {
		switch node := node.(type) {
		case *ast.CompositeLit:
			if len(node.Elts) < 2 {
				return true
			}
			name, isName := constantText(node.Elts[0])
			help, isHelp := constantText(node.Elts[1])
			if isName && isHelp && metricName.MatchString(name) {
				found[name] = help
			}
		case *ast.BasicLit: // a name that stands by itself, followed by labels that are no constants
			if name, isText := constantText(node); isText && metricName.MatchString(name) {
				if _, known := found[name]; !known {
					found[name] = ""
				}
			}
		}
		return true
	})
	return found
}

const metricsFile = "internal/assembly/metrics.go"

// Every metric has its row with its meaning, and every row its metric.
func TestMetricsListed(t *testing.T) {
	page := readSection(t, "## Metrics")
	metrics := metricsInSource(t)
	places, add := map[string]string{}, map[string]string{}
	for name, help := range metrics {
		places[name] = metricsFile
		add[name] = "| `" + name + "` | " + help + " |"
	}
	page.checkRows(t, places, add)
	for name, help := range metrics {
		cells := page.rows[name]
		if help != "" && len(cells) > 1 && cells[1] != help {
			t.Errorf("%s: %q means %q, %s says %q", oncallPage, name, cells[1], metricsFile, help)
		}
	}
}

// Metrics are registered nowhere but in the file that the page is compared with.
func TestMetricsInOnePlace(t *testing.T) {
	for _, use := range importersOf(t, "onyxgate/internal/metrics") {
		if use != "internal/assembly/metrics.go" && use != "internal/config/config.go" { // the latter: its table of settings
			t.Errorf("%s uses internal/metrics: a metric there would be missing in %s", use, oncallPage)
		}
	}
}
