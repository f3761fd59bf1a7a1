package assembly

import (
	"net/http"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"onyxgate/internal/core"
	"onyxgate/internal/httpwire"
	"onyxgate/policy"
)

// Events that coincide with the start or the shutdown of an instance.

// A request that arrives while the instance starts must be routed by discovery's endpoint list,
// not by the possibly outdated list in the configuration.
func TestFirstRequest(t *testing.T) {
	outdated, current := newTestEnv(t), newTestEnv(t)
	r := start(t, configJSON(current.address(), outdated.endpointList(1), safeClass, singleAttempt))
	c := r.connect(t)
	c.send(http.MethodGet, "/glance/1", "r1")
	<-current.watches
	current.updates <- current.endpointList(2)
	if status, body := c.readResponse(t); status != 200 || body != "made for r1" {
		t.Errorf("got status %d, body %q, want 200 %q", status, body, "made for r1")
	}
	if len(outdated.receivedRequests()) != 0 || len(current.receivedRequests()) != 1 {
		t.Errorf("requests: %v at the outdated backend, want none; %v at the current one, want 1",
			outdated.receivedRequests(), current.receivedRequests())
	}
	r.stop(t)
}

// An instance accepts connections while it waits for discovery, as after a restart in an outage: requests that wait unread
// in the listener's backlog would be answered after their time.
func TestAcceptsBeforeReady(t *testing.T) {
	d := newTestEnv(t) // sends no list
	r := start(t, configJSON(d.address(), d.endpointList(1), safeClass, singleAttempt))
	<-d.watches
	c := r.connect(t)
	c.send(http.MethodGet, "/up", "r1")
	if status, _ := c.readResponse(t); status != http.StatusServiceUnavailable {
		t.Errorf("status of /up before the first list = %d, want 503", status)
	}
	r.stop(t)
}

// An instance becomes ready when discovery has sent its first list, after firstListWait if discovery stays silent, and
// immediately when it is asked to shut down.
func TestReady(t *testing.T) {
	for _, c := range []readyTest{
		{"list sent", true, false, 0},
		{"discovery silent", false, false, firstListWait},
		{"shutdown requested", false, true, 0},
	} {
		t.Run(c.name, func(t *testing.T) { synctest.Test(t, c.run) })
	}
}

// readyTest describes what happens after the start of an instance, and after how long it has to be ready.
type readyTest struct {
	name              string
	listed, shutsDown bool
	after             time.Duration
}

func (c readyTest) run(t *testing.T) {
	s := &Server{core: core.New(nil)}
	s.core.Start(func(p policy.Port) *policy.Instance { return policy.New(p, policy.Config{Seed: 7, Instances: 1}) })
	s.discovery = httpwire.NewDiscovery(httpwire.DiscoveryConfig{Core: s.core, Address: "d:1", Seed: 1})
	s.front = httpwire.NewFront(httpwire.FrontConfig{Core: s.core, Sockets: httpwire.NewSockets(0)})
	apply := func(text string, origin httpwire.Source) {
		if err := s.discovery.Apply([]byte(text), origin, func() {}); err != nil {
			t.Fatal(err)
		}
	}
	shuttingDown, ready, startedAt := make(chan bool), make(chan bool), time.Now()
	go func() { s.awaitReady(shuttingDown); close(ready) }()
	apply(`{"version":1,"full":true,"servers":[]}`, httpwire.FromConfiguration)
	synctest.Wait()
	select {
	case <-ready:
		t.Errorf("%s: ready after the configuration's list, want not ready before discovery's", c.name)
	default:
	}
	if c.listed {
		apply(`{"version":2,"full":true,"servers":[]}`, httpwire.FromWatch)
	}
	if c.shutsDown {
		close(shuttingDown)
	}
	<-ready
	if elapsed := time.Since(startedAt); elapsed != c.after {
		t.Errorf("%s: ready after %v, want %v", c.name, elapsed, c.after)
	}
	time.Sleep(time.Hour) // lets the core's timer expire
}

// On SIGTERM just before the instance is ready, requests that are held are served before the instance exits.
func TestEndsBeforeReady(t *testing.T) {
	d := newTestEnv(t)
	r := start(t, configJSON(d.address(), d.endpointList(1), safeClass, singleAttempt))
	<-d.watches
	c := r.connect(t)
	c.send(http.MethodGet, "/glance/1", "r1")
	r.signals <- syscall.SIGTERM
	if status, body := c.readResponse(t); status != 200 || body != "made for r1" {
		t.Errorf("got status %d, body %q, want 200 %q", status, body, "made for r1")
	}
	c.Close()
	if err := <-r.runResult; err != nil {
		t.Errorf("Run returned %v, want nil", err)
	}
}

// An instance that starts while the previous process still listens on its address waits until the address is free.
func TestAddressHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		previous := listenLoopback(t)
		got := make(chan error, 1)
		try := func(address string) {
			l, err := listen(address)
			if err == nil {
				l.Close()
			}
			got <- err
		}
		go try(previous.Addr().String())
		synctest.Wait() // the first attempt has failed
		previous.Close()
		if err := <-got; err != nil {
			t.Errorf("listen on an address that became free: %v", err)
		}
		if try("no address"); <-got == nil {
			t.Errorf("listen(%q) succeeded, want an error", "no address")
		}
	})
}
