package assembly

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"testing"
)

// fakeAddressSetter records the addresses that were set.
type fakeAddressSetter struct{ addresses []string }

func (p *fakeAddressSetter) SetAddress(address string) { p.addresses = append(p.addresses, address) }

// A valid configuration updates the clients whose addresses it changes. An invalid one changes nothing, and does not
// affect later reloads.
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
	reloader := &reloader{path: file, current: configuration, clients: map[string]addressSetter{
		"discovery": discovery, "pipeline.address": platform,
	}}
	for _, c := range []struct{ name, text, discovery, platform string }{
		{"no address changed", text("d:1", "p:1"), "[]", "[]"},
		{"discovery moves", text("d:2", "p:1"), "[d:2]", "[]"},
		{"truncated file", text("d:2", "p:1")[:200], "[d:2]", "[]"},
		{"invalid address", text("d", "p:3"), "[d:2]", "[]"},
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
			_ = reloader.load() // invalid configurations return an error; only the effect on the addresses is checked
			if fmt.Sprint(discovery.addresses) != c.discovery || fmt.Sprint(platform.addresses) != c.platform {
				t.Errorf("after reading %.80q: discovery addresses %v, want %s; platform addresses %v, want %s",
					c.text, discovery.addresses, c.discovery, platform.addresses, c.platform)
			}
		})
	}
}

// A configuration that was read half written is read again. If it stays invalid, it changes nothing and the retries
// end.
func TestTorn(t *testing.T) {
	before, after := newTestEnv(t), newTestEnv(t)
	text := configJSON(after.address(), before.endpointList(1), safeClass, singleAttempt)
	r := start(t, configJSON(before.address(), before.endpointList(1), safeClass, singleAttempt))
	<-before.watches
	if err := os.WriteFile(r.file, []byte(text[:len(text)/2]), 0o600); err != nil {
		t.Fatal(err)
	}
	reloader := r.newReloader() // independent of the run's own reloader, which receives no SIGHUP
	if reloader.start() == nil {
		t.Fatal("reloader.start() = nil after a truncated configuration, want a retry")
	}
	if err := os.WriteFile(r.file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if reloader.retry() != nil {
		t.Error("reloader.retry() asks for another retry after a valid configuration, want nil")
	}
	<-after.watches // discovery's client has moved to the new address
	if err := os.WriteFile(r.file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	for n := 0; reloader.retry() != nil; n++ {
		if n > maxReloadTries {
			t.Fatalf("still retrying after %d attempts, want at most %d", n, maxReloadTries)
		}
	}
	r.stop(t)
}

// On SIGHUP while the first endpoint list is awaited, discovery's new address is watched immediately and its list makes
// the instance ready. A second SIGHUP before that stream is connected moves the client once more.
func TestMovedBeforeFirst(t *testing.T) {
	first, second, third := newTestEnv(t), newTestEnv(t), newTestEnv(t)
	r := start(t, configJSON(first.address(), first.endpointList(1), safeClass, singleAttempt))
	<-first.watches // the stream is open, but no list is sent
	for _, env := range []*testEnv{second, third} {
		if err := os.WriteFile(r.file, []byte(configJSON(env.address(), first.endpointList(1), safeClass, singleAttempt)), 0o600); err != nil {
			t.Fatal(err)
		}
		r.signals <- syscall.SIGHUP
		<-env.watches
	}
	third.updates <- third.endpointList(7)
	waitUntil(func() bool { v, _ := r.discovery.Version(); return v == 7 })
	c := r.connect(t)
	c.send(http.MethodGet, "/glance/1", "r1")
	if status, _ := c.readResponse(t); status != 200 || len(third.receivedRequests()) != 1 {
		t.Errorf("status %d, want 200; the third backend received %v, want 1 request", status, third.receivedRequests())
	}
	r.stop(t)
}
