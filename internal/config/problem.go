package config

// This file owns the messages about a file that can't be used.

import (
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Problem is one thing that is wrong with a settings file.
type Problem struct {
	Path   string
	Line   int // from 1; 0: no line has it, as a key that is missing
	Column int // from 1; 0: the whole line
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

// explainDecodeError turns the decoder's errors into problems.
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

// lineAt returns a line of a text, from 1, without the space around it; empty: there is none.
func lineAt(text []byte, line int) string {
	lines := strings.Split(string(text), "\n")
	if line < 1 || line > len(lines) {
		return ""
	}
	return strings.TrimSpace(lines[line-1])
}

// validKeys are the keys of the same table, or the tables.
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
