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

// What crosses a start and a shutdown.

// What discovery already has holds from a process's first request on: one that lies in the backlog when the instance starts
// goes by that, not by the list of the configuration.
func TestFirstRequest(t *testing.T) {
	old, now := newTestEnv(t), newTestEnv(t)
	r := start(t, configJSON(now.address(), old.endpointList(1), safeClass, singleAttempt))
	c := r.connect(t)
	c.send(http.MethodGet, "/glance/1", "r1")
	<-now.watches
	now.updates <- now.endpointList(2)
	if status, body := c.readResponse(t); status != 200 || body != "made for r1" {
		t.Errorf("answered %d %q", status, body)
	}
	if len(old.requestsRun()) != 0 || len(now.requestsRun()) != 1 {
		t.Errorf("ran %v at what had left, %v at what runs", old.requestsRun(), now.requestsRun())
	}
	r.stop(t)
}

// Ready: once discovery has sent its list, after a while where it sends none, and at once where the instance is to shut down.
func TestReady(t *testing.T) {
	for _, c := range []readyTest{
		{"list sent", true, false, 0},
		{"silent", false, false, firstListWait},
		{"shuts down", false, true, 0},
	} {
		t.Run(c.name, func(t *testing.T) { synctest.Test(t, c.run) })
	}
}

// readyTest is what happens to an instance that has started, and when it is ready.
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
	shuttingDown, ready, from := make(chan bool), make(chan bool), time.Now()
	go func() { s.awaitReady(shuttingDown); close(ready) }()
	apply(`{"version":1,"full":true,"servers":[]}`, httpwire.FromConfiguration)
	synctest.Wait()
	select {
	case <-ready:
		t.Errorf("%s: ready by the configuration alone", c.name)
	default:
	}
	if c.listed {
		apply(`{"version":2,"full":true,"servers":[]}`, httpwire.FromWatch)
	}
	if c.shutsDown {
		close(shuttingDown)
	}
	<-ready
	if took := time.Since(from); took != c.after {
		t.Errorf("%s: ready after %v", c.name, took)
	}
	time.Sleep(time.Hour) // the core's own timer
}

// SIGTERM just before ready: what lies in the backlog is served, then the instance ends by itself.
func TestEndsBeforeReady(t *testing.T) {
	d := newTestEnv(t)
	r := start(t, configJSON(d.address(), d.endpointList(1), safeClass, singleAttempt))
	<-d.watches
	c := r.connect(t)
	c.send(http.MethodGet, "/glance/1", "r1")
	r.signals <- syscall.SIGTERM
	if status, body := c.readResponse(t); status != 200 || body != "made for r1" {
		t.Errorf("answered %d %q", status, body)
	}
	c.Close()
	if err := <-r.runResult; err != nil {
		t.Errorf("ended with %v", err)
	}
}

// An instance that starts while the one before it still holds its address waits for it.
func TestAddressHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		before := listenLoopback(t)
		got := make(chan error, 1)
		try := func(address string) {
			l, err := listen(address)
			if err == nil {
				l.Close()
			}
			got <- err
		}
		go try(before.Addr().String())
		synctest.Wait() // it has tried
		before.Close()
		if err := <-got; err != nil {
			t.Error(err)
		}
		if try("no address"); <-got == nil {
			t.Error("no address, and it listens")
		}
	})
}
