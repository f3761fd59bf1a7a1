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

// fleet is a core that keeps the endpoints of its updates.
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

// running counts the backends in that state.
func (f *fleet) running() (n int) {
	for _, e := range f.endpoints {
		if e.State == policy.EndpointRunning {
			n++
		}
	}
	return n
}

// listed are the backends from one number to another, with their addresses.
func newEndpoints(from, to int, state policy.EndpointState) (entries []policy.Endpoint, addresses []string) {
	for i := from; i < to; i++ {
		entries = append(entries, policy.Endpoint{ID: fmt.Sprint("a", i), Release: 1, State: state, Weight: 1})
		addresses = append(addresses, fmt.Sprint("10.0.0.1:", i+1))
	}
	return entries, addresses
}

// answering is a name server on pipes that names ports of one host; none: it is silent.
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
			_, _ = serverConn.Write(packed) // the other side may have gone
		}()
		return clientConn, nil
	}
}

// service is what the tests' name server names; it changes while a host runs.
type service struct{ ports atomic.Pointer[[]int] }

func (s *service) set(ports ...int) { s.ports.Store(&ports) }

// testHost is a host with the core and the name server that it talks to.
type testHost struct {
	*Host
	fleet   *fleet
	service service
	stop    func() // ends Run and waits for it
}

// startHost makes a host with a state file and a name that is looked up, as a process would at its start.
func newTestHost(stateFile string, seed uint64) *testHost {
	config := DefaultConfig()
	config.StateFile = stateFile
	config.DNS.Name, config.DNS.Servers, config.DNS.Timeout = "_r._tcp.x", []string{"s:1"}, units.Span(100*time.Millisecond)
	h := &testHost{fleet: newFleet()}
	h.Host = New(Options{Config: config, Fleet: h.fleet, OnAddressReleased: func(string) {}, Instances: 1, Seed: seed})
	return h
}

// run looks up at a name server that names the service's ports.
func (h *testHost) run(ports ...int) {
	h.service.set(ports...)
	answer := dialNameServer(func() []int { return *h.service.ports.Load() })
	h.resolver = dns.New(answer, rand.New(rand.NewPCG(1, 1)), 100*time.Millisecond)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan bool)
	go func() { h.Run(ctx); close(ended) }()
	h.stop = func() { cancel(); <-ended }
}

// discover reports a state of the backends from one number to another, as discovery would.
func (h *testHost) discover(from, to int, state policy.EndpointState) {
	endpoints, addresses := newEndpoints(from, to, state)
	h.OnDiscoveryUpdate(policy.EndpointUpdate{Endpoints: endpoints}, addresses)
}

// discoverKnown reports the list of the configuration.
func (h *testHost) discoverCached(from, to int) {
	endpoints, addresses := newEndpoints(from, to, policy.EndpointRunning)
	h.OnDiscoveryUpdate(policy.EndpointUpdate{Endpoints: endpoints, Snapshot: true, Cached: true}, addresses)
}

// Sources that flap against each other every 100 ms: no storm at the core, nothing lost, and what ended stays ended over a
// restart with every source dead.
func TestFlapAndRestart(t *testing.T) {
	stateFile := filepath.Join(t.TempDir(), "state")
	for _, step := range []struct {
		name string
		run  func(t *testing.T, stateFile string)
	}{ // in this order: each starts from the state file that the one before left
		{"flapping sources", testFlapping},
		{"a restart, every source dead", testRestart},
		{"a restart without a state that can be read", testRestartWithoutState},
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
		t.Errorf("%d calls to the core in 30 s", h.fleet.updates)
	}
	if len(h.fleet.endpoints) != 4 || h.fleet.endpoints["a1"].State != policy.EndpointDraining || h.Address("srv:10.0.0.1:9") != "10.0.0.1:9" {
		t.Errorf("%+v", h.fleet.endpoints)
	}
	h.discover(1, 2, policy.EndpointRemoved)
	h.service.set(1, 2, 3, 9)
	time.Sleep(5 * time.Second)
	synctest.Wait()
	if _, back := h.fleet.endpoints["a1"]; back || len(h.fleet.endpoints) != 3 {
		t.Errorf("one that is gone is back: %+v", h.fleet.endpoints)
	}
	h.stop()
}

func testRestart(t *testing.T, stateFile string) {
	h := newTestHost(stateFile, 2)
	if len(h.fleet.endpoints) != 3 || h.Address("srv:10.0.0.1:2") != "" || h.Address("srv:10.0.0.1:3") == "" {
		t.Errorf("remembered: %+v", h.fleet.endpoints)
	}
	if h.discoverCached(0, 1); h.fleet.endpoints["a0"].ID == "" || len(h.fleet.endpoints) != 3 {
		t.Errorf("with the known list: %+v", h.fleet.endpoints)
	}
}

func testRestartWithoutState(t *testing.T, stateFile string) {
	if err := os.WriteFile(stateFile, []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	for range 2 { // damaged, then not there
		if h := newTestHost(stateFile, 3); len(h.fleet.endpoints) != 0 {
			t.Errorf("%+v", h.fleet.endpoints)
		}
		if err := os.RemoveAll(stateFile); err != nil {
			t.Fatal(err)
		}
	}
}

func testLongOutage(t *testing.T, stateFile string) {
	h := newTestHost(stateFile, 3)
	h.discoverCached(0, 3)
	h.run()                   // names nothing: no server answers
	time.Sleep(2 * time.Hour) // longer than every lifetime
	synctest.Wait()
	if n := h.Counts(); len(h.fleet.endpoints) != 3 || n.FailedLookups == 0 || n.FailedLookups > 1000 || n.Doubt[1] == "" {
		t.Errorf("after two hours without SRV %+v, %+v", h.fleet.endpoints, n)
	}
	h.stop()
}

// With a subset the core knows that part and no more, through changes, renames of all at once and drains.
func TestSubset(t *testing.T) {
	config := DefaultConfig()
	config.Subset = SubsetConfig{Size: 20, MinPerGroup: 2}
	released := 0
	h := &testHost{fleet: newFleet()}
	h.Host = New(Options{Config: config, Fleet: h.fleet, OnAddressReleased: func(string) { released++ }, Instance: 3, Instances: 10, Seed: 1})
	checkSize := func(when string) {
		t.Helper()
		if len(h.fleet.endpoints) < 20 || len(h.fleet.endpoints) > 24 {
			t.Errorf("%d of 500 %s", len(h.fleet.endpoints), when)
		}
	}
	endpoints, addresses := newEndpoints(0, 500, policy.EndpointRunning)
	h.OnDiscoveryUpdate(policy.EndpointUpdate{Endpoints: endpoints, Snapshot: true}, addresses)
	checkSize("at the start")
	for i := range 500 {
		h.discover(i, i+1, policy.EndpointDraining)
		if running := h.fleet.running(); i == 250 && running < 20 {
			t.Errorf("%d run in the subset when half of the fleet drains", running)
		}
		h.discover(i, i+1, policy.EndpointRemoved)
	}
	h.discover(500, 1000, policy.EndpointRunning) // all renamed
	checkSize("after all were renamed")
	for id := range h.fleet.endpoints {
		if h.Address(id) == "" {
			t.Errorf("%s has no address", id)
		}
	}
	if released == 0 {
		t.Error("no address was ever left")
	}
}
