package assembly

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
)

type moved struct{ to []string }

func (m *moved) SetAddress(address string) { m.to = append(m.to, address) }

// A configuration that can be used moves what it names anew; one that can't changes nothing, then or later.
func TestReload(t *testing.T) {
	file := filepath.Join(t.TempDir(), "config.json")
	text := func(discovery, platform string) string {
		return fmt.Sprintf(`{"listen":"a:1","discovery":%q,"seed":"7","pipeline":{"address":%q,"news":{}},"known":{"servers":[]},
			"settings":{"grades":[{"name":"x","effect":"once","aim-us":1,"deadline-us":1}],"limits":{"max-attempts":1,
			"connect-timeout-us":1,"idle-close-us":1},"family-info":{"call-timeout-us":1,"decided-by":"single"}}}`,
			discovery, platform)
	}
	if err := os.WriteFile(file, []byte(text("d:1", "p:1")), 0o600); err != nil {
		t.Fatal(err)
	}

	config, err := Read(file)
	if err != nil {
		t.Fatal(err)
	}
	discovery, platform := &moved{}, &moved{}
	for _, c := range []struct{ text, discovery, platform string }{
		{text("d:1", "p:1"), "[]", "[]"}, // nothing new: the address given at the start holds
		{text("d:2", "p:1"), "[d:2]", "[]"},
		{text("d:2", "p:1")[:200], "[d:2]", "[]"},
		{text("d", "p:3"), "[d:2]", "[]"},
		{"", "[d:2]", "[]"},
		{text("d:3", "p:2"), "[d:2 d:3]", "[p:2]"},
	} {
		if err := os.WriteFile(file, []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		if c.text == "" {
			os.Remove(file)
		}
		config, _ = reload(file, config, map[string]addressSetter{"discovery": discovery, "pipeline.address": platform})
		if fmt.Sprint(discovery.to) != c.discovery || fmt.Sprint(platform.to) != c.platform {
			t.Errorf("after %.80q: %v, %v", c.text, discovery.to, platform.to)
		}
	}
}
