package config

import (
	"errors"
	"io/fs"
	"os"
	"reflect"
	"strings"
	"testing"
)

// Whatever is wrong is reported with file, line, key, value and a right example.
func TestParseErrors(t *testing.T) {
	for _, c := range []struct{ name, text, want string }{
		{"an unknown key", "[record]\n\nmode = \"off\"\ndirektory = \"x\"\n", "f.toml:4: record.direktory: no such key; write one of mode, directory"},
		{"an unknown table", "[metric]\nlisten = \"x\"\n", "f.toml:1: metric: no such key; write one of [record]"},
		{"an unknown key below", "[record.store]\nkey = 1\n", "f.toml:2: record.store.key: no such key; write one of kind, path"},
		{"a size that is none", "[record]\nbudget = \"12 potatoes\"\n", "f.toml:2:10: budget = \"12 potatoes\": \"12 potatoes\" is not a size; write 64MiB"},
		{"a size without unit", "[record]\nbudget = \"1000\"\n", "is not a size; write 64MiB"},
		{"a bare number for a size", "[record]\nbudget = 1000\n", "f.toml:2: record.budget = 1000: no unit; write budget ="},
		{"a bare number for a span", "# x\n[record]\npatience = 5\n", "f.toml:3: record.patience = 5: no unit"},
		{"a span that is none", "[record]\npatience = \"soon\"\n", "f.toml:2:12: patience = \"soon\": \"soon\" is not a duration; write 250ms"},
		{"a negative span", "[record]\npatience = \"-1s\"\n", "is not a duration"},
		{"a word of none", "[record]\nmode = \"disk\"\n", "f.toml:2: record.mode = \"disk\": not one of [spool memory off]; write mode = \"spool\""},
		{"a spool nowhere", "[record]\nmode = \"spool\"\n", "f.toml: record.directory = \"\": needed by mode"},
		{"a budget below its segments", "[record]\nmode = \"spool\"\ndirectory = \"d\"\nbudget = \"1MiB\"\n", "f.toml:4: record.budget = \"1.0 MiB\": less than four segments of 4.0 MiB; write budget = \"16 MiB\""},
		{"memory without a store", "[record]\nmode = \"memory\"\n", "record.store.kind = \"none\": mode = \"memory\" keeps nothing"},
		{"a store nowhere", "[record]\nmode = \"spool\"\ndirectory = \"d\"\n[record.store]\nkind = \"sqlite\"\n", "record.store.path = \"\": needed by kind"},
		{"a server nowhere", "[record]\nmode = \"memory\"\n[record.store]\nkind = \"postgres\"\naddress = \"db\"\n", "f.toml:5: record.store.address = \"db\""},
		{"a server without a user", "[record]\nmode = \"memory\"\n[record.store]\nkind = \"postgres\"\naddress = \"db:1\"\n", "needs database and user"},
		{"a password that is not there", "[record]\nmode = \"memory\"\n[record.store]\nkind = \"postgres\"\naddress = \"db:1\"\ndatabase = \"d\"\nuser = \"u\"\npassword_file = \"/no/such\"\n", "f.toml:8: record.store.password_file"},
		{"patience below the group's wait", "[record]\nmode = \"spool\"\ndirectory = \"d\"\ngroup_wait = \"1s\"\n", "record.patience = \"250ms\": no longer than group_wait"},
		{"a name without servers", "[sources.dns]\nname = \"_r._tcp.x\"\n", "f.toml: sources.dns.servers = \"[]\": needed by a name; write servers = [\"10.0.0.53:53\"]"},
		{"a server without a port", "[sources.dns]\nname = \"x\"\nservers = [\"h\"]\n", "f.toml:3: sources.dns.servers = \"h\""},
		{"a subset below its least", "[sources.subset]\nsize = 2\n", "f.toml:2: sources.subset.size = \"2\""},
		{"metrics nowhere", "[metrics]\nlisten = \"here\"\n", "f.toml:2: metrics.listen = \"here\""},
		{"no TOML", "[record\n", "f.toml:1:"},
		{"another type", "[record]\nmode = 3\n", "f.toml:2"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse("f.toml", []byte(c.text))
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("%v\nwant %s", err, c.want)
			}
		})
	}
}

// A problem can be taken from the error with its place.
func TestProblemPosition(t *testing.T) {
	_, err := Parse("f.toml", []byte("[record]\n\npatience = \"soon\"\n"))
	var problem *Problem
	if !errors.As(err, &problem) || problem.Path != "f.toml" || problem.Line != 3 || problem.Column != 12 {
		t.Errorf("%v: %+v", err, problem)
	}
}

// What is shown is what holds, and reads back as the same.
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
			shown, err := Format(settings)
			if err != nil {
				t.Fatal(err)
			}
			again, err := Parse("g.toml", []byte(shown))
			if err != nil || !reflect.DeepEqual(again, settings) {
				t.Errorf("%v: %+v, not %+v", err, again, settings)
			}
		})
	}
}

func TestRead(t *testing.T) {
	t.Run("without a file", func(t *testing.T) {
		settings, err := Read("")
		if err != nil || settings.Record.Enabled() || settings.Metrics.Listen != "" {
			t.Errorf("without a file %+v, %v", settings, err)
		}
	})
	t.Run("a file that is not there", func(t *testing.T) {
		if _, err := Read("/no/such/file"); !errors.Is(err, fs.ErrNotExist) {
			t.Errorf("a file that is not there is read: %v", err)
		}
	})
}

// The file that is delivered holds every key, with what holds anyway.
func TestDeployedSettings(t *testing.T) {
	text, err := os.ReadFile("../../deploy/onyxgate.toml")
	if err != nil {
		t.Fatal(err)
	}
	settings, err := Parse("onyxgate.toml", text)
	if err != nil || !reflect.DeepEqual(settings, Default()) {
		t.Errorf("%+v, %v", settings, err)
	}
	for _, key := range allKeys() {
		if last := leafKey(key); !strings.Contains(string(text), last+" = ") {
			t.Errorf("%s is missing", key)
		}
	}
}

// Whatever a file holds, it is read or refused, and what is read can be shown.
func FuzzParse(f *testing.F) {
	f.Add([]byte("[record]\nmode = \"spool\"\nbudget = \"1MiB\"\n"))
	f.Add([]byte("record.store = { kind = \"sqlite\" }\n"))
	f.Add([]byte("[[record]]\nx = [1, {a = 2}]\n"))
	f.Add([]byte("\"\" = 1\n[\"a.b\"]\n'' = 2"))
	f.Fuzz(func(t *testing.T, text []byte) {
		settings, err := Parse("f.toml", text)
		if err == nil {
			if _, err := Format(settings); err != nil {
				t.Fatal(err)
			}
		}
	})
}
