// Package config reads our own settings, TOML in deploy/, one table for each part that has some, and says what is wrong
// with file, line, key, value and a right example. It must never hold a part's decision, nor keep a value that a part does
// not have.
package config

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"reflect"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"

	"onyxgate/internal/metrics"
	"onyxgate/internal/record/recorder"
	"onyxgate/internal/sources/host"
	"onyxgate/internal/units"
)

// Tables are all that there are.
type Tables struct {
	Record  recorder.Table `toml:"record"`
	Sources host.Config    `toml:"sources"`
	Metrics metrics.Table  `toml:"metrics"`
}

// Default is what holds without a file.
func Default() Tables {
	return Tables{Record: recorder.Default(), Sources: host.DefaultConfig(), Metrics: metrics.Default()}
}

// Read reads a file; no name means what holds without one.
func Read(path string) (Tables, error) {
	if path == "" {
		return Default(), nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Tables{}, err
	}
	return Parse(path, text)
}

// Parse reads the text of a file of that name. Its error has a line for each thing that is wrong.
func Parse(path string, text []byte) (Tables, error) {
	t := Default()
	decoder := toml.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&t); err != nil {
		return t, explain(path, text, err)
	}
	at, bare := lines(text)
	var wrong []error
	for _, key := range withUnits(reflect.TypeOf(t), "") {
		if value, ok := bare[key]; ok { // the decoder takes it for nanoseconds or bytes
			wrong = append(wrong, fmt.Errorf("%s:%d: %s = %s: no unit; write %s = %q or %q", path, at[key], key, value,
				key[strings.LastIndexByte(key, '.')+1:], "250ms", "64MiB"))
		}
	}
	if len(wrong) > 0 {
		return t, errors.Join(wrong...)
	}
	tell := func(key string, value any, what, right string) {
		place := path
		if line, ok := at[key]; ok {
			place = fmt.Sprintf("%s:%d", path, line)
		}
		last := key[strings.LastIndexByte(key, '.')+1:]
		wrong = append(wrong, fmt.Errorf("%s: %s = %q: %s; write %s = %s", place, key, fmt.Sprint(value), what, last, right))
	}
	t.Record.Check(tell)
	t.Sources.Validate(tell)
	t.Metrics.Check(tell)
	return t, errors.Join(wrong...)
}

// explain turns the decoder's errors into ours.
func explain(path string, text []byte, err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		var all []error
		known := keys()
		for _, e := range strict.Errors {
			line, _ := e.Position()
			key := strings.Join(e.Key(), ".")
			all = append(all, fmt.Errorf("%s:%d: %s: no such key; write one of %s", path, line, key, near(key, known)))
		}
		return errors.Join(all...)
	}
	var e *toml.DecodeError
	if errors.As(err, &e) {
		line, column := e.Position()
		from := strings.Split(string(text), "\n")
		what := ""
		if line >= 1 && line <= len(from) {
			what = strings.TrimSpace(from[line-1])
		}
		return fmt.Errorf("%s:%d:%d: %s: %s", path, line, column, what, strings.TrimPrefix(e.Error(), "toml: "))
	}
	return fmt.Errorf("%s: %w", path, err)
}

// withUnits are the keys whose values have a unit.
func withUnits(t reflect.Type, table string) (keys []string) {
	for i := range t.NumField() {
		f := t.Field(i)
		name := table + f.Tag.Get("toml")
		if f.Type.Kind() == reflect.Struct {
			keys = append(keys, withUnits(f.Type, name+".")...)
		} else if f.Type == reflect.TypeFor[units.Span]() || f.Type == reflect.TypeFor[units.Size]() {
			keys = append(keys, name)
		}
	}
	return keys
}

// lines are where each key stands, and the values that are bare numbers.
func lines(text []byte) (at map[string]int, bare map[string]string) {
	at, bare = map[string]int{}, map[string]string{}
	var p unstable.Parser
	p.Reset(text)
	table := ""
	dotted := func(key unstable.Iterator) (name string, line int) {
		for key.Next() {
			if name != "" {
				name += "."
			}
			name += string(key.Node().Data)
			line = p.Shape(key.Node().Raw).Start.Line
		}
		return name, line
	}
	for p.NextExpression() {
		e := p.Expression()
		switch e.Kind {
		case unstable.Table, unstable.ArrayTable:
			name, line := dotted(e.Key())
			table, at[name] = name+".", line
		case unstable.KeyValue:
			name, line := dotted(e.Key())
			at[table+name] = line
			if v := e.Value(); v.Kind == unstable.Integer || v.Kind == unstable.Float {
				bare[table+name] = string(v.Data)
			}
		}
	}
	return at, bare
}

// keys are all that there are, in the order of the tables.
func keys() []string {
	text, err := toml.Marshal(Default())
	if err != nil {
		return nil
	}
	var out []string
	table := ""
	for line := range strings.SplitSeq(string(text), "\n") {
		line = strings.TrimSpace(line)
		if name, ok := strings.CutPrefix(line, "["); ok {
			table = strings.TrimSuffix(name, "]") + "."
		} else if key, _, ok := strings.Cut(line, " = "); ok && !strings.HasPrefix(line, "#") {
			out = append(out, table+key)
		}
	}
	return out
}

// near are the keys of the same table, or the tables.
func near(key string, known []string) string {
	var out []string
	table := key[:strings.LastIndexByte(key, '.')+1]
	for _, k := range known {
		if rest, ok := strings.CutPrefix(k, table); ok && !strings.Contains(rest, ".") {
			out = append(out, rest)
		}
	}
	if len(out) == 0 {
		return "[record], [record.store], [sources], [sources.dns], [metrics]"
	}
	return strings.Join(out, ", ")
}

// Show writes all that holds, defaults included. There is nothing to hide in it: a secret stands in a file of its own,
// of which only the name is here.
func Show(t Tables) (string, error) {
	var b bytes.Buffer
	e := toml.NewEncoder(&b)
	e.SetIndentTables(false)
	err := e.Encode(t)
	return b.String(), err
}
