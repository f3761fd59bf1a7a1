// Package host runs the merge of the sources in an instance. It sits between discovery and the core and owns the DNS
// resolver. All decisions are made by the merge; every change of the fleet reaches the core in the order in which the
// merge produced it.
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

// Fleet is the interface to the core. Its methods are called with the lock of Host held and must not call methods of
// Host other than Address.
type Fleet interface {
	// UpdateEndpoints applies changes of the fleet in order.
	UpdateEndpoints(update policy.EndpointUpdate)
	// Now returns the core's time, Unix ms.
	Now() float64
}

// Options are the parameters of New.
type Options struct {
	Config            Config
	Fleet             Fleet
	OnAddressReleased func(address string) // called with the lock held when a backend has left an address or was replaced there
	Instance          int                  // index of this instance, from 0
	Instances         int                  // number of instances in the fleet
	Seed              uint64               // seed of all random choices
}

// Counts holds counters since the start and the current state of the fleet.
type Counts struct {
	Lookups, FailedLookups, NegativeAnswers, Questions uint64
	Changes                                            uint64                   // changes passed to the core
	ChangesByRule                                      [sources.NumRules]uint64 // by rule, in the order of sources.Rules
	Running, Backends                                  int                      // current number of backends in the whole fleet: running, in any state
	Doubt                                              [2]string                // reasons to doubt discovery and SRV; empty if there are none
}

// Host runs the merge of one instance. Its methods are safe for concurrent use, except that only one call of Run may be
// in progress.
type Host struct {
	config            Config
	fleet             Fleet
	onAddressReleased func(address string)
	view              atomic.Pointer[sources.View]
	resolver          *dns.Resolver // used only by the goroutine that calls Run

	mu      sync.Mutex // guards the fields below, and orders the updates of the core
	merger  *sources.Merger
	subset  *sources.SubsetFilter // nil: the core uses the whole fleet
	pacer   *sources.LookupPacer
	counts  Counts
	unsaved bool // the state file is out of date
}

// New returns a Host. If there is a state file, New updates the core with the state saved by a previous process.
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

// publishView makes the current fleet of the merge visible to readers.
func (h *Host) publishView() {
	view := h.merger.Fleet()
	h.view.Store(&view)
}

// Address returns the address of a backend, or an empty string if it is not in the fleet. It never waits for a change
// in progress.
func (h *Host) Address(id string) string {
	e, _ := h.view.Load().Get(id)
	return e.Address
}

// updateOrigin describes where an update comes from.
type updateOrigin struct {
	cached        bool // from the configuration or the state file instead of the current state of a source
	fromDiscovery bool // the core is updated even without changes, so that it learns that discovery is alive
}

// apply passes changes to the core. The caller holds the lock, which keeps the changes in order.
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
	h.publishView() // before the core is updated, because it may send at once and needs the addresses
	if len(endpoints) > 0 || origin.fromDiscovery {
		h.unsaved = h.unsaved || len(endpoints) > 0
		h.fleet.UpdateEndpoints(policy.EndpointUpdate{Endpoints: endpoints, Cached: origin.cached})
	}
	for _, address := range released {
		h.onAddressReleased(address)
	}
}

// releasedAddresses returns the addresses that backends leave, or at which their process is replaced, with these
// changes. It compares the changes with the published view, so it must be called before publishView.
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

// OnDiscoveryUpdate applies an update from discovery. addresses holds the addresses of its endpoints in the same
// order.
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

// OnDiscoveryDisconnected records that the discovery stream was interrupted.
func (h *Host) OnDiscoveryDisconnected() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.merger.MarkDoubtful(sources.Discovery, "silent")
}

// Counts returns the current counts.
func (h *Host) Counts() Counts {
	h.mu.Lock()
	defer h.mu.Unlock()
	counts := h.counts
	counts.Doubt = h.merger.Doubt
	counts.Running, counts.Backends = h.merger.Fleet().Running, h.merger.Fleet().Len()
	return counts
}
