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

// fleet is a core's side that keeps what it is told.
type fleet struct {
	from  time.Time
	calls int
	has   map[string]policy.Endpoint
}

func newFleet() *fleet { return &fleet{from: time.Now(), has: map[string]policy.Endpoint{}} }

func (f *fleet) Now() float64 { return 1e12 + float64(time.Since(f.from))/1e6 }

func (f *fleet) UpdateEndpoints(update policy.EndpointUpdate) {
	f.calls++
	if update.Snapshot {
		clear(f.has)
	}
	for _, e := range update.Endpoints {
		if e.State == policy.EndpointRemoved {
			delete(f.has, e.ID)
		} else {
			f.has[e.ID] = e
		}
	}
}

func listed(from, to int, state policy.EndpointState) (entries []policy.Endpoint, addresses []string) {
	for i := from; i < to; i++ {
		entries = append(entries, policy.Endpoint{ID: fmt.Sprint("a", i), Release: 1, State: state, Weight: 1})
		addresses = append(addresses, fmt.Sprint("10.0.0.1:", i+1))
	}
	return entries, addresses
}

// answering is a name server on pipes that names ports of one host; none: it is silent.
func answering(ports func() []int) dns.Dial {
	return func(context.Context, string, string) (net.Conn, error) {
		named := ports()
		if named == nil {
			return nil, errors.New("unreachable")
		}
		here, there := net.Pipe()
		go func() {
			defer there.Close()
			b := make([]byte, 4096)
			n, err := there.Read(b)
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
			there.Write(packed)
		}()
		return here, nil
	}
}

// Sources that flap against each other every 100 ms: no storm at the core, nothing lost, and what ended stays ended over a
// restart with every source dead.
func TestFlapAndRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := DefaultConfig()
		table.StateFile = filepath.Join(t.TempDir(), "state")
		table.DNS.Name, table.DNS.Servers, table.DNS.Timeout = "_r._tcp.x", []string{"s:1"}, units.Span(100*time.Millisecond)
		f := newFleet()
		var named atomic.Pointer[[]int]
		name := func(ports ...int) { named.Store(&ports) }
		name(1, 2, 3, 9)
		h := New(Options{Config: table, Fleet: f, OnLeft: func(string) {}, Instances: 1, Seed: 1})
		h.resolver = dns.New(answering(func() []int { return *named.Load() }), rand.New(rand.NewPCG(1, 1)), 100*time.Millisecond)
		known, addresses := listed(0, 3, policy.EndpointRunning)
		h.OnDiscovery(policy.EndpointUpdate{Endpoints: known, Snapshot: true, Cached: true}, addresses)
		ctx, stop := context.WithCancel(context.Background())
		ended := make(chan bool)
		go func() { h.Run(ctx); close(ended) }()
		for k := range 300 { // 30 s
			time.Sleep(100 * time.Millisecond)
			state := policy.EndpointState(k % 2)
			e, a := listed(1, 2, state)
			h.OnDiscovery(policy.EndpointUpdate{Endpoints: e}, a)
			if k%2 == 0 {
				name(1, 3, 9)
			} else {
				name(1, 2, 3, 9)
			}
		}
		synctest.Wait()
		if f.calls > 300+70 {
			t.Errorf("%d calls to the core in 30 s", f.calls)
		}
		if len(f.has) != 4 || f.has["a1"].State != policy.EndpointDraining || h.Address("srv:10.0.0.1:9") != "10.0.0.1:9" {
			t.Errorf("%+v", f.has)
		}
		e, a := listed(1, 2, policy.EndpointRemoved)
		h.OnDiscovery(policy.EndpointUpdate{Endpoints: e}, a)
		name(1, 2, 3, 9)
		time.Sleep(5 * time.Second)
		synctest.Wait()
		if _, back := f.has["a1"]; back || len(f.has) != 3 {
			t.Errorf("one that is gone is back: %+v", f.has)
		}
		stop()
		<-ended

		// A new life; every source is dead, but for what was written down.
		f = newFleet()
		h = New(Options{Config: table, Fleet: f, OnLeft: func(string) {}, Instances: 1, Seed: 2})
		if len(f.has) != 3 || h.Address("srv:10.0.0.1:2") != "" || h.Address("srv:10.0.0.1:3") == "" {
			t.Errorf("remembered: %+v", f.has)
		}
		e, a = listed(0, 3, policy.EndpointRunning)
		if h.OnDiscovery(policy.EndpointUpdate{Endpoints: e[:1], Snapshot: true, Cached: true}, a[:1]); f.has["a0"].ID == "" || len(f.has) != 3 {
			t.Errorf("with the known list: %+v", f.has)
		}
		// And one whose state can't be read, or is not there.
		os.WriteFile(table.StateFile, []byte("{"), 0o600)
		for range 2 {
			f = newFleet()
			if h = New(Options{Config: table, Fleet: f, OnLeft: func(string) {}, Instances: 1, Seed: 3}); len(f.has) != 0 {
				t.Errorf("%+v", f.has)
			}
			os.Remove(table.StateFile)
		}
		dead := h
		dead.resolver = dns.New(answering(func() []int { return nil }), rand.New(rand.NewPCG(1, 1)), 100*time.Millisecond)
		dead.OnDiscovery(policy.EndpointUpdate{Endpoints: e, Snapshot: true, Cached: true}, a)
		ctx, stop = context.WithCancel(context.Background())
		ended = make(chan bool)
		go func() { dead.Run(ctx); close(ended) }()
		time.Sleep(2 * time.Hour) // longer than every lifetime
		synctest.Wait()
		if n := dead.Counts(); len(f.has) != 3 || n.FailedLookups == 0 || n.FailedLookups > 1000 || n.Doubt[1] == "" {
			t.Errorf("after two hours without SRV %+v, %+v", f.has, n)
		}
		stop()
		<-ended
	})
}

// With a subset the core knows that part and no more, through changes, renames of all at once and drains.
func TestSubset(t *testing.T) {
	table := DefaultConfig()
	table.Subset = SubsetConfig{Size: 20, LeastPerGroup: 2}
	f := newFleet()
	left := 0
	h := New(Options{Config: table, Fleet: f, OnLeft: func(string) { left++ }, Instance: 3, Instances: 10, Seed: 1})
	list := func(from, to int, state policy.EndpointState, whole bool) {
		e, a := listed(from, to, state)
		h.OnDiscovery(policy.EndpointUpdate{Endpoints: e, Snapshot: whole}, a)
	}
	list(0, 500, policy.EndpointRunning, true)
	if len(f.has) < 20 || len(f.has) > 24 {
		t.Errorf("%d of 500", len(f.has))
	}
	for i := range 500 {
		list(i, i+1, policy.EndpointDraining, false)
		if i == 250 {
			running := 0
			for _, e := range f.has {
				if e.State == policy.EndpointRunning {
					running++
				}
			}
			if running < 20 {
				t.Errorf("%d run in the subset when half of the fleet drains", running)
			}
		}
		list(i, i+1, policy.EndpointRemoved, false)
	}
	list(500, 1000, policy.EndpointRunning, false) // all renamed
	if len(f.has) < 20 || len(f.has) > 24 {
		t.Errorf("%d of 500 after all were renamed", len(f.has))
	}
	for id := range f.has {
		if h.Address(id) == "" {
			t.Errorf("%s has no address", id)
		}
	}
	if left == 0 {
		t.Error("no address was ever left")
	}
}
