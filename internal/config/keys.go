package config

// This file owns the keys: which there are, and their lines in a file.

import (
	"reflect"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"

	"onyxgate/internal/units"
)

// leafKey is a key without its tables.
func leafKey(key string) string { return key[strings.LastIndexByte(key, '.')+1:] }

// keysWithUnits are the keys whose values have a unit, below a table's prefix.
func keysWithUnits(table reflect.Type, prefix string) (keys []string) {
	for i := range table.NumField() {
		field := table.Field(i)
		key := prefix + field.Tag.Get("toml")
		switch {
		case field.Type.Kind() == reflect.Struct:
			keys = append(keys, keysWithUnits(field.Type, key+".")...)
		case field.Type == reflect.TypeFor[units.Span](), field.Type == reflect.TypeFor[units.Size]():
			keys = append(keys, key)
		}
	}
	return keys
}

// allKeys are all that there are, in the order of the tables.
func allKeys() (keys []string) {
	text, err := Format(Default())
	if err != nil {
		return nil // then no key can be named to users; the tests format the defaults
	}
	table := ""
	for line := range strings.SplitSeq(text, "\n") {
		line = strings.TrimSpace(line)
		if name, ok := strings.CutPrefix(line, "["); ok {
			table = strings.TrimSuffix(name, "]") + "."
		} else if key, _, ok := strings.Cut(line, " = "); ok && !strings.HasPrefix(line, "#") {
			keys = append(keys, table+key)
		}
	}
	return keys
}

// keyIndex is what a file holds, by whole keys.
type keyIndex struct {
	lines       map[string]int    // of each key
	bareNumbers map[string]string // the values that are numbers without a unit
}

// indexKeys reads a file for its keys alone; it goes as far as the file is well formed.
func indexKeys(text []byte) keyIndex {
	found := keyIndex{lines: map[string]int{}, bareNumbers: map[string]string{}}
	var p unstable.Parser
	p.Reset(text)
	table := ""
	for p.NextExpression() {
		expression := p.Expression()
		switch expression.Kind {
		case unstable.Table, unstable.ArrayTable:
			name, line := dottedKey(&p, expression.Key())
			table, found.lines[name] = name+".", line
		case unstable.KeyValue:
			name, line := dottedKey(&p, expression.Key())
			found.lines[table+name] = line
			if value := expression.Value(); value.Kind == unstable.Integer || value.Kind == unstable.Float {
				found.bareNumbers[table+name] = string(value.Data)
			}
		}
	}
	return found
}

// dottedKey reads a key of several parts, and the line on which it ends.
func dottedKey(p *unstable.Parser, parts unstable.Iterator) (name string, line int) {
	for parts.Next() {
		if name != "" {
			name += "."
		}
		name += string(parts.Node().Data)
		line = p.Shape(parts.Node().Raw).Start.Line
	}
	return name, line
}
