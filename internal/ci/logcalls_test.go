package ci

// A parser that extracts from the program's source the log messages with their levels and fields, and the formats of
// the lines logged by the decision core.

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// root is the module's root, relative to this package's folder.
const root = "../.."

// logLine is one log message at one level.
type logLine struct {
	level, message string
	fields         map[string]bool
	openFields     bool // some field names are not constant
	places         []string
}

// fieldList returns the fields in the format of the table in docs/oncall.md.
func (l *logLine) fieldList() string {
	var names []string
	for _, field := range slices.Sorted(maps.Keys(l.fields)) {
		names = append(names, "`"+field+"`")
	}
	return strings.Join(names, ", ")
}

// logCalls holds the log calls found in the source.
type logCalls struct {
	lines         map[string]*logLine // by level and message
	nonConstant   []string            // places of calls whose message is not constant
	decisionLines map[string]string   // place of each line of the decision core, by its format with … in place of each verb
}

// entryFields holds the fields of a call chain such as logrus.WithField(...).WithError(...).
type entryFields struct {
	names map[string]bool
	open  bool // some field names are not constant
}

func (f *entryFields) merge(other *entryFields) {
	maps.Copy(f.names, other.names)
	f.open = f.open || other.open
}

// readLogCalls parses the packages of the program. The fakes of external systems are excluded.
func readLogCalls(t *testing.T) *logCalls {
	t.Helper()
	calls := &logCalls{lines: map[string]*logLine{}, decisionLines: map[string]string{}}
	for _, folder := range []string{"policy", "internal", "cmd/onyxgate"} {
		err := filepath.WalkDir(filepath.Join(root, folder), func(path string, entry fs.DirEntry, err error) error {
			name, relErr := filepath.Rel(root, path)
			isProgram := strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go") && !strings.HasPrefix(name, "internal/fake/")
			if err != nil || relErr != nil || entry.IsDir() || !isProgram {
				return err
			}
			files := token.NewFileSet()
			file, err := parser.ParseFile(files, path, nil, parser.SkipObjectResolution)
			if err != nil {
				return err
			}
			calls.readFile(name, files, file)
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return calls
}

// declarationReader finds the log calls of one top-level declaration, and tracks the variables in it that hold log
// entries or formats.
type declarationReader struct {
	calls   *logCalls
	file    string
	files   *token.FileSet
	entries map[string]*entryFields
	formats map[string]string
}

func (c *logCalls) readFile(name string, files *token.FileSet, file *ast.File) {
	for _, declaration := range file.Decls {
		reader := &declarationReader{c, name, files, map[string]*entryFields{}, map[string]string{}}
		ast.Inspect(declaration, func(node ast.Node) bool {
			switch node := node.(type) {
			case *ast.AssignStmt:
				reader.readAssignment(node)
			case *ast.CallExpr:
				reader.readCall(node)
			}
			return true
		})
	}
}

func (r *declarationReader) place(node ast.Node) string {
	return fmt.Sprintf("%s:%d", r.file, r.files.Position(node.Pos()).Line)
}

// readAssignment records log entries and lines that are assigned to a variable before they are logged.
func (r *declarationReader) readAssignment(assignment *ast.AssignStmt) {
	if len(assignment.Lhs) != 1 || len(assignment.Rhs) != 1 {
		return
	}
	variable, ok := assignment.Lhs[0].(*ast.Ident)
	if !ok {
		return
	}
	if fields := r.entryFieldsOf(assignment.Rhs[0]); fields != nil {
		if earlier := r.entries[variable.Name]; earlier != nil {
			fields.merge(earlier) // fields added on only some of the paths to the log call count as well
		}
		r.entries[variable.Name] = fields
	}
	if format, ok := r.lineFormat(assignment.Rhs[0]); ok {
		r.formats[variable.Name] = format
	}
}

// entryFieldsOf returns the fields of a log entry: the package logrus, a variable that holds an entry, or one of these
// with fields added. It returns nil for any other expression.
func (r *declarationReader) entryFieldsOf(expression ast.Expr) *entryFields {
	switch expression := expression.(type) {
	case *ast.Ident:
		if expression.Name == "logrus" {
			return &entryFields{names: map[string]bool{}}
		}
		return r.entries[expression.Name]
	case *ast.CallExpr:
		method, ok := expression.Fun.(*ast.SelectorExpr)
		if !ok {
			return nil
		}
		inner := r.entryFieldsOf(method.X)
		if inner == nil || !strings.HasPrefix(method.Sel.Name, "With") {
			return nil
		}
		fields := &entryFields{names: maps.Clone(inner.names), open: inner.open}
		fields.add(method.Sel.Name, expression.Args)
		return fields
	}
	return nil
}

// add adds the fields of one call of WithField, WithFields or WithError.
func (f *entryFields) add(method string, arguments []ast.Expr) {
	switch method {
	case "WithError":
		f.names["error"] = true
	case "WithField":
		f.addKey(arguments[0])
	case "WithFields":
		literal, ok := arguments[0].(*ast.CompositeLit)
		if !ok {
			f.open = true
			return
		}
		for _, element := range literal.Elts {
			f.addKey(element.(*ast.KeyValueExpr).Key)
		}
	default:
		f.open = true
	}
}

func (f *entryFields) addKey(key ast.Expr) {
	if name, ok := constantText(key); ok {
		f.names[name] = true
	} else {
		f.open = true
	}
}

// constantText returns the value of a string literal or of a concatenation of string literals.
func constantText(expression ast.Expr) (string, bool) {
	switch expression := expression.(type) {
	case *ast.BasicLit:
		text, err := strconv.Unquote(expression.Value)
		return text, err == nil && expression.Kind == token.STRING
	case *ast.BinaryExpr:
		left, leftOK := constantText(expression.X)
		right, rightOK := constantText(expression.Y)
		return left + right, leftOK && rightOK && expression.Op == token.ADD
	}
	return "", false
}

// levelNames maps logrus's methods that log one message to the name of the level in the log.
var levelNames = map[string]string{
	"Trace": "trace", "Debug": "debug", "Info": "info", "Print": "info", "Warn": "warning", "Warning": "warning", "Error": "error",
	"Fatal": "fatal", "Panic": "panic",
}

// formattingMethod matches the methods that build the message from a format or from several parts.
var formattingMethod = regexp.MustCompile(`^(Trace|Debug|Info|Print|Warn|Warning|Error|Fatal|Panic|Log)(f|ln)$`)

func (r *declarationReader) readCall(call *ast.CallExpr) {
	method, ok := call.Fun.(*ast.SelectorExpr)
	if !ok {
		return
	}
	if method.Sel.Name == "Log" && len(call.Args) == 1 {
		r.readDecisionLine(call)
		return
	}
	level, isLogMethod := levelNames[method.Sel.Name]
	if !isLogMethod && !formattingMethod.MatchString(method.Sel.Name) {
		return
	}
	fields := r.entryFieldsOf(method.X)
	if fields == nil {
		return
	}
	message, constant := "", false
	if isLogMethod && len(call.Args) == 1 {
		message, constant = constantText(call.Args[0])
	}
	if !constant {
		r.calls.nonConstant = append(r.calls.nonConstant, r.place(call))
		return
	}
	r.calls.add(level, message, fields, r.place(call))
}

func (c *logCalls) add(level, message string, fields *entryFields, place string) {
	key := level + " " + message
	line := c.lines[key]
	if line == nil {
		line = &logLine{level: level, message: message, fields: map[string]bool{}}
		c.lines[key] = line
	}
	maps.Copy(line.fields, fields.names)
	line.openFields = line.openFields || fields.open
	line.places = append(line.places, place)
}

// readDecisionLine records the format of a line that the decision core passes to the host's log. If the argument has no
// known format, the call only forwards a line from elsewhere and is ignored.
func (r *declarationReader) readDecisionLine(call *ast.CallExpr) {
	format, ok := r.lineFormat(call.Args[0])
	if variable, isVariable := call.Args[0].(*ast.Ident); isVariable && !ok {
		format, ok = r.formats[variable.Name]
	}
	if ok {
		r.calls.decisionLines[format] = r.place(call)
	}
}

var verb = regexp.MustCompile(`%[-+# 0]*[0-9.]*[a-zA-Z]`)

// lineFormat returns the format string of a Sprintf call, with … in place of each verb, or a constant line.
func (r *declarationReader) lineFormat(expression ast.Expr) (string, bool) {
	if call, ok := expression.(*ast.CallExpr); ok && len(call.Args) > 0 {
		function, isMethod := call.Fun.(*ast.SelectorExpr)
		if !isMethod || function.Sel.Name != "Sprintf" {
			return "", false
		}
		expression = call.Args[0]
	}
	text, ok := constantText(expression)
	return verb.ReplaceAllString(text, "…"), ok
}

// importersOf returns the non-test files that import a package. Unlike readLogCalls it includes the fakes.
func importersOf(t *testing.T, importPath string) (files []string) {
	t.Helper()
	for _, folder := range []string{"policy", "internal", "cmd/onyxgate"} {
		err := filepath.WalkDir(filepath.Join(root, folder), func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
			if err != nil {
				return err
			}
			for _, imported := range file.Imports {
				if imported.Path.Value == strconv.Quote(importPath) {
					files = append(files, filepath.ToSlash(strings.TrimPrefix(path, root+"/")))
				}
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return files
}
