package config

import (
	"reflect"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"

	"onyxgate/internal/units"
)

// leafKey returns the last part of a dotted key.
func leafKey(key string) string { return key[strings.LastIndexByte(key, '.')+1:] }

// keysWithUnits returns the keys of a table, prefixed with prefix, whose values need a unit.
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

// allKeys returns all valid keys, in the order of the tables.
func allKeys() (keys []string) {
	text, err := Format(Default())
	if err != nil {
		return nil // errors then suggest only the tables; the tests check that the defaults can be formatted
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

// keyIndex holds the positions of keys in a file. Keys are dotted and include their tables.
type keyIndex struct {
	lines       map[string]int    // line number of each key
	bareNumbers map[string]string // values that are TOML numbers, and so have no unit
}

// indexKeys scans a file for its keys. It stops at the first syntax error.
func indexKeys(text []byte) keyIndex {
	index := keyIndex{lines: map[string]int{}, bareNumbers: map[string]string{}}
	var p unstable.Parser
	p.Reset(text)
	table := ""
	for p.NextExpression() {
		expression := p.Expression()
		switch expression.Kind {
		case unstable.Table, unstable.ArrayTable:
			name, line := dottedKey(&p, expression.Key())
			table, index.lines[name] = name+".", line
		case unstable.KeyValue:
			name, line := dottedKey(&p, expression.Key())
			index.lines[table+name] = line
			if value := expression.Value(); value.Kind == unstable.Integer || value.Kind == unstable.Float {
				index.bareNumbers[table+name] = string(value.Data)
			}
		}
	}
	return index
}

// dottedKey joins the parts of a key with dots, and returns the line of its last part.
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
