package ci

// Tests that compare the program's log messages and metrics with the tables in docs/oncall.md.

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

// pageTable holds the rows of a section's table by the text of their first cell, which is in backticks.
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
		if _, duplicate := table.rows[key]; duplicate {
			t.Errorf("%s, %q has two rows for %q", oncallPage, heading, key)
		}
		table.rows[key] = cells
	}
	if len(table.rows) == 0 {
		t.Fatalf("%s, %q has no rows", oncallPage, heading)
	}
	return table
}

// checkRows reports keys that are only in the source or only on the page. places holds the place of each key in the
// source; newRows holds the row to add to the page if it lacks the key.
func (p pageTable) checkRows(t *testing.T, places, newRows map[string]string) {
	t.Helper()
	for _, key := range slices.Sorted(maps.Keys(places)) {
		if _, ok := p.rows[key]; !ok {
			t.Errorf("%s, section %q lacks %q of %s; add:\n%s", oncallPage, p.section, key, places[key], newRows[key])
		}
	}
	for _, key := range slices.Sorted(maps.Keys(p.rows)) {
		if _, ok := places[key]; !ok {
			t.Errorf("%s, section %q lists %q, which is not in the source: remove the row", oncallPage, p.section, key)
		}
	}
}

// Every log message has a row with its level and fields, and every row has a log message.
func TestLogLinesListed(t *testing.T) {
	calls := readLogCalls(t)
	page := readSection(t, "## Log lines")
	places, newRows := map[string]string{}, map[string]string{}
	for _, line := range calls.lines {
		if places[line.message] != "" {
			t.Errorf("%q is logged at two levels, at %s and at %s", line.message, places[line.message], line.places)
		}
		places[line.message] = strings.Join(line.places, ", ")
		newRows[line.message] = "| `" + line.message + "` | " + line.level + " | " + line.fieldList() + " | MEANING | WHAT TO DO |"
	}
	page.checkRows(t, places, newRows)
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
		t.Errorf("%s: the row of %q has %d cells, want 5: line, level, fields, meaning, what to do", oncallPage, line.message, len(cells))
		return
	}
	if cells[1] != line.level {
		t.Errorf("%s: %q has level %q, but the source (%s) logs it at level %q", oncallPage, line.message, cells[1], line.places, line.level)
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
			t.Errorf("%s: the row of %q lists the field `%s`, which is not logged at %s", oncallPage, line.message, field, line.places)
		}
	}
	if cells[3] == "" || cells[4] == "" {
		t.Errorf("%s: the row of %q has an empty cell for the meaning or for what to do", oncallPage, line.message)
	}
}

// Every line logged by the decision core has a row, and every row has such a line.
func TestDecisionLinesListed(t *testing.T) {
	calls := readLogCalls(t)
	newRows := map[string]string{}
	for format := range calls.decisionLines {
		newRows[format] = "| `" + format + "` | MEANING | WHAT TO DO |"
	}
	readSection(t, "### Lines of the decisions").checkRows(t, calls.decisionLines, newRows)
}

// nonConstantMessages lists the files that may contain one log call with a non-constant message, with the reason.
var nonConstantMessages = map[string]string{
	"internal/assembly/report.go": "the lines of the decision core, which have their own table",
	"internal/httpwire/server.go": "errors reported by net/http's server, at level debug",
}

// Log messages are constants, so that they can be searched for. Variable parts belong in fields.
func TestLogMessagesConstant(t *testing.T) {
	used := map[string]bool{}
	for _, place := range readLogCalls(t).nonConstant {
		file, _, _ := strings.Cut(place, ":")
		if _, allowed := nonConstantMessages[file]; !allowed || used[file] {
			t.Errorf("%s logs a message that is not constant: use a constant message and fields", place)
		}
		used[file] = true
	}
	for file := range nonConstantMessages {
		if !used[file] {
			t.Errorf("%s no longer logs a non-constant message: remove it from nonConstantMessages", file)
		}
	}
}

// metricName matches a complete metric name, with at most one label.
var metricName = regexp.MustCompile(`^onyxgate_[a-z_]+(\{[a-z]+="[a-z_]+"\})?$`)

// metricsInSource parses metricsFile and returns the help text of each metric by its name.
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
		case *ast.BasicLit: // a name without a help text, to which the program adds variable labels
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

// Every metric has a row with its help text, and every row has a metric.
func TestMetricsListed(t *testing.T) {
	page := readSection(t, "## Metrics")
	metrics := metricsInSource(t)
	places, newRows := map[string]string{}, map[string]string{}
	for name, help := range metrics {
		places[name] = metricsFile
		newRows[name] = "| `" + name + "` | " + help + " |"
	}
	page.checkRows(t, places, newRows)
	for name, help := range metrics {
		cells := page.rows[name]
		if help != "" && len(cells) > 1 && cells[1] != help {
			t.Errorf("%s: the row of %q says %q, but the help text in %s is %q", oncallPage, name, cells[1], metricsFile, help)
		}
	}
}

// Metrics are registered only in metricsFile, because the page is compared with that file alone.
func TestMetricsInOnePlace(t *testing.T) {
	for _, file := range importersOf(t, "onyxgate/internal/metrics") {
		if file != "internal/assembly/metrics.go" && file != "internal/config/config.go" { // the latter uses only metrics.Config
			t.Errorf("%s imports internal/metrics: a metric registered there would be missing in %s", file, oncallPage)
		}
	}
}
