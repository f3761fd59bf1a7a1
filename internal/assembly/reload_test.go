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

// fakeAddressSetter keeps the addresses to which it moved.
type fakeAddressSetter struct{ addresses []string }

func (p *fakeAddressSetter) SetAddress(address string) { p.addresses = append(p.addresses, address) }

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
	discovery, platform := &fakeAddressSetter{}, &fakeAddressSetter{}
	reloader := &reloader{path: file, current: configuration, parts: map[string]addressSetter{
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
			if fmt.Sprint(discovery.addresses) != c.discovery || fmt.Sprint(platform.addresses) != c.platform {
				t.Errorf("after %.80q: %v, %v", c.text, discovery.addresses, platform.addresses)
			}
		})
	}
}

// A configuration read half written is read again; one that stays so changes nothing and is given up.
func TestTorn(t *testing.T) {
	d, e := newTestEnv(t), newTestEnv(t)
	text := configJSON(e.address(), d.endpointList(1), safeClass, singleAttempt)
	r := start(t, configJSON(d.address(), d.endpointList(1), safeClass, singleAttempt))
	<-d.watches
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
	<-e.watches // moved
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
	d, e, f := newTestEnv(t), newTestEnv(t), newTestEnv(t)
	r := start(t, configJSON(d.address(), d.endpointList(1), safeClass, singleAttempt))
	<-d.watches // and it says nothing
	for _, w := range []*testEnv{e, f} {
		if err := os.WriteFile(r.file, []byte(configJSON(w.address(), d.endpointList(1), safeClass, singleAttempt)), 0o600); err != nil {
			t.Fatal(err)
		}
		r.signals <- syscall.SIGHUP
		<-w.watches
	}
	f.updates <- f.endpointList(7)
	waitUntil(func() bool { v, _ := r.discovery.Version(); return v == 7 })
	c := r.connect(t)
	c.send(http.MethodGet, "/glance/1", "r1")
	if status, _ := c.readResponse(t); status != 200 || len(f.requestsRun()) != 1 {
		t.Errorf("answered %d, ran %v", status, f.requestsRun())
	}
	r.stop(t)
}
