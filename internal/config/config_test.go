package config

import (
	"errors"
	"io/fs"
	"os"
	"reflect"
	"strings"
	"testing"
)

// Problems are reported with the file, the line if there is one, and what is wrong or what to write instead.
func TestParseErrors(t *testing.T) {
	for _, c := range []struct{ name, text, want string }{
		{"an unknown key", "[record]\n\nmode = \"off\"\ndirektory = \"x\"\n", "f.toml:4: record.direktory: no such key; write one of mode, directory"},
		{"an unknown table", "[metric]\nlisten = \"x\"\n", "f.toml:1: metric: no such key; write one of [record]"},
		{"an unknown key in a nested table", "[record.store]\nkey = 1\n", "f.toml:2: record.store.key: no such key; write one of kind, path"},
		{"an invalid size", "[record]\nbudget = \"12 potatoes\"\n", "f.toml:2:10: budget = \"12 potatoes\": \"12 potatoes\" is not a size; write 64MiB"},
		{"a size without unit", "[record]\nbudget = \"1000\"\n", "is not a size; write 64MiB"},
		{"a bare number for a size", "[record]\nbudget = 1000\n", "f.toml:2: record.budget = 1000: no unit; write budget ="},
		{"a bare number for a duration", "# x\n[record]\npatience = 5\n", "f.toml:3: record.patience = 5: no unit"},
		{"an invalid duration", "[record]\npatience = \"soon\"\n", "f.toml:2:12: patience = \"soon\": \"soon\" is not a duration; write 250ms"},
		{"a negative duration", "[record]\npatience = \"-1s\"\n", "is not a duration"},
		{"an unknown mode", "[record]\nmode = \"disk\"\n", "f.toml:2: record.mode = \"disk\": not one of [spool memory off]; write mode = \"spool\""},
		{"a spool without a directory", "[record]\nmode = \"spool\"\n", "f.toml: record.directory = \"\": needed by mode"},
		{"a budget below four segments", "[record]\nmode = \"spool\"\ndirectory = \"d\"\nbudget = \"1MiB\"\n", "f.toml:4: record.budget = \"1.0 MiB\": less than four segments of 4.0 MiB; write budget = \"16 MiB\""},
		{"memory without a store", "[record]\nmode = \"memory\"\n", "record.store.kind = \"none\": mode = \"memory\" keeps nothing"},
		{"a store without a path", "[record]\nmode = \"spool\"\ndirectory = \"d\"\n[record.store]\nkind = \"sqlite\"\n", "record.store.path = \"\": needed by kind"},
		{"a database server without a port", "[record]\nmode = \"memory\"\n[record.store]\nkind = \"postgres\"\naddress = \"db\"\n", "f.toml:5: record.store.address = \"db\""},
		{"a database server without a user", "[record]\nmode = \"memory\"\n[record.store]\nkind = \"postgres\"\naddress = \"db:1\"\n", "needs database and user"},
		{"a missing password file", "[record]\nmode = \"memory\"\n[record.store]\nkind = \"postgres\"\naddress = \"db:1\"\ndatabase = \"d\"\nuser = \"u\"\npassword_file = \"/no/such\"\n", "f.toml:8: record.store.password_file"},
		{"patience not above group_wait", "[record]\nmode = \"spool\"\ndirectory = \"d\"\ngroup_wait = \"1s\"\n", "record.patience = \"250ms\": no longer than group_wait"},
		{"a name without servers", "[sources.dns]\nname = \"_r._tcp.x\"\n", "f.toml: sources.dns.servers = \"[]\": needed by a name; write servers = [\"10.0.0.53:53\"]"},
		{"a DNS server without a port", "[sources.dns]\nname = \"x\"\nservers = [\"h\"]\n", "f.toml:3: sources.dns.servers = \"h\""},
		{"a subset below its minimum", "[sources.subset]\nsize = 2\n", "f.toml:2: sources.subset.size = \"2\""},
		{"an invalid metrics address", "[metrics]\nlisten = \"here\"\n", "f.toml:2: metrics.listen = \"here\""},
		{"invalid TOML", "[record\n", "f.toml:1:"},
		{"a value of the wrong type", "[record]\nmode = 3\n", "f.toml:2"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse("f.toml", []byte(c.text))
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("got error %v\nwant one that contains %s", err, c.want)
			}
		})
	}
}

// The position of a problem is available through errors.As.
func TestProblemPosition(t *testing.T) {
	_, err := Parse("f.toml", []byte("[record]\n\npatience = \"soon\"\n"))
	var problem *Problem
	if !errors.As(err, &problem) || problem.Path != "f.toml" || problem.Line != 3 || problem.Column != 12 {
		t.Errorf("errors.As(%v) = %+v, want a Problem in f.toml, line 3, column 12", err, problem)
	}
}

// Formatted settings parse back to the same settings.
func TestFormatRoundTrip(t *testing.T) {
	for _, c := range []struct{ name, text string }{
		{"defaults", ""},
		{"some settings", "[record]\nmode = \"spool\"\ndirectory = \"d\"\nbudget = \"64MiB\"\npatience = \"1.5s\"\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			settings, err := Parse("f.toml", []byte(c.text))
			if err != nil {
				t.Fatal(err)
			}
			formatted, err := Format(settings)
			if err != nil {
				t.Fatal(err)
			}
			parsed, err := Parse("g.toml", []byte(formatted))
			if err != nil || !reflect.DeepEqual(parsed, settings) {
				t.Errorf("Parse(Format(settings)) = %+v, %v; want %+v", parsed, err, settings)
			}
		})
	}
}

func TestRead(t *testing.T) {
	t.Run("without a file", func(t *testing.T) {
		settings, err := Read("")
		if err != nil || settings.Record.Enabled() || settings.Metrics.Listen != "" {
			t.Errorf("Read(%q) = %+v, %v; want no record and no metrics listener", "", settings, err)
		}
	})
	t.Run("a missing file", func(t *testing.T) {
		if _, err := Read("/no/such/file"); !errors.Is(err, fs.ErrNotExist) {
			t.Errorf("reading a missing file: error %v, want fs.ErrNotExist", err)
		}
	})
}

// The settings file in deploy/ contains every key with its default value.
func TestDeployedSettings(t *testing.T) {
	text, err := os.ReadFile("../../deploy/onyxgate.toml")
	if err != nil {
		t.Fatal(err)
	}
	settings, err := Parse("onyxgate.toml", text)
	if err != nil || !reflect.DeepEqual(settings, Default()) {
		t.Errorf("deploy/onyxgate.toml parses to %+v, %v; want the defaults %+v", settings, err, Default())
	}
	for _, key := range allKeys() {
		if last := leafKey(key); !strings.Contains(string(text), last+" = ") {
			t.Errorf("deploy/onyxgate.toml lacks the key %s", key)
		}
	}
}

// Any input is either parsed or rejected with an error, and parsed settings can be formatted.
func FuzzParse(f *testing.F) {
	f.Add([]byte("[record]\nmode = \"spool\"\nbudget = \"1MiB\"\n"))
	f.Add([]byte("record.store = { kind = \"sqlite\" }\n"))
	f.Add([]byte("[[record]]\nx = [1, {a = 2}]\n"))
	f.Add([]byte("\"\" = 1\n[\"a.b\"]\n'' = 2"))
	f.Fuzz(func(t *testing.T, text []byte) {
		settings, err := Parse("f.toml", text)
		if err == nil {
			if _, err := Format(settings); err != nil {
				t.Fatalf("formatting the settings of %q: %v", text, err)
			}
		}
	})
}
