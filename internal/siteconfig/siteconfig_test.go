package siteconfig

import (
	"strings"
	"testing"

	"github.com/tidwall/gjson"
)

const usable = `{"name":"n0","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"pipeline":{"address":"127.0.0.1:3","news":{}},
"known":{"version":1,"full":true,"servers":[]},"settings":{"grades":[{"name":"p","effect":"repeatable","aim-us":1,
"deadline-us":2}],"limits":{"max-attempts":5,"connect-timeout-us":250000,"idle-close-us":30000000},
"family-info":{"call-timeout-us":800000,"decided-by":"majority"}}}`

// What can't be used is named, and nothing else.
func TestWrong(t *testing.T) {
	for _, c := range []struct{ name, from, to, want string }{
		{"usable", "", "", ""},
		{"listen", "127.0.0.1:1", "nowhere", "listen"},
		{"discovery", `"discovery":"127.0.0.1:2"`, `"discovery":null`, "discovery"},
		{"platform", "127.0.0.1:3", "", "pipeline.address"},
		{"news", `"news":{}`, `"news":null`, "pipeline.news"},
		{"known", `"servers":[]`, `"servers":{}`, "known.servers"},
		{"seed", "8c1f30d27a5be964", "xyz", "seed"},
		{"sockets", `"sockets":1024`, `"sockets":9`, "limits.sockets"},
		{"memory", `"memory_mb":192`, `"memory_mb":1`, "limits.memory_mb"},
		{"products", `"name":"p",`, ``, "grades.0 has no name"},
		{"effect", "repeatable", "often", "grades.0.effect"},
		{"tries", `"max-attempts":5`, `"max-attempts":0`, "max-attempts"},
		{"connect", `"connect-timeout-us":250000,`, "", "connect-timeout-us"},
		{"votes", `"call-timeout-us":800000,`, "", "call-timeout-us"},
		{"control", "majority", "dice", "decided-by"},
	} {
		text := strings.Replace(usable, c.from, c.to, 1)
		lines := Problems(gjson.Parse(text))
		if c.want == "" && len(lines) > 0 || c.want != "" && (len(lines) != 1 || !strings.Contains(lines[0], c.want)) {
			t.Errorf("%s: %q", c.name, lines)
		}
	}
	if seed, err := Seed(gjson.Parse(usable)); err != nil || seed != 0x8c1f30d27a5be964 {
		t.Errorf("seed %x, %v", seed, err)
	}
}
