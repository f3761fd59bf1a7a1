// Package config reads our own settings, TOML in deploy/, one table for each part that has some, and says what is wrong
// with file, line, key, value and a right example. It holds no part's decision, nor a value that a part does not have.
package config

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"reflect"

	"github.com/pelletier/go-toml/v2"

	"onyxgate/internal/metrics"
	"onyxgate/internal/record/recorder"
	"onyxgate/internal/sources/host"
)

// Settings are all tables that there are.
type Settings struct {
	Record  recorder.Config `toml:"record"`
	Sources host.Config     `toml:"sources"`
	Metrics metrics.Config  `toml:"metrics"`
}

// Default returns what holds without a file.
func Default() Settings {
	return Settings{Record: recorder.DefaultConfig(), Sources: host.DefaultConfig(), Metrics: metrics.DefaultConfig()}
}

// Read reads a file; an empty name means what holds without one. Its error is the file's, or Parse's.
func Read(path string) (Settings, error) {
	if path == "" {
		return Default(), nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, err
	}
	return Parse(path, text)
}

// Parse reads the text of a file of that name. Its error joins a *Problem for each thing that is wrong.
func Parse(path string, text []byte) (Settings, error) {
	settings := Default()
	decoder := toml.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&settings); err != nil {
		return settings, explainDecodeError(path, text, err)
	}
	found := indexKeys(text)
	if err := missingUnits(path, found); err != nil {
		return settings, err
	}
	return settings, settings.validate(path, found)
}

// missingUnits finds the bare numbers where a unit is needed: the decoder takes them for nanoseconds or bytes.
func missingUnits(path string, found keyIndex) error {
	var problems []error
	for _, key := range keysWithUnits(reflect.TypeFor[Settings](), "") {
		if value, ok := found.bareNumbers[key]; ok {
			problems = append(problems, &Problem{
				Path: path, Line: found.lines[key],
				Text: fmt.Sprintf("%s = %s: no unit; write %s = %q or %q", key, value, leafKey(key), "250ms", "64MiB"),
			})
		}
	}
	return errors.Join(problems...)
}

// validate asks each part what can't be.
func (s Settings) validate(path string, found keyIndex) error {
	var problems []error
	report := func(key string, value any, what, right string) {
		problems = append(problems, &Problem{
			Path: path, Line: found.lines[key],
			Text: fmt.Sprintf("%s = %q: %s; write %s = %s", key, fmt.Sprint(value), what, leafKey(key), right),
		})
	}
	s.Record.Validate(report)
	s.Sources.Validate(report)
	s.Metrics.Validate(report)
	return errors.Join(problems...)
}

// Format writes all that holds, defaults included. There is nothing to hide in it: a secret has a file of its own, of which only the
// name is here.
func Format(s Settings) (string, error) {
	var b bytes.Buffer
	encoder := toml.NewEncoder(&b)
	encoder.SetIndentTables(false)
	err := encoder.Encode(s)
	return b.String(), err
}
