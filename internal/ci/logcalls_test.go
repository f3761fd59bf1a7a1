package ci

// This file reads the program's source for what it logs: constant messages with level and fields, and the lines of the
// decisions.

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

// root is the module's, from this package's folder.
const root = "../.."

// logLine is one message of the program at one level.
type logLine struct {
	level, message string
	fields         map[string]bool
	openFields     bool // some of its fields are no constants
	places         []string
}

// fieldList is the fields in the form in which the page lists them.
func (l *logLine) fieldList() string {
	var names []string
	for _, field := range slices.Sorted(maps.Keys(l.fields)) {
		names = append(names, "`"+field+"`")
	}
	return strings.Join(names, ", ")
}

// logCalls is what the source holds.
type logCalls struct {
	lines         map[string]*logLine // by level and message
	nonConstant   []string            // places of calls whose message is no constant
	decisionLines map[string]string   // formats of the decisions' own lines, each verb as …; with a place
}

// entryFields is what is known of the fields of a chain logrus.WithField(...).WithError(...).
type entryFields struct {
	names map[string]bool
	open  bool
}

func (f *entryFields) merge(other *entryFields) {
	maps.Copy(f.names, other.names)
	f.open = f.open || other.open
}

// readLogCalls reads the program packages; the fakes of outside systems are no part of it.
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

// functionReader reads one function: variables that hold entries or lines are known within it.
type functionReader struct {
	calls   *logCalls
	file    string
	files   *token.FileSet
	entries map[string]*entryFields
	formats map[string]string
}

func (c *logCalls) readFile(name string, files *token.FileSet, file *ast.File) {
	for _, declaration := range file.Decls {
		reader := &functionReader{c, name, files, map[string]*entryFields{}, map[string]string{}}
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

func (r *functionReader) place(node ast.Node) string {
	return fmt.Sprintf("%s:%d", r.file, r.files.Position(node.Pos()).Line)
}

// readAssignment keeps entries and lines that are built before they are logged.
func (r *functionReader) readAssignment(assignment *ast.AssignStmt) {
	if len(assignment.Lhs) != 1 || len(assignment.Rhs) != 1 {
		return
	}
	variable, ok := assignment.Lhs[0].(*ast.Ident)
	if !ok {
		return
	}
	if fields := r.entryFieldsOf(assignment.Rhs[0]); fields != nil {
		if earlier := r.entries[variable.Name]; earlier != nil {
			fields.merge(earlier) // one of several ways to the call adds a field: the page lists it
		}
		r.entries[variable.Name] = fields
	}
	if format, ok := r.lineFormat(assignment.Rhs[0]); ok {
		r.formats[variable.Name] = format
	}
}

// entryFieldsOf returns the fields of an expression that is logrus, an entry in a variable, or one of these with fields added; nil:
// it is none of them.
func (r *functionReader) entryFieldsOf(expression ast.Expr) *entryFields {
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

// constantText is the value of a string literal, or of several that are added.
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

// levelNames are logrus's methods that log one message, and as what operators see it.
var levelNames = map[string]string{
	"Trace": "trace", "Debug": "debug", "Info": "info", "Print": "info", "Warn": "warning", "Warning": "warning", "Error": "error",
	"Fatal": "fatal", "Panic": "panic",
}

// formattingMethod finds the methods that would make a message of a format, or of several parts.
var formattingMethod = regexp.MustCompile(`^(Trace|Debug|Info|Print|Warn|Warning|Error|Fatal|Panic|Log)(f|ln)$`)

func (r *functionReader) readCall(call *ast.CallExpr) {
	method, ok := call.Fun.(*ast.SelectorExpr)
	if !ok {
		return
	}
	if method.Sel.Name == "Log" && len(call.Args) == 1 {
		r.readDecisionLine(call)
		return
	}
	level, logs := levelNames[method.Sel.Name]
	if !logs && !formattingMethod.MatchString(method.Sel.Name) {
		return
	}
	fields := r.entryFieldsOf(method.X)
	if fields == nil {
		return
	}
	message, constant := "", false
	if logs && len(call.Args) == 1 {
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

// readDecisionLine keeps the format of a line that the decisions, or the core for them, hand to the host's log. Where the
// argument can't be read it is the line of somebody else, handed on.
func (r *functionReader) readDecisionLine(call *ast.CallExpr) {
	format, ok := r.lineFormat(call.Args[0])
	if variable, isVariable := call.Args[0].(*ast.Ident); isVariable && !ok {
		format, ok = r.formats[variable.Name]
	}
	if ok {
		r.calls.decisionLines[format] = r.place(call)
	}
}

var verb = regexp.MustCompile(`%[-+# 0]*[0-9.]*[a-zA-Z]`)

// lineFormat is the format of fmt.Sprintf, each verb as …, or a constant line.
func (r *functionReader) lineFormat(expression ast.Expr) (string, bool) {
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

// importersOf returns the program files that import a package.
func importersOf(t *testing.T, importPath string) (uses []string) {
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
					uses = append(uses, filepath.ToSlash(strings.TrimPrefix(path, root+"/")))
				}
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return uses
}
