// Package host runs the merge of the sources in an instance: between discovery and the core, with a resolver beside it. It
// decides nothing of what holds; every change of the fleet reaches the core in the order in which the merge made it.
package host

import (
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"onyxgate/internal/sources"
	"onyxgate/internal/sources/dns"
	"onyxgate/policy"
)

// Fleet is the core's side of it. Its methods are called under the host's lock and must not call the host, but for Address.
type Fleet interface {
	// UpdateEndpoints takes changes of the fleet, in order.
	UpdateEndpoints(update policy.EndpointUpdate)
	// Now returns the core's time, Unix ms.
	Now() float64
}

// Options are what a host is made with.
type Options struct {
	Config            Config
	Fleet             Fleet
	OnAddressReleased func(address string) // called when a backend left an address, or another one took it over
	Instance          int                  // this instance's number, from 0
	Instances         int                  // in the fleet
	Seed              uint64               // of what is drawn by chance
}

// Counts are what has been since the start.
type Counts struct {
	Lookups, FailedLookups, NegativeAnswers, Questions uint64
	Changes                                            uint64                   // that the core took
	ChangesByRule                                      [sources.NumRules]uint64 // the same, in the order of sources.Rules
	Running, Backends                                  int                      // backends now: in the state running, in any
	Doubt                                              [2]string                // why discovery and SRV are doubted; empty: they are not
}

// Host runs one instance's merge. Its methods may be called by any goroutine.
type Host struct {
	config            Config
	fleet             Fleet
	onAddressReleased func(address string)
	view              atomic.Pointer[sources.View]
	resolver          *dns.Resolver // of the goroutine of Run

	mu      sync.Mutex // guards what follows, and orders the updates of the core
	merger  *sources.Merger
	subset  *sources.SubsetFilter // nil: the core knows the whole fleet
	pacer   *sources.LookupPacer
	counts  Counts
	unsaved bool // the state file is out of date
}

// New makes a host, and updates the core with what an earlier process saved, if there is a state file.
func New(o Options) *Host {
	random := rand.New(rand.NewPCG(o.Seed, 17))
	dial := (&net.Dialer{}).DialContext
	h := &Host{
		config:            o.Config,
		fleet:             o.Fleet,
		onAddressReleased: o.OnAddressReleased,
		merger:            sources.New(),
		pacer:             sources.NewLookupPacer(len(o.Config.DNS.Servers), o.Config.DNS.MaxLookupsPerSecond, random),
		resolver:          dns.New(dial, random, time.Duration(o.Config.DNS.Timeout)),
	}
	if o.Config.Subset.Size > 0 {
		h.subset = sources.NewSubsetFilter(sources.SubsetOptions{
			Instance: o.Instance, Instances: o.Instances, Size: o.Config.Subset.Size, MinPerGroup: o.Config.Subset.MinPerGroup,
		})
	}
	h.publishView()
	h.restore()
	return h
}

var ruleNames = sources.Rules()

// publishView shows readers the fleet as the merge has it now.
func (h *Host) publishView() {
	view := h.merger.Fleet()
	h.view.Store(&view)
}

// Address returns where a backend listens; empty: it is not in the fleet. Readers never wait for a change under way.
func (h *Host) Address(id string) string {
	e, _ := h.view.Load().Get(id)
	return e.Address
}

// updateOrigin says where an update comes from.
type updateOrigin struct {
	cached        bool // it is from the configuration or the state file, not from a source as it is now
	fromDiscovery bool // the core gets an update also where nothing changed: it learns that discovery is alive
}

// apply updates the core with changes. The caller holds the lock, so that they reach the core in their order.
func (h *Host) apply(changes []sources.Entry, origin updateOrigin) {
	if h.subset != nil {
		changes = h.subset.Apply(h.merger.Fleet(), changes)
	}
	endpoints := make([]policy.Endpoint, 0, len(changes))
	for _, e := range changes {
		endpoints = append(endpoints, e.Endpoint)
		h.counts.ChangesByRule[slices.Index(ruleNames, e.Rule)]++
	}
	h.counts.Changes += uint64(len(changes))
	released := h.releasedAddresses(changes)
	h.publishView() // before the core acts: what it sends at once needs the address
	if len(endpoints) > 0 || origin.fromDiscovery {
		h.unsaved = h.unsaved || len(endpoints) > 0
		h.fleet.UpdateEndpoints(policy.EndpointUpdate{Endpoints: endpoints, Cached: origin.cached})
	}
	for _, address := range released {
		h.onAddressReleased(address)
	}
}

// leftAddresses are those that backends leave by changes which the view does not show yet.
func (h *Host) releasedAddresses(changes []sources.Entry) (released []string) {
	view := h.view.Load()
	for _, e := range changes {
		previous, known := view.Get(e.ID)
		sameProcess := e.State != policy.EndpointRemoved && previous.Address == e.Address && previous.StartedAt == e.StartedAt
		if known && !sameProcess {
			released = append(released, previous.Address)
		}
	}
	return released
}

// OnDiscoveryUpdate takes an update of discovery, and the addresses of its endpoints in the same order.
func (h *Host) OnDiscoveryUpdate(update policy.EndpointUpdate, addresses []string) {
	entries := make([]sources.Entry, len(update.Endpoints))
	for i, e := range update.Endpoints {
		entries[i] = sources.Entry{Endpoint: e, Address: addresses[i]}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	changes := h.merger.UpdateDiscovered(h.fleet.Now(), entries, update.Snapshot)
	h.apply(changes, updateOrigin{cached: update.Cached, fromDiscovery: true})
}

// OnDiscoveryDisconnected notes that discovery's stream broke.
func (h *Host) OnDiscoveryDisconnected() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.merger.MarkDoubtful(sources.Discovery, "silent")
}

// Counts returns what has been so far.
func (h *Host) Counts() Counts {
	h.mu.Lock()
	defer h.mu.Unlock()
	counts := h.counts
	counts.Doubt = h.merger.Doubt
	counts.Running, counts.Backends = h.merger.Fleet().Running, h.merger.Fleet().Len()
	return counts
}
