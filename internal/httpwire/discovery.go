package httpwire

// Discovery maintains the watch, fetches single snapshots and handles changes of discovery's address. It passes every
// change on immediately. It must never delay a change, remove a backend that is only unreachable, or wait for traffic.
// Its parts are stream.go (keeping the watch open), framing.go and endpointlist.go (parsing lists), listversion.go
// (which lists are accepted) and directory.go (which backend is at which address).

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

	// Discovery sends an empty line every 2 s. A change that a silent watch misses counts as known 6 s after the silence
	// began. Within that time this timeout can expire twice, for the silent watch and for a second watch that is silent
	// too, and a third watch is connected.
	watchIdleTimeout = 2500 * time.Millisecond
	fetchTimeout     = 2 * time.Second // for a snapshot

	refreshQueueSize = 16 // calls of Refresh that can be queued for Run
)

var errEmptySnapshot = errors.New("empty response")

// DiscoveryConfig configures how discovery is reached and how its endpoint lists are interpreted.
type DiscoveryConfig struct {
	Core    *core.Core
	Dial    Dial
	Address string // of discovery; SetAddress replaces it

	Zones           []string // zone names by policy.Endpoint.Zone
	HardwareClasses []string // hardware class names by policy.Endpoint.HardwareClass

	// OnDemand is set if discovery sends its list only on request: the watch is opened by Refresh, and a lost watch is
	// reported to the core instead of being reopened.
	OnDemand bool

	Seed uint64 // for the jitter of reconnects
}

// Discovery follows the endpoint list. Its methods are safe for concurrent use, except that OnAddressVacated and
// OnUpdate must be called before Run and Apply.
type Discovery struct {
	core     *core.Core
	dial     Dial
	parser   listParser
	onDemand bool
	rng      *rand.Rand // used only by maintainWatch

	onAddressVacated func(address string)
	onUpdate         func(update policy.EndpointUpdate, addresses []string)
	onDisconnect     func()

	refreshes   chan bool     // true: fetch a snapshot; false: open the watch
	moved       chan bool     // signals that the address has changed
	firstUpdate chan struct{} // closed once a list from discovery has been passed on

	// applyOrder is a lock held until an accepted list has been passed on, so that lists are passed on in the order in
	// which they were accepted. It is a channel because a test must detect that a goroutine is blocked on it.
	applyOrder chan bool

	mu         sync.RWMutex // guards the fields below
	address    string
	generation int // number of changes of the address so far
	current    listPosition
	directory  directory
}

// NewDiscovery returns a Discovery without a list. Run must be called to follow discovery.
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

// OnAddressVacated sets the function that is called with each address that its backend has left.
func (d *Discovery) OnAddressVacated(onAddressVacated func(address string)) {
	d.onAddressVacated = onAddressVacated
}

// OnUpdate sets the function that receives each list instead of the core, for merging with other sources. onDisconnect
// is called whenever a watch ends, for whatever reason, and whenever one can't be opened.
func (d *Discovery) OnUpdate(onUpdate func(update policy.EndpointUpdate, addresses []string), onDisconnect func()) {
	d.onUpdate, d.onDisconnect = onUpdate, onDisconnect
}

// BackendAddress returns the address of a backend, or "" if the backend is not in the endpoint list.
func (d *Discovery) BackendAddress(backend string) string {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.directory.addressOf[backend]
}

// Version returns the version of the current list and the number of backends in it.
func (d *Discovery) Version() (version int64, backends int) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.current.version, len(d.directory.addressOf)
}

// Refresh asks Run to fetch a snapshot, or to open the watch if it is not open. It does not block: if the queue of calls
// is full, it does nothing.
func (d *Discovery) Refresh(snapshot bool) {
	select {
	case d.refreshes <- snapshot:
	default:
	}
}

// FirstUpdate returns a channel that is closed once a list from discovery has been passed on. Until then, only the list
// from the configuration is known.
func (d *Discovery) FirstUpdate() <-chan struct{} { return d.firstUpdate }

// SetAddress sets a new address of discovery. If Run keeps a watch open, it opens the watch at the new address at once.
// An old watch that has delivered data is kept until the new one does.
func (d *Discovery) SetAddress(address string) {
	d.mu.Lock()
	d.address = address
	d.generation++
	d.mu.Unlock()
	select {
	case d.moved <- true:
	default: // a move is already pending and will use the new address
	}
}

// position returns the address of discovery, the generation of that address, and the version of the current list.
func (d *Discovery) position() (address string, generation int, version int64) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.address, d.generation, d.current.version
}

// Run follows discovery until ctx is done. The goroutines that it starts end at that time or earlier.
func (d *Discovery) Run(ctx context.Context) {
	watchEnded := make(chan bool, 1) // buffered for the one watch that runs at a time: its goroutine never blocks
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
			if ctx.Err() == nil { // the core decides when to reopen the watch
				watching = false
				d.core.EndpointsFailed()
			}
		}
	}
}

// maintainWatch keeps the watch open until ctx is done or, with onDemand, until the watch is lost.
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

// watch reads one watch until it breaks, becomes silent or sends malformed data.
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
		stream.extendReadDeadline(watchIdleTimeout) // not after a part of a list: a stalled list counts as silence
		if len(lists.Bytes()) > 0 {
			if err := d.apply(lists.Bytes(), FromWatch, generation, onData); err != nil {
				return err
			}
		}
		onData()
	}
	return cmp.Or(lists.Err(), errStreamEnded)
}

// fetchSnapshot fetches the whole list once. It reports a failure to the core, which then asks for another fetch.
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
		if len(lists.Bytes()) > 0 { // skip empty lines before the list
			return d.apply(lists.Bytes(), FromFetch, generation, func() {})
		}
	}
	return cmp.Or(lists.Err(), errEmptySnapshot)
}
