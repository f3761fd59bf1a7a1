package host

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	mdns "github.com/miekg/dns"
	"github.com/sirupsen/logrus"

	"onyxgate/internal/sources/dns"
	"onyxgate/internal/units"
	"onyxgate/policy"
)

func init() { logrus.SetOutput(io.Discard) }

// fleet is a core that keeps the endpoints that it has been updated with.
type fleet struct {
	from      time.Time
	updates   int
	endpoints map[string]policy.Endpoint
}

func newFleet() *fleet { return &fleet{from: time.Now(), endpoints: map[string]policy.Endpoint{}} }

func (f *fleet) Now() float64 { return 1e12 + float64(time.Since(f.from))/1e6 }

func (f *fleet) UpdateEndpoints(update policy.EndpointUpdate) {
	f.updates++
	if update.Snapshot {
		clear(f.endpoints)
	}
	for _, e := range update.Endpoints {
		if e.State == policy.EndpointRemoved {
			delete(f.endpoints, e.ID)
		} else {
			f.endpoints[e.ID] = e
		}
	}
}

// running returns the number of running backends.
func (f *fleet) running() (n int) {
	for _, e := range f.endpoints {
		if e.State == policy.EndpointRunning {
			n++
		}
	}
	return n
}

// newEndpoints returns the backends with numbers in [from, to) and their addresses.
func newEndpoints(from, to int, state policy.EndpointState) (entries []policy.Endpoint, addresses []string) {
	for i := from; i < to; i++ {
		entries = append(entries, policy.Endpoint{ID: fmt.Sprint("a", i), Release: 1, State: state, Weight: 1})
		addresses = append(addresses, fmt.Sprint("10.0.0.1:", i+1))
	}
	return entries, addresses
}

// dialNameServer dials a name server on in-memory pipes that names the given ports of one host. If ports returns nil,
// it cannot be reached.
func dialNameServer(ports func() []int) dns.Dial {
	return func(context.Context, string, string) (net.Conn, error) {
		named := ports()
		if named == nil {
			return nil, errors.New("unreachable")
		}
		clientConn, serverConn := net.Pipe()
		go func() {
			defer serverConn.Close()
			b := make([]byte, 4096)
			n, err := serverConn.Read(b)
			q, m := new(mdns.Msg), new(mdns.Msg)
			if err != nil || q.Unpack(b[:n]) != nil {
				return
			}
			m.SetReply(q)
			for _, p := range named {
				m.Answer = append(m.Answer, &mdns.SRV{Hdr: mdns.RR_Header{
					Name: q.Question[0].Name, Rrtype: mdns.TypeSRV,
					Class: mdns.ClassINET, Ttl: 1,
				}, Port: uint16(p), Weight: 1, Target: "h."})
			}
			m.Extra = []mdns.RR{&mdns.A{
				Hdr: mdns.RR_Header{Name: "h.", Rrtype: mdns.TypeA, Class: mdns.ClassINET, Ttl: 1},
				A:   net.IPv4(10, 0, 0, 1),
			}}
			packed, _ := m.Pack()
			_, _ = serverConn.Write(packed) // the client may have closed the connection
		}()
		return clientConn, nil
	}
}

// service holds the ports that the test name server names. It may be changed while a host runs.
type service struct{ ports atomic.Pointer[[]int] }

func (s *service) set(ports ...int) { s.ports.Store(&ports) }

// testHost is a Host with its core and name server.
type testHost struct {
	*Host
	fleet   *fleet
	service service
	stop    func() // cancels Run and waits for it to return
}

// newTestHost returns a host with a state file and a configured name, as a process would create it at start-up.
func newTestHost(stateFile string, seed uint64) *testHost {
	config := DefaultConfig()
	config.StateFile = stateFile
	config.DNS.Name, config.DNS.Servers, config.DNS.Timeout = "_r._tcp.x", []string{"s:1"}, units.Span(100*time.Millisecond)
	h := &testHost{fleet: newFleet()}
	h.Host = New(Options{Config: config, Fleet: h.fleet, OnAddressReleased: func(string) {}, Instances: 1, Seed: seed})
	return h
}

// run starts Run with a name server that names the given ports. Without ports, the name server cannot be reached.
func (h *testHost) run(ports ...int) {
	h.service.set(ports...)
	answer := dialNameServer(func() []int { return *h.service.ports.Load() })
	h.resolver = dns.New(answer, rand.New(rand.NewPCG(1, 1)), 100*time.Millisecond)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan bool)
	go func() { h.Run(ctx); close(ended) }()
	h.stop = func() { cancel(); <-ended }
}

// discover reports the state of the backends with numbers in [from, to) as an update from discovery.
func (h *testHost) discover(from, to int, state policy.EndpointState) {
	endpoints, addresses := newEndpoints(from, to, state)
	h.OnDiscoveryUpdate(policy.EndpointUpdate{Endpoints: endpoints}, addresses)
}

// discoverCached reports the backends with numbers in [from, to) as the list from the configuration.
func (h *testHost) discoverCached(from, to int) {
	endpoints, addresses := newEndpoints(from, to, policy.EndpointRunning)
	h.OnDiscoveryUpdate(policy.EndpointUpdate{Endpoints: endpoints, Snapshot: true, Cached: true}, addresses)
}

// Sources that contradict each other every 100 ms cause neither a flood of updates of the core nor lost backends, and
// removed backends stay removed across a restart during which all sources are unavailable.
func TestFlapAndRestart(t *testing.T) {
	stateFile := filepath.Join(t.TempDir(), "state")
	for _, step := range []struct {
		name string
		run  func(t *testing.T, stateFile string)
	}{ // the order matters: each step starts from the state file written by the previous one
		{"flapping sources", testFlapping},
		{"restart without sources", testRestart},
		{"restart with an unreadable state file", testRestartWithoutState},
		{"two hours without SRV", testLongOutage},
	} {
		t.Run(step.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { step.run(t, stateFile) })
		})
	}
}

func testFlapping(t *testing.T, stateFile string) {
	h := newTestHost(stateFile, 1)
	h.discoverCached(0, 3)
	h.run(1, 2, 3, 9)
	for k := range 300 { // 30 s
		time.Sleep(100 * time.Millisecond)
		h.discover(1, 2, policy.EndpointState(k%2))
		if k%2 == 0 {
			h.service.set(1, 3, 9)
		} else {
			h.service.set(1, 2, 3, 9)
		}
	}
	synctest.Wait()
	if h.fleet.updates > 300+70 {
		t.Errorf("%d updates of the core in 30 s, want at most %d", h.fleet.updates, 300+70)
	}
	if len(h.fleet.endpoints) != 4 || h.fleet.endpoints["a1"].State != policy.EndpointDraining || h.Address("srv:10.0.0.1:9") != "10.0.0.1:9" {
		t.Errorf("fleet = %+v, address of port 9 = %q; want 4 backends, a1 draining, 10.0.0.1:9", h.fleet.endpoints, h.Address("srv:10.0.0.1:9"))
	}
	h.discover(1, 2, policy.EndpointRemoved)
	h.service.set(1, 2, 3, 9)
	time.Sleep(5 * time.Second)
	synctest.Wait()
	if _, back := h.fleet.endpoints["a1"]; back || len(h.fleet.endpoints) != 3 {
		t.Errorf("fleet = %+v, want 3 backends without the removed a1", h.fleet.endpoints)
	}
	h.stop()
}

func testRestart(t *testing.T, stateFile string) {
	h := newTestHost(stateFile, 2)
	if len(h.fleet.endpoints) != 3 || h.Address("srv:10.0.0.1:2") != "" || h.Address("srv:10.0.0.1:3") == "" {
		t.Errorf("restored fleet = %+v, want 3 backends, port 3 but not port 2 among them", h.fleet.endpoints)
	}
	if h.discoverCached(0, 1); h.fleet.endpoints["a0"].ID == "" || len(h.fleet.endpoints) != 3 {
		t.Errorf("fleet with the configured list = %+v, want 3 backends with a0", h.fleet.endpoints)
	}
}

func testRestartWithoutState(t *testing.T, stateFile string) {
	if err := os.WriteFile(stateFile, []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	for range 2 { // malformed, then missing
		if h := newTestHost(stateFile, 3); len(h.fleet.endpoints) != 0 {
			t.Errorf("fleet without a usable state file = %+v, want no backends", h.fleet.endpoints)
		}
		if err := os.RemoveAll(stateFile); err != nil {
			t.Fatal(err)
		}
	}
}

func testLongOutage(t *testing.T, stateFile string) {
	h := newTestHost(stateFile, 3)
	h.discoverCached(0, 3)
	h.run()                   // no server answers
	time.Sleep(2 * time.Hour) // longer than every TTL and expiry time
	synctest.Wait()
	if n := h.Counts(); len(h.fleet.endpoints) != 3 || n.FailedLookups == 0 || n.FailedLookups > 1000 || n.Doubt[1] == "" {
		t.Errorf("after two hours without SRV: fleet %+v, counts %+v; want 3 backends, 1 to 1000 failed look-ups, a doubt about SRV", h.fleet.endpoints, n)
	}
	h.stop()
}

// With a subset configured, the core has only that part of the fleet, while backends change, drain and are all
// replaced.
func TestSubset(t *testing.T) {
	config := DefaultConfig()
	config.Subset = SubsetConfig{Size: 20, MinPerGroup: 2}
	released := 0
	h := &testHost{fleet: newFleet()}
	h.Host = New(Options{Config: config, Fleet: h.fleet, OnAddressReleased: func(string) { released++ }, Instance: 3, Instances: 10, Seed: 1})
	checkSize := func(when string) {
		t.Helper()
		if len(h.fleet.endpoints) < 20 || len(h.fleet.endpoints) > 24 {
			t.Errorf("%d of 500 backends in the subset %s, want 20 to 24", len(h.fleet.endpoints), when)
		}
	}
	endpoints, addresses := newEndpoints(0, 500, policy.EndpointRunning)
	h.OnDiscoveryUpdate(policy.EndpointUpdate{Endpoints: endpoints, Snapshot: true}, addresses)
	checkSize("at the start")
	for i := range 500 {
		h.discover(i, i+1, policy.EndpointDraining)
		if running := h.fleet.running(); i == 250 && running < 20 {
			t.Errorf("%d running backends in the subset with half of the fleet drained, want at least 20", running)
		}
		h.discover(i, i+1, policy.EndpointRemoved)
	}
	h.discover(500, 1000, policy.EndpointRunning) // all backends are replaced
	checkSize("after all were replaced")
	for id := range h.fleet.endpoints {
		if h.Address(id) == "" {
			t.Errorf("Address(%q) is empty", id)
		}
	}
	if released == 0 {
		t.Errorf("released addresses = %d, want at least 1", released)
	}
}
