// Package config reads the operator's settings, a TOML file such as deploy/onyxgate.toml with one table per component.
// Each problem is reported with the file, its line if it has one and, if it concerns a key, with the key, the value and
// what to write instead. The types, defaults and checks of the settings belong to the components.
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

// Settings holds all tables of the file.
type Settings struct {
	Record  recorder.Config `toml:"record"`
	Sources host.Config     `toml:"sources"`
	Metrics metrics.Config  `toml:"metrics"`
}

// Default returns the settings used without a file.
func Default() Settings {
	return Settings{Record: recorder.DefaultConfig(), Sources: host.DefaultConfig(), Metrics: metrics.DefaultConfig()}
}

// Read reads a settings file. It returns the defaults if path is empty. The error comes from os.ReadFile or Parse.
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

// Parse parses and validates the text of a settings file; path is used in errors only. It decodes the file, looks for
// missing units and validates the values, and stops after the first of these steps that finds problems. The error
// consists of *Problem values; only an error of the decoder without a position is wrapped instead.
func Parse(path string, text []byte) (Settings, error) {
	settings := Default()
	decoder := toml.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&settings); err != nil {
		return settings, explainDecodeError(path, text, err)
	}
	index := indexKeys(text)
	if err := missingUnits(path, index); err != nil {
		return settings, err
	}
	return settings, settings.validate(path, index)
}

// missingUnits reports durations and sizes that are given as bare numbers. The decoder accepts these as nanoseconds or
// bytes.
func missingUnits(path string, index keyIndex) error {
	var problems []error
	for _, key := range keysWithUnits(reflect.TypeFor[Settings](), "") {
		if value, ok := index.bareNumbers[key]; ok {
			problems = append(problems, &Problem{
				Path: path, Line: index.lines[key],
				Text: fmt.Sprintf("%s = %s: no unit; write %s = %q or %q", key, value, leafKey(key), "250ms", "64MiB"),
			})
		}
	}
	return errors.Join(problems...)
}

// validate runs each component's checks on its table.
func (s Settings) validate(path string, index keyIndex) error {
	var problems []error
	report := func(key string, value any, reason, example string) {
		problems = append(problems, &Problem{
			Path: path, Line: index.lines[key],
			Text: fmt.Sprintf("%s = %q: %s; write %s = %s", key, fmt.Sprint(value), reason, leafKey(key), example),
		})
	}
	s.Record.Validate(report)
	s.Sources.Validate(report)
	s.Metrics.Validate(report)
	return errors.Join(problems...)
}

// Format returns the settings as TOML, defaults included. The result contains no secrets: the password is stored in a
// separate file, and the settings hold only its path.
func Format(s Settings) (string, error) {
	var b bytes.Buffer
	encoder := toml.NewEncoder(&b)
	encoder.SetIndentTables(false)
	err := encoder.Encode(s)
	return b.String(), err
}
