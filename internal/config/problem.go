package config

import (
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Problem is one error in a settings file.
type Problem struct {
	Path   string
	Line   int // starts at 1; 0 if the problem has no line, such as a missing key
	Column int // starts at 1; 0 if the problem concerns the whole line
	Text   string
}

func (p *Problem) Error() string {
	switch {
	case p.Line == 0:
		return fmt.Sprintf("%s: %s", p.Path, p.Text)
	case p.Column == 0:
		return fmt.Sprintf("%s:%d: %s", p.Path, p.Line, p.Text)
	}
	return fmt.Sprintf("%s:%d:%d: %s", p.Path, p.Line, p.Column, p.Text)
}

// explainDecodeError converts an error of the TOML decoder to problems, or wraps it if it has no position.
func explainDecodeError(path string, text []byte, err error) error {
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) {
		return explainUnknownKeys(path, unknown)
	}
	var malformed *toml.DecodeError
	if errors.As(err, &malformed) {
		line, column := malformed.Position()
		message := strings.TrimPrefix(malformed.Error(), "toml: ")
		return &Problem{Path: path, Line: line, Column: column, Text: lineAt(text, line) + ": " + message}
	}
	return fmt.Errorf("%s: %w", path, err)
}

func explainUnknownKeys(path string, unknown *toml.StrictMissingError) error {
	known := allKeys()
	var problems []error
	for _, e := range unknown.Errors {
		line, _ := e.Position()
		key := strings.Join(e.Key(), ".")
		problems = append(problems, &Problem{
			Path: path, Line: line, Text: fmt.Sprintf("%s: no such key; write one of %s", key, validKeys(key, known)),
		})
	}
	return errors.Join(problems...)
}

// lineAt returns a line of the text, counted from 1, without surrounding space. It returns "" if there is no such line.
func lineAt(text []byte, line int) string {
	lines := strings.Split(string(text), "\n")
	if line < 1 || line > len(lines) {
		return ""
	}
	return strings.TrimSpace(lines[line-1])
}

// validKeys lists the known keys of the table that the key is in, or the tables if that table is unknown.
func validKeys(key string, known []string) string {
	var names []string
	table := key[:strings.LastIndexByte(key, '.')+1]
	for _, k := range known {
		if rest, ok := strings.CutPrefix(k, table); ok && !strings.Contains(rest, ".") {
			names = append(names, rest)
		}
	}
	if len(names) == 0 {
		return "[record], [record.store], [sources], [sources.dns], [metrics]"
	}
	return strings.Join(names, ", ")
}
