// Package host runs the merge in an agent: between discovery and the core, with a resolver beside it. It must never decide
// what holds; every change of the fleet reaches the core in the order in which the merge made it.
package host

import (
	"cmp"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"onyxgate/internal/failpoint"
	"onyxgate/internal/sources"
	"onyxgate/internal/sources/dns"
	"onyxgate/internal/units"
	"onyxgate/policy"
)

// Config is [sources].
type Config struct {
	StateFile string       `toml:"state" comment:"a file in which 'onyxgate sources show' reads, and a restart what had ended; empty: none"`
	DNS       DNSConfig    `toml:"dns"`
	Subset    SubsetConfig `toml:"subset"`
}

// SubsetConfig is [sources.subset].
type SubsetConfig struct {
	Size          int `toml:"size" comment:"appliances that this agent works with; 0: all"`
	LeastPerGroup int `toml:"least" comment:"of each build and zone, however small"`
}

// DNSConfig is [sources.dns].
type DNSConfig struct {
	Name                string     `toml:"name" comment:"of the service, as _render._tcp.fleet.example.org; empty: off"`
	Servers             []string   `toml:"servers" comment:"host:port, asked in turn as they fail"`
	Timeout             units.Span `toml:"wait" comment:"for one answer over UDP"`
	MaxLookupsPerSecond float64    `toml:"lookups_a_second" comment:"at most, whatever lifetimes say"`
}

// DefaultConfig is off.
func DefaultConfig() Config {
	return Config{DNS: DNSConfig{Servers: []string{}, Timeout: units.Span(500 * time.Millisecond), MaxLookupsPerSecond: 2}, Subset: SubsetConfig{LeastPerGroup: 3}}
}

// Enabled tells whether anything beside discovery is a source.
func (t Config) Enabled() bool { return t.DNS.Name != "" || t.Subset.Size > 0 }

// Validate looks for what can't be.
func (t Config) Validate(wrong func(key string, value any, what, right string)) {
	if !t.Enabled() {
		return
	}
	if t.Subset.Size < 0 || t.Subset.LeastPerGroup < 0 || t.Subset.Size > 0 && t.Subset.Size < t.Subset.LeastPerGroup {
		wrong("sources.subset.size", t.Subset.Size, "below zero, or below least", "50")
	}
	if t.DNS.Name == "" {
		return
	}
	if len(t.DNS.Servers) == 0 {
		wrong("sources.dns.servers", t.DNS.Servers, "needed by a name", `["10.0.0.53:53"]`)
	}
	for _, s := range t.DNS.Servers {
		if _, _, err := net.SplitHostPort(s); err != nil {
			wrong("sources.dns.servers", s, err.Error(), `["10.0.0.53:53"]`)
		}
	}
	if t.DNS.Timeout.Ms() < 10 {
		wrong("sources.dns.wait", t.DNS.Timeout, "too short for any answer", `"500ms"`)
	}
	if t.DNS.MaxLookupsPerSecond < 0.01 || t.DNS.MaxLookupsPerSecond > 100 {
		wrong("sources.dns.lookups_a_second", t.DNS.MaxLookupsPerSecond, "not between 0.01 and 100", "2.0")
	}
}

// Fleet is the core's side of it.
type Fleet interface {
	UpdateEndpoints(update policy.EndpointUpdate)
	Now() float64
}

// Counts are what has been since the start.
type Counts struct {
	Lookups, FailedLookups, NegativeAnswers, Questions, Changes uint64
	Running, Known                                              int
	ChangesByRule                                               [8]uint64 // changes, in the order of sources.Rules
	Doubt                                                       [2]string
}

// Host is one agent's.
type Host struct {
	config        Config
	fleet         Fleet
	onAddressLeft func(address string)
	mu            sync.Mutex
	merger        *sources.Merger
	view          atomic.Pointer[sources.View]
	pacer         *sources.LookupPacer
	resolver      *dns.Resolver
	counts        Counts
	unsaved       bool
	me            int
	agents        int
	chosen        map[string]bool // with a subset: whom the core knows
}

// New makes one and recalls what an earlier life wrote down.
func New(t Config, fleet Fleet, forget func(string), me, agents int, seed uint64) *Host {
	chance := rand.New(rand.NewPCG(seed, 17))
	dial := (&net.Dialer{}).DialContext
	h := &Host{
		config: t, fleet: fleet, onAddressLeft: forget, me: me, agents: agents, chosen: map[string]bool{}, merger: sources.New(),
		pacer: sources.NewLookupPacer(len(t.DNS.Servers), t.DNS.MaxLookupsPerSecond, chance), resolver: dns.New(dial, chance, time.Duration(t.DNS.Timeout)),
	}
	h.publishView()
	if text, err := os.ReadFile(t.StateFile); err == nil {
		var file State
		if err := json.Unmarshal(text, &file); err != nil {
			logrus.WithError(err).Warn("the state of sources can't be read, it starts anew")
		} else if !failpoint.Defect("forget-drains") {
			h.apply(h.merger.Restore(fleet.Now(), file.Memory), true, false)
		}
	}
	return h
}

var ruleNames = sources.Rules()

func (h *Host) publishView() {
	v := h.merger.Fleet()
	h.view.Store(&v)
}

// Address is where an appliance listens; empty: it is not in the fleet. Readers never wait for a change under way.
func (h *Host) Address(id string) string {
	e, _ := h.view.Load().Get(id)
	return e.Address
}

// apply tells the core of changes. Under the lock, so that their order holds.
func (h *Host) apply(changes []sources.Entry, old, always bool) {
	if h.config.Subset.Size > 0 {
		changes = h.choose(changes)
	}
	var left []string
	entries := make([]policy.Endpoint, 0, len(changes))
	for _, e := range changes {
		if was, ok := h.view.Load().Get(e.ID); ok && (e.State == policy.EndpointRemoved || was.Address != e.Address || was.StartedAt != e.StartedAt) {
			left = append(left, was.Address)
		}
		entries = append(entries, e.Endpoint)
		h.counts.ChangesByRule[slices.Index(ruleNames, e.Rule)]++
	}
	h.counts.Changes += uint64(len(changes))
	h.publishView() // before the core: what it sends at once needs the address
	if len(entries) > 0 || always {
		h.unsaved = h.unsaved || len(entries) > 0
		h.fleet.UpdateEndpoints(policy.EndpointUpdate{Endpoints: entries, Cached: old})
	}
	for _, address := range left {
		h.onAddressLeft(address)
	}
}

// choose turns changes of the fleet into changes of the part that this agent works with.
func (h *Host) choose(changes []sources.Entry) (out []sources.Entry) {
	var all []sources.Entry
	h.merger.Fleet().Each(func(_ string, e sources.Entry) { all = append(all, e) })
	in := sources.Subset(h.me, h.agents, h.config.Subset.Size, h.config.Subset.LeastPerGroup, all)
	changed := make(map[string]bool, len(changes))
	for _, e := range changes {
		changed[e.ID] = true
		if in[e.ID] || h.chosen[e.ID] {
			out = append(out, e)
		}
	}
	for _, e := range all {
		if in[e.ID] && !h.chosen[e.ID] && !changed[e.ID] {
			out = append(out, e)
		}
		if !in[e.ID] && h.chosen[e.ID] { // it runs on, for others
			e.State = policy.EndpointRemoved
			out = append(out, e)
		}
	}
	h.chosen = in
	slices.SortStableFunc(out, func(a, b sources.Entry) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// OnDiscovery takes what discovery tells of the endpoints and, in the same order, of their addresses.
func (h *Host) OnDiscovery(update policy.EndpointUpdate, addresses []string) {
	told := make([]sources.Entry, len(update.Endpoints))
	for i, e := range update.Endpoints {
		told[i] = sources.Entry{Endpoint: e, Address: addresses[i]}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.apply(h.merger.UpdateDiscovered(h.fleet.Now(), told, update.Snapshot), update.Cached, true)
}

// OnDiscoveryLost notes that discovery's stream broke.
func (h *Host) OnDiscoveryLost() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.merger.MarkDoubtful(sources.Discovery, "silent")
}

const expireInterval = 5 * time.Second

// Run looks names up until ctx ends.
func (h *Host) Run(ctx context.Context) {
	if h.config.DNS.Name == "" {
		return
	}
	aged := time.Now()
	for ctx.Err() == nil {
		h.mu.Lock()
		server, wait := h.pacer.Next(h.fleet.Now())
		h.mu.Unlock()
		if server < 0 {
			timer := time.NewTimer(min(time.Duration(wait*1e6), time.Second))
			select {
			case <-ctx.Done():
			case <-timer.C:
			}
			timer.Stop()
		} else {
			h.lookUp(ctx, server)
		}
		h.mu.Lock()
		if time.Since(aged) > expireInterval {
			aged = time.Now()
			h.apply(h.merger.Expire(h.fleet.Now()), false, false)
		}
		dirty := h.unsaved
		h.unsaved = false
		h.mu.Unlock()
		if dirty {
			h.writeState()
		}
	}
	h.writeState()
}

func (h *Host) lookUp(ctx context.Context, server int) {
	at := h.config.DNS.Servers[server]
	a, err := h.resolver.Lookup(ctx, at, h.config.DNS.Name)
	if ctx.Err() != nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now, doubt := h.fleet.Now(), h.merger.Doubt[sources.SRV]
	h.counts.Lookups++
	h.counts.Questions = h.resolver.QuestionsSent
	switch {
	case err != nil:
		h.counts.FailedLookups++
		h.pacer.OnFailure(now, server)
		h.merger.MarkDoubtful(sources.SRV, err.Error())
	case a.Negative:
		h.counts.NegativeAnswers++
		h.pacer.OnAnswer(now, server, float64(a.TTL)/1e6, true)
		h.merger.MarkDoubtful(sources.SRV, "the service does not exist")
	default:
		h.pacer.OnAnswer(now, server, float64(a.TTL)/1e6, false)
		if failpoint.Defect("undrain") {
			h.merger.ReopenRetired(a.Observations)
		}
		h.apply(h.merger.UpdateResolved(now, a.Observations), false, false)
		h.unsaved = true // when it was last named
	}
	if is := h.merger.Doubt[sources.SRV]; (is == "") != (doubt == "") {
		logrus.WithFields(logrus.Fields{"source": "srv", "server": at, "doubt": is, "claims": len(a.Observations)}).Info("source")
	}
}

// Counts tells them.
func (h *Host) Counts() Counts {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := h.counts
	n.Doubt = h.merger.Doubt
	n.Running, n.Known = h.merger.Fleet().Running, h.merger.Fleet().Len()
	return n
}

// State is what the state file holds.
type State struct {
	WrittenAt float64        `json:"at_ms"`
	Doubt     [2]string      `json:"doubt"` // of discovery, of SRV; empty: none
	Backends  []BackendState `json:"appliances"`
	Memory    sources.Memory `json:"memory"`
}

// BackendState is one appliance with all that was told of it.
type BackendState struct {
	ID         string              `json:"id"`
	Address    string              `json:"address"`
	State      string              `json:"state"`
	Release    int                 `json:"build"`
	Weight     float64             `json:"rating"`
	Rule       string              `json:"rule"`
	Statements []sources.Statement `json:"words"`
}

// writeState puts the state file in place whole.
func (h *Host) writeState() {
	if h.config.StateFile == "" {
		return
	}
	h.mu.Lock()
	s := State{WrittenAt: h.fleet.Now(), Doubt: h.merger.Doubt, Memory: h.merger.Snapshot()}
	h.merger.Fleet().Each(func(id string, e sources.Entry) {
		s.Backends = append(s.Backends, BackendState{
			id, e.Address, [...]string{"running", "draining", "gone"}[e.State], int(e.Release),
			e.Weight, e.Rule, h.merger.Explain(id, e.Address),
		})
	})
	h.mu.Unlock()
	slices.SortFunc(s.Backends, func(a, b BackendState) int { return cmp.Compare(a.ID, b.ID) })
	text, err := json.Marshal(s)
	if err == nil {
		if err = os.WriteFile(h.config.StateFile+".new", text, 0o600); err == nil {
			err = os.Rename(h.config.StateFile+".new", h.config.StateFile)
		}
	}
	if err != nil {
		logrus.WithError(err).Warn("the state of sources can't be written")
	}
}
