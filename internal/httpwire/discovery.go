package httpwire

// This file follows discovery: the watch, snapshots asked for by themselves, and moves to another address. It hands every change
// to the decisions as it comes, and must never hold one back, drop a backend that is only unreachable, or wait on traffic. The
// parts are stream.go (the watch kept open), framing.go and endpointlist.go (the lists), listversion.go (which lists are taken)
// and directory.go (who is at which address).

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"onyxgate/internal/core"
	"onyxgate/policy"
)

const (
	endpointsPath = "/discovery/hosts"

	// An empty line comes every 2 s. What a silent watch misses counts as known 6 s after it fell silent: by then the silence has
	// been noticed, a second watch that stays as silent as the first has been given up, and the third is connected.
	watchIdleTimeout = 2500 * time.Millisecond
	fetchTimeout     = 2 * time.Second // for a snapshot

	refreshQueueSize = 16 // calls of Refresh that may wait for Run
)

var errEmptySnapshot = errors.New("an empty answer")

// DiscoveryConfig says where discovery is and what its words mean.
type DiscoveryConfig struct {
	Core    *core.Core
	Dial    Dial
	Address string // of discovery, until SetAddress names another

	Zones           []string // the decisions know a zone by its index here
	HardwareClasses []string // and a hardware class by its index here

	// OnDemand has the decisions open the watch by Refresh: discovery sends its list only to those who ask. A lost watch is not
	// opened again then but reported to the core.
	OnDemand bool

	Seed uint64 // of the jitter of reconnects
}

// Discovery follows the endpoint list. Its methods may be called by any goroutine, OnRemove and OnUpdate only before Run and Apply.
type Discovery struct {
	core     *core.Core
	dial     Dial
	parser   listParser
	onDemand bool
	rng      *rand.Rand // used by the watch's keeper only

	onAddressVacated func(address string)
	onUpdate         func(update policy.EndpointUpdate, addresses []string)
	onDisconnect     func()

	refreshes   chan bool     // true: a snapshot is wanted, false: the watch
	moved       chan bool     // the address has changed
	firstUpdate chan struct{} // closed once discovery has sent a list

	// applyOrder is a lock that is held until a list has been handed on, so that lists are handed on in the order in which they
	// were taken. A channel, since a test has to see that a goroutine waits for it.
	applyOrder chan bool

	mu         sync.RWMutex // guards what follows
	address    string
	generation int // counts the addresses so far
	held       listPosition
	directory  directory
}

// NewDiscovery returns a Discovery that holds no list yet; Run follows the list.
func NewDiscovery(config DiscoveryConfig) *Discovery {
	return &Discovery{
		core:             config.Core,
		dial:             config.Dial,
		parser:           listParser{zones: config.Zones, hardwareClasses: config.HardwareClasses},
		onDemand:         config.OnDemand,
		rng:              policy.NewRand(config.Seed),
		onAddressVacated: func(string) {},
		onUpdate:         func(update policy.EndpointUpdate, _ []string) { config.Core.UpdateEndpoints(update) },
		onDisconnect:     func() {},
		refreshes:        make(chan bool, refreshQueueSize),
		moved:            make(chan bool, 1),
		firstUpdate:      make(chan struct{}),
		applyOrder:       make(chan bool, 1),
		address:          config.Address,
		directory:        newDirectory(),
	}
}

// OnAddressVacated sets what is called for an address that its backend has left.
func (d *Discovery) OnAddressVacated(onAddressVacated func(address string)) {
	d.onAddressVacated = onAddressVacated
}

// OnUpdate sets what is called with each list in place of the core: a merge with other sources. onDisconnect is called whenever
// a watch breaks or falls silent.
func (d *Discovery) OnUpdate(onUpdate func(update policy.EndpointUpdate, addresses []string), onDisconnect func()) {
	d.onUpdate, d.onDisconnect = onUpdate, onDisconnect
}

// BackendAddress is where a backend listens; empty: it is not in the endpoint list.
func (d *Discovery) BackendAddress(backend string) string {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.directory.addressOf[backend]
}

// Version is the version of the list held and how many backends the list names.
func (d *Discovery) Version() (version int64, backends int) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.held.version, len(d.directory.addressOf)
}

// Refresh asks Run for a snapshot, or to open the watch where it is not open. It never waits; where too many calls wait already,
// it does nothing.
func (d *Discovery) Refresh(snapshot bool) {
	select {
	case d.refreshes <- snapshot:
	default:
	}
}

// FirstUpdate is closed once discovery has sent a list. Until then the instance has only what it was started with.
func (d *Discovery) FirstUpdate() <-chan struct{} { return d.firstUpdate }

// SetAddress names another address of discovery. The watch there is opened at once; the old one is kept until the new one sends
// something.
func (d *Discovery) SetAddress(address string) {
	d.mu.Lock()
	d.address = address
	d.generation++
	d.mu.Unlock()
	select {
	case d.moved <- true:
	default: // a move is under way, and takes the address when it gets to it
	}
}

// position is where to ask, the generation of that address, and the version held.
func (d *Discovery) position() (address string, generation int, version int64) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.address, d.generation, d.held.version
}

// Run follows discovery until ctx ends. The goroutines that it starts end with ctx, or before.
func (d *Discovery) Run(ctx context.Context) {
	watchEnded := make(chan bool, 1) // room for the one watch that runs at a time: its goroutine never waits
	startWatch := func() {
		go func() {
			d.maintainWatch(ctx)
			watchEnded <- true
		}()
	}
	watching := !d.onDemand
	if watching {
		startWatch()
	}
	for {
		select {
		case <-ctx.Done():
			return
		case snapshot := <-d.refreshes:
			if snapshot {
				go d.fetchSnapshot(ctx)
			} else if !watching {
				watching = true
				startWatch()
			}
		case <-watchEnded:
			if ctx.Err() == nil { // the decisions say when to ask again
				watching = false
				d.core.EndpointsFailed()
			}
		}
	}
}

// maintainWatch keeps the watch open until ctx ends; where the list comes on demand only, until the watch is lost.
func (d *Discovery) maintainWatch(ctx context.Context) {
	maintainStream(ctx, streamConfig{
		read:         d.watch,
		moved:        d.moved,
		reconnect:    !d.onDemand,
		rng:          d.rng,
		onMove:       func() { logrus.Info("endpoint stream moving to another address") },
		onDisconnect: func(err error) { logrus.WithError(err).Warn("endpoint stream disconnected") },
	})
}

// watch reads one watch until it breaks, falls silent or sends what can't be read.
func (d *Discovery) watch(ctx context.Context, onData func()) error {
	defer d.onDisconnect()
	address, generation, version := d.position()
	path := fmt.Sprintf("%s?watch=1&after=%d", endpointsPath, version)
	stream, err := openControlStream(ctx, d.dial, address, path, watchIdleTimeout)
	if err != nil {
		return err
	}
	defer stream.Close()
	logrus.WithField("after", version).Info("endpoint stream connected")
	lists := newListScanner(stream)
	for lists.Scan() {
		stream.extendReadDeadline(watchIdleTimeout) // not for a part of a list: half of one is silence
		if len(lists.Bytes()) > 0 {
			if err := d.apply(lists.Bytes(), FromWatch, generation, onData); err != nil {
				return err
			}
		}
		onData()
	}
	return cmp.Or(lists.Err(), errStreamEnded)
}

// fetchSnapshot asks for the whole list once. A failure goes to the core, which has the decisions ask again.
func (d *Discovery) fetchSnapshot(ctx context.Context) {
	if err := d.fetch(ctx); err != nil && ctx.Err() == nil {
		logrus.WithError(err).Warn("endpoint snapshot failed")
		d.core.EndpointsFailed()
	}
}

func (d *Discovery) fetch(ctx context.Context) error {
	address, generation, _ := d.position()
	stream, err := openControlStream(ctx, d.dial, address, endpointsPath, fetchTimeout)
	if err != nil {
		return err
	}
	defer stream.Close()
	lists := newListScanner(stream)
	for lists.Scan() {
		if len(lists.Bytes()) > 0 { // else an empty line ahead of the list
			return d.apply(lists.Bytes(), FromFetch, generation, func() {})
		}
	}
	return cmp.Or(lists.Err(), errEmptySnapshot)
}
