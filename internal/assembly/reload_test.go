package assembly

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"testing"
)

// What crosses a reload.

// movedPart keeps the addresses to which it moved.
type movedPart struct{ to []string }

func (p *movedPart) SetAddress(address string) { p.to = append(p.to, address) }

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

	configuration, err := Read(file)
	if err != nil {
		t.Fatal(err)
	}
	discovery, platform := &movedPart{}, &movedPart{}
	reloader := &reloader{path: file, running: configuration, parts: map[string]addressSetter{
		"discovery": discovery, "pipeline.address": platform,
	}}
	for _, c := range []struct{ name, text, discovery, platform string }{
		{"nothing new: the address given at the start holds", text("d:1", "p:1"), "[]", "[]"},
		{"discovery moves", text("d:2", "p:1"), "[d:2]", "[]"},
		{"half a file", text("d:2", "p:1")[:200], "[d:2]", "[]"},
		{"no address", text("d", "p:3"), "[d:2]", "[]"},
		{"no file", "", "[d:2]", "[]"},
		{"both move", text("d:3", "p:2"), "[d:2 d:3]", "[p:2]"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if err := os.WriteFile(file, []byte(c.text), 0o600); err != nil {
				t.Fatal(err)
			}
			if c.text == "" {
				if err := os.Remove(file); err != nil {
					t.Fatal(err)
				}
			}
			_ = reloader.load() // its error is logged; what it did is what is looked at
			if fmt.Sprint(discovery.to) != c.discovery || fmt.Sprint(platform.to) != c.platform {
				t.Errorf("after %.80q: %v, %v", c.text, discovery.to, platform.to)
			}
		})
	}
}

// A configuration read half written is read again; one that stays so changes nothing and is given up.
func TestTorn(t *testing.T) {
	d, e := newWorld(t), newWorld(t)
	text := configuration(e.address(), d.list(1), short, few)
	r := start(t, configuration(d.address(), d.list(1), short, few))
	<-d.watched
	if err := os.WriteFile(r.file, []byte(text[:len(text)/2]), 0o600); err != nil {
		t.Fatal(err)
	}
	reloader := r.newReloader() // beside that of the run, which gets no signal
	if reloader.start() == nil {
		t.Fatal("half a configuration is not read again")
	}
	if err := os.WriteFile(r.file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if reloader.retry() != nil {
		t.Error("a whole one is read again")
	}
	<-e.watched // moved
	if err := os.WriteFile(r.file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	for n := 0; reloader.retry() != nil; n++ {
		if n > maxReloadTries {
			t.Fatal("read for ever")
		}
	}
	r.stop(t)
}

// SIGHUP while the first list is awaited: the new address is asked at once, and its list makes the instance ready. A second
// one before that stream is connected moves it once more.
func TestMovedBeforeFirst(t *testing.T) {
	d, e, f := newWorld(t), newWorld(t), newWorld(t)
	r := start(t, configuration(d.address(), d.list(1), short, few))
	<-d.watched // and it says nothing
	for _, w := range []*world{e, f} {
		if err := os.WriteFile(r.file, []byte(configuration(w.address(), d.list(1), short, few)), 0o600); err != nil {
			t.Fatal(err)
		}
		r.signals <- syscall.SIGHUP
		<-w.watched
	}
	f.updates <- f.list(7)
	until(func() bool { v, _ := r.discovery.Version(); return v == 7 })
	c := r.connect(t)
	c.send(http.MethodGet, "/glance/1", "r1")
	if status, _ := c.answer(t); status != 200 || len(f.runs()) != 1 {
		t.Errorf("answered %d, ran %v", status, f.runs())
	}
	r.stop(t)
}
